/** @file range_duty.cpp Keeps the keys of the backend server beside this node. */

#include "duty/range_duty.h"

#include "adapter/log/event_log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace {

/** Grants are renewed each 0.6 s, so a sixth of it is soon enough to look at what is due. */
constexpr milliseconds Tick{100};
/** Without keys to keep there is little to look at. */
constexpr milliseconds IdleTick{1000};
/** A grant is answered in about a millisecond; one that takes longer has been lost. */
constexpr milliseconds GrantTimeout{400};
/**
 * An answer without news is held back for so long. It counts only within a second of the sending of
 * its heartbeat, which is on its way for a moment and at times for longer.
 */
constexpr milliseconds AnswerHeldFor{500};
/** A release is answered when the running work has ended; sent again after so long, it may have
 *  been lost. */
constexpr milliseconds ReleaseTimeout{1500};
/** From the first backend server that is ready until a service without a table is divided: the
 *  others' first heartbeats come within 1.5 s, and who is not there yet has to be given keys later.
 */
constexpr milliseconds Settle{2000};
/** Two renewals of the lease in a row have failed after so long. */
constexpr milliseconds StoreNear{3500};
/** Keys go only to nodes that have answered this node so lately. */
constexpr milliseconds HeardWithin{4000};
/**
 * After a refused write the news of who was first are on their way, and come within 0.3 s; only
 * then the record is read. When all nodes of a fleet of 91 had restarted, 952 of 1,475 writes were
 * refused, and each cost a read besides.
 */
constexpr milliseconds AwaitNews{500};
/**
 * The answer to a refused write holds the record as it stands, so it could be written again at
 * once; but all whose writes were refused together would collide again. Ten holders of one block
 * write within 10 ms each.
 */
constexpr milliseconds CollisionSpread{100};
/** A backend server that lives sends a heartbeat about every second and answers looks meanwhile;
 * one that refuses connections for a moment keeps its keys. Grants run for longer, so the keys of
 * one that has crashed do not wait for this. */
constexpr milliseconds SignOfLifeWithin{2000};
/** A node that has not been reached for so long may be lost; its witnesses and its lease decide. */
constexpr milliseconds SuspectAfter{500};

std::string holderText(const RangeHolder &holder)
{
    return std::to_string(holder.node.value()) + "/" + holder.backend.text();
}

} // namespace

RangeDuty::RangeDuty(asio::io_context &context, const Clock &clock, RecordStore &store,
                     BackendControl &backend, FleetView &view, BackendMonitor &monitor,
                     PeerLoads &loads, PeerLink &peers, const MemberRecord &self, GrantTimes grants)
    : context_(context), clock_(clock), store_(store), backend_(backend), view_(view),
      monitor_(monitor), loads_(loads), self_(self), session_(drawLife()),
      keeper_(grants, RangeKeeper::lapseOf(grants, grants.hold, clock.now())),
      contact_(context, clock, peers, view, loads, authority_, self.node, self.failureDomain),
      random_(std::random_device{}()), wakeTimer_(context)
{ }

void RangeDuty::start()
{
    startedAt_ = clock_.now();
    const auto loop = [this]() { return tickLoop(); };
    asio::co_spawn(context_, loop, asio::detached);
}

void RangeDuty::wake()
{
    wakeTimer_.cancel();
}

void RangeDuty::halt()
{
    halted_ = true;
    wake();
}

void RangeDuty::beginStop()
{
    stopping_ = true;
    wake();
}

const ServiceConfig *RangeDuty::service() const
{
    return view_.routes().findService(self_.service);
}

bool RangeDuty::isSharded() const
{
    return service() != nullptr && service()->sharded;
}

bool RangeDuty::grantsByHeartbeat() const
{
    return isSharded() && service()->grants == GrantForm::Heartbeat;
}

asio::awaitable<std::optional<HoldOrder>> RangeDuty::answerReport(HoldReport report, bool atOnce,
                                                                  TimePoint receivedAt)
{
    // The heartbeat may be the first of another life, whose predecessor's grants are still listed.
    if (const StoredTable *stored = view_.findTable(self_.service)) {
        keeper_.onTable(stored->table, holder(), receivedAt);
    }
    keeper_.onHolds(report, receivedAt);
    if (keeper_.hasLeaving()) {
        wake();
    }
    const uint64_t number = ++reports_;
    if (heldAnswer_) {
        heldAnswer_->timer->cancel(); // Its heartbeat has been given up.
    }
    if (!atOnce && !hasHoldNews(report, receivedAt)) {
        co_await awaitHoldNews(report, receivedAt);
    }
    if (number != reports_ || hasRangesToAdopt()) {
        co_return std::nullopt;
    }
    const TimePoint now = clock_.now();
    std::optional<HoldOrder> order = keeper_.takeHolds(receivedAt, authority_.validUntil(), now);
    if (order && order->leftOut > 0 && leftOutLines_.tryTake(now)) {
        logEvent(LogEvent::RangesLeftOut,
                 {{"ranges", order->leftOut}, {"granted", order->rows.size()}});
    }
    co_return order;
}

