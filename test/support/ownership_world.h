/** @file ownership_world.h Nodes, backend servers and a store on a simulated clock, under faults.
 */

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

/** How keys are granted, and how they are recorded. */
struct WorldSettings {
    GrantDelivery form = GrantDelivery::Call;
    uint32_t blocks = 1;                           ///< Records that the table is kept in.
    std::function<void(const std::string &)> tell; ///< Gets each step, to read a seed that fails.
};

class SimulatedNode;

/**
 * Three nodes, each with a backend server beside it, and the store. Draws what is lost, late,
 * doubled or refused, who crashes or stands still, and which keys are busy; the nodes run the
 * product's duty of the keys.
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

    /** Runs for @p time of the simulated clock, or until two hold a key.
     * @return Whether at most one held each key, as the holders count it. */
    bool run(Duration time);

    /** Ends all faults; who is down or cut off comes back. */
    void endFaults();

    /** Runs until each key is served, for @p bound at most.
     * @return Whether that was reached and no key was held twice. */
    bool recovers(Duration bound);

    /** @return What was broken; empty if nothing was. */
    const std::string &violation() const { return violation_; }

    uint64_t handovers() const { return handovers_; } ///< Changes of the table that moved keys.
    uint64_t takeovers() const { return takeovers_; } ///< Leases taken away.

private:
    friend class SimulatedNode;

    using WriteDone = std::function<void(Result<StoreRevision>)>;
    using ReadDone = std::function<void(Result<StoredRecord>)>;
    using OrderDone = std::function<void(ControlReply)>;
    using CallDone = std::function<void(Result<std::string>)>;

    /** What is between one node and the others, and the state of its VM. */
    struct Link {
        TimePoint cutUntil = NeverTime;     ///< From the other nodes.
        TimePoint refusesUntil = NeverTime; ///< Its backend server refuses connections.
        TimePoint pausedUntil = NeverTime;  ///< Node and backend server stand still.
    };

    /** What a node asks the store to replace, over which revision; 0: to create. */
    struct RecordWrite {
        std::string name;
        StoreRevision over;
        std::string content;
    };

    // Calls of the nodes.
    void read(size_t index, RecordKind kind, const std::string &name, ReadDone done);
    void write(size_t index, RecordKind kind, RecordWrite write, const WriteDone &done);
    void sendGrant(size_t index, const GrantRequest &order, milliseconds timeout,
                   const OrderDone &done);
    void sendRelease(size_t index, const ReleaseRequest &order, milliseconds timeout,
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
                    const std::optional<GrantReply> &order, TimePoint sentAt);
    void endExchange(size_t index, uint64_t life, uint64_t number);
    void carryOutGrant(size_t index, const GrantRequest &order, TimePoint arrivedAt,
                       const OrderDone &done);
    void checkTaken(size_t index);

    // Work and faults.
    void drawWork();
    void planFault();
    void breakSomething();
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
    void tell(const std::string &what, size_t index) const;
    void tellReport(const BackendReport &report, TimePoint sentAt, size_t index) const;
    bool isTroubled() { return !calm_ && dice_.oneIn(trouble_); }
    bool isCut(size_t index) const { return agenda_.now() < links_[index].cutUntil; }
    bool isPaused(size_t index) const { return agenda_.now() < links_[index].pausedUntil; }
    bool refuses(size_t index) const;
    milliseconds drawDelay();
    milliseconds drawConnectTime();

    WorldSettings settings_;
    Dice dice_;
    uint64_t trouble_;        ///< One call in so many meets a fault.
    bool isPeriodic_;         ///< Heartbeats are also sent before the last one was answered.
    milliseconds usualDelay_; ///< At most, of a message that meets none.
    bool calm_ = false;       ///< Faults have ended.
    Agenda agenda_;
    std::map<std::pair<RecordKind, std::string>, StoredRecord> records_;
    std::array<std::optional<MemberRecord>, NodeCount> published_;
    std::array<double, NodeCount> clockRates_{};
    std::array<ModelBackend, NodeCount> backends_;
    std::array<std::unique_ptr<SimulatedNode>, NodeCount> nodes_;
    std::array<uint64_t, NodeCount> lives_{};     ///< Of each backend server, counted.
    std::array<uint64_t, NodeCount> nodeLives_{}; ///< Of each node, counted.
    std::array<uint64_t, NodeCount> ended_{};     ///< Heartbeat that was given up or answered last.
    std::array<Link, NodeCount> links_;
    ShardKey hotKey_; ///< Much of the load is about it, for a while.
    uint64_t revision_ = 0;
    uint64_t handovers_ = 0;
    uint64_t takeovers_ = 0;
    std::string violation_;
};

} // namespace wisteriahoist::testing
