/** @file ownership_node.cpp The product's duty of the keys over simulated ports. */

#include "support/ownership_node.h"

#include "support/ownership_world.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace wisteriahoist::testing {

namespace {

/** How often the node looks at a backend server that is silent or refuses connections. */
constexpr milliseconds LookEvery{250};
/** A backend server that was not heard of for so long is taken for down. */
constexpr milliseconds SilentAfter{3000};
constexpr milliseconds ProbeTimeout{300};
constexpr std::string_view ProbePath = "/probe";

/** What a call to the world has brought; the coroutine that waits for it holds it alone. */
template <typename Value>
class Outcome
{
public:
    Outcome(asio::io_context &context, Value unless) : signal_(context), value_(std::move(unless))
    { }

    void set(Value value)
    {
        value_ = std::move(value);
        signal_.raise();
    }

    asio::awaitable<Value> wait()
    {
        co_await signal_.wait();
        co_return std::move(value_);
    }

private:
    Signal signal_;
    Value value_;
};

/** @return A function that brings @p outcome about, if somebody still waits for it. */
template <typename Value>
auto bringing(const std::shared_ptr<Outcome<Value>> &outcome)
{
    return [weak = std::weak_ptr<Outcome<Value>>(outcome)](Value value) {
        if (const auto waited = weak.lock()) {
            waited->set(std::move(value));
        }
    };
}

} // namespace

/** The store as this node reaches it. */
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
        node_.world_.read(node_.index_, kind, name, bringing(outcome));
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
                           bringing(outcome));
        co_return co_await outcome->wait();
    }

private:
    static Failure unused() { return {FailureCode::Unavailable, "not part of this world"}; }

    SimulatedNode &node_;
};

/** Orders to the backend server beside the node. */
class SimulatedNode::Orders final : public BackendControl
{
public:
    explicit Orders(SimulatedNode &node) : node_(node) { }

    asio::awaitable<ControlReply> grant(GrantRequest order, milliseconds timeout) override
    {
        // The connection opens late, or the process stands still meanwhile.
        const std::unique_ptr<WakeTimer> opening = node_.timers_.make();
        co_await opening->wait(node_.world_.drawConnectTime());
        if (node_.clock_.now() > order.sendBy) {
            ControlReply late;
            late.result = ControlResult::TooLate;
            co_return late;
        }
        const auto outcome
                = std::make_shared<Outcome<ControlReply>>(node_.context_, ControlReply{});
        node_.world_.sendGrant(node_.index_, order, timeout, bringing(outcome));
        co_return co_await outcome->wait();
    }

    asio::awaitable<ControlReply> release(ReleaseRequest order, milliseconds timeout) override
    {
        const auto outcome
                = std::make_shared<Outcome<ControlReply>>(node_.context_, ControlReply{});
        node_.world_.sendRelease(node_.index_, order, timeout, bringing(outcome));
        co_return co_await outcome->wait();
    }

    asio::awaitable<BackendStatus> pollOnce(milliseconds) override { co_return BackendStatus{}; }

private:
    SimulatedNode &node_;
};

/** Calls between nodes. */
class SimulatedNode::Peers final : public PeerCalls
{
public:
    explicit Peers(SimulatedNode &node) : node_(node) { }

    void serve(const std::string &path, Answer answer) override
    {
        answers_[path] = std::move(answer);
    }

    asio::awaitable<Result<std::string>> call(const MemberRecord &member, std::string_view path,
                                              std::string body, milliseconds timeout) override
    {
        const auto outcome = std::make_shared<Outcome<Result<std::string>>>(
                node_.context_, Failure{FailureCode::DeadlineExceeded, member.name});
        node_.world_.sendPeerCall(node_.index_, member.node, std::string(path), std::move(body),
                                  timeout, bringing(outcome));
        co_return co_await outcome->wait();
    }

    Answer *find(const std::string &path)
    {
        const auto found = answers_.find(path);
        return found == answers_.end() ? nullptr : &found->second;
    }

private:
    SimulatedNode &node_;
    std::map<std::string, Answer> answers_;
};

