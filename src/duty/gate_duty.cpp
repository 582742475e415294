/** @file gate_duty.cpp The owner's gate: final admission before the backend server. */

#include "duty/gate_duty.h"

#include "duty/gate_message.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace {

constexpr milliseconds DrainPoll{2}; ///< Interval of checks for running requests of lost ranges.
/** Longest time for which a draining backend server runs requests of ranges not yet handed over. */
constexpr milliseconds DrainGrace{3000};
constexpr size_t WarmConnections = 4; ///< Opened in advance, since opening one takes about 1 ms.

milliseconds timeUntil(TimePoint end, TimePoint now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(end - now), milliseconds(1));
}

} // namespace

GateDuty::GateDuty(asio::io_context &context, const Clock &clock, NodeId self)
    : context_(context), clock_(clock), self_(self), slots_(context, clock, QueueLimits{})
{ }

asio::awaitable<Accepted> GateDuty::onGrant(GateGrant grant)
{
    const BackendInfo previous = grant_.backend;
    if (grant.backend.draining && !previous.draining) {
        drainingSince_ = clock_.now();
    }
    const bool routingChanged = grant.routing != grant_.routing;
    grant_ = std::move(grant);
    if (routingChanged) {
        applyRouting(clock_.now());
    }
    applyBackend(previous);
    // From here on the new grant applies and no request of a lost range is admitted. A request sent
    // earlier may still run; without the wait it would run at the same time as the next owner's.
    asio::steady_timer timer(context_);
    for (TimePoint now = clock_.now();
         inflight_.lastLostDeadline(grant_.routing.get(), self_, now) > now; now = clock_.now()) {
        timer.expires_after(DrainPoll);
        beast::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    Accepted accepted;
    accepted.loads.push_back(makeLoad(clock_.now()));
    co_return accepted;
}

ServiceLoad GateDuty::makeLoad(TimePoint now)
{
    LoadReport report = load_.report(now);
    return {grant_.backend.service, std::move(report.ranges), std::move(report.hotKeys)};
}

bool GateDuty::hasDrained(TimePoint now) const
{
    return grant_.backend.draining && now - drainingSince_ >= DrainGrace;
}

void GateDuty::applyRouting(TimePoint now)
{
    std::map<Epoch, TimePoint> since;
    size_t owned = 0;
    if (grant_.routing) {
        for (const auto &[service, table] : grant_.routing->tables) {
            for (const Slice &slice : table.slices()) {
                if (slice.owner == self_) {
                    ++owned;
                    const auto known = epochSince_.find(slice.epoch);
                    since[slice.epoch] = known == epochSince_.end() ? now : known->second;
                }
            }
        }
    }
    epochSince_ = std::move(since);
    ownedRanges_.store(owned, std::memory_order_relaxed);
}

void GateDuty::applyBackend(const BackendInfo &previous)
{
    const BackendInfo &backend = grant_.backend;
    const bool moved = backend.ip != previous.ip || backend.port != previous.port;
    if (!moved || backend.port == 0) {
        return;
    }
    client_ = std::make_shared<HttpClient>(context_.get_executor(), backend.ip, backend.port);
    slots_.onBackend(backend.slots);
    const auto preconnect = [client = client_]() { return client->preconnect(WarmConnections); };
    asio::co_spawn(context_, preconnect, asio::detached);
}

RequestEnd GateDuty::checkAdmission(const v1::HopRequest &request, Call &call,
                                    v1::HopReply &reply) const
{
    const bool served = client_ && grant_.backend.service == request.service();
    const TimePoint now = clock_.now();
    if (!served || hasDrained(now)) {
        return RequestEnd::NoBackend;
    }
    if (now >= call.deadline) {
        return RequestEnd::DeadlineOver;
    }
    if (!request.keyed()) {
        return RequestEnd::None;
    }
    if (now >= grant_.leaseUntil) {
        return RequestEnd::NoLease;
    }
    const Slice *slice = grant_.routing ? grant_.routing->findSlice(request.service(),
                                                                    KeyHash(request.key_hash()))
                                        : nullptr;
    if (slice == nullptr || slice->owner != self_) {
        return RequestEnd::NotOwner;
    }
    call.epoch = slice->epoch;
    reply.set_owner_node(self_.value());
    reply.set_epoch(slice->epoch.value());
    const auto &slices = grant_.routing->tables.at(request.service()).slices();
    const bool isLast = slice == &slices.back();
    reply.set_range_first(slice->first.value());
    reply.set_range_last(isLast ? UINT64_MAX : std::next(slice)->first.value() - 1);
    return RequestEnd::None;
}

TimePoint GateDuty::epochSince(const v1::HopRequest &request, TimePoint now) const
{
    const Slice *slice
            = request.keyed() && grant_.routing
                      ? grant_.routing->findSlice(request.service(), KeyHash(request.key_hash()))
                      : nullptr;
    // Without an owner each instance has its own table, and a request may have run at any of them.
    if (slice == nullptr) {
        return now;
    }
    const auto found = epochSince_.find(slice->epoch);
    return found == epochSince_.end() ? now : found->second;
}

asio::awaitable<v1::HopReply> GateDuty::onRequest(v1::HopRequest request)
{
    v1::HopReply reply;
    if (request.cancel()) {
        cancel(request);
        co_return reply;
    }
    openRequests_.fetch_add(1, std::memory_order_relaxed);
    const CallId name{request.origin_node(), request.request_id()};
    auto call = std::make_shared<Call>(context_);
    call->deadline = clock_.now() + milliseconds(request.deadline_left_ms());
    call->outlivesCaller = request.must_not_repeat() && !request.idempotency_key().empty();
    calls_[name] = call;
    co_await serve(request, *call, reply);
    const auto found = calls_.find(name);
    if (found != calls_.end() && found->second == call) {
        calls_.erase(found);
    }
    openRequests_.fetch_sub(1, std::memory_order_relaxed);
    co_return reply;
}

asio::awaitable<void> GateDuty::serve(const v1::HopRequest &request, Call &call,
                                      v1::HopReply &reply)
{
    const RequestEnd refusal = checkAdmission(request, call, reply);
    if (refusal != RequestEnd::None) {
        fillOutcome(reply, RequestStage::Received, refusal);
        co_return;
    }
    if (!call.outlivesCaller) {
        co_await run(request, call, reply);
        co_return;
    }
    if (!passesDeduplication(request, reply)) {
        co_return;
    }
    co_await run(request, call, reply);
    storeOutcome(request, reply);
}

bool GateDuty::passesDeduplication(const v1::HopRequest &request, v1::HopReply &reply)
{
    const TimePoint now = clock_.now();
    DeduplicationDecision decision
            = deduplication_.begin(makeKeyedAttempt(request, epochSince(request, now)), now);
    if (decision.step == DeduplicationStep::Run) {
        return true;
    }
    if (decision.step != DeduplicationStep::Replay) {
        fillOutcome(reply, RequestStage::Received, requestEndOf(decision.step));
        return false;
    }
    reply.ParseFromString(decision.response);
    reply.set_replayed(true);
    return false;
}

void GateDuty::storeOutcome(const v1::HopRequest &request, const v1::HopReply &reply)
{
    const std::string &key = request.idempotency_key();
    switch (reply.outcome()) {
    case v1::HOP_OUTCOME_DONE:
        deduplication_.finish(request.service(), key, reply.SerializeAsString(), clock_.now());
        break;
    case v1::HOP_OUTCOME_NOT_RUN:
        deduplication_.forget(request.service(), key);
        break;
    default:
        deduplication_.finish(request.service(), key, std::nullopt, clock_.now());
        break;
    }
}

asio::awaitable<void> GateDuty::run(const v1::HopRequest &request, Call &call, v1::HopReply &reply)
{
    const TimePoint queueDeadline = clock_.now() + milliseconds(request.patience_left_ms());
    const RequestEnd waited = co_await slots_.acquire(call.waiter, call.deadline, queueDeadline);
    if (waited != RequestEnd::None) {
        fillOutcome(reply, RequestStage::Queued, waited);
        co_return;
    }
    // A check made before a wait is not valid after it, so lease and owner are checked again as the
    // last step. Otherwise a queued request could be sent after its range has moved, and a backend
    // server without fencing would run it at the same time as the new owner's.
    const RequestEnd refusal = checkAdmission(request, call, reply);
    if (refusal != RequestEnd::None) {
        slots_.release(false);
        fillOutcome(reply, RequestStage::Queued, refusal);
        co_return;
    }
    if (request.keyed()) {
        load_.record(KeyHash(reply.range_first()), KeyHash(request.key_hash()), clock_.now());
    }
    co_await sendToBackend(request, call, reply);
}

BackendGrant GateDuty::makeGrant(const v1::HopRequest &request, const Call &call,
                                 TimePoint now) const
{
    BackendGrant grant;
    grant.epoch = call.epoch;
    grant.deadline = timeUntil(call.deadline, now);
    if (request.keyed()) {
        grant.expires = timeUntil(grant_.leaseUntil, now);
        // A backend server that does not check the grant cannot refuse after the lease has expired,
        // so the request must end within the lease: the next owner waits only for its expiry.
        if (grant_.backend.grantMode == GrantMode::Unchecked) {
            grant.deadline = std::min(grant.deadline, grant.expires);
        }
    }
    return grant;
}

asio::awaitable<void> GateDuty::sendToBackend(const v1::HopRequest &request, Call &call,
                                              v1::HopReply &reply)
{
    const TimePoint now = clock_.now();
    const BackendGrant grant = makeGrant(request, call, now);
    uint64_t inflightId = 0;
    if (request.keyed()) {
        InflightRequest inflight{request.service(), KeyHash(request.key_hash()), call.epoch,
                                 now + grant.deadline};
        inflightId = inflight_.begin(std::move(inflight));
    }
    call.sent = true;
    const std::shared_ptr<HttpClient> client = client_;
    HttpRequest forwarded = makeBackendRequest(request, grant);
    Result<HttpResponse> answer
            = co_await client->exchange(std::move(forwarded), grant.deadline, call.control);
    const bool neverSent = !answer && answer.assume_error().code == FailureCode::Unavailable;
    inflight_.end(inflightId, answer.has_value() || neverSent, clock_.now());
    const bool shed = answer && answer.assume_value().count("Not-Run") > 0;
    slots_.release(shed);
    if (!answer) {
        const RequestStage stage = neverSent ? RequestStage::Queued : call.control->stage();
        fillOutcome(reply, stage,
                    requestEndOfExchange(answer.assume_error().code, call.control->isCancelled()));
    } else if (shed) {
        fillOutcome(reply, RequestStage::Answered, RequestEnd::BackendRefused);
    } else {
        fillResponse(reply, std::move(answer.assume_value()), request.method() == "HEAD");
    }
}

void GateDuty::cancel(const v1::HopRequest &request)
{
    const auto found = calls_.find({request.origin_node(), request.request_id()});
    if (found == calls_.end()) {
        return;
    }
    Call &call = *found->second;
    if (!call.sent) {
        SlotQueue::cancel(*call.waiter);
        return;
    }
    // A request whose response is stored for retries continues. If it were cancelled, the outcome
    // would stay unknown to a caller that may only have changed networks.
    if (!call.outlivesCaller) {
        call.control->cancel();
    }
}

} // namespace wisteriahoist