/**
 * A node that has restarted, or has lost its lease, has a new life, and the table still names the
 * one before. An answer that grants nothing then would make the backend server release all that it
 * holds, a moment before the node adopts just that.
 */
bool RangeDuty::hasRangesToAdopt() const
{
    const StoredTable *stored = view_.findTable(self_.service);
    const std::optional<RangeHolder> self = holder();
    return stored == nullptr || !self
           || std::any_of(stored->table.entries.begin(), stored->table.entries.end(),
                          [&self](const RangeEntry &entry) {
                              return entry.holder.node == self->node
                                     && entry.holder.backend == self->backend
                                     && entry.holder.life != self->life;
                          });
}

bool RangeDuty::hasHoldNews(const HoldReport &report, TimePoint now) const
{
    return authority_.validUntil() > now && !keeper_.isAsReported(report);
}

asio::awaitable<void> RangeDuty::awaitHoldNews(const HoldReport &report, TimePoint receivedAt)
{
    asio::steady_timer timer(context_);
    timer.expires_after(receivedAt + AnswerHeldFor - clock_.now());
    const HeldAnswer held{&report, &timer};
    heldAnswer_ = held;
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (heldAnswer_ && heldAnswer_->timer == &timer) {
        heldAnswer_.reset();
    }
}

void RangeDuty::releaseHeldAnswer(TimePoint now)
{
    if (heldAnswer_ && hasHoldNews(*heldAnswer_->report, now)) {
        heldAnswer_->timer->cancel();
    }
}

bool RangeDuty::isStoreNear(TimePoint now) const
{
    return now - authority_.renewedAt() < StoreNear;
}

bool RangeDuty::hasKeysToGive(TimePoint now) const
{
    const StoredTable *stored = view_.findTable(self_.service);
    return stored != nullptr && isStoreNear(now) && countKeys(stored->table, self_.node) > 0
           && !candidates(now, false).empty();
}

std::optional<RangeHolder> RangeDuty::holder() const
{
    if (monitor_.backend().empty()) {
        return std::nullopt;
    }
    // Granted in an answer to its heartbeat only; the heartbeat also tells which life it is.
    if (grantsByHeartbeat() && !monitor_.hasReported()) {
        return std::nullopt;
    }
    return RangeHolder{self_.node, session_, monitor_.backend()};
}

RequestEnd RangeDuty::check(ShardKey key, TimePoint now) const
{
    const TimePoint until = authority_.validUntil();
    if (keeper_.admits(key, until, now)) {
        return RequestEnd::None;
    }
    // Without authority it takes seconds until anybody serves the key again.
    const bool moving = keeper_.isLeaving(key) || until > now;
    return moving ? RequestEnd::NotOwner : RequestEnd::NoLease;
}

void RangeDuty::onWork(ShardKey key, Duration busy, TimePoint now)
{
    load_.record(key, busy, now);
}

bool RangeDuty::isUnreachable(NodeId node, TimePoint now) const
{
    const TimePoint since = loads_.unreachableSince(node);
    return since != NeverTime && now - since >= SuspectAfter;
}

std::vector<RangeCandidate> RangeDuty::candidates(TimePoint now, bool withSelf) const
{
    std::vector<RangeCandidate> found;
    const StoredTable *stored = view_.findTable(self_.service);
    std::map<NodeId, uint32_t> keys;
    if (stored != nullptr) {
        keys = countKeysByNode(stored->table);
    }
    for (const MemberRecord *member : view_.readyMembers(self_.service)) {
        const bool self = member->node == self_.node;
        // A record outlives its node while the store is away, and says "ready" of one that leaves
        // meanwhile; only an answer shows that it lives and stays. Three nodes that left during an
        // outage gave their keys to each other, and a quarter of all requests were refused for the
        // 6 s until the last lease had been taken away.
        const bool heard = now - loads_.heardAt(member->node) < HeardWithin
                           && !loads_.isLeaving(member->node, now);
        if ((self && !withSelf) || (!self && !heard)) {
            continue;
        }
        RangeCandidate candidate;
        candidate.holder = {member->node, member->life, member->backend};
        candidate.slots = std::max<uint32_t>(1, member->slots);
        candidate.busySlots = loads_.busySlots(member->node, now);
        candidate.serviceTime = loads_.serviceTime(member->node);
        candidate.keys = keys[member->node];
        found.push_back(std::move(candidate));
    }
    return found;
}

