/** @file range_controller.cpp Keeps the keys of the backend server beside this node: lease, orders,
 * and which ranges begin to move. */

#include "duty/range_controller.h"

#include "adapter/log/event_log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace wisteriahoist {

namespace {

/** Grants are renewed each 0.6 s, so a sixth of it is soon enough to look at what is due. */
constexpr milliseconds Tick{100};
/** Without keys to keep there is little to look at. */
constexpr milliseconds IdleTick{1000};
/** A grant is answered in about a millisecond; one that takes longer has been lost. */
constexpr milliseconds GrantTimeout{400};
/** A release is answered when the running work has ended; sent again after so long, it may have
 *  been lost. */
constexpr milliseconds ReleaseTimeout{1500};
/** Two renewals of the lease in a row have failed after so long. */
constexpr milliseconds StoreNear{3500};
/** Keys go only to nodes that have answered this node so lately. */
constexpr milliseconds HeardWithin{4000};
/** A backend server that lives sends a heartbeat about every second and answers looks meanwhile;
 * one that refuses connections for a moment keeps its keys. Grants run for longer, so the keys of
 * one that has crashed do not wait for this. */
constexpr milliseconds SignOfLifeWithin{2000};
/** A node that has not been reached for so long may be lost; its witnesses and its lease decide. */
constexpr milliseconds SuspectAfter{500};

} // namespace

std::string holderText(const RangeHolder &holder)
{
    return std::to_string(holder.node.value()) + "/" + holder.backend.text();
}

RangeController::RangeController(const RangeDutyPorts &ports, FleetView &view,
                                 BackendMonitor &monitor, PeerLoads &loads,
                                 const MemberRecord &self, GrantTimes grants)
    : context_(ports.context), clock_(ports.clock), timers_(ports.timers),
      randomSource_(ports.random), store_(ports.store), backend_(ports.backend),
      peers_(ports.peers), view_(view), monitor_(monitor), loads_(loads), self_(self),
      session_(generateIncarnation(ports.random)),
      keeper_(grants, GrantManager::lapseOf(grants, grants.hold, ports.clock.now())),
      witnessContact_(ports.context, ports.clock, ports.random, ports.peers, view, loads,
                      authority_, self.node, self.failureDomain),
      random_(ports.random.next()), wakeTimer_(ports.timers.make())
{
    peers_.serve(std::string(RangeNewsPath),
                 [this](std::string body) { return onTold(std::move(body)); });
}

void RangeController::start()
{
    startedAt_ = clock_.now();
    const auto loop = [this]() { return tickLoop(); };
    asio::co_spawn(context_, loop, asio::detached);
}

void RangeController::wake()
{
    wakeTimer_->wake();
}

void RangeController::halt()
{
    halted_ = true;
    wake();
}

void RangeController::beginStop()
{
    stopping_ = true;
    wake();
}

const ServiceConfig *RangeController::service() const
{
    return view_.routes().findService(self_.service);
}

bool RangeController::isSharded() const
{
    return service() != nullptr && service()->sharded;
}

bool RangeController::isStoreNear(TimePoint now) const
{
    return now - authority_.renewedAt() < StoreNear;
}

bool RangeController::hasTransferableKeys(TimePoint now) const
{
    const StoredTable *stored = view_.findTable(self_.service);
    return stored != nullptr && isStoreNear(now) && countKeys(stored->table, self_.node) > 0
           && !candidates(now, false).empty();
}

std::optional<RangeHolder> RangeController::holder() const
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

RequestEnd RangeController::check(ShardKey key, TimePoint now) const
{
    const TimePoint until = authority_.validUntil();
    if (keeper_.admits(key, until, now)) {
        return RequestEnd::None;
    }
    // Without authority it takes seconds until anybody serves the key again.
    const bool moving = keeper_.isLeaving(key) || until > now;
    return moving ? RequestEnd::NotOwner : RequestEnd::NoLease;
}

std::optional<KeyOwner> RangeController::ownerOf(ShardKey key) const
{
    const StoredTable *stored = view_.findTable(self_.service);
    const RangeEntry *entry = stored == nullptr ? nullptr : stored->table.find(key);
    if (entry == nullptr || entry->holder.isNobody() || entry->holder.node == self_.node) {
        return std::nullopt;
    }
    return KeyOwner{entry->holder.node, entry->fence};
}

void RangeController::recordBusyTime(ShardKey key, Duration busy, TimePoint now)
{
    load_.record(key, busy, now);
}

bool RangeController::isUnreachable(NodeId node, TimePoint now) const
{
    const TimePoint since = loads_.unreachableSince(node);
    return since != NeverTime && now - since >= SuspectAfter;
}

std::vector<RangeCandidate> RangeController::candidates(TimePoint now, bool withSelf) const
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

