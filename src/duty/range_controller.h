/** @file range_controller.h Manages the keys of the backend server of this node: lease, grants and
 * moves. */

#pragma once

#include "adapter/codec/record_codec.h"
#include "adapter/log/rate_limited_event.h"
#include "decision/member/backend_monitor.h"
#include "decision/range/range_planner.h"
#include "duty/backend_gate.h"
#include "duty/fleet_view.h"
#include "duty/peer_loads.h"
#include "duty/witness_contact.h"
#include "port/backend_control.h"
#include "port/wake_timer.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>

namespace wisteriahoist {

/** @return Node and backend server of @p holder, for the log. */
std::string holderText(const RangeHolder &holder);

/** Dependencies of the RangeController; each must outlive it. */
struct RangeControllerPorts {
    asio::io_context &context;
    const Clock &clock;
    WakeTimerFactory &timers;
    RandomSource &random;
    RecordStore &store;
    BackendControl &backend;
    PeerCalls &peers;
};

/** Probes another node. @return Whether it answered. */
using PeerProbe = std::function<asio::awaitable<bool>(const MemberRecord &)>;

/**
 * Carries out the range decisions for the sharded service of this node.
 *
 * Every change of the table is a single conditional write. It takes a range from a holder only if
 * that holder provably no longer holds it: the holder released it, all its grants have expired,
 * another incarnation of the holder has started, or the lease of its node was revoked after it had
 * expired. Therefore a write that is applied late, after its answer was lost, is as safe as one
 * applied in time.
 *
 * A backend server that refuses connections may still be running and hold what it was granted, so
 * refused connections are no such proof. Its keys move once its grants have expired, as for any
 * other backend server that is down, and are not granted again meanwhile.
 */
class RangeController final : public KeyOwnership
{
public:
    /** Path of the call that notifies a node of ranges newly assigned to it. */
    static constexpr std::string_view RangeUpdatePath = "/ranges";
    /** How often the other holders of the service are checked. */
    static constexpr milliseconds HolderCheckInterval{500};

    RangeController(const RangeControllerPorts &ports, FleetView &view, BackendMonitor &monitor,
                    PeerLoads &loads, const MemberRecord &self, GrantTimes grants);

    void start();

    /** Makes the main loop run soon, because something has changed. */
    void wake();

    /**
     * Starts the shutdown of this node: its keys move to other nodes while its backend server can
     * still release them.
     */
    void beginStop();

    /** Ends the main loop; no grants are sent or renewed after this. */
    void halt();

    /**
     * @param action Runs when the outcome of a call shows that the state of the backend server
     *        changed.
     */
    void onMonitorChange(std::function<void()> action) { monitorChanged_ = std::move(action); }

    void setPeerProbe(PeerProbe probe) { probe_ = std::move(probe); }

    RequestEnd check(ShardKey key, TimePoint now) const override;
    std::optional<KeyOwner> ownerOf(ShardKey key) const override;
    void recordBusyTime(ShardKey key, Duration busy, TimePoint now) override;
    double demand(TimePoint now) override { return load_.total(now); }
    bool isLeaving() const override
    {
        return stopping_ || isEvacuated() || monitor_.state() != BackendState::Ready;
    }

    /** @return Whether the backend server is granted its keys in the replies to its heartbeats. */
    bool grantsByHeartbeat() const;

    /**
     * Processes the report of a heartbeat and determines the grants of its reply. The reply is
     * delayed for a while as long as there is nothing to change, so that the next change reaches
     * the backend server at once instead of with its next heartbeat.
     * @param atOnce The reply must not be delayed, since the backend server waits for an
     *        acknowledgement in it.
     * @return The grants of the reply; std::nullopt: the reply must not change what is held.
     */
    asio::awaitable<std::optional<GrantReply>> handleHeartbeat(HeldKeysReport report, bool atOnce,
                                                               TimePoint receivedAt);

    /**
     * @return The incarnation under which this node holds keys; a new one is drawn when its lease
     *         is revoked.
     */
    Incarnation session() const { return session_; }

    /** @return Whether the table assigns keys to this node that another node could take over. */
    bool hasTransferableKeys(TimePoint now) const;

private:
    /** The heartbeat whose reply grants ranges; default values if ranges are granted by calls. */
    struct AnsweredHeartbeat {
        uint64_t sequence = 0;
        Duration delayedFor{0};
    };

    /** A heartbeat whose reply is being delayed. */
    struct DelayedReply {
        const HeldKeysReport *report = nullptr;
        WakeTimer *timer = nullptr;
    };

    const ServiceConfig *service() const;
    bool isSharded() const;
    bool isEvacuated() const { return view_.evacuations().isEvacuated(self_.failureDomain); }
    bool hasRangesToAdopt() const;
    bool hasGrantChanges(const HeldKeysReport &report, TimePoint now) const;
    asio::awaitable<void> awaitGrantChanges(const HeldKeysReport &report, TimePoint receivedAt);
    void releaseDelayedReply(TimePoint now);
    bool isStoreReachable(TimePoint now) const;
    std::optional<RangeHolder> holder() const;
    std::vector<RangeCandidate> candidates(TimePoint now, bool withSelf) const;
    const MemberRecord *findCoordinator(TimePoint now) const;
    bool isUnreachable(NodeId node, TimePoint now) const;

    /**
     * Brings the grants up to date with the known table, which may have changed while a coroutine
     * was suspended. Called before each decision on grants.
     */
    void updateGrants(TimePoint now);

