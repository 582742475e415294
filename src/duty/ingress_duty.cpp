/** @file ingress_duty.cpp Callers' HTTP/1.1: finds the owner, runs or forwards, answers whole. */

#include "duty/ingress_duty.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace {

constexpr milliseconds RoutingPoll{5}; ///< How often a retry looks for newer routing.
/** Lets the gate's own verdict at the deadline (it may be "not run") arrive before the hop's. */
constexpr milliseconds HopGrace{20};

/** @return What the ring or the hop's transport says about a request that got no reply. */
v1::HopReply makeLostReply(FailureCode code)
{
    switch (code) {
    case FailureCode::Overloaded:
        return makeOutcomeReply(RequestStage::Received, RequestEnd::Overloaded);
    case FailureCode::Unavailable:
        return makeOutcomeReply(RequestStage::Received, RequestEnd::Unreachable);
    case FailureCode::DeadlineExceeded:
        return makeOutcomeReply(RequestStage::Sent, RequestEnd::DeadlineOver);
    case FailureCode::Malformed:
        return makeOutcomeReply(RequestStage::Sent, RequestEnd::InvalidResponse);
    default:
        return makeOutcomeReply(RequestStage::Sent, RequestEnd::ConnectionLost);
    }
}

} // namespace

IngressDuty::IngressDuty(asio::io_context &context, const Clock &clock, NodeId self,
                         const std::string &ip, uint16_t port, GateLink &gate, RetryLimits retries)
    : context_(context), clock_(clock), self_(self), gate_(gate), peers_(context),
      routing_(std::make_shared<RoutingSnapshot>()), retries_(retries),
      random_(std::random_device{}())
{
    const auto handler = [this](HttpRequest request, std::shared_ptr<DisconnectSignal> caller) {
        return serve(std::move(request), std::move(caller));
    };
    server_ = std::make_shared<HttpServer>(context, ip, port, HttpLimits{},
                                           CancellableHttpHandler(handler));
}

void IngressDuty::start()
{
    server_->start();
}

void IngressDuty::stop()
{
    asio::post(context_, [server = server_]() { server->stop(); });
}

asio::awaitable<Accepted> IngressDuty::onRouting(RoutingSnapshotPtr routing)
{
    routing_ = std::move(routing);
    std::vector<NodeId> members;
    for (const auto &[id, member] : routing_->members) {
        members.push_back(id);
    }
    outliers_.keepOnly(members);
    co_return Accepted{};
}

asio::awaitable<HttpResponse> IngressDuty::serve(HttpRequest request,
                                                 std::shared_ptr<DisconnectSignal> caller)
{
    if (telemetry_ == nullptr) {
        co_return co_await onRequest(std::move(request), std::move(caller));
    }
    const TimePoint startedAt = clock_.now();
    Span span = telemetry_->startIngressSpan(request);
    HttpResponse response = co_await onRequest(std::move(request), std::move(caller));
    telemetry_->ingress().connections.set(static_cast<double>(server_->openConnections()));
    telemetry_->onAnswer(response, startedAt, std::move(span));
    co_return response;
}

asio::awaitable<HttpResponse> IngressDuty::onRequest(HttpRequest request,
                                                     std::shared_ptr<DisconnectSignal> caller)
{
    const RoutingSnapshotPtr routing = routing_;
    RequestHead head;
    const std::string method(request.method_string());
    const std::string target(request.target());
    const std::string host(request[http::field::host]);
    head.method = method;
    head.target = target;
    head.host = host;
    head.header = [&request](std::string_view name) {
        const auto value = request[name];
        return std::string_view(value.data(), value.size());
    };
    Result<ResolvedRequest> result = resolveRequest(routing->declarations, head);
    if (!result) {
        const bool missing = result.assume_error().code == FailureCode::NotFound;
        Problem problem;
        problem.status = missing ? http::status::not_found : http::status::bad_request;
        problem.type = failureName(result.assume_error().code);
        problem.detail = result.assume_error().context;
        co_return makeProblemResponse(problem);
    }
    const ResolvedRequest &resolved = result.assume_value();
    const CallerTerms terms = readMetadata(request, *resolved.rule);
    if (terms.refusal != RequestEnd::None) {
        co_return makeCallerResponse(makeOutcomeReply(RequestStage::Received, terms.refusal),
                                     *routing);
    }
    auto current = std::make_shared<Try>();
    current->hop = makeHop(request, resolved, terms);
    current->routing = routing;
    current->caller = std::move(caller);
    current->deadline = clock_.now() + terms.deadline;
    current->queueDeadline = clock_.now() + resolved.rule->queueTimeout;
    current->idempotent = resolved.rule->repetition == Repetition::Idempotent;
    if (resolved.service->misrouted == Misrouted::Redirect && resolved.rule->keyed) {
        const NodeId owner = chooseTarget(*current);
        const MemberInfo *member = routing->findMember(owner);
        if (owner != self_ && member != nullptr) {
            co_return makeRedirect(*member, target);
        }
    }
    v1::HopReply reply = co_await runWithRetries(current);
    current->caller->onDisconnect(nullptr);
    if (telemetry_ != nullptr) {
        telemetry_->onOutcome(reply);
    }
    co_return makeCallerResponse(std::move(reply), *current->routing);
}