const MemberRecord *RangeController::firstOfService(TimePoint now) const
{
    for (const MemberRecord *member : view_.readyMembers(self_.service)) {
        if (member->node == self_.node || !isUnreachable(member->node, now)) {
            return member;
        }
    }
    return nullptr;
}

asio::awaitable<void> RangeController::tickLoop()
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
        leftOutLines_.logDropped(now);
        givenOnLines_.logDropped(now);
        offeredLines_.logDropped(now);
        co_await wakeTimer_->wait(sharded ? Tick : IdleTick);
    }
}

void RangeController::sendOrders(TimePoint now)
{
    const auto spawn = [this](asio::awaitable<void> work) {
        asio::co_spawn(context_, std::move(work), asio::detached);
    };
    // Without keys, a backend server that has crashed for good needs no lease.
    const bool inUse
            = keeper_.size() > 0 || (holder().has_value() && !monitor_.refusesConnections());
    authority_.lease().onFleetSize(view_.members().size());
    if (authority_.needsRenewal(now)) {
        authority_.lease().retryNow();
    }
    if (!renewing_ && inUse && authority_.lease().beginRenewal(now)) {
        renewing_ = true;
        spawn(renewLease());
    }
    if (inUse) {
        const Incarnation life = session_;
        witnessContact_.sendHeartbeats(
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
    if (grantsByHeartbeat() || monitor_.refusesConnections()) {
        return;
    }
    std::vector<HeldKeys> granted;
    milliseconds hold{0};
    for (GrantRequest &order : keeper_.takeDueGrants(authority_.validUntil(), now)) {
        if (!order.renews) {
            granted.push_back({order.span, order.fence});
            hold = order.hold;
        }
        spawn(sendGrant(std::move(order)));
    }
    logGranted(granted, hold, {}, now);
    for (const ReleaseRequest &order : keeper_.takeDueReleases(now)) {
        spawn(sendRelease(order));
    }
}

asio::awaitable<void> RangeController::sendGrant(GrantRequest order)
{
    const ControlReply answer = co_await backend_.grant(order, GrantTimeout);
    keeper_.onGrantEnd(order, answer.result);
    if (answer.result == ControlResult::Accepted || answer.result == ControlResult::StaleFence) {
        noteMonitorChange(monitor_.onAnswer(clock_.now()));
    }
    if (answer.result == ControlResult::StaleFence) {
        logEvent(LogEvent::GrantRefused, {{"first", order.span.first.value()},
                                          {"last", order.span.last.value()},
                                          {"fence", order.fence.value()}});
    }
    if (answer.result == ControlResult::NotSent) {
        noteMonitorChange(monitor_.onRefusedConnection());
    }
    wake();
}

/** Gate and member record follow at once, as when a request finds the change out. */
void RangeController::noteMonitorChange(bool changed)
{
    if (changed && monitorChanged_) {
        monitorChanged_();
    }
}

asio::awaitable<void> RangeController::sendRelease(ReleaseRequest order)
{
    const ControlReply answer = co_await backend_.release(order, ReleaseTimeout);
    keeper_.onReleaseEnd(order, answer.result, answer.handover, clock_.now());
    wake();
}

void RangeController::lostLease()
{
    const auto left = std::chrono::duration_cast<milliseconds>(keeper_.lastLapse() - clock_.now());
    logEvent(LogEvent::LeaseLost, {{"session", session_.value()},
                                   {"own_grants_run_ms", std::max<int64_t>(0, left.count())}});
    authority_.onRevoked();
    session_ = generateIncarnation(randomSource_);
}

asio::awaitable<void> RangeController::renewLease()
{
    const TimePoint sentAt = clock_.now();
    LeaseRecord lease;
    lease.node = self_.node;
    lease.life = session_;
    lease.renewal = ++renewals_;
    const std::set<NodeId> witnesses = witnessContact_.chooseWitnesses(sentAt);
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

void RangeController::startLeaving(TimePoint now)
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

void RangeController::startBalancing(TimePoint now)
{
    const std::vector<KeySpan> held = keeper_.heldSpans();
    BalanceLimits limits;
    if (keeper_.hasLeaving()) {
        movedAt_ = now; // Load is judged by what comes after a move, however long that takes.
    }
    if (monitor_.state() != BackendState::Ready || held.empty()
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

void RangeController::beginMove(const RangeMove &move, std::string_view cause, TimePoint now)
{
    targets_.push_back(move);
    keeper_.beginRelease(move.span);
    logEvent(LogEvent::RangeLeaving, {{"first", move.span.first.value()},
                                      {"last", move.span.last.value()},
                                      {"to", holderText(move.holder)},
                                      {"busy_slots", load_.total(now)},
                                      {"cause", std::string(cause)}});
}

} // namespace wisteriahoist
