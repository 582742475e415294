/** @file request_router.cpp Callers' requests: finds the route and the instance, tries, answers. */

#include "duty/request_router.h"

#include "adapter/http/header_rules.h"
#include "adapter/log/event_log.h"
#include "duty/ingress_message.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>

namespace wisteriahoist {

namespace {

constexpr std::string_view HopPath = "/hop";
constexpr std::string_view ProbePath = "/probe";

constexpr milliseconds ProbeTimeout{600};
/** Lets the gate's own verdict at the deadline (it may be "not run") arrive before the hop's. */
constexpr milliseconds HopGrace{20};
constexpr milliseconds CancelTimeout{500};
/** Between two questions to the owner of a key that is on its way; a new owner is asked at once. */
constexpr milliseconds OwnerPause{100};
/** The first configuration is read within a second of a node's start, or the store is away. */
constexpr milliseconds RetryConfig{1000};
/** A lost node's keys are served again after about three seconds. */
constexpr milliseconds RetryLost{1000};
/** Before other nodes have reported how long they will be full. */
constexpr milliseconds RetryDefault{200};
/** Instances that one request is weighed against; to look at each of hundreds costs more than it
 *  gains over the better of a few. */
constexpr size_t InstanceSample = 16;

milliseconds leftUntil(TimePoint end, TimePoint now)
{
    return std::chrono::duration_cast<milliseconds>(end - now);
}

AttemptEnd describe(const v1::HopReply &reply)
{
    AttemptEnd end;
    end.outcome = outcomeOf(reply);
    end.status = static_cast<uint16_t>(reply.status());
    end.reachedBackend = reply.reached_backend();
    end.routingMayChange = reply.reason() == "not-owner";
    end.backendAway = reply.reason() == "no-backend";
    return end;
}

/** @return Whether every node that was asked was full. */
bool isWithoutRoom(const v1::HopReply &reply)
{
    return outcomeOf(reply) == Outcome::NotRun
           && (reply.reason() == "overloaded" || reply.reason() == "patience-over");
}

} // namespace

RequestRouter::RequestRouter(asio::io_context &context, const Clock &clock,
                             const RequestProtocol &protocol, FleetView &view, PeerLoads &loads,
                             BackendGate &gate, PeerLink &peers, RouterSettings settings)
    : context_(context), clock_(clock), protocol_(protocol), view_(view), loads_(loads),
      gate_(gate), settings_(std::move(settings)), peers_(peers), random_(std::random_device{}())
{
    // A node that has restarted must not name its requests as its earlier life did: the gate may
    // still run one of those, and a cancellation would cut off the wrong one.
    lastRequest_ = random_();
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
        co_return refuse(http::status::service_unavailable, "no-configuration",
                         "No configuration is known yet.", RetryConfig);
    }
    const auto host = request[http::field::host];
    const auto target = request.target();
    const Route *route = routes->find({host.data(), host.size()}, {target.data(), target.size()});
    if (route == nullptr) {
        co_return refuse(http::status::not_found, "no-route", "No route matches.", milliseconds(0));
    }
    const Result<RequestMetadata> terms = protocol_.readMetadata(request);
    if (!terms) {
        co_return refuse(http::status::bad_request, "malformed-request",
                         terms.assume_error().context, milliseconds(0));
    }
    const std::shared_ptr<Work> work
            = makeWork(request, terms.assume_value(), *route, std::move(caller));
    work->routes = routes;
    if (work->history.sharded && !terms.assume_value().shardKey) {
        co_return refuse(http::status::bad_request, "malformed-request", "The key is missing.",
                         milliseconds(0));
    }
    if (!admit(*work)) {
        co_return makeAnswer(*work,
                             makeOutcomeReply(RequestStage::Received, RequestEnd::Overloaded));
    }
    ++open_;
    v1::HopReply reply = co_await runAttempts(work);
    --open_;
    work->caller->onDisconnect(nullptr);
    learnRoom(*work, reply);
    co_return makeAnswer(*work, std::move(reply));
}

std::shared_ptr<RequestRouter::Work>
RequestRouter::makeWork(const HttpRequest &request, const RequestMetadata &terms,
                        const Route &route, std::shared_ptr<DisconnectSignal> caller)
{
    const TimePoint now = clock_.now();
    auto work = std::make_shared<Work>();
    work->route = &route;
    work->caller = std::move(caller);
    work->startedAt = now;
    work->deadline = now + std::min(route.timeout, terms.timeLeft.value_or(route.timeout));
    const bool hasObjective = route.latencyObjective.count() > 0;
    work->objective = hasObjective ? now + route.latencyObjective : work->deadline;
    v1::HopRequest &hop = work->hop;
    hop.set_service(targets_.pick(route));
    hop.set_attempt_id(terms.attemptId);
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
    hop.set_body(request.body());
    const ServiceConfig *service = view_.routes().findService(hop.service());
    work->history.sharded = service != nullptr && service->sharded;
    work->history.objective = route.latencyObjective;
    work->history.idempotent = route.kind == RequestKind::Idempotent;
    work->history.maxAttempts = std::max<uint32_t>(1, route.maxAttempts);
    if (work->history.sharded && terms.shardKey) {
        hop.set_keyed(true);
        hop.set_shard_key(terms.shardKey->value());
    }
    budgets_.try_emplace(hop.service(), settings_.retries).first->second.onRequest(now);
    return work;
}

