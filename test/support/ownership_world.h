/** @file ownership_world.h Nodes, backend servers and a store on a simulated clock, with injected
 * faults. */

#pragma once

#include "decision/member/member_type.h"
#include "decision/routing/route_config_type.h"
#include "port/backend_control.h"
#include "port/record_store.h"
#include "support/ownership_backend.h"
#include "support/simulated_clock.h"

#include <array>
#include <map>
#include <memory>

namespace wisteriahoist::testing {

/** What becomes of one write to the store. */
struct WriteFate {
    milliseconds appliedAfter{1};
    bool isAnswerLost = false;
    bool isDropped = false; ///< Never applied, and fails at once.
    /** Sent again after it was applied; the answer is the conflict of the second write. */
    bool isRepeated = false;
};

/** A forced order of events in place of random faults, load and delays of the store. */
struct WorldScript {
    /** Of a write of the table by a node. */
    std::function<WriteFate(size_t, const RangeTable &)> fateOf
            = [](size_t, const RangeTable &) { return WriteFate{}; };
    /** Until the watch of a node has a change. */
    std::function<milliseconds(size_t)> newsDelay = [](size_t) { return milliseconds(1); };
};

/** How keys are granted and stored. */
struct WorldSettings {
    GrantDelivery form = GrantDelivery::Call;
    uint32_t blocks = 1; ///< Number of records that store the table.
    std::function<void(const std::string &)>
            trace; ///< Receives each step, for analysing a failing seed.
    std::optional<WorldScript> script;
};

class SimulatedNode;

/**
 * Three nodes, each with a backend server, and the store. Determines at random which messages are
 * lost, late, duplicated or refused, what crashes or is paused, and which keys are busy. The nodes
 * run the RangeController of the product.
 */
class OwnershipWorld
{
public:
    static constexpr uint64_t NodeCount = 3;
    static constexpr uint32_t Slots = 12;
    static constexpr const char *Service = "s";
    static constexpr TimePoint Start{std::chrono::hours(1)};

    OwnershipWorld(uint64_t seed, WorldSettings settings);
    ~OwnershipWorld();

    /**
     * Runs for @p time of the simulated clock, or until a key is held twice.
     * @return Whether each key had at most one holder, according to the backend servers.
     */
    bool run(Duration time);

    /** Ends all faults; nodes and backend servers that are down or cut off recover. */
    void endFaults();

    /**
     * Runs until each key is served, for at most @p bound.
     * @return Whether that was reached and no key was held twice.
     */
    bool recovers(Duration bound);

    /** Runs until @p holds returns true, for at most @p bound. @return Whether it did. */
    bool reaches(const std::function<bool()> &holds, Duration bound);

    /** The backend server announces that it leaves permanently. */
    void deregister(size_t index);

    /** A request arrives at the backend server. @return Whether it is accepted. */
    bool work(size_t index, ShardKey key, milliseconds duration);

    /** @return Whether the backend server accepts requests for @p key. */
    bool holds(size_t index, ShardKey key) const;

    /** @return Description of the violated condition; empty if none. */
    const std::string &violation() const { return violation_; }

    uint64_t handovers() const { return handovers_; } ///< Changes of the table that moved keys.
    uint64_t takeovers() const { return takeovers_; } ///< Revoked leases.

private:
    friend class SimulatedNode;

    using WriteDone = std::function<void(Result<StoreRevision>)>;
    using ReadDone = std::function<void(Result<StoredRecord>)>;
    using OrderDone = std::function<void(ControlReply)>;
    using CallDone = std::function<void(Result<std::string>)>;

    /** State of the links of one node and of its VM. */
    struct Link {
        TimePoint cutUntil = NeverTime;     ///< Cut off from the other nodes.
        TimePoint refusesUntil = NeverTime; ///< Its backend server refuses connections.
        TimePoint pausedUntil = NeverTime;  ///< Node and backend server are paused.
    };

    /** Replaces a record if its revision is still @p over; 0: the record is created. */
    struct RecordWrite {
        std::string name;
        StoreRevision over;
        std::string content;
    };

