/** @file range_controller.h Keeps the keys of the backend server beside this node: lease, grants,
 * moves.
 */

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

/** What the duty reaches the rest of the world through; each outlives the duty. */
struct RangeDutyPorts {
    asio::io_context &context;
    const Clock &clock;
    WakeTimerFactory &timers;
    RandomSource &random;
    RecordStore &store;
    BackendControl &backend;
    PeerCalls &peers;
};

/** Asks another node whether it is there. @return Whether it answered. */
using PeerProbe = std::function<asio::awaitable<bool>(const MemberRecord &)>;

/**
 * Carries out what the range decisions say for the sharded service beside this node.
 *
 * Every change of the table is one conditional write, and takes a range only from a holder that
 * provably holds it no more: it released it, all its grants have run out, another life of it has
 * begun, or its node's lease was revoked after it had run out. A backend server that refuses
 * connections may live and hold what it was granted, so that is no proof: its keys leave as those
 * of any other that is down, by their grants' end, and are not granted anew meanwhile. So a write
 * that is done late, after its answer was lost, is as safe as in time.
 */
class RangeController final : public KeyOwnership
{
public:
    /** Where a node is told of ranges that it has just been given. */
    static constexpr std::string_view RangeNewsPath = "/ranges";
    /** How often the other holders of the service are looked at. */
    static constexpr milliseconds WatchEvery{500};

    RangeController(const RangeDutyPorts &ports, FleetView &view, BackendMonitor &monitor,
                    PeerLoads &loads, const MemberRecord &self, GrantTimes grants);

    void start();

    /** Something has changed: looks at everything soon. */
    void wake();

    /** The node ends soon: its keys go to others while its backend server still releases them. */
    void beginStop();

    /** Ends the duty's loop; nothing is granted or renewed any more. */
    void halt();

    /** @param action Runs when an order shows that the backend server's state has changed. */
    void onMonitorChange(std::function<void()> action) { monitorChanged_ = std::move(action); }

    void setPeerProbe(PeerProbe probe) { probe_ = std::move(probe); }

    RequestEnd check(ShardKey key, TimePoint now) const override;
    std::optional<KeyOwner> ownerOf(ShardKey key) const override;
    void recordBusyTime(ShardKey key, Duration busy, TimePoint now) override;
    double demand(TimePoint now) override { return load_.total(now); }
    bool isLeaving() const override { return stopping_ || monitor_.state() != BackendState::Ready; }

    /** @return Whether the backend server learns from the answers to its heartbeats what it holds.
     */
    bool grantsByHeartbeat() const;

    /**
     * Takes over what a heartbeat shows, and decides on its answer. That is held back for a while
     * as long as nothing has changed: the next change then reaches the backend server at once,
     * instead of with its next heartbeat.
     * @param atOnce The answer acknowledges something that somebody waits for.
     * @return What the answer grants; nothing: it leaves alone what is held.
     */
    asio::awaitable<std::optional<GrantReply>> handleHeartbeat(HeldKeysReport report, bool atOnce,
                                                               TimePoint receivedAt);

    /** @return The life under which this node holds keys; a new one after its lease was revoked. */
    Incarnation session() const { return session_; }

    /** @return Whether the table names this node for keys that another one could take. */
    bool hasTransferableKeys(TimePoint now) const;

private:
    /** The heartbeat whose answer grants ranges; none where they are granted by calls. */
    struct AnsweredReport {
        uint64_t sequence = 0;
        Duration heldBackFor{0};
    };

    /** A heartbeat whose answer is held back. */
    struct HeldAnswer {
        const HeldKeysReport *report = nullptr;
        WakeTimer *timer = nullptr;
    };

    const ServiceConfig *service() const;
    bool isSharded() const;
    bool hasRangesToAdopt() const;
    bool hasHoldNews(const HeldKeysReport &report, TimePoint now) const;
    asio::awaitable<void> awaitHoldNews(const HeldKeysReport &report, TimePoint receivedAt);
    void releaseHeldAnswer(TimePoint now);
    bool isStoreNear(TimePoint now) const;
    std::optional<RangeHolder> holder() const;
    std::vector<RangeCandidate> candidates(TimePoint now, bool withSelf) const;
    const MemberRecord *firstOfService(TimePoint now) const;
    bool isUnreachable(NodeId node, TimePoint now) const;

