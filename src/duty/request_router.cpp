/** @file request_router.cpp Ingress node of a request: routing, choice of the instance, retries. */

#include "duty/request_router.h"

#include "adapter/http/header_rules.h"
#include "adapter/log/event_log.h"
#include "adapter/task/background_task.h"
#include "duty/gate_message.h"
#include "duty/hop_codec.h"
#include "duty/ingress_message.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>

namespace wisteriahoist {

namespace {

constexpr std::string_view HopPath = "/hop";
constexpr std::string_view ProbePath = "/probe";

constexpr milliseconds ProbeTimeout{600};
/** Lets the gate's own reply at the deadline, which may be "not run", arrive before the call
 *  times out. */
constexpr milliseconds HopGrace{20};
constexpr milliseconds CancelTimeout{500};
/** Interval between attempts while a key is handed over; a new owner is tried at once. */
constexpr milliseconds OwnerRetryInterval{100};
/** A node reads the first configuration within a second of its start if the store is available. */
constexpr milliseconds RetryAfterNoConfig{1000};
/** A node that knows of a newer configuration has it after this time. */
constexpr milliseconds RetryAfterNewerConfig{500};
/** The keys of a lost node are served again after about three seconds. */
constexpr milliseconds RetryAfterLostNode{1000};
/** Used until other nodes have reported when they expect to have capacity. */
constexpr milliseconds DefaultRetryAfter{200};
/** Instances compared for one request; comparing hundreds costs more than it gains over the better
 *  of a few. */
constexpr size_t InstanceSampleSize = 16;

milliseconds timeUntil(TimePoint end, TimePoint now)
{
    return std::chrono::duration_cast<milliseconds>(end - now);
}

AttemptResult toAttemptResult(const v1::HopReply &reply)
{
    AttemptResult end;
    end.outcome = outcomeOf(reply);
    end.status = static_cast<uint16_t>(reply.status());
    end.reachedBackend = reply.reached_backend();
    end.routingMayChange = reply.reason() == "not-owner";
    end.backendUnavailable = reply.reason() == "no-backend";
    end.refusedEverywhere = reply.reason() == "crashes-backend";
    return end;
}

/** @return Whether all nodes that were tried were full. */
bool isCapacityRefusal(const v1::HopReply &reply)
{
    return outcomeOf(reply) == Outcome::NotRun
           && (reply.reason() == "overloaded" || reply.reason() == "patience-over"
               || reply.reason() == "rate-limited");
}

} // namespace

RequestRouter::RequestRouter(asio::io_context &context, const Clock &clock,
                             const RequestProtocol &protocol, FleetView &view, PeerLoads &loads,
                             BackendGate &gate, PeerLink &peers, const CrashLedger &crashes,
                             RouterSettings settings)
    : context_(context), clock_(clock), protocol_(protocol), view_(view), loads_(loads),
      gate_(gate), crashes_(crashes), settings_(std::move(settings)), startedAt_(clock.now()),
      peers_(peers), random_(std::random_device{}())
{
    // Request ids of a restarted node must differ from those of its earlier incarnation: the gate
    // may still run one of those, and a cancellation would cancel the wrong request.
    lastRequestId_ = random_();
    view_.onChange([this]() { wakeWaiters(); });
    peers_.serve(std::string(HopPath), [this](std::string body) { return onHop(std::move(body)); });
    peers_.serve(std::string(ProbePath), [this](std::string) { return onProbe(); });
}

HttpResponse RequestRouter::refuse(http::status status, std::string_view type,
                                   const std::string &detail, milliseconds retryAfter) const
{
    HttpResponse response = makeProblemResponse({status, type, detail, milliseconds(0)});
    if (retryAfter.count() > 0) {
        protocol_.setRetryAfter(response, retryAfter);
    }
    return response;
}

asio::awaitable<HttpResponse> RequestRouter::onRequest(HttpRequest request,
                                                       std::shared_ptr<DisconnectSignal> caller)
{
    ++counters_.requests;
    const std::shared_ptr<const RouteTable> routes = view_.routesPtr();
    if (routes->version() == 0) {
        logRefusal(refusals_, request, "no-configuration", *routes);
        co_return refuse(http::status::service_unavailable, "no-configuration",
                         "No configuration has been received yet.", RetryAfterNoConfig);
    }
    const auto host = request[http::field::host];
    const auto target = request.target();
    const Route *route = routes->find({host.data(), host.size()}, {target.data(), target.size()});
    if (route == nullptr) {
        logRefusal(unknownRoutes_, request, "no-route", *routes);
        if (revisions_ != nullptr && revisions_->configStatus(clock_.now()).behind) {
            co_return refuse(http::status::service_unavailable, "configuration-behind",
                             "No route matches the request yet; a newer configuration is on its "
                             "way.",
                             RetryAfterNewerConfig);
        }
        co_return refuse(http::status::not_found, "no-route", "No route matches the request.",
                         milliseconds(0));
    }
    const Result<RequestMetadata> metadata = protocol_.readMetadata(request);
    if (!metadata) {
        logRefusal(refusals_, request, metadata.assume_error().context, *routes);
        co_return refuse(http::status::bad_request, "malformed-request",
                         metadata.assume_error().context, milliseconds(0));
    }
    const std::shared_ptr<RequestState> state
            = makeState(request, metadata.assume_value(), *route, std::move(caller));
    state->routes = routes;
    if (state->history.sharded && !metadata.assume_value().shardKey) {
        logRefusal(refusals_, request, "shard key missing", *routes);
        co_return refuse(http::status::bad_request, "malformed-request",
                         "The route requires a shard key, but the request has none.",
                         milliseconds(0));
    }
    if (crashes_.isRefused(state->fingerprint, state->startedAt)) {
        v1::HopReply reply = refuseCrashing(*state, state->startedAt);
        state->retryAfter = milliseconds(reply.retry_after_ms());
        co_return makeResponse(*state, std::move(reply));
    }
    if (!admit(*state)) {
        co_return makeResponse(*state,
                               makeOutcomeReply(RequestStage::Received, RequestEnd::Overloaded));
    }
    ++openRequests_;
    v1::HopReply reply = co_await runAttempts(state);
    --openRequests_;
    state->caller->onDisconnect(nullptr);
    recordCapacity(*state, reply);
    co_return makeResponse(*state, std::move(reply));
}

std::shared_ptr<RequestRouter::RequestState>
RequestRouter::makeState(HttpRequest &request, const RequestMetadata &metadata, const Route &route,
                         std::shared_ptr<DisconnectSignal> caller)
{
    const TimePoint now = clock_.now();
    auto state = std::make_shared<RequestState>();
    state->route = &route;
    state->caller = std::move(caller);
    state->startedAt = now;
    // The caller waits since it sent the head; the route's timeout begins with the whole request.
    state->deadline = now + route.timeout;
    if (metadata.timeLeft) {
        state->deadline = std::min(state->deadline,
                                   now + *metadata.timeLeft - state->caller->arrivalTime());
    }
    const bool hasObjective = route.latencyObjective.count() > 0;
    state->objective = hasObjective ? now + route.latencyObjective : state->deadline;
    v1::HopRequest &hop = state->hop;
    hop.set_service(targets_.pick(route));
    hop.set_attempt_id(metadata.attemptId);
    hop.set_method(std::string(request.method_string()));
    hop.set_target(std::string(request.target()));
    hop.set_must_not_repeat(route.kind == RequestKind::NonIdempotent);
    hop.set_origin_node(settings_.node.value());
    hop.set_route(route.name);
    hop.set_priority(route.priority);
    hop.set_caller_service(settings_.service);
    for (const ForwardedField &field : forwardableFields(request)) {
        v1::HeaderField *header = hop.add_headers();
        header->set_name(field.name);
        header->set_value(field.value);
    }
    hop.set_body(std::move(request.body()));
    const ServiceConfig *service = view_.routes().findService(hop.service());
    state->history.sharded = service != nullptr && service->sharded;
    state->history.objective = route.latencyObjective;
    state->history.idempotent = route.kind == RequestKind::Idempotent;
    state->history.maxAttempts = std::max<uint32_t>(1, route.maxAttempts);
    if (state->history.sharded && metadata.shardKey) {
        hop.set_keyed(true);
        hop.set_shard_key(metadata.shardKey->value());
    }
    state->fingerprint = fingerprintOf(hop);
    budgets_.try_emplace(hop.service(), settings_.retries).first->second.onRequest(now);
    return state;
}

v1::HopReply RequestRouter::refuseCrashing(const RequestState &state, TimePoint now)
{
    ++counters_.crashing;
    v1::HopReply reply = makeOutcomeReply(RequestStage::Received, RequestEnd::CrashesBackend);
    reply.set_retry_after_ms(crashes_.refusedFor(state.fingerprint, now).count());
    return reply;
}

asio::awaitable<v1::HopReply> RequestRouter::runAttempts(std::shared_ptr<RequestState> state)
{
    state->caller->onDisconnect([this, state]() {
        ++counters_.callersDisconnected;
        const auto cancel = [this, target = state->target, id = state->hop.request_id()]() {
            return sendCancel(target, id);
        };
        asio::co_spawn(context_, cancel, logFailureOf("cancellation"));
    });
    while (true) {
        v1::HopReply reply = co_await attempt(state);
        const TimePoint now = clock_.now();
        const AttemptResult end = toAttemptResult(reply);
        state->history.timeLeft = state->deadline - now;
        state->history.reached += end.reachedBackend ? 1 : 0;
        state->history.mayHaveRun |= end.outcome == Outcome::Unknown;
        if (reply.retry_after_ms() > 0) {
            const milliseconds given(reply.retry_after_ms());
            const bool replaces = state->retryAfter.count() == 0 || end.refusedEverywhere;
            state->retryAfter = replaces ? given : std::min(state->retryAfter, given);
        }
        const bool hasOwner = end.routingMayChange && recordNamedOwner(*state, reply);
        AttemptStep step = decideNextAttempt(end, state->history, AttemptLimits{});
        if (state->caller->isDisconnected()) {
            step = AttemptStep::Finish;
        }
        if (step == AttemptStep::RetryAnother && !takeRetry(*state, now)) {
            step = AttemptStep::Finish;
        }
        if (step == AttemptStep::Finish) {
            co_return finalReply(*state, std::move(reply), end);
        }
        if (end.outcome == Outcome::Done) {
            state->history.answered = true;
            state->earlierReply = std::move(reply);
        }
        if (step == AttemptStep::AwaitOwner && !hasOwner) {
            co_await awaitRouting(state);
        }
    }
}

v1::HopReply RequestRouter::finalReply(RequestState &state, v1::HopReply reply,
                                       const AttemptResult &end)
{
    switch (chooseFinalReply(end, state.history)) {
    case FinalReply::EarlierResponse:
        return std::move(state.earlierReply);
    case FinalReply::Unknown:
        return makeOutcomeReply(RequestStage::Sent, RequestEnd::ConnectionLost);
    case FinalReply::LastResult:
        break;
    }
    return reply;
}

RequestRouter::RouteCapacity &RequestRouter::capacityOf(const RequestState &state)
{
    if (capacitiesVersion_ != state.routes->version()) {
        capacitiesVersion_ = state.routes->version();
        capacities_.clear();
    }
    return capacities_[state.route->name];
}

bool RequestRouter::admit(RequestState &state)
{
    // Capacity at the owner of one key does not indicate capacity at the owners of others.
    if (state.history.sharded) {
        return true;
    }
    RouteCapacity &capacity = capacityOf(state);
    const bool admitted = capacity.throttle.admit(state.startedAt, random());
    if (!admitted) {
        ++counters_.throttled;
        state.retryAfter = capacity.retryAfter;
    }
    return admitted;
}

void RequestRouter::recordCapacity(const RequestState &state, const v1::HopReply &reply)
{
    if (state.history.sharded || state.routes->version() != capacitiesVersion_) {
        return;
    }
    RouteCapacity &capacity = capacityOf(state);
    const bool accepted = !isCapacityRefusal(reply);
    capacity.throttle.onEnd(accepted, clock_.now());
    if (!accepted) {
        capacity.retryAfter = state.retryAfter;
    }
}

bool RequestRouter::takeRetry(const RequestState &state, TimePoint now)
{
    FleetRetryBudget &budget
            = budgets_.try_emplace(state.hop.service(), settings_.retries).first->second;
    const bool taken = budget.tryTake(view_.members().size(), now);
    counters_.retries += taken ? 1 : 0;
    return taken;
}

asio::awaitable<void> RequestRouter::awaitRouting(std::shared_ptr<RequestState> state)
{
    const TimePoint begun = clock_.now();
    state->tried.clear();
    asio::steady_timer timer(context_, OwnerRetryInterval);
    const auto waiter = waiters_.insert(waiters_.end(), {state.get(), &timer});
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    waiters_.erase(waiter);
    state->history.ownerWaitSpent += clock_.now() - begun;
}

void RequestRouter::wakeWaiters()
{
    for (const Waiter &waiter : waiters_) {
        const RangeEntry *owner = findOwner(*waiter.state);
        const std::optional<RangeEntry> &seen = waiter.state->routingSeen;
        if (owner != nullptr && (!seen || !(owner->holder == seen->holder))) {
            waiter.timer->cancel();
        }
    }
}

std::vector<NodeId> RequestRouter::usableNodes(const std::vector<const MemberRecord *> &members,
                                               const RequestState &state, TimePoint now) const
{
    std::vector<NodeId> nodes;
    for (const MemberRecord *member : members) {
        if (state.tried.count(member->node) == 0 && !loads_.isBackingOff(member->node, now)) {
            nodes.push_back(member->node);
        }
    }
    return loads_.outliers().usable(nodes, now);
}

NodeId RequestRouter::chooseAny(RequestState &state)
{
    const TimePoint now = clock_.now();
    const std::vector<const MemberRecord *> &ready = view_.readyMembers(state.hop.service());
    state.history.candidates = static_cast<uint32_t>(ready.size());
    std::vector<NodeId> nodes;
    if (ready.size() > InstanceSampleSize) {
        std::vector<const MemberRecord *> drawn;
        std::sample(ready.begin(), ready.end(), std::back_inserter(drawn), InstanceSampleSize,
                    random_);
        nodes = usableNodes(drawn, state, now);
    }
    if (nodes.empty()) {
        nodes = usableNodes(ready, state, now);
    }
    std::vector<InstanceLoad> instances;
    for (const NodeId node : nodes) {
        const MemberRecord &member = *view_.findMember(node);
        instances.push_back(loads_.instanceLoad(node, member.failureDomain, member.slots));
    }
    return chooseInstance(instances, settings_.failureDomain, BalancerLimits{}, random(), random(),
                          now)
            .value_or(InvalidNode);
}

const RangeEntry *RequestRouter::findOwner(const RequestState &state) const
{
    const StoredTable *stored = view_.findTable(state.hop.service());
    return stored == nullptr ? nullptr : stored->table.find(ShardKey(state.hop.shard_key()));
}

/** @return Whether @p reply names an owner that is newer than the one known here. */
bool RequestRouter::recordNamedOwner(RequestState &state, const v1::HopReply &reply) const
{
    const KeyOwner named{NodeId(reply.owner_node()), Epoch(reply.epoch())};
    const RangeEntry *entry = findOwner(state);
    const bool isNewer = named.node != InvalidNode
                         && (entry == nullptr || named.fence > entry->fence)
                         && (!state.namedOwner || named.fence > state.namedOwner->fence);
    if (isNewer) {
        state.namedOwner = named;
    }
    return isNewer;
}

NodeId RequestRouter::chooseTarget(RequestState &state)
{
    if (!state.history.sharded) {
        return chooseAny(state);
    }
    const RangeEntry *entry = findOwner(state);
    state.routingSeen = entry == nullptr ? std::nullopt : std::optional<RangeEntry>(*entry);
    if (state.namedOwner && (entry == nullptr || state.namedOwner->fence > entry->fence)) {
        return state.namedOwner->node;
    }
    return entry == nullptr ? InvalidNode : entry->holder.node;
}

asio::awaitable<v1::HopReply> RequestRouter::attempt(std::shared_ptr<RequestState> state)
{
    const TimePoint now = clock_.now();
    if (crashes_.isRefused(state->fingerprint, now)) {
        co_return refuseCrashing(*state, now);
    }
    if (state->deadline <= now) {
        co_return makeOutcomeReply(RequestStage::Received, RequestEnd::DeadlineOver);
    }
    state->target = chooseTarget(*state);
    ++state->history.tried;
    const MemberRecord *member = view_.findMember(state->target);
    if (member == nullptr) {
        co_return makeOutcomeReply(RequestStage::Received, RequestEnd::NoBackend);
    }
    state->tried.insert(state->target);
    if (gate_.mayOutlive(state->deadline, now)) {
        // The process may end first and close the caller's connection while the request still
        // runs at another node.
        co_return makeOutcomeReply(RequestStage::Received, RequestEnd::NoBackend);
    }
    if (loads_.isBackingOff(state->target, now)) {
        // The keys of an unreachable node are served again when it is back or its lease has been
        // revoked, in seconds. Waiting for a connection would only delay the refusal.
        v1::HopReply reply = makeOutcomeReply(RequestStage::Received, RequestEnd::NoLease);
        reply.set_retry_after_ms(RetryAfterLostNode.count());
        co_return reply;
    }
    v1::HopRequest &hop = state->hop;
    hop.set_request_id(++lastRequestId_);
    hop.set_deadline_left_ms(timeUntil(state->deadline, now).count());
    hop.set_objective_left_ms(timeUntil(state->objective, now).count());
    const NodeId target = state->target;
    if (target == settings_.node) {
        loads_.onSent(target);
        v1::HopReply reply = co_await gate_.run(hop);
        loads_.onReply(target, reply, true, clock_.now());
        co_return reply;
    }
    ++counters_.forwarded;
    const MemberRecord peer = *member;
    co_return co_await forward(peer, std::move(state));
}

asio::awaitable<v1::HopReply> RequestRouter::forward(MemberRecord member,
                                                     std::shared_ptr<RequestState> state)
{
    v1::HopRequest &hop = state->hop;
    const milliseconds timeout = milliseconds(hop.deadline_left_ms()) + HopGrace;
    loads_.onSent(member.node);
    // The connection may still read the body after the call has ended, so it shares the state.
    PeerBody body(encodeHead(hop), std::shared_ptr<const std::string>(state, &hop.body()));
    Result<std::string> bytes
            = co_await peers_.callWithBody(member, HopPath, std::move(body), timeout);
    v1::HopReply reply;
    bool reached = bytes.has_value();
    if (!bytes) {
        const FailureCode code = bytes.assume_error().code;
        const bool neverSent = code == FailureCode::Unavailable || code == FailureCode::Overloaded;
        reached = code == FailureCode::Overloaded;
        reply = neverSent ? makeOutcomeReply(RequestStage::Received,
                                             reached ? RequestEnd::Overloaded
                                                     : RequestEnd::Unreachable)
                          : makeOutcomeReply(RequestStage::Sent, requestEndOfExchange(code, false));
        reply.set_reached_backend(!neverSent);
    } else if (!decodeMessage(std::move(bytes.assume_value()), reply) || !isAnswer(reply)) {
        reply = makeOutcomeReply(RequestStage::Sent, RequestEnd::InvalidResponse);
        reply.set_reached_backend(true);
    }
    const TimePoint now = clock_.now();
    loads_.onReply(member.node, reply, reached, now);
    readRevisions(member.node, reply, now);
    co_return reply;
}

asio::awaitable<bool> RequestRouter::probe(MemberRecord member)
{
    loads_.onSent(member.node);
    const Result<std::string> answer = co_await peers_.call(member, ProbePath, {}, ProbeTimeout);
    v1::HopReply reply;
    const bool answered = answer && reply.ParseFromString(answer.assume_value());
    const TimePoint now = clock_.now();
    loads_.onReply(member.node, reply, answered, now);
    readRevisions(member.node, reply, now);
    co_return answered;
}

void RequestRouter::addRevisions(v1::HopReply &reply) const
{
    if (revisions_ == nullptr) {
        return;
    }
    KnownRevisions known = revisions_->news();
    reply.mutable_news()->set_configuration(known[RecordKind::Configuration].value());
    reply.mutable_news()->set_members(known[RecordKind::Members].value());
    reply.mutable_news()->set_ranges(known[RecordKind::Ranges].value());
    reply.mutable_news()->set_evacuations(known[RecordKind::Evacuations].value());
}

void RequestRouter::readRevisions(NodeId peer, const v1::HopReply &reply, TimePoint now)
{
    if (revisions_ == nullptr || !reply.has_news()) {
        return;
    }
    const v1::StoreNews &received = reply.news();
    revisions_->onPeerRevisions(
            peer,
            {{RecordKind::Configuration, StoreRevision(received.configuration())},
             {RecordKind::Members, StoreRevision(received.members())},
             {RecordKind::Ranges, StoreRevision(received.ranges())},
             {RecordKind::Evacuations, StoreRevision(received.evacuations())}},
            now);
}

asio::awaitable<std::string> RequestRouter::onProbe()
{
    v1::HopReply reply;
    *reply.mutable_load() = gate_.load(clock_.now());
    addRevisions(reply);
    co_return reply.SerializeAsString();
}

asio::awaitable<std::string> RequestRouter::onHop(std::string body)
{
    v1::HopReply reply;
    v1::HopRequest hop;
    if (!decodeMessage(std::move(body), hop)) {
        reply = makeOutcomeReply(RequestStage::Received, RequestEnd::InvalidResponse);
    } else if (hop.cancel()) {
        gate_.cancel(hop.origin_node(), hop.request_id());
    } else {
        reply = co_await gate_.run(hop);
        addRevisions(reply);
    }
    co_return encodeReply(std::move(reply));
}

asio::awaitable<void> RequestRouter::sendCancel(NodeId target, uint64_t requestId)
{
    if (target == settings_.node) {
        gate_.cancel(settings_.node.value(), requestId);
        co_return;
    }
    const MemberRecord *member = view_.findMember(target);
    if (member == nullptr) {
        co_return;
    }
    v1::HopRequest hop;
    hop.set_cancel(true);
    hop.set_origin_node(settings_.node.value());
    hop.set_request_id(requestId);
    const MemberRecord copy = *member;
    std::string body = hop.SerializeAsString();
    (void)co_await peers_.call(copy, HopPath, std::move(body), CancelTimeout);
}

HttpResponse RequestRouter::makeResponse(const RequestState &state, v1::HopReply reply)
{
    const Outcome outcome = outcomeOf(reply);
    HttpResponse response;
    if (outcome == Outcome::Done) {
        ++counters_.served;
        response.result(reply.status());
        for (const v1::HeaderField &field : reply.headers()) {
            response.insert(field.name(), field.value());
        }
        response.body() = std::move(*reply.mutable_body());
    } else if (outcome == Outcome::NotRun) {
        ++counters_.notRun;
        // Callers that were refused at the same time would otherwise retry at the same time.
        constexpr double Spread = 0.5;
        const milliseconds base
                = state.retryAfter.count() > 0 ? state.retryAfter : DefaultRetryAfter;
        const double factor = 1 + Spread * random();
        const auto wait = std::chrono::duration_cast<milliseconds>(base * factor);
        response = refuse(http::status::service_unavailable, reply.reason(),
                          "The request has not run.", wait);
    } else {
        ++counters_.unknown;
        const bool deadlineExceeded = reply.reason() == "deadline-over";
        response = refuse(deadlineExceeded ? http::status::gateway_timeout
                                           : http::status::bad_gateway,
                          reply.reason(), "The request may have run.", milliseconds(0));
    }
    logEnd(state, reply, response.result_int());
    return response;
}

void RequestRouter::setRetryLimits(const FleetRetryLimits &retries)
{
    if (!(retries == settings_.retries)) {
        settings_.retries = retries;
        budgets_.clear();
    }
}

} // namespace wisteriahoist