    asio::awaitable<void> tickLoop();
    asio::awaitable<void> renewLease();
    asio::awaitable<void> sendGrant(GrantRequest request);
    asio::awaitable<void> sendRelease(ReleaseRequest request);
    asio::awaitable<void> planOnce();
    asio::awaitable<void> writeTable(RangeTable next, StoredTable stored);
    void notifyHolders(const std::set<NodeId> &holders, const StoredRecord &written);
    asio::awaitable<std::string> onRangeUpdate(std::string body);
    asio::awaitable<bool> writeRecord(std::string name, RangeRecord record, StoreRevision over);
    StoreRevision knownRevision(const std::string &name) const;
    asio::awaitable<void> refreshTable();
    void checkHolders();
    void probeSilentNodes(TimePoint now);
    asio::awaitable<bool> fenceAtWitnesses(NodeId node, const LeaseRecord &lease);
    asio::awaitable<void> revoke(NodeId node, StoreRevision revision, std::string_view evidence);
    void sendRequests(TimePoint now);
    bool needsTableChange(const StoredTable &stored, TimePoint now) const;
    std::optional<RangeTable> planTable(const StoredTable &stored, TimePoint now);
    void logChange(std::string_view cause, const RangeTable &before, const RangeTable &after,
                   TimePoint now) const;
    RangeTable assignFreeRanges(RangeTable table, TimePoint now);
    RangeTable handOverReleased(RangeTable table, TimePoint now);
    void logHandOver(const ReleasedRange &released, const RangeHolder &target,
                     const RangeTable &table, TimePoint now);
    void logReassigned(const RangeTable &table, TimePoint now);
    void logReassigned(const RangeTable &table, const HeldKeys &known, std::string_view cause,
                       TimePoint now);
    void logReplyGrants(const HeldKeysReport &report, const GrantReply &reply, TimePoint receivedAt,
                        TimePoint now);
    void logGranted(const std::vector<HeldKeys> &granted, milliseconds hold,
                    const AnsweredHeartbeat &answered, TimePoint now);
    bool isFree(const RangeHolder &holder) const;
    asio::awaitable<void> createTable();
    asio::awaitable<void> checkHolder(NodeId node);
    void startLeaving(TimePoint now);
    void startBalancing(TimePoint now);
    void beginMove(const RangeMove &move, std::string_view cause, TimePoint now);
    RangeHolder targetOf(const KeySpan &span, TimePoint now) const;
    void onLeaseLost();
    void notifyMonitorChange(bool changed);
    std::function<void()> monitorChanged_;

    asio::io_context &context_;
    const Clock &clock_;
    WakeTimerFactory &timers_;
    RandomSource &randomSource_;
    RecordStore &store_;
    BackendControl &backend_;
    PeerCalls &peers_;
    FleetView &view_;
    BackendMonitor &monitor_;
    PeerLoads &loads_;
    MemberRecord self_;
    Incarnation session_; ///< Incarnation of the lease; replaced when the lease is revoked.
    GrantManager grantManager_;
    GrantAuthority authority_{StoreLeaseTimes{}, WitnessTimes{}};
    WitnessContact witnessContact_;
    StoreRevision leaseRevision_;
    uint64_t renewals_ = 0;
    KeyLoad load_;
    std::mt19937_64 random_;
    PeerProbe probe_;
    std::unique_ptr<WakeTimer> wakeTimer_;
    std::vector<RangeMove> targets_; ///< New holders of the ranges that are being released.
    std::map<NodeId, LeaseObserver> observers_; ///< Of nodes that do not answer.
    std::map<NodeId, Takeover> takeovers_;      ///< Of such nodes whose witnesses are known.
    /// Incarnations whose lease this node has revoked; later incarnations of the node are not
    /// included.
    std::map<NodeId, std::set<Incarnation>> revoked_;
    TimePoint startedAt_ = NeverTime;
    TimePoint firstReadyAt_ = NeverTime; ///< When a backend server of the service was first ready.
    TimePoint movedAt_ = NeverTime;
    TimePoint probedAt_ = NeverTime;
    bool stopping_ = false;
    bool halted_ = false;
    bool writing_ = false; ///< Invariant: at most one write of the table is in flight.
    bool renewing_ = false;
    std::optional<DelayedReply> delayedReply_; ///< Of the latest heartbeat, while it waits.
    /// May be logged with each heartbeat.
    RateLimitedEvent omittedRangesLog_{LogEvent::RangesLeftOut, 1, 5};
    /// A plan is made again if its write failed, so it may be logged repeatedly.
    RateLimitedEvent handOverLog_{LogEvent::RangeGivenOn, 20, 200};
    RateLimitedEvent preventedLog_{LogEvent::HandOverPrevented, 20, 200};
    RateLimitedEvent grantLog_{LogEvent::RangesOffered, 20, 200};
    uint64_t reports_ = 0; ///< Heartbeats so far; only the reply to the latest one grants keys.
    size_t checking_ = 0;  ///< Number of holders that are being checked.
    /**
     * A range record whose write failed. It is not written again before its latest state is known.
     */
    struct UnconfirmedRecord {
        StoreRevision over; ///< Latest revision known at the time of the write.
        TimePoint readAt;   ///< Read at this time unless an update has arrived before.
        TimePoint writeAt;  ///< Earliest time of the next write.
    };
    std::map<std::string, UnconfirmedRecord> unconfirmedRecords_;
};

} // namespace wisteriahoist