    // Calls of the nodes.
    void read(size_t index, RecordKind kind, const std::string &name, ReadDone done);
    void write(size_t index, RecordKind kind, RecordWrite write, const WriteDone &done);
    WriteFate chooseFate(size_t index, RecordKind kind, const RecordWrite &write);
    void sendGrant(size_t index, const GrantRequest &request, milliseconds timeout,
                   const OrderDone &done);
    void sendRelease(size_t index, const ReleaseRequest &request, milliseconds timeout,
                     const OrderDone &done);
    void sendPeerCall(size_t from, NodeId to, const std::string &path, std::string body,
                      milliseconds timeout, const CallDone &done);

    // The store.
    Result<StoreRevision> apply(RecordKind kind, const RecordWrite &write);
    void noteWritten(RecordKind kind, const StoredRecord &before, const StoredRecord &after);
    void spread(const StoredRecord &ranges);
    void divideKeys();
    void publishMembers();

    // Backend servers.
    void startBackend(size_t index, bool keepsId);
    void crashBackend(size_t index);
    void heartbeat(size_t index, uint64_t life);
    void deliverReport(size_t index, uint64_t life, const BackendReport &report, TimePoint sentAt);
    void readAnswer(size_t index, uint64_t life, uint64_t number,
                    const std::optional<GrantReply> &reply, TimePoint sentAt);
    void endExchange(size_t index, uint64_t life, uint64_t number);
    void carryOutGrant(size_t index, const GrantRequest &request, TimePoint arrivedAt,
                       const OrderDone &done);
    void checkTaken(size_t index);

    // Work and faults.
    void sendRequests();
    void scheduleFault();
    void injectFault();
    void crashNode(size_t index);
    void startNode(size_t index);
    void leave(size_t index);
    void refuseConnections(size_t index);
    void pause(size_t index);
    void stopNode(size_t index);

    /** @return Milliseconds since the start. */
    static std::string timeText(TimePoint time);
    bool step(TimePoint end);
    bool isServed(ShardKey key) const;
    bool isEachKeyServed() const;
    void fail(const std::string &what);
    void trace(const std::string &what, size_t index) const;
    void traceReport(const BackendReport &report, TimePoint sentAt, size_t index) const;
    bool isFaulty() { return !faultsEnded_ && draws_.oneIn(faultOdds_); }
    bool isCut(size_t index) const { return events_.now() < links_[index].cutUntil; }
    bool isPaused(size_t index) const { return events_.now() < links_[index].pausedUntil; }
    bool refuses(size_t index) const;
    milliseconds drawDelay();
    milliseconds drawConnectTime();

    WorldSettings settings_;
    SeededDraws draws_;
    uint64_t faultOdds_;       ///< One in this many calls is affected by a fault.
    bool isPeriodic_;          ///< Heartbeats are also sent before the last one was answered.
    milliseconds usualDelay_;  ///< Maximum delay of a message that is not affected by a fault.
    bool faultsEnded_ = false; ///< Faults have ended.
    EventQueue events_;
    std::map<std::pair<RecordKind, std::string>, StoredRecord> records_;
    std::array<std::optional<MemberRecord>, NodeCount> published_;
    std::array<double, NodeCount> clockRates_{};
    std::array<SimulatedBackend, NodeCount> backends_;
    std::array<std::unique_ptr<SimulatedNode>, NodeCount> nodes_;
    std::array<uint64_t, NodeCount> lives_{};     ///< Incarnation number of each backend server.
    std::array<uint64_t, NodeCount> nodeLives_{}; ///< Incarnation number of each node.
    std::array<uint64_t, NodeCount>
            lastEndedHeartbeats_{}; ///< Latest heartbeat that was answered or given up.
    std::array<Link, NodeCount> links_;
    ShardKey hotKey_; ///< Receives much of the load for a while.
    uint64_t revision_ = 0;
    uint64_t handovers_ = 0;
    uint64_t takeovers_ = 0;
    std::string violation_;
};

} // namespace wisteriahoist::testing
