/** @file ownership_node.h One life of a node's process: the product's duty of the keys over
 * simulated ports. */

#pragma once

#include "decision/member/backend_monitor.h"
#include "duty/range_controller.h"
#include "support/ownership_world.h"

namespace wisteriahoist::testing {

/** Random numbers from the world's seed. */
class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(uint64_t seed) : engine_(seed) { }
    uint64_t next() override { return engine_(); }

private:
    std::mt19937_64 engine_;
};

/**
 * The duty with all that it decides on, on an event loop and a clock of its own. The world delivers
 * what is sent here; a node that is paused finds it when it goes on. Destroyed, it is a process
 * that was killed: what it has sent may still arrive.
 */
class SimulatedNode
{
public:
    using ReportAnswer = std::function<void(const std::optional<GrantReply> &)>;
    using PeerAnswer = std::function<void(std::string)>;

    SimulatedNode(OwnershipWorld &world, size_t index, double clockRate);
    ~SimulatedNode();

    void start();

    /** Runs what is ready on the node's event loop. */
    void run();

    void onConfig(const RouteConfig &config);
    void onRanges(const StoredRecord &record);
    void onMember(const MemberRecord &member, StoreRevision revision);
    void onReport(const BackendReport &report, const ReportAnswer &answer);

    /** A call of another node for @p path arrives. */
    void onPeerCall(const std::string &path, const std::string &body, const PeerAnswer &answer);

    /** A request finds out whether the backend server refuses connections, and which life it is. */
    void onLook();
    void onDeregister();

    /** The node's process is told to end soon. */
    void beginStop();

    MemberRecord published() const;

    /** @return Whether a request for @p key would be handed over now. */
    bool admits(ShardKey key) const;

    /** A request for @p key has kept the backend server busy for @p busy. */
    void recordBusyTime(ShardKey key, Duration busy);

private:
    class Store;
    class Orders;
    class Peers;

    /** Runs @p action on the node's event loop. */
    template <typename Action>
    void post(Action action);
    asio::awaitable<bool> probe(MemberRecord member);
    asio::awaitable<std::string> answerProbe(std::string body);
    void lookAround();
    asio::awaitable<void> takeReport(BackendReport report, ReportAnswer answer);

    OwnershipWorld &world_;
    size_t index_;
    asio::io_context context_{1}; ///< Outlives all that waits on it.
    SimulatedClock clock_;
    SimulatedTimers timers_;
    SeededRandom random_;
    FleetView view_;
    BackendMonitor monitor_{MonitorLimits{}};
    PeerLoads loads_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<Orders> orders_;
    std::unique_ptr<Peers> peers_;
    MemberRecord self_;
    std::unique_ptr<RangeController> duty_;
    /** Ends with the node; actions on the agenda hold it weakly. */
    std::shared_ptr<SimulatedNode *> alive_;
};

} // namespace wisteriahoist::testing