asio::awaitable<v1::HopReply> IngressDuty::runWithRetries(std::shared_ptr<Try> current)
{
    current->caller->onDisconnect(
            [this, current]() { asio::co_spawn(context_, sendCancel(current), asio::detached); });
    while (true) {
        v1::HopReply reply = co_await attempt(*current);
        if (reply.outcome() == v1::HOP_OUTCOME_DONE) {
            const auto budget = budgets_.try_emplace(current->hop.service(), retries_).first;
            budget->second.onSuccess(clock_.now());
            co_return reply;
        }
        current->mayHaveRun |= outcomeOf(reply) == Outcome::Unknown;
        const RetryDecision decision = decide(*current, reply);
        if (!decision.retry || current->caller->isDisconnected()) {
            // A later try's refusal says nothing about an earlier one that may have run.
            if (current->mayHaveRun && outcomeOf(reply) == Outcome::NotRun) {
                reply = makeOutcomeReply(RequestStage::Sent, RequestEnd::ConnectionLost);
            }
            co_return reply;
        }
        if (telemetry_ != nullptr) {
            telemetry_->ingress().retries.add();
        }
        co_await pauseBeforeRetry(*current, decision.pause);
        current->routing = routing_;
        current->hop.set_attempt(current->hop.attempt() + 1);
    }
}

RetryDecision IngressDuty::decide(const Try &current, const v1::HopReply &reply)
{
    // Other refusals (of the key, of the input) would be the same at the next try.
    const bool passing = reply.status() >= 500 || reply.status() == 421;
    if (!passing) {
        return {};
    }
    const TimePoint now = clock_.now();
    FailedAttempt failed;
    failed.outcome = outcomeOf(reply);
    failed.idempotent = current.idempotent;
    failed.attempt = current.hop.attempt();
    failed.retryAfter = milliseconds(reply.retry_after_ms());
    failed.deadlineLeft = current.deadline - now;
    const auto budget = budgets_.try_emplace(current.hop.service(), retries_).first;
    return decideRetry(failed, budget->second, random(), now);
}

