/** @file range_controller.cpp Manages the keys of the backend server of this node: lease, calls to
 * the backend server, and the start of moves. */

#include "duty/range_controller.h"

#include "adapter/log/event_log.h"
#include "adapter/task/background_task.h"
#include "decision/request/request_rate_limiter.h"

#include <boost/asio/co_spawn.hpp>

namespace wisteriahoist {

namespace {

/** Grants are renewed every 0.6 s; checking for due work six times as often is sufficient. */
constexpr milliseconds TickInterval{100};
/** Used while this node has no sharded service to manage, so that little can become due. */
constexpr milliseconds IdleTickInterval{1000};
/**
 * A grant is normally answered within about a millisecond, so one that takes this long was lost.
 */
constexpr milliseconds GrantTimeout{400};
/**
 * A release is answered when the running requests have ended. After this time it may have been
 * lost and is sent again.
 */
constexpr milliseconds ReleaseTimeout{1500};
/** By then, two consecutive renewals of the lease have failed. */
constexpr milliseconds StoreReachableWithin{3500};
/** Keys move only to nodes that have answered this node within this time. */
constexpr milliseconds PeerHeardWithin{4000};
/**
 * A running backend server sends a heartbeat about every second and answers checks in between. One
 * that refuses connections only for a moment keeps its keys. Grants last longer than this, so the
 * keys of a crashed backend server are not delayed by it.
 */
constexpr milliseconds BackendSilenceLimit{2000};
/**
 * A node that has been unreachable for this long may be lost; its witnesses and its lease decide.
 */
constexpr milliseconds SuspectAfter{500};

} // namespace

std::string holderText(const RangeHolder &holder)
{
    return std::to_string(holder.node.value()) + "/" + holder.backend.text();
}

RangeController::RangeController(const RangeControllerPorts &ports, FleetView &view,
                                 BackendMonitor &monitor, PeerLoads &loads,
                                 const MemberRecord &self, GrantTimes grants)
    : context_(ports.context), clock_(ports.clock), timers_(ports.timers),
      randomSource_(ports.random), store_(ports.store), backend_(ports.backend),
      peers_(ports.peers), view_(view), monitor_(monitor), loads_(loads), self_(self),
      session_(generateIncarnation(ports.random)),
      grantManager_(grants, GrantManager::expiryOf(grants, grants.hold, ports.clock.now())),
      witnessContact_(ports.context, ports.clock, ports.random, ports.peers, view, loads,
                      authority_, self.node, self.failureDomain),
      random_(ports.random.next()), wakeTimer_(ports.timers.make())
{
    peers_.serve(std::string(RangeUpdatePath),
                 [this](std::string body) { return onRangeUpdate(std::move(body)); });
}

void RangeController::start()
{
    startedAt_ = clock_.now();
    const auto loop = [this]() { return tickLoop(); };
    startLoop(context_.get_executor(), "key ranges", loop);
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

bool RangeController::isStoreReachable(TimePoint now) const
{
    return now - authority_.renewedAt() < StoreReachableWithin;
}

bool RangeController::hasTransferableKeys(TimePoint now) const
{
    const StoredTable *stored = view_.findTable(self_.service);
    return stored != nullptr && isStoreReachable(now) && countKeys(stored->table, self_.node) > 0
           && !candidates(now, false).empty();
}

std::optional<RangeHolder> RangeController::holder() const
{
    if (monitor_.backend().empty()) {
        return std::nullopt;
    }
    // The next process of a node may learn of an ended incarnation first, by a late heartbeat.
    if (!grantsByHeartbeat() && !monitor_.isConfirmed()) {
        return std::nullopt;
    }
    // Ranges are granted only in replies to heartbeats, and the heartbeat also identifies the
    // incarnation.
    if (grantsByHeartbeat() && !monitor_.hasReported()) {
        return std::nullopt;
    }
    return RangeHolder{self_.node, session_, monitor_.backend()};
}

RequestEnd RangeController::check(ShardKey key, TimePoint now) const
{
    const TimePoint until = authority_.validUntil();
    if (grantManager_.admits(key, until, now)) {
        return RequestEnd::None;
    }
    // While this node may not grant (lease or witness contact expired), it takes seconds until any
    // node serves the key again.
    const bool moving = grantManager_.isLeaving(key) || until > now;
    return moving ? RequestEnd::NotOwner : RequestEnd::NoLease;
}

std::optional<KeyOwner> RangeController::ownerOf(ShardKey key) const
{
    const StoredTable *stored = view_.findTable(self_.service);
    const RangeEntry *entry = stored == nullptr ? nullptr : stored->table.find(key);
    if (entry == nullptr || entry->holder.isUnassigned() || entry->holder.node == self_.node) {
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
        // A member record remains while the store is unavailable and still says "ready" if the
        // node leaves meanwhile; only an answer shows that the node is running and stays. Without
        // this check, three nodes that left during an outage moved their keys to each other, and a
        // quarter of all requests were refused for the 6 s until the last lease had been revoked.
        const bool heard = now - loads_.heardAt(member->node) < PeerHeardWithin
                           && !loads_.isLeaving(member->node, now);
        if ((self && !withSelf) || (!self && !heard)) {
            continue;
        }
        RangeCandidate candidate;
        candidate.holder = {member->node, member->life, member->backend};
        candidate.busySlots = loads_.busySlots(member->node, now);
        candidate.serviceTime = loads_.serviceTime(member->node);
        candidate.slots = usableSlots(std::max<uint32_t>(1, member->slots), member->requestLimit,
                                      candidate.serviceTime);
        candidate.keys = keys[member->node];
        found.push_back(std::move(candidate));
    }
    return found;
}

const MemberRecord *RangeController::findCoordinator(TimePoint now) const
{
    for (const MemberRecord *member : view_.readyMembers(self_.service)) {
        if (member->node == self_.node || !isUnreachable(member->node, now)) {
            return member;
        }
    }
    return nullptr;
}

void RangeController::updateGrants(TimePoint now)
{
    if (const StoredTable *stored = view_.findTable(self_.service)) {
        grantManager_.onTable(stored->table, holder(), now);
    }
}

asio::awaitable<void> RangeController::tickLoop()
{
    while (!halted_) {
        const TimePoint now = clock_.now();
        const bool sharded = isSharded();
        if (sharded) {
            updateGrants(now);
            if (!grantManager_.hasLeaving()) {
                targets_.clear();
            }
            startLeaving(now);
            startBalancing(now);
            sendRequests(now);
            releaseDelayedReply(now);
        }
        omittedRangesLog_.logDropped(now);
        handOverLog_.logDropped(now);
        preventedLog_.logDropped(now);
        grantLog_.logDropped(now);
        co_await wakeTimer_->wait(sharded ? TickInterval : IdleTickInterval);
    }
}

void RangeController::sendRequests(TimePoint now)
{
    const auto spawn = [this](std::string_view task, asio::awaitable<void> work, auto cleanUp) {
        asio::co_spawn(context_, std::move(work), logFailureOf(task, std::move(cleanUp)));
    };
    // A backend server that has crashed for good and holds no keys needs no lease.
    const bool inUse
            = grantManager_.size() > 0 || (holder().has_value() && !monitor_.refusesConnections());
    authority_.lease().onFleetSize(view_.members().size());
    if (authority_.needsRenewal(now)) {
        authority_.lease().retryNow();
    }
    if (!renewing_ && inUse && authority_.lease().beginRenewal(now)) {
        renewing_ = true;
        spawn("lease renewal", renewLease(), [this]() {
            renewing_ = false;
            authority_.lease().onFailed();
        });
    }
    if (inUse) {
        const Incarnation life = session_;
        witnessContact_.sendHeartbeats(
                life, [this, life]() { return session_ == life; }, [this]() { onLeaseLost(); },
                now);
    }
    if (!writing_) {
        writing_ = true;
        spawn("range table", planOnce(), [this]() { writing_ = false; });
    }
    if (checking_ == 0 && now - probedAt_ >= HolderCheckInterval) {
        probedAt_ = now;
        checkHolders();
        probeSilentNodes(now);
    }
    // A backend server that refuses connections may have crashed, and its next incarnation must
    // not be granted ranges under the old fences. If it is still running, more calls would take
    // the connections that it is short of. A grant does not name the incarnation that it is for, so
    // none is sent while it is in doubt which one would get it.
    if (grantsByHeartbeat() || monitor_.refusesConnections() || monitor_.isInDoubt(now)) {
        return;
    }
    std::vector<HeldKeys> granted;
    milliseconds hold{0};
    for (const GrantRequest &request : grantManager_.takeDueGrants(authority_.validUntil(), now)) {
        if (!request.renews) {
            granted.push_back({request.span, request.fence});
            hold = request.hold;
        }
        spawn("grant", sendGrant(request),
              [this, request]() { grantManager_.onGrantEnd(request, ControlResult::Unanswered); });
    }
    logGranted(granted, hold, {}, now);
    for (const ReleaseRequest &request : grantManager_.takeDueReleases(now)) {
        spawn("release", sendRelease(request), [this, request]() {
            grantManager_.onReleaseEnd(request, ControlResult::Unanswered, {}, clock_.now());
        });
    }
}

asio::awaitable<void> RangeController::sendGrant(GrantRequest request)
{
    const ControlReply answer = co_await backend_.grant(request, GrantTimeout);
    grantManager_.onGrantEnd(request, answer.result);
    if (answer.result == ControlResult::Accepted || answer.result == ControlResult::StaleFence) {
        notifyMonitorChange(monitor_.onAnswer(clock_.now()));
    }
    if (answer.result == ControlResult::StaleFence) {
        logEvent(LogEvent::GrantRefused, {{"first", request.span.first.value()},
                                          {"last", request.span.last.value()},
                                          {"fence", request.fence.value()}});
    }
    if (answer.result == ControlResult::NotSent) {
        notifyMonitorChange(monitor_.onRefusedConnection());
    }
    wake();
}

/** Updates gate and member record at once, as when a request detects the change. */
void RangeController::notifyMonitorChange(bool changed)
{
    if (changed && monitorChanged_) {
        monitorChanged_();
    }
}

asio::awaitable<void> RangeController::sendRelease(ReleaseRequest request)
{
    const ControlReply answer = co_await backend_.release(request, ReleaseTimeout);
    grantManager_.onReleaseEnd(request, answer.result, answer.handover, clock_.now());
    wake();
}

void RangeController::onLeaseLost()
{
    const auto left
            = std::chrono::duration_cast<milliseconds>(grantManager_.lastExpiry() - clock_.now());
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
                // A renewal by this node whose answer was lost causes a conflict as well.
                if (known && known.assume_value().revokedBy != InvalidNode) {
                    onLeaseLost();
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
                      && now - monitor_.heardAt() >= BackendSilenceLimit;
    // While the store is unavailable no other node could take the keys. If they were released,
    // they would not be served at all, whereas a node that keeps them serves them again right
    // after its restart.
    const bool leaving = ((stopping_ || isEvacuated()) && isStoreReachable(now))
                         || monitor_.state() == BackendState::Draining || lost;
    const std::vector<KeySpan> held = grantManager_.heldSpans();
    if (!leaving || held.empty()) {
        return;
    }
    const std::vector<RangeMove> moves
            = planDistribution(held, load_.rates(KeySpan{}, now),
                               drawCandidates(candidates(now, false), DistributionSample, random_));
    std::string_view cause = lost ? "backend server down" : "backend server leaves";
    if (stopping_) {
        cause = "node stops";
    } else if (isEvacuated()) {
        cause = "failure domain evacuated";
    }
    for (const RangeMove &move : moves) {
        beginMove(move, cause, now);
    }
}

void RangeController::startBalancing(TimePoint now)
{
    const std::vector<KeySpan> held = grantManager_.heldSpans();
    BalanceLimits limits;
    if (grantManager_.hasLeaving()) {
        movedAt_ = now; // Load is judged only after a move has ended, however long that takes.
    }
    const Duration sinceMove = now - std::max(movedAt_, startedAt_);
    if (isLeaving() || held.empty() || sinceMove < limits.hotKeyPause) {
        return;
    }
    RangeCandidate self;
    self.holder = *holder();
    self.busySlots = load_.total(now);
    self.serviceTime = loads_.serviceTime(self_.node);
    const MemberRecord *own = view_.findMember(self_.node);
    self.slots = usableSlots(std::max<uint32_t>(1, monitor_.slots()),
                             own == nullptr ? std::nullopt : own->requestLimit, self.serviceTime);
    const std::vector<KeyRate> rates = load_.rates(KeySpan{}, now);
    std::vector<RangeCandidate> others = candidates(now, false);
    if (self.busySlots >= self.slots * limits.busyShare) {
        if (const auto hotKey = planHotKey(self, rates, others, limits)) {
            movedAt_ = now;
            beginMove(*hotKey, "hot key", now);
            load_.drop(hotKey->span);
            return;
        }
    }
    if (sinceMove < limits.pause) {
        return;
    }
    std::vector<RangeCandidate> newcomers;
    bool busiest = true;
    for (const RangeCandidate &other : others) {
        if (other.keys == 0) {
            newcomers.push_back(other);
        }
        busiest = busiest && other.busySlots / other.slots <= self.busySlots / self.slots;
    }
    if (!newcomers.empty() && busiest) {
        // A candidate without keys serves no requests, so it gets a share even if no holder is
        // overloaded.
        limits.busyShare = 0;
        limits.margin = 0;
        others = newcomers;
    }
    others = drawCandidates(std::move(others), BalanceSample, random_);
    std::vector<RangeMove> moves = planBalance(self, held, rates, others, limits);
    if (moves.empty() && !newcomers.empty() && busiest) {
        if (const auto share = planInitialShare(held, newcomers.front())) {
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
    grantManager_.beginRelease(move.span);
    logEvent(LogEvent::RangeLeaving, {{"first", move.span.first.value()},
                                      {"last", move.span.last.value()},
                                      {"to", holderText(move.holder)},
                                      {"busy_slots", load_.total(now)},
                                      {"cause", std::string(cause)}});
}

} // namespace wisteriahoist
