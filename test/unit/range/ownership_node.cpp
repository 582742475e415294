/** @file ownership_node.cpp The RangeController of the product over simulated ports. */

#include "support/ownership_node.h"

#include "support/ownership_world.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace wisteriahoist::testing {

namespace {

/** How often the node checks a backend server that is silent or refuses connections. */
constexpr milliseconds LookEvery{250};
/** A backend server that has not been heard from for this long is considered down. */
constexpr milliseconds SilentAfter{3000};
constexpr milliseconds ProbeTimeout{300};
constexpr std::string_view ProbePath = "/probe";

/** The outcome of a call to the world, owned by the coroutine that waits for it. */
template <typename Value>
class Outcome
{
public:
    Outcome(asio::io_context &context, Value fallback)
        : event_(context), value_(std::move(fallback))
    { }

    void set(Value value)
    {
        value_ = std::move(value);
        event_.trigger();
    }

    asio::awaitable<Value> wait()
    {
        co_await event_.wait();
        co_return std::move(value_);
    }

private:
    OneShotEvent event_;
    Value value_;
};

/** @return A function that sets @p outcome if a coroutine still waits for it. */
template <typename Value>
auto setterOf(const std::shared_ptr<Outcome<Value>> &outcome)
{
    return [weak = std::weak_ptr<Outcome<Value>>(outcome)](Value value) {
        if (const auto waited = weak.lock()) {
            waited->set(std::move(value));
        }
    };
}

} // namespace

/** The store as seen by this node. */
class SimulatedNode::Store final : public RecordStore
{
public:
    explicit Store(SimulatedNode &node) : node_(node) { }

    Pending<RecordListing> list(RecordKind) override { co_return unused(); }

    Pending<RecordChanges> watch(RecordKind, StoreRevision, milliseconds) override
    {
        co_return unused();
    }

    Pending<StoredRecord> read(RecordKind kind, std::string name) override
    {
        const auto outcome = std::make_shared<Outcome<Result<StoredRecord>>>(
                node_.context_, Failure{FailureCode::DeadlineExceeded, name});
        node_.world_.read(node_.index_, kind, name, setterOf(outcome));
        co_return co_await outcome->wait();
    }

    Pending<StoreRevision> create(RecordKind kind, std::string name, std::string content) override
    {
        return replace(kind, std::move(name), StoreRevision(0), std::move(content));
    }

    Pending<StoreRevision> replace(RecordKind kind, std::string name, StoreRevision expected,
                                   std::string content) override
    {
        const auto outcome = std::make_shared<Outcome<Result<StoreRevision>>>(
                node_.context_, Failure{FailureCode::Ambiguous, name});
        node_.world_.write(node_.index_, kind, {name, expected, std::move(content)},
                           setterOf(outcome));
        co_return co_await outcome->wait();
    }

private:
    static Failure unused() { return {FailureCode::Unavailable, "not simulated"}; }

    SimulatedNode &node_;
};

/** Calls to the backend server of the node. */
class SimulatedNode::ControlCalls final : public BackendControl
{
public:
    explicit ControlCalls(SimulatedNode &node) : node_(node) { }

    asio::awaitable<ControlReply> grant(GrantRequest request, milliseconds timeout) override
    {
        // Opening the connection takes long, or the process is paused meanwhile.
        const std::unique_ptr<WakeTimer> opening = node_.timers_.make();
        co_await opening->wait(node_.world_.drawConnectTime());
        if (node_.clock_.now() > request.sendBy) {
            ControlReply late;
            late.result = ControlResult::TooLate;
            co_return late;
        }
        const auto outcome
                = std::make_shared<Outcome<ControlReply>>(node_.context_, ControlReply{});
        node_.world_.sendGrant(node_.index_, request, timeout, setterOf(outcome));
        co_return co_await outcome->wait();
    }