    asio::awaitable<void> tickLoop();
    asio::awaitable<void> renewLease();
    asio::awaitable<void> sendGrant(GrantRequest order);
    asio::awaitable<void> sendRelease(ReleaseRequest order);
    asio::awaitable<void> planOnce();
    asio::awaitable<void> writeTable(RangeTable next, StoredTable stored);
    void tellHolders(const std::set<NodeId> &holders, const StoredRecord &written);
    asio::awaitable<std::string> onTold(std::string body);
    asio::awaitable<bool> writeRecord(std::string name, RangeRecord record, StoreRevision over);
    StoreRevision knownRevision(const std::string &name) const;
    asio::awaitable<void> refreshTable();
    void watchOthers();
    void probeQuiet(TimePoint now);
    asio::awaitable<bool> fenceAtWitnesses(NodeId node, const LeaseRecord &lease);
    asio::awaitable<void> revoke(NodeId node, StoreRevision revision, std::string_view evidence);
    void sendOrders(TimePoint now);
    bool hasTableWork(const StoredTable &stored, TimePoint now) const;
    std::optional<RangeTable> planTable(const StoredTable &stored, TimePoint now);
    void logChange(std::string_view cause, const RangeTable &before, const RangeTable &after,
                   TimePoint now) const;
    RangeTable giveFreeRanges(RangeTable table, TimePoint now);
    RangeTable handReleasedOver(RangeTable table, TimePoint now);
    void logGivenOn(const ReleasedRange &released, const RangeHolder &target,
                    const RangeTable &table, TimePoint now);
    void logOffered(const HeldKeysReport &report, const GrantReply &order, TimePoint receivedAt,
                    TimePoint now);
    void logGranted(const std::vector<HeldKeys> &granted, milliseconds hold,
                    const AnsweredReport &answered, TimePoint now);
    bool isFreeForAll(const RangeHolder &holder) const;
    asio::awaitable<void> createTable();
    asio::awaitable<void> checkHolder(NodeId node);
    void startLeaving(TimePoint now);
    void startBalancing(TimePoint now);
    void beginMove(const RangeMove &move, std::string_view cause, TimePoint now);
    RangeHolder targetOf(const KeySpan &span, TimePoint now) const;
    void lostLease();
    void noteMonitorChange(bool changed);
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
    Incarnation session_; ///< Of the lease; a new one after the lease was revoked.
    GrantManager keeper_;
    GrantAuthority authority_{StoreLeaseTimes{}, WitnessTimes{}};
    WitnessContact witnessContact_;
    StoreRevision leaseRevision_;
    uint64_t renewals_ = 0;
    KeyLoad load_;
    std::mt19937_64 random_;
    PeerProbe probe_;
    std::unique_ptr<WakeTimer> wakeTimer_;
    std::vector<RangeMove> targets_;            ///< Who is to get what is being released.
    std::map<NodeId, LeaseObserver> observers_; ///< Of nodes that do not answer.
    std::map<NodeId, Takeover> takeovers_;      ///< Of the same, where witnesses are known.
    /// Lives whose lease this node has taken away; a later life of the node is not among them.
    std::map<NodeId, std::set<Incarnation>> revoked_;
    TimePoint startedAt_ = NeverTime;
    TimePoint firstReadyAt_ = NeverTime; ///< When a backend server of the service was first ready.
    TimePoint movedAt_ = NeverTime;
    TimePoint probedAt_ = NeverTime;
    bool stopping_ = false;
    bool halted_ = false;
    bool writing_ = false; ///< Invariant: at most one write of the table is on its way.
    bool renewing_ = false;
    std::optional<HeldAnswer> heldAnswer_; ///< Of the newest heartbeat, while it waits.
    RateLimitedEvent leftOutLines_{LogEvent::RangesLeftOut, 1, 5}; ///< Told with each heartbeat.
    /// A plan whose write failed is made again.
    RateLimitedEvent givenOnLines_{LogEvent::RangeGivenOn, 20, 200};
    RateLimitedEvent offeredLines_{LogEvent::RangesOffered, 20, 200};
    uint64_t reports_ = 0; ///< Heartbeats so far; only the newest one is granted to.
    size_t checking_ = 0;  ///< Holders that are being looked at.
    /** A record of ranges whose write failed: not written again before its newest state is known.
     */
    struct Unread {
        StoreRevision over; ///< The newest revision that was known at the write.
        TimePoint readAt;   ///< It is read then, if no news of it have come.
        TimePoint writeAt;  ///< It is not written again before.
    };
    std::map<std::string, Unread> unread_;
};

} // namespace wisteriahoist