SimulatedNode::SimulatedNode(OwnershipWorld &world, size_t index, double clockRate)
    : world_(world), index_(index), clock_(world.agenda_, clockRate),
      timers_(context_, world.agenda_, clock_), random_(world.dice_.below(UINT32_MAX)),
      store_(std::make_unique<Store>(*this)), orders_(std::make_unique<Orders>(*this)),
      peers_(std::make_unique<Peers>(*this)), alive_(std::make_shared<SimulatedNode *>(this))
{
    self_.node = NodeId(index + 1);
    self_.name = "node " + std::to_string(index + 1);
    self_.service = OwnershipWorld::Service;
    self_.slots = OwnershipWorld::Slots;
    self_.failureDomain = "d" + std::to_string(index + 1);
    const RangeDutyPorts ports{context_, clock_, timers_, random_, *store_, *orders_, *peers_};
    duty_ = std::make_unique<RangeController>(ports, view_, monitor_, loads_, self_, GrantTimes{});
    monitor_.setBusyCheck(
            [this]() { return world_.backends_[index_].isWorking(world_.agenda_.now()); });
    duty_->setPeerProbe([this](const MemberRecord &member) { return probe(member); });
    peers_->serve(std::string(ProbePath),
                  [this](std::string body) { return answerProbe(std::move(body)); });
}

SimulatedNode::~SimulatedNode() = default;

void SimulatedNode::start()
{
    duty_->start();
    lookAround();
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
        duty_->wake();
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
    const bool changed = monitor_.onReport(report, receivedAt);
    if (changed) {
        duty_->wake();
    }
    std::optional<GrantReply> order;
    if (report.holding && monitor_.isNewest(report) && duty_->grantsByHeartbeat()) {
        const bool atOnce = changed || monitor_.state() != BackendState::Ready;
        order = co_await duty_->handleHeartbeat(*report.holding, atOnce, receivedAt);
    }
    answer(order);
}

void SimulatedNode::onPeerCall(const std::string &path, const std::string &body,
                               const PeerAnswer &answer)
{
    post([this, path, body, answer]() {
        if (PeerCalls::Answer *served = peers_->find(path)) {
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
        const std::string &id = world_.backends_[index_].life().id;
        if (world_.refuses(index_)) {
            (void)monitor_.onRefusedConnection();
        } else if (id != monitor_.backend().id) {
            (void)monitor_.onOtherIncarnation(id, clock_.now());
        } else {
            (void)monitor_.onAnswer(clock_.now());
        }
        duty_->wake();
    });
}

void SimulatedNode::onDeregister()
{
    post([this]() {
        (void)monitor_.onDeregister(world_.backends_[index_].life());
        duty_->wake();
    });
}

void SimulatedNode::beginStop()
{
    post([this]() { duty_->beginStop(); });
}

/** Looks at a backend server that refuses connections until it answers; notes a silent one. */
void SimulatedNode::lookAround()
{
    if (monitor_.refusesConnections()) {
        onLook();
    }
    post([this]() {
        if (clock_.now() - monitor_.heardAt() > SilentAfter && monitor_.onNoResponse()) {
            duty_->wake();
        }
    });
    world_.agenda_.after(LookEvery, [weak = std::weak_ptr<SimulatedNode *>(alive_)]() {
        if (const auto node = weak.lock()) {
            (*node)->lookAround();
        }
    });
}

MemberRecord SimulatedNode::published() const
{
    MemberRecord member = self_;
    member.life = duty_->session();
    member.backend = monitor_.backend();
    member.state = monitor_.state();
    return member;
}

bool SimulatedNode::admits(ShardKey key) const
{
    return duty_->check(key, clock_.now()) == RequestEnd::None;
}

void SimulatedNode::recordBusyTime(ShardKey key, Duration busy)
{
    duty_->recordBusyTime(key, busy, clock_.now());
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
    reply.mutable_load()->set_busy_slots(duty_->demand(clock_.now()));
    reply.mutable_load()->set_leaving(duty_->isLeaving());
    co_return reply.SerializeAsString();
}

} // namespace wisteriahoist::testing