    asio::awaitable<ControlReply> release(ReleaseRequest request, milliseconds timeout) override
    {
        const auto outcome
                = std::make_shared<Outcome<ControlReply>>(node_.context_, ControlReply{});
        node_.world_.sendRelease(node_.index_, request, timeout, setterOf(outcome));
        co_return co_await outcome->wait();
    }

    asio::awaitable<BackendStatus> pollOnce(milliseconds) override { co_return BackendStatus{}; }
    asio::awaitable<BackendStatus> identify(milliseconds) override { co_return BackendStatus{}; }

private:
    SimulatedNode &node_;
};

/** Calls between nodes. */
class SimulatedNode::Peers final : public PeerCalls
{
public:
    explicit Peers(SimulatedNode &node) : node_(node) { }

    void serve(const std::string &path, Handler answer) override
    {
        handlers_[path] = std::move(answer);
    }

    asio::awaitable<Result<std::string>> call(const MemberRecord &member, std::string_view path,
                                              std::string body, CallTimes times) override
    {
        const auto outcome = std::make_shared<Outcome<Result<std::string>>>(
                node_.context_, Failure{FailureCode::DeadlineExceeded, member.name});
        node_.world_.sendPeerCall(node_.index_, member.node, std::string(path), std::move(body),
                                  times.reply, setterOf(outcome));
        co_return co_await outcome->wait();
    }

    Handler *find(const std::string &path)
    {
        const auto found = handlers_.find(path);
        return found == handlers_.end() ? nullptr : &found->second;
    }

private:
    SimulatedNode &node_;
    std::map<std::string, Handler> handlers_;
};

SimulatedNode::SimulatedNode(OwnershipWorld &world, size_t index, double clockRate)
    : world_(world), index_(index), clock_(world.events_, clockRate),
      timers_(context_, world.events_, clock_), random_(world.draws_.below(UINT32_MAX)),
      store_(std::make_unique<Store>(*this)), controlCalls_(std::make_unique<ControlCalls>(*this)),
      peers_(std::make_unique<Peers>(*this)), alive_(std::make_shared<SimulatedNode *>(this))
{
    self_.node = NodeId(index + 1);
    self_.name = "node " + std::to_string(index + 1);
    self_.service = OwnershipWorld::Service;
    self_.slots = OwnershipWorld::Slots;
    self_.failureDomain = "d" + std::to_string(index + 1);
    const RangeControllerPorts ports{context_, clock_,         timers_, random_,
                                     *store_,  *controlCalls_, *peers_};
    controller_ = std::make_unique<RangeController>(ports, view_, monitor_, loads_, self_,
                                                    GrantTimes{});
    monitor_.setBusyCheck(
            [this]() { return world_.backends_[index_].isWorking(world_.events_.now()); });
    controller_->setPeerProbe([this](const MemberRecord &member) { return probe(member); });
    peers_->serve(std::string(ProbePath),
                  [this](std::string body) { return answerProbe(std::move(body)); });
}

SimulatedNode::~SimulatedNode() = default;

void SimulatedNode::start()
{
    controller_->start();
    checkBackend();
}

void SimulatedNode::run()
{
    context_.restart();
    (void)context_.poll();
}

template <typename Action>
void SimulatedNode::post(Action action)
{
    asio::post(context_, std::move(action));
}

void SimulatedNode::onConfig(const RouteConfig &config)
{
    (void)view_.onConfig(config);
}

void SimulatedNode::onRanges(const StoredRecord &record)
{
    post([this, record]() {
        view_.onRangeRecord(record);
        controller_->wake();
    });
}

void SimulatedNode::onMember(const MemberRecord &member, StoreRevision revision)
{
    post([this, member, revision]() { view_.onMember(member, revision); });
}

void SimulatedNode::onReport(const BackendReport &report, const ReportAnswer &answer)
{
    post([this, report, answer]() {
        asio::co_spawn(context_, takeReport(report, answer), asio::detached);
    });
}