const MemberRecord *RangeDuty::firstOfService(TimePoint now) const
{
    for (const MemberRecord *member : view_.readyMembers(self_.service)) {
        if (member->node == self_.node || !isUnreachable(member->node, now)) {
            return member;
        }
    }
    return nullptr;
}

asio::awaitable<void> RangeDuty::tickLoop()
{
    while (!halted_) {
        const TimePoint now = clock_.now();
        const bool sharded = isSharded();
        if (sharded) {
            if (const StoredTable *stored = view_.findTable(self_.service)) {
                keeper_.onTable(stored->table, holder(), now);
            }
            if (!keeper_.hasLeaving()) {
                targets_.clear();
            }
            startLeaving(now);
            startBalancing(now);
            sendOrders(now);
            releaseHeldAnswer(now);
        }
        wakeTimer_.expires_after(sharded ? Tick : IdleTick);
        boost::system::error_code ignored;
        co_await wakeTimer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void RangeDuty::sendOrders(TimePoint now)
{
    const auto spawn = [this](asio::awaitable<void> work) {
        asio::co_spawn(context_, std::move(work), asio::detached);
    };
    // Without keys, a backend server that has crashed for good needs no lease.
    const bool inUse = keeper_.size() > 0 || (holder().has_value() && !monitor_.isRefusing());
    if (authority_.needsRenewal(now)) {
        authority_.lease().retryNow();
    }
    if (!renewing_ && inUse && authority_.lease().beginRenewal(now)) {
        renewing_ = true;
        spawn(renewLease());
    }
    if (inUse) {
        const Incarnation life = session_;
        contact_.sendHeartbeats(
                life, [this, life]() { return session_ == life; }, [this]() { lostLease(); }, now);
    }
    if (!writing_) {
        writing_ = true;
        spawn(planOnce());
    }
    if (checking_ == 0 && now - probedAt_ >= WatchEvery) {
        probedAt_ = now;
        watchOthers();
        probeQuiet(now);
    }
    // One that refuses connections may have crashed, and its next life must not be granted the old
    // one's fences; if it lives, more orders would take the connections that it lacks.
    if (grantsByHeartbeat() || monitor_.isRefusing()) {
        return;
    }
    for (GrantOrder &order : keeper_.takeDueGrants(authority_.validUntil(), now)) {
        spawn(sendGrant(std::move(order)));
    }
    for (const ReleaseOrder &order : keeper_.takeDueReleases(now)) {
        spawn(sendRelease(order));
    }
}

asio::awaitable<void> RangeDuty::sendGrant(GrantOrder order)
{
    const OrderAnswer answer = co_await backend_.grant(order, GrantTimeout);
    keeper_.onGrantEnd(order, answer.result);
    if (answer.result == OrderResult::Accepted || answer.result == OrderResult::HigherFence) {
        noteMonitorChange(monitor_.onAnswer(clock_.now()));
    }
    if (answer.result == OrderResult::HigherFence) {
        logEvent(LogEvent::GrantRefused, {{"first", order.span.first.value()},
                                          {"last", order.span.last.value()},
                                          {"fence", order.fence.value()}});
    }
    if (answer.result == OrderResult::NotSent) {
        noteMonitorChange(monitor_.onRefusedConnection());
    }
    wake();
}

/** Gate and member record follow at once, as when a request finds the change out. */
void RangeDuty::noteMonitorChange(bool changed)
{
    if (changed && monitorChanged_) {
        monitorChanged_();
    }
}

asio::awaitable<void> RangeDuty::sendRelease(ReleaseOrder order)
{
    const OrderAnswer answer = co_await backend_.release(order, ReleaseTimeout);
    keeper_.onReleaseEnd(order, answer.result, answer.handover, clock_.now());
    wake();
}

void RangeDuty::lostLease()
{
    logEvent(LogEvent::LeaseLost, {{"session", session_.value()}});
    authority_.onRevoked();
    session_ = drawLife();
}

asio::awaitable<void> RangeDuty::renewLease()
{
    const TimePoint sentAt = clock_.now();
    LeaseRecord lease;
    lease.node = self_.node;
    lease.life = session_;
    lease.renewal = ++renewals_;
    const std::set<NodeId> witnesses = contact_.chooseWitnesses(sentAt);
    lease.witnesses.assign(witnesses.begin(), witnesses.end());
    authority_.onRenewalSent(witnesses);
    const bool wasValid = authority_.validUntil() > sentAt;
    const Incarnation life = session_;
    Result<StoreRevision> written = co_await store_.write(
            RecordKind::Leases, memberRecordName(self_.node), leaseRevision_, encodeLease(lease));
    if (written) {
        leaseRevision_ = written.assume_value();
        if (life == session_) {
            authority_.onRenewed(witnesses, sentAt);
        } else {
            authority_.lease().retryNow();
            authority_.lease().onFailed();
        }
        if (!wasValid) {
            logEvent(LogEvent::LeaseGained, {{"session", session_.value()}});
        }
    } else {
        authority_.lease().onFailed();
        const bool conflict = written.assume_error().code == FailureCode::VersionConflict;
        if (conflict || leaseRevision_.value() == 0) {
            Result<StoredRecord> stored
                    = co_await store_.read(RecordKind::Leases, memberRecordName(self_.node));
            if (stored) {
                leaseRevision_ = stored.assume_value().revision;
                Result<LeaseRecord> known = decodeLease(stored.assume_value().content);
                // An own renewal whose answer was lost looks like a conflict too.
                if (known && known.assume_value().revokedBy != InvalidNode) {
                    lostLease();
                }
                authority_.lease().retryNow();
            }
        }
    }
    renewing_ = false;
    wake();
}

void RangeDuty::startLeaving(TimePoint now)
{
    const bool lost = monitor_.state() == BackendState::Down
                      && now - monitor_.heardAt() >= SignOfLifeWithin;
    // Without the store nobody could take the keys; released, they would be served by nobody, while
    // a node that keeps them has them again right after its restart.
    const bool leaving
            = (stopping_ && isStoreNear(now)) || monitor_.state() == BackendState::Draining || lost;
    const std::vector<KeySpan> held = keeper_.heldSpans();
    if (!leaving || held.empty()) {
        return;
    }
    const std::vector<RangeMove> moves
            = planGiveAway(held, load_.rates(KeySpan{}, now),
                           drawCandidates(candidates(now, false), GiveAwaySample, random_));
    const std::string_view other = lost ? "backend server down" : "backend server leaves";
    for (const RangeMove &move : moves) {
        beginMove(move, stopping_ ? "node stops" : other, now);
    }
}

void RangeDuty::startBalancing(TimePoint now)
{
    const std::vector<KeySpan> held = keeper_.heldSpans();
    BalanceLimits limits;
    if (monitor_.state() != BackendState::Ready || held.empty() || keeper_.hasLeaving()
        || now - std::max(movedAt_, startedAt_) < limits.pause) {
        return;
    }
    RangeCandidate self;
    self.holder = *holder();
    self.slots = std::max<uint32_t>(1, monitor_.slots());
    self.busySlots = load_.total(now);
    self.serviceTime = loads_.serviceTime(self_.node);
    std::vector<RangeCandidate> others = candidates(now, false);
    std::vector<RangeCandidate> newcomers;
    bool busiest = true;
    for (const RangeCandidate &other : others) {
        if (other.keys == 0) {
            newcomers.push_back(other);
        }
        busiest = busiest && other.busySlots / other.slots <= self.busySlots / self.slots;
    }
    if (!newcomers.empty() && busiest) {
        // One that has no keys serves nobody: it gets its part even if nobody is short of room.
        limits.busyShare = 0;
        limits.margin = 0;
        others = newcomers;
    }
    others = drawCandidates(std::move(others), BalanceSample, random_);
    std::vector<RangeMove> moves
            = planBalance(self, held, load_.rates(KeySpan{}, now), others, limits);
    if (moves.empty() && !newcomers.empty() && busiest) {
        if (const auto share = planFirstShare(held, newcomers.front())) {
            moves.push_back(*share);
        }
    }
    for (const RangeMove &move : moves) {
        movedAt_ = now;
        beginMove(move, "load", now);
    }
}

void RangeDuty::beginMove(const RangeMove &move, std::string_view cause, TimePoint now)
{
    targets_.push_back(move);
    keeper_.beginRelease(move.span);
    logEvent(LogEvent::RangeLeaving, {{"first", move.span.first.value()},
                                      {"last", move.span.last.value()},
                                      {"to", holderText(move.holder)},
                                      {"busy_slots", load_.total(now)},
                                      {"cause", std::string(cause)}});
}

RangeHolder RangeDuty::targetOf(const KeySpan &span, TimePoint now) const
{
    const std::vector<RangeCandidate> others = candidates(now, true);
    const auto isCandidate = [&others](const RangeHolder &holder) {
        return std::any_of(others.begin(), others.end(), [&holder](const RangeCandidate &other) {
            return other.holder == holder;
        });
    };
    for (const RangeMove &move : targets_) {
        if (move.span.covers(span) && isCandidate(move.holder)) {
            return move.holder;
        }
    }
    const auto idlest = std::min_element(
            others.begin(), others.end(),
            [](const RangeCandidate &left, const RangeCandidate &right) {
                return left.busySlots / left.slots < right.busySlots / right.slots;
            });
    return idlest == others.end() ? RangeHolder{} : idlest->holder;
}

RangeTable RangeDuty::handReleasedOver(RangeTable table, TimePoint now)
{
    for (const ReleasedRange &released : keeper_.releasedRanges(now)) {
        const RangeHolder target = targetOf(released.span, now);
        if (!target.isNobody()) {
            table = giveRange(std::move(table), released.span, target, released.handover);
        }
    }
    return table;
}

bool RangeDuty::isFreeForAll(const RangeHolder &holder) const
{
    if (holder.isNobody()) {
        return true;
    }
    const auto revoked = revoked_.find(holder.node);
    return revoked != revoked_.end() && revoked->second.count(holder.life) > 0;
}

RangeTable RangeDuty::giveFreeRanges(RangeTable table, TimePoint now)
{
    std::vector<KeySpan> spans;
    for (size_t index = 0; index < table.entries.size(); ++index) {
        if (isFreeForAll(table.entries[index].holder)) {
            spans.push_back(table.spanOf(index));
        }
    }
    if (spans.empty()) {
        return table;
    }
    const std::vector<RangeCandidate> takers
            = drawCandidates(candidates(now, true), GiveAwaySample, random_);
    for (const RangeMove &move : planGiveAway(spans, {}, takers)) {
        table = giveRange(std::move(table), move.span, move.holder, {});
    }
    return table;
}

void RangeDuty::logChange(std::string_view cause, const RangeTable &before, const RangeTable &after,
                          TimePoint now) const
{
    if (after == before) {
        return;
    }
    // Grants that still run while keys go elsewhere without a release are the first thing to look
    // at when two backend servers have held the same keys.
    const auto left = std::chrono::duration_cast<milliseconds>(keeper_.lastLapse() - now);
    logEvent(LogEvent::RangesChanging,
             {{"cause", std::string(cause)},
              {"own_keys_before", countKeys(before, self_.node)},
              {"own_keys_after", countKeys(after, self_.node)},
              {"fence", after.highestFence.value()},
              {"own_grants_run_ms", std::max(left, milliseconds(0)).count()}});
}

std::optional<RangeTable> RangeDuty::planTable(const StoredTable &stored, TimePoint now)
{
    RangeTable next = stored.table;
    const auto change = [&](std::string_view cause, RangeTable changed) {
        logChange(cause, next, changed, now);
        next = std::move(changed);
    };
    if (const std::optional<RangeHolder> self = holder()) {
        change("adopted", adoptRanges(next, *self));
        for (const KeySpan &refused : keeper_.refusedSpans()) {
            change("fence refused", giveRange(next, refused, *self, {}));
        }
        change("released", handReleasedOver(next, now));
    }
    const MemberRecord *first = firstOfService(now);
    if (first != nullptr && first->node == self_.node) {
        change("holder lost", giveFreeRanges(next, now));
    }
    if (next == stored.table) {
        return std::nullopt;
    }
    return next;
}

asio::awaitable<void> RangeDuty::planOnce()
{
    if (!unread_.empty()) {
        co_await refreshTable();
    }
    const TimePoint now = clock_.now();
    const StoredTable *stored = view_.findTable(self_.service);
    if (stored == nullptr && unread_.empty()) {
        co_await createTable();
    } else if (stored == nullptr) {
        writing_ = false;
        co_return;
    } else {
        // What was read since the last look may name others for keys that the keeper still counts
        // as its own to give; given on again, they would be held by the two who were named.
        keeper_.onTable(stored->table, holder(), now);
        if (std::optional<RangeTable> next = planTable(*stored, now)) {
            co_await writeTable(std::move(*next), *stored);
        }
    }
    writing_ = false;
}

asio::awaitable<void> RangeDuty::createTable()
{
    const TimePoint now = clock_.now();
    const MemberRecord *first = firstOfService(now);
    if (first != nullptr && firstReadyAt_ == NeverTime) {
        firstReadyAt_ = now;
    }
    if (first == nullptr || first->node != self_.node || now - firstReadyAt_ < Settle) {
        co_return;
    }
    std::vector<HolderShare> shares;
    for (const RangeCandidate &candidate : candidates(now, true)) {
        shares.push_back({candidate.holder, candidate.slots});
    }
    RangeRecord record;
    record.table = makeRangeTable(shares);
    record.layout = chooseLayout(shares.size());
    (void)co_await writeRecord(self_.service, std::move(record), StoreRevision(0));
}

asio::awaitable<void> RangeDuty::writeTable(RangeTable next, StoredTable stored)
{
    const BlockLayout layout = stored.layout;
    const std::optional<RangeHolder> planned = holder();
    for (uint32_t block = 0; block < layout.count; ++block) {
        // Another life may begin between two writes, of the backend server or of the lease. It is
        // granted what the table still says is its own; the rest of the plan knows of the one
        // before.
        if (holder() != planned) {
            co_return;
        }
        const KeySpan span = layout.spanOf(block);
        RangeRecord record;
        record.layout = layout;
        record.table = cutBlock(next, span);
        if (record.table.entries == cutBlock(stored.table, span).entries) {
            continue;
        }
        std::string name = self_.service;
        if (layout.count > 1) {
            record.service = self_.service;
            record.block = block;
            name = blockRecordName(self_.service, block);
        }
        if (unread_.count(name) > 0) {
            continue;
        }
        // Each block's change is safe by itself. Where the store does not answer, the next blocks
        // wait for the next look: every call in vain takes a whole timeout.
        if (!co_await writeRecord(std::move(name), std::move(record), stored.revisionOf(block))) {
            co_return;
        }
    }
}

asio::awaitable<bool> RangeDuty::writeRecord(std::string name, RangeRecord record,
                                             StoreRevision over)
{
    std::string content = encodeRangeRecord(record);
    Result<StoreRevision> written
            = co_await store_.write(RecordKind::Ranges, name, over, std::move(content));
    if (!written) {
        // It may have been written all the same, or somebody else was first: read before planning.
        const FailureCode code = written.assume_error().code;
        const bool conflict = code == FailureCode::VersionConflict;
        const TimePoint now = clock_.now();
        auto spread = std::uniform_int_distribution<int64_t>(0, CollisionSpread.count());
        unread_[name] = {over, now + (conflict ? AwaitNews : milliseconds(0)),
                         now + milliseconds(conflict ? spread(random_) : 0)};
        logEvent(LogEvent::RangesNotWritten, {{"record", name},
                                              {"over", over.value()},
                                              {"cause", std::string(failureName(code))}});
        co_return conflict;
    }
    logEvent(LogEvent::RangesWritten, {{"record", name},
                                       {"revision", written.assume_value().value()},
                                       {"ranges", record.table.entries.size()},
                                       {"fence", record.table.highestFence.value()}});
    view_.onRanges(name, std::move(record), written.assume_value());
    wake();
    co_return true;
}

StoreRevision RangeDuty::knownRevision(const std::string &name) const
{
    const StoredTable *stored = view_.findTable(self_.service);
    if (stored == nullptr) {
        return StoreRevision(0);
    }
    for (const auto &[block, revision] : stored->blocks) {
        if (blockRecordName(self_.service, block) == name) {
            return revision;
        }
    }
    return name == self_.service ? stored->revision : StoreRevision(0);
}

asio::awaitable<void> RangeDuty::refreshTable()
{
    std::erase_if(unread_, [this, now = clock_.now()](const auto &entry) {
        return now >= entry.second.writeAt && knownRevision(entry.first) > entry.second.over;
    });
    const std::map<std::string, Unread> unread = unread_;
    for (const auto &[name, entry] : unread) {
        if (clock_.now() < entry.readAt) {
            continue;
        }
        Result<StoredRecord> stored = co_await store_.read(RecordKind::Ranges, name);
        if (!stored && stored.assume_error().code != FailureCode::NotFound) {
            co_return;
        }
        unread_.erase(name);
        if (stored) {
            view_.onRangeRecord(stored.assume_value());
        }
    }
}

} // namespace wisteriahoist