asio::awaitable<v1::HopReply> RequestRouter::runAttempts(std::shared_ptr<Work> work)
{
    work->caller->onDisconnect([this, work]() {
        ++counters_.callersDisconnected;
        const auto cancel = [this, target = work->target, id = work->hop.request_id()]() {
            return sendCancel(target, id);
        };
        asio::co_spawn(context_, cancel, asio::detached);
    });
    while (true) {
        v1::HopReply reply = co_await attempt(work);
        const TimePoint now = clock_.now();
        const AttemptEnd end = describe(reply);
        work->history.timeLeft = work->deadline - now;
        work->history.reached += end.reachedBackend ? 1 : 0;
        work->history.mayHaveRun |= end.outcome == Outcome::Unknown;
        if (reply.retry_after_ms() > 0) {
            const milliseconds given(reply.retry_after_ms());
            work->retryAfter
                    = work->retryAfter.count() == 0 ? given : std::min(work->retryAfter, given);
        }
        const bool hasOwner = end.routingMayChange && learnOwner(*work, reply);
        AttemptStep step = decideNextAttempt(end, work->history, AttemptLimits{});
        if (work->caller->isDisconnected()) {
            step = AttemptStep::Finish;
        }
        if (step == AttemptStep::RepeatAnother && !takeRepeat(*work, now)) {
            step = AttemptStep::Finish;
        }
        if (step == AttemptStep::Finish) {
            co_return finalReply(*work, std::move(reply), end);
        }
        if (end.outcome == Outcome::Done) {
            work->history.answered = true;
            work->earlierAnswer = std::move(reply);
        }
        if (step == AttemptStep::AwaitOwner && !hasOwner) {
            co_await awaitRouting(work);
        }
    }
}

v1::HopReply RequestRouter::finalReply(Work &work, v1::HopReply reply, const AttemptEnd &end)
{
    switch (chooseFinalAnswer(end, work.history)) {
    case FinalAnswer::EarlierAnswer:
        return std::move(work.earlierAnswer);
    case FinalAnswer::Unknown:
        return makeOutcomeReply(RequestStage::Sent, RequestEnd::ConnectionLost);
    case FinalAnswer::LastEnd:
        break;
    }
    return reply;
}

RequestRouter::RouteRoom &RequestRouter::roomOf(const Work &work)
{
    if (roomsVersion_ != work.routes->version()) {
        roomsVersion_ = work.routes->version();
        rooms_.clear();
    }
    return rooms_[work.route->name];
}

bool RequestRouter::admit(Work &work)
{
    // The room at a key's holder says nothing of the room at others.
    if (work.history.sharded) {
        return true;
    }
    RouteRoom &room = roomOf(work);
    const bool admitted = room.throttle.admit(work.startedAt, random());
    if (!admitted) {
        ++counters_.throttled;
        work.retryAfter = room.retryAfter;
    }
    return admitted;
}

void RequestRouter::learnRoom(const Work &work, const v1::HopReply &reply)
{
    if (work.history.sharded || work.routes->version() != roomsVersion_) {
        return;
    }
    RouteRoom &room = roomOf(work);
    const bool accepted = !isWithoutRoom(reply);
    room.throttle.onEnd(accepted, clock_.now());
    if (!accepted) {
        room.retryAfter = work.retryAfter;
    }
}

bool RequestRouter::takeRepeat(const Work &work, TimePoint now)
{
    FleetRetryBudget &budget
            = budgets_.try_emplace(work.hop.service(), settings_.retries).first->second;
    const bool taken = budget.tryTake(view_.members().size(), now);
    counters_.retries += taken ? 1 : 0;
    return taken;
}

asio::awaitable<void> RequestRouter::awaitRouting(std::shared_ptr<Work> work)
{
    const TimePoint begun = clock_.now();
    work->asked.clear();
    asio::steady_timer timer(context_, OwnerPause);
    const auto waiter = waiters_.insert(waiters_.end(), {work.get(), &timer});
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    waiters_.erase(waiter);
    work->history.awaitedOwner += clock_.now() - begun;
}