asio::awaitable<void> SimulatedNode::takeReport(BackendReport report, ReportAnswer answer)
{
    const TimePoint receivedAt = clock_.now();
    bool changed = monitor_.onReport(report, receivedAt);
    if (monitor_.isInDoubt(receivedAt) && !world_.refuses(index_)) {
        changed |= monitor_.onIdentity(world_.backends_[index_].life().id, monitor_.question(),
                                       receivedAt);
    }
    if (changed) {
        controller_->wake();
    }
    std::optional<GrantReply> reply;
    if (report.holding && monitor_.isNewest(report) && controller_->grantsByHeartbeat()) {
        const bool atOnce = changed || monitor_.state() != BackendState::Ready;
        reply = co_await controller_->handleHeartbeat(*report.holding, atOnce, receivedAt);
    }
    answer(reply);
}

void SimulatedNode::onPeerCall(const std::string &path, const std::string &body,
                               const PeerAnswer &answer)
{
    post([this, path, body, answer]() {
        if (PeerCalls::Handler *served = peers_->find(path)) {
            asio::co_spawn(context_, (*served)(body),
                           [answer](const std::exception_ptr &failure, std::string reply) {
                               if (!failure) {
                                   answer(std::move(reply));
                               }
                           });
        }
    });
}

void SimulatedNode::onLook()
{
    post([this]() {
        if (world_.refuses(index_)) {
            (void)monitor_.onRefusedConnection();
        } else {
            (void)monitor_.onIdentity(world_.backends_[index_].life().id, monitor_.question(),
                                      clock_.now());
        }
        controller_->wake();
    });
}

void SimulatedNode::onDeregister()
{
    post([this]() {
        (void)monitor_.onDeregister(world_.backends_[index_].life(), clock_.now());
        controller_->wake();
    });
}

void SimulatedNode::beginStop()
{
    post([this]() { controller_->beginStop(); });
}

/** Checks a backend server that refuses connections until it answers, and detects a silent one. */
void SimulatedNode::checkBackend()
{
    if (monitor_.refusesConnections() || monitor_.isInDoubt(clock_.now())) {
        onLook();
    }
    post([this]() {
        if (clock_.now() - monitor_.heardAt() > SilentAfter && monitor_.onNoResponse()) {
            controller_->wake();
        }
    });
    world_.events_.after(LookEvery, [weak = std::weak_ptr<SimulatedNode *>(alive_)]() {
        if (const auto node = weak.lock()) {
            (*node)->checkBackend();
        }
    });
}

MemberRecord SimulatedNode::published() const
{
    MemberRecord member = self_;
    member.life = controller_->session();
    member.backend = monitor_.backend();
    member.state = monitor_.state();
    return member;
}

bool SimulatedNode::admits(ShardKey key) const
{
    return controller_->check(key, clock_.now()) == RequestEnd::None;
}

void SimulatedNode::recordBusyTime(ShardKey key, Duration busy)
{
    controller_->recordBusyTime(key, busy, clock_.now());
}

asio::awaitable<bool> SimulatedNode::probe(MemberRecord member)
{
    const Result<std::string> answer = co_await peers_->call(member, ProbePath, {}, ProbeTimeout);
    v1::HopReply reply;
    const bool answered = answer && reply.ParseFromString(answer.assume_value());
    loads_.onSent(member.node);
    loads_.onReply(member.node, reply, answered, clock_.now());
    co_return answered;
}

asio::awaitable<std::string> SimulatedNode::answerProbe(std::string)
{
    v1::HopReply reply;
    reply.mutable_load()->set_slots(OwnershipWorld::Slots);
    reply.mutable_load()->set_busy_slots(controller_->demand(clock_.now()));
    reply.mutable_load()->set_leaving(controller_->isLeaving());
    co_return reply.SerializeAsString();
}

} // namespace wisteriahoist::testing
