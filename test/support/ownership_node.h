/** @file ownership_node.h One incarnation of a node process: the RangeController of the product
 * over simulated ports. */

#pragma once

#include "decision/member/backend_monitor.h"
#include "duty/range_controller.h"
#include "support/ownership_world.h"

namespace wisteriahoist::testing {

/** Random numbers drawn from the seed of the world. */
class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(uint64_t seed) : engine_(seed) { }
    uint64_t next() override { return engine_(); }

private:
    std::mt19937_64 engine_;
};

/**
 * The RangeController and everything it depends on, with its own event loop and clock. The world
 * delivers the messages sent here; a paused node receives them when it resumes. Destroying the
 * object corresponds to killing the process: messages already sent may still arrive.
 */
class SimulatedNode
{
public:
    using ReportAnswer = std::function<void(const std::optional<GrantReply> &)>;
    using PeerAnswer = std::function<void(std::string)>;

    SimulatedNode(OwnershipWorld &world, size_t index, double clockRate);
    ~SimulatedNode();

    void start();

    /** Runs the handlers that are ready in the event loop of the node. */
    void run();

    void onConfig(const RouteConfig &config);
    void onRanges(const StoredRecord &record);
    void onMember(const MemberRecord &member, StoreRevision revision);
    void onReport(const BackendReport &report, const ReportAnswer &answer);

    /** A call of another node for @p path arrives. */
    void onPeerCall(const std::string &path, const std::string &body, const PeerAnswer &answer);

    /** A request detects whether the backend server refuses connections, and its incarnation. */
    void onLook();
    void onDeregister();

    /** The process of the node is asked to stop. */
    void beginStop();

    MemberRecord published() const;

    /** @return Whether a request for @p key would be forwarded now. */
    bool admits(ShardKey key) const;

    /** A request for @p key has kept the backend server busy for @p busy. */
    void recordBusyTime(ShardKey key, Duration busy);

private:
    class Store;
    class ControlCalls;
    class Peers;

    /** Runs @p action in the event loop of the node. */
    template <typename Action>
    void post(Action action);
    asio::awaitable<bool> probe(MemberRecord member);
    asio::awaitable<std::string> answerProbe(std::string body);
    void checkBackend();
    asio::awaitable<void> takeReport(BackendReport report, ReportAnswer answer);

    OwnershipWorld &world_;
    size_t index_;
    asio::io_context context_{1}; ///< Outlives everything that waits on it.
    SimulatedClock clock_;
    SimulatedTimers timers_;
    SeededRandom random_;
    FleetView view_;
    BackendMonitor monitor_{MonitorLimits{}};
    PeerLoads loads_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<ControlCalls> controlCalls_;
    std::unique_ptr<Peers> peers_;
    MemberRecord self_;
    std::unique_ptr<RangeController> controller_;
    /** Expires with the node; actions in the event queue hold it weakly. */
    std::shared_ptr<SimulatedNode *> alive_;
};

} // namespace wisteriahoist::testing