void RequestRouter::wakeWaiters()
{
    for (const Waiter &waiter : waiters_) {
        const RangeEntry *owner = findOwner(*waiter.work);
        const std::optional<RangeEntry> &seen = waiter.work->routingSeen;
        if (owner != nullptr && (!seen || !(owner->holder == seen->holder))) {
            waiter.timer->cancel();
        }
    }
}

std::vector<NodeId> RequestRouter::usableNodes(const std::vector<const MemberRecord *> &members,
                                               const Work &work, TimePoint now) const
{
    std::vector<NodeId> nodes;
    for (const MemberRecord *member : members) {
        if (work.asked.count(member->node) == 0 && !loads_.isShunned(member->node, now)) {
            nodes.push_back(member->node);
        }
    }
    return loads_.outliers().usable(nodes, now);
}

NodeId RequestRouter::chooseAny(Work &work)
{
    const TimePoint now = clock_.now();
    const std::vector<const MemberRecord *> &ready = view_.readyMembers(work.hop.service());
    work.history.candidates = static_cast<uint32_t>(ready.size());
    std::vector<NodeId> nodes;
    if (ready.size() > InstanceSample) {
        std::vector<const MemberRecord *> drawn;
        std::sample(ready.begin(), ready.end(), std::back_inserter(drawn), InstanceSample, random_);
        nodes = usableNodes(drawn, work, now);
    }
    if (nodes.empty()) {
        nodes = usableNodes(ready, work, now);
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

const RangeEntry *RequestRouter::findOwner(const Work &work) const
{
    const StoredTable *stored = view_.findTable(work.hop.service());
    return stored == nullptr ? nullptr : stored->table.find(ShardKey(work.hop.shard_key()));
}

/** @return Whether @p reply names an owner that is newer than what was known here. */
bool RequestRouter::learnOwner(Work &work, const v1::HopReply &reply) const
{
    const KeyOwner told{NodeId(reply.owner_node()), Epoch(reply.epoch())};
    const RangeEntry *entry = findOwner(work);
    const bool isNewer = told.node != InvalidNode && (entry == nullptr || told.fence > entry->fence)
                         && (!work.toldOwner || told.fence > work.toldOwner->fence);
    if (isNewer) {
        work.toldOwner = told;
    }
    return isNewer;
}

NodeId RequestRouter::chooseTarget(Work &work)
{
    if (!work.history.sharded) {
        return chooseAny(work);
    }
    const RangeEntry *entry = findOwner(work);
    work.routingSeen = entry == nullptr ? std::nullopt : std::optional<RangeEntry>(*entry);
    if (work.toldOwner && (entry == nullptr || work.toldOwner->fence > entry->fence)) {
        return work.toldOwner->node;
    }
    return entry == nullptr ? InvalidNode : entry->holder.node;
}

asio::awaitable<v1::HopReply> RequestRouter::attempt(std::shared_ptr<Work> work)
{
    const TimePoint now = clock_.now();
    work->target = chooseTarget(*work);
    ++work->history.asked;
    const MemberRecord *member = view_.findMember(work->target);
    if (member == nullptr) {
        co_return makeOutcomeReply(RequestStage::Received, RequestEnd::NoBackend);
    }
    work->asked.insert(work->target);
    if (gate_.mayOutlive(work->deadline, now)) {
        // Its caller's connection would be cut with this process while the request runs elsewhere.
        co_return makeOutcomeReply(RequestStage::Received, RequestEnd::NoBackend);
    }
    if (loads_.isShunned(work->target, now)) {
        // Its keys are served again when the node is back or its lease has been taken away, in
        // seconds: whoever waits here for a connection that cannot come is refused later instead.
        v1::HopReply reply = makeOutcomeReply(RequestStage::Received, RequestEnd::NoLease);
        reply.set_retry_after_ms(RetryLost.count());
        co_return reply;
    }
    v1::HopRequest &hop = work->hop;
    hop.set_request_id(++lastRequest_);
    hop.set_deadline_left_ms(leftUntil(work->deadline, now).count());
    hop.set_objective_left_ms(leftUntil(work->objective, now).count());
    const NodeId target = work->target;
    if (target == settings_.node) {
        loads_.onSent(target);
        v1::HopReply reply = co_await gate_.run(hop);
        loads_.onReply(target, reply, true, clock_.now());
        co_return reply;
    }
    ++counters_.forwarded;
    const MemberRecord peer = *member;
    co_return co_await forward(peer, hop);
}

asio::awaitable<v1::HopReply> RequestRouter::forward(MemberRecord member, const v1::HopRequest &hop)
{
    const milliseconds timeout = milliseconds(hop.deadline_left_ms()) + HopGrace;
    loads_.onSent(member.node);
    std::string body = hop.SerializeAsString();
    Result<std::string> bytes = co_await peers_.call(member, HopPath, std::move(body), timeout);
    v1::HopReply reply;
    bool reached = bytes.has_value();
    if (!bytes) {
        const FailureCode code = bytes.assume_error().code;
        const bool neverSent = code == FailureCode::Unavailable;
        reply = neverSent ? makeOutcomeReply(RequestStage::Received, RequestEnd::Unreachable)
                          : makeOutcomeReply(RequestStage::Sent, endOfExchange(code, false));
        reply.set_reached_backend(!neverSent);
    } else if (!reply.ParseFromString(bytes.assume_value())
               || reply.outcome() == v1::HOP_OUTCOME_UNSPECIFIED) {
        reply = makeOutcomeReply(RequestStage::Sent, RequestEnd::BadAnswer);
        reply.set_reached_backend(true);
    }
    const TimePoint now = clock_.now();
    loads_.onReply(member.node, reply, reached, now);
    hearNews(reply, now);
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
    hearNews(reply, now);
    co_return answered;
}

void RequestRouter::tellNews(v1::HopReply &reply) const
{
    if (news_ == nullptr) {
        return;
    }
    KnownRevisions known = news_->news();
    reply.mutable_news()->set_configuration(known[RecordKind::Configuration].value());
    reply.mutable_news()->set_members(known[RecordKind::Members].value());
    reply.mutable_news()->set_ranges(known[RecordKind::Ranges].value());
}

void RequestRouter::hearNews(const v1::HopReply &reply, TimePoint now)
{
    if (news_ == nullptr || !reply.has_news()) {
        return;
    }
    const v1::StoreNews &told = reply.news();
    news_->onPeerRevisions({{RecordKind::Configuration, StoreRevision(told.configuration())},
                            {RecordKind::Members, StoreRevision(told.members())},
                            {RecordKind::Ranges, StoreRevision(told.ranges())}},
                           now);
}

asio::awaitable<std::string> RequestRouter::onProbe()
{
    v1::HopReply reply;
    *reply.mutable_load() = gate_.load(clock_.now());
    tellNews(reply);
    co_return reply.SerializeAsString();
}

asio::awaitable<std::string> RequestRouter::onHop(std::string body)
{
    v1::HopReply reply;
    v1::HopRequest hop;
    if (!hop.ParseFromString(body)) {
        reply = makeOutcomeReply(RequestStage::Received, RequestEnd::BadAnswer);
    } else if (hop.cancel()) {
        gate_.cancel(hop.origin_node(), hop.request_id());
    } else {
        reply = co_await gate_.run(std::move(hop));
        tellNews(reply);
    }
    co_return reply.SerializeAsString();
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

HttpResponse RequestRouter::makeAnswer(const Work &work, v1::HopReply reply)
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
        // Callers that were refused together would come back together.
        constexpr double Spread = 0.5;
        const milliseconds base = work.retryAfter.count() > 0 ? work.retryAfter : RetryDefault;
        const double factor = 1 + Spread * random();
        const auto wait = std::chrono::duration_cast<milliseconds>(base * factor);
        response = refuse(http::status::service_unavailable, reply.reason(),
                          "The request has not run.", wait);
    } else {
        ++counters_.unknown;
        const bool late = reply.reason() == "deadline-over";
        response = refuse(late ? http::status::gateway_timeout : http::status::bad_gateway,
                          reply.reason(), "The request may have run.", milliseconds(0));
    }
    logEnd(work, reply, response.result_int());
    return response;
}

void RequestRouter::setRetryLimits(const FleetRetryLimits &retries)
{
    if (!(retries == settings_.retries)) {
        settings_.retries = retries;
        budgets_.clear();
    }
}

void RequestRouter::logEnd(const Work &work, const v1::HopReply &reply, unsigned status)
{
    const TimePoint now = clock_.now();
    const auto took = std::chrono::duration_cast<milliseconds>(now - work.startedAt);
    if (duration_ != nullptr) {
        duration_->observe(std::chrono::duration<double>(now - work.startedAt).count());
    }
    if (!lines_.tryTake(now)) {
        return;
    }
    lines_.log({{"request", work.hop.attempt_id()},
                {"route", work.route->name},
                {"config", work.routes->version()},
                {"service", work.hop.service()},
                {"key", work.hop.keyed() ? static_cast<int64_t>(work.hop.shard_key()) : -1},
                {"node", work.target.value()},
                {"asked", work.history.asked},
                {"reached", work.history.reached},
                {"status", status},
                {"reason", reply.reason()},
                {"running", reply.load().running()},
                {"waiting", reply.load().waiting()},
                {"ms", took.count()}});
}

} // namespace wisteriahoist