asio::awaitable<void> IngressDuty::pauseBeforeRetry(const Try &current, milliseconds pause)
{
    const TimePoint until = clock_.now() + pause;
    asio::steady_timer timer(context_);
    // Newer routing names the present owner; there is no reason to wait on.
    while (clock_.now() < until && routing_ == current.routing
           && !current.caller->isDisconnected()) {
        timer.expires_after(std::min<Duration>(RoutingPoll, until - clock_.now()));
        beast::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

NodeId IngressDuty::chooseAny(const RoutingSnapshot &routing, const std::string &service)
{
    std::vector<NodeId> candidates;
    for (const auto &[id, member] : routing.members) {
        if (member.service == service && !member.draining) {
            candidates.push_back(id);
        }
    }
    std::vector<InstanceLoad> loads;
    for (const NodeId id : outliers_.usable(candidates, clock_.now())) {
        const MemberInfo &member = *routing.findMember(id);
        InstanceLoad load;
        load.id = id;
        load.failureDomain = member.failureDomain;
        load.slots = member.slots;
        load.outstanding = outstanding_[id];
        loads.push_back(load);
    }
    const MemberInfo *own = routing.findMember(self_);
    const std::string domain = own == nullptr ? std::string() : own->failureDomain;
    return chooseInstance(loads, domain, BalancerLimits{}, random(), random(), clock_.now())
            .value_or(InvalidNode);
}

NodeId IngressDuty::chooseTarget(const Try &current)
{
    if (!current.hop.keyed()) {
        return chooseAny(*current.routing, current.hop.service());
    }
    const Slice *slice
            = current.routing->findSlice(current.hop.service(), KeyHash(current.hop.key_hash()));
    return slice == nullptr ? InvalidNode : slice->owner;
}

asio::awaitable<v1::HopReply> IngressDuty::attempt(Try &current)
{
    const TimePoint now = clock_.now();
    current.target = chooseTarget(current);
    const MemberInfo *member = current.routing->findMember(current.target);
    if (member == nullptr) {
        co_return makeOutcomeReply(RequestStage::Received, RequestEnd::NoLease);
    }
    const auto deadlineLeft = std::chrono::duration_cast<milliseconds>(current.deadline - now);
    if (deadlineLeft.count() <= 0) {
        co_return makeOutcomeReply(RequestStage::Received, RequestEnd::DeadlineOver);
    }
    const auto patienceLeft = std::chrono::duration_cast<milliseconds>(current.queueDeadline - now);
    current.hop.set_origin_node(self_.value());
    current.hop.set_request_id(++lastRequestId_);
    current.hop.set_deadline_left_ms(deadlineLeft.count());
    current.hop.set_patience_left_ms(std::max<int64_t>(0, patienceLeft.count()));
    const NodeId target = current.target;
    const NodeAddress address = member->address;
    ++outstanding_[target];
    v1::HopReply reply;
    if (target == self_) {
        reply = co_await callLocal(current.hop);
    } else {
        reply = co_await forwardObserved(address, current.hop);
    }
    if (--outstanding_[target] == 0) {
        outstanding_.erase(target);
    }
    observe(target, reply);
    co_return reply;
}

void IngressDuty::observe(NodeId instance, const v1::HopReply &reply)
{
    if (reply.outcome() == v1::HOP_OUTCOME_DONE) {
        outliers_.onSuccess(instance);
        return;
    }
    if (reply.status() >= 500 && reply.status() != 503) {
        outliers_.onFailure(instance, clock_.now());
    }
}

asio::awaitable<v1::HopReply> IngressDuty::callLocal(v1::HopRequest hop)
{
    Result<v1::HopReply> reply = co_await gate_.call(std::move(hop));
    if (!reply) {
        co_return makeLostReply(reply.assume_error().code);
    }
    co_return std::move(reply.assume_value());
}

asio::awaitable<v1::HopReply> IngressDuty::forwardObserved(NodeAddress address, v1::HopRequest hop)
{
    if (telemetry_ == nullptr) {
        co_return co_await forward(std::move(address), std::move(hop));
    }
    telemetry_->ingress().forwarded.add();
    Span span = telemetry_->ingressTracer().startFromHop(SpanStep::Hop, hop);
    v1::HopReply reply = co_await forward(std::move(address), std::move(hop));
    telemetry_->ingressTracer().finish(std::move(span), hopOutcomeName(reply.outcome()),
                                       reply.outcome() != v1::HOP_OUTCOME_DONE);
    co_return reply;
}

asio::awaitable<v1::HopReply> IngressDuty::forward(NodeAddress address, v1::HopRequest hop)
{
    const milliseconds timeout = milliseconds(hop.deadline_left_ms()) + HopGrace;
    PeerEndpoint peer{address.ip, address.peerPort};
    Result<std::string> bytes
            = co_await peers_.call(std::move(peer), "/hop", hop.SerializeAsString(), timeout);
    if (!bytes) {
        co_return makeLostReply(bytes.assume_error().code);
    }
    v1::HopReply reply;
    if (!reply.ParseFromString(bytes.assume_value()) || !isAnswer(reply)) {
        co_return makeLostReply(FailureCode::Malformed);
    }
    co_return reply;
}

asio::awaitable<void> IngressDuty::sendCancel(std::shared_ptr<Try> current)
{
    v1::HopRequest hop;
    hop.set_cancel(true);
    hop.set_origin_node(self_.value());
    hop.set_request_id(current->hop.request_id());
    if (current->target == self_) {
        (void)co_await gate_.call(std::move(hop));
        co_return;
    }
    const MemberInfo *member = current->routing->findMember(current->target);
    if (member != nullptr) {
        constexpr milliseconds CancelTimeout{500};
        PeerEndpoint peer{member->address.ip, member->address.peerPort};
        (void)co_await peers_.call(std::move(peer), "/hop", hop.SerializeAsString(), CancelTimeout);
    }
}

} // namespace wisteriahoist
