/** @file backend_gate.cpp The last point before the backend server beside this node. */

#include "duty/backend_gate.h"

#include "core/hash_func.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace {

/** A new connection to the same VM is there in about a millisecond, or not at all. */
constexpr milliseconds ConnectTimeout{300};
/**
 * Few requests run for longer. A node that has to stop while nobody can take its keys over serves
 * them to its end; a request that still runs then is cut off, and its caller can't tell whether it
 * has run. Turned away for so long before the end, it is told that it has not.
 */
constexpr milliseconds LongWork{1500};
/** Nobody is handed a request with less time than this: its answer could not come back in time. */
constexpr milliseconds LeastTimeLeft{10};

PoolLimits makePoolLimits()
{
    PoolLimits limits;
    limits.connect = ConnectTimeout;
    limits.unframed = true;
    limits.idleTime = std::chrono::seconds(8);
    return limits;
}

uint64_t kindOf(const v1::HopRequest &request)
{
    return hashKey(request.route(), 0).value();
}

milliseconds leftUntil(TimePoint end, TimePoint now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(end - now), milliseconds(1));
}

} // namespace

BackendGate::BackendGate(asio::io_context &context, const Clock &clock,
                         const RequestProtocol &protocol, const std::string &ip, uint16_t port,
                         BackendMonitor &monitor, KeyOwnership &holding)
    : context_(context), clock_(clock), protocol_(protocol), monitor_(monitor), holding_(holding),
      client_(context.get_executor(), ip, port, makePoolLimits())
{
    monitor_.setBusyCheck([this]() { return isWorking(); });
}

bool BackendGate::isWorking() const
{
    return std::any_of(calls_.begin(), calls_.end(), [](const auto &entry) {
        return entry.second->control->stage() == RequestStage::Sent;
    });
}

void BackendGate::onBackendChange()
{
    admission_.onSlots(monitor_.slots());
    wakeNext();
}

v1::BackendLoad BackendGate::load(TimePoint now)
{
    v1::BackendLoad load;
    load.set_running(admission_.running());
    // Others take a backend server that turns all away for as full as it acts.
    const uint32_t heldOff = breaker_.isOpen(now) ? admission_.slots() : 0;
    load.set_waiting(static_cast<uint32_t>(admission_.waiting()) + heldOff);
    load.set_slots(admission_.slots());
    const auto service = std::chrono::duration_cast<milliseconds>(admission_.serviceTime());
    load.set_service_ms(static_cast<uint32_t>(service.count()));
    load.set_busy_slots(holding_.demand(now));
    load.set_leaving(holding_.isLeaving());
    return load;
}

bool BackendGate::mayOutlive(TimePoint deadline, TimePoint now) const
{
    return endsAt_ && std::min(deadline, now + LongWork) > *endsAt_;
}

RequestEnd BackendGate::check(const v1::HopRequest &request, const Call &call, TimePoint now) const
{
    if (call.cancelled) {
        return RequestEnd::CallerGone;
    }
    if ((closed_ && !request.keyed()) || mayOutlive(call.deadline, now)
        || monitor_.state() != BackendState::Ready || monitor_.service() != request.service()) {
        return RequestEnd::NoBackend;
    }
    if (now + LeastTimeLeft >= call.deadline) {
        return RequestEnd::DeadlineOver;
    }
    return request.keyed() ? holding_.check(ShardKey(request.shard_key()), now) : RequestEnd::None;
}

asio::awaitable<v1::HopReply> BackendGate::run(v1::HopRequest request)
{
    v1::HopReply reply;
    const CallName name{request.origin_node(), request.request_id()};
    auto call = std::make_shared<Call>(context_);
    call->deadline = clock_.now() + milliseconds(request.deadline_left_ms());
    calls_[name] = call;
    co_await serve(request, call, reply);
    const auto found = calls_.find(name);
    if (found != calls_.end() && found->second == call) {
        calls_.erase(found);
    }
    *reply.mutable_load() = load(clock_.now());
    co_return reply;
}

asio::awaitable<void> BackendGate::serve(const v1::HopRequest &request, std::shared_ptr<Call> call,
                                         v1::HopReply &reply)
{
    RequestEnd refusal = check(request, *call, clock_.now());
    if (refusal != RequestEnd::None) {
        fillOutcome(reply, RequestStage::Received, refusal);
        nameOwner(request, refusal, reply);
        co_return;
    }
    if (!breaker_.allow(clock_.now())) {
        fillOutcome(reply, RequestStage::Received, RequestEnd::Overloaded);
        co_return;
    }
    refusal = co_await awaitSlot(request, call, reply);
    if (refusal != RequestEnd::None) {
        const int64_t retryAfter = reply.retry_after_ms();
        fillOutcome(reply, RequestStage::Queued, refusal);
        reply.set_retry_after_ms(std::max(retryAfter, reply.retry_after_ms()));
        co_return;
    }
    // What was checked before the wait may have changed: a queued request outlives the move of its
    // key, and would otherwise run beside the new holder's.
    refusal = check(request, *call, clock_.now());
    if (refusal != RequestEnd::None) {
        admission_.onEnd(kindOf(request), std::nullopt);
        fillOutcome(reply, RequestStage::Queued, refusal);
        nameOwner(request, refusal, reply);
        wakeNext();
        co_return;
    }
    co_await handOver(request, *call, reply);
}

/** A first node whose table is older than this one's sends the request on without a wait. */
void BackendGate::nameOwner(const v1::HopRequest &request, RequestEnd refusal,
                            v1::HopReply &reply) const
{
    if (refusal != RequestEnd::NotOwner) {
        return;
    }
    if (const std::optional<KeyOwner> owner = holding_.ownerOf(ShardKey(request.shard_key()))) {
        reply.set_owner_node(owner->node.value());
        reply.set_epoch(owner->fence.value());
    }
}

asio::awaitable<RequestEnd> BackendGate::awaitSlot(const v1::HopRequest &request,
                                                   std::shared_ptr<Call> call, v1::HopReply &reply)
{
    const TimePoint now = clock_.now();
    WorkItem item;
    item.id = ++lastId_;
    item.kind = kindOf(request);
    item.priority = request.priority();
    item.deadline = call->deadline;
    item.objective = now + milliseconds(request.objective_left_ms());
    const AdmissionDecision decision = admission_.offer(item, now);
    if (decision.step == AdmissionDecision::Step::Run) {
        co_return RequestEnd::None;
    }
    if (decision.step == AdmissionDecision::Step::Refuse) {
        reply.set_retry_after_ms(decision.retryAfter.count());
        if (request.keyed()) {
            holding_.recordBusyTime(ShardKey(request.shard_key()), admission_.serviceTime(), now);
        }
        co_return RequestEnd::Overloaded;
    }
    waiting_[item.id] = call;
    call->timer.expires_after(decision.queueDeadline - now);
    beast::error_code ignored;
    co_await call->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    waiting_.erase(item.id);
    if (call->granted) {
        co_return RequestEnd::None;
    }
    admission_.remove(item.id);
    co_return call->cancelled ? RequestEnd::CallerGone : RequestEnd::QueueTimeout;
}

asio::awaitable<void> BackendGate::handOver(const v1::HopRequest &request, Call &call,
                                            v1::HopReply &reply)
{
    const TimePoint startedAt = clock_.now();
    HttpRequest forwarded = makeForwardedRequest(request);
    BackendMetadata terms;
    terms.timeLeft = leftUntil(call.deadline, startedAt);
    terms.backend = monitor_.backend().id;
    terms.callerService = request.caller_service();
    protocol_.setMetadata(forwarded, terms);
    call.control->setResponseFilter([this, attemptId
                                           = request.attempt_id()](const HttpResponse &response) {
        return protocol_.classifyResponse(response, attemptId) != ResponseKind::WrongRequest;
    });
    const std::shared_ptr<ExchangeControl> control = call.control;
    Result<HttpResponse> answer
            = co_await client_.exchange(std::move(forwarded), terms.timeLeft, control);
    const TimePoint now = clock_.now();
    if (request.keyed()) {
        holding_.recordBusyTime(ShardKey(request.shard_key()), now - startedAt, now);
    }
    if (answer) {
        noteMonitorChange(monitor_.onAnswer(now));
        admission_.onEnd(kindOf(request), now - startedAt);
        if (duration_ != nullptr) {
            duration_->observe(std::chrono::duration<double>(now - startedAt).count());
        }
        fillFromAnswer(request, std::move(answer.assume_value()), reply);
    } else {
        admission_.onEnd(kindOf(request), std::nullopt);
        fillFromFailure(answer.assume_error(), call, reply);
    }
    wakeNext();
}

void BackendGate::fillFromAnswer(const v1::HopRequest &request, HttpResponse answer,
                                 v1::HopReply &reply)
{
    const ResponseKind kind = protocol_.classifyResponse(answer, request.attempt_id());
    if (kind == ResponseKind::WrongIncarnation) {
        fillOutcome(reply, RequestStage::Answered, RequestEnd::BackendRefused);
        noteMonitorChange(
                monitor_.onOtherIncarnation(protocol_.namedBackend(answer), clock_.now()));
    } else if (kind == ResponseKind::NotExecuted) {
        fillOutcome(reply, RequestStage::Answered, RequestEnd::BackendRefused);
        breaker_.onRefused(clock_.now());
    } else if (kind != ResponseKind::Complete || impliesNotExecuted(answer.result_int())) {
        // A bare 503 of a backend server does not prove that the request has not run; passed on,
        // the caller would take it for such a proof and repeat a booking.
        fillOutcome(reply, RequestStage::Sent, RequestEnd::BadAnswer);
    } else {
        fillAnswer(reply, std::move(answer), request.method() == "HEAD");
        breaker_.onRun();
    }
    reply.set_reached_backend(true);
}

void BackendGate::fillFromFailure(const Failure &failure, const Call &call, v1::HopReply &reply)
{
    const bool neverSent = failure.code == FailureCode::Unavailable;
    const RequestStage stage = neverSent ? RequestStage::Queued : call.control->stage();
    fillOutcome(reply, stage, endOfExchange(failure.code, call.control->isCancelled()));
    reply.set_reached_backend(!neverSent);
    if (call.control->isRefused()) {
        noteMonitorChange(monitor_.onRefusedConnection());
    }
    if (suspicion_ && !call.control->isCancelled()) {
        suspicion_();
    }
}

void BackendGate::wakeNext()
{
    for (auto id = admission_.takeNext(); id; id = admission_.takeNext()) {
        const auto found = waiting_.find(*id);
        if (found == waiting_.end() || found->second->cancelled) {
            admission_.onEnd(0, std::nullopt);
            continue;
        }
        found->second->granted = true;
        found->second->timer.cancel();
    }
}

void BackendGate::noteMonitorChange(bool changed)
{
    if (changed && monitorChanged_) {
        monitorChanged_();
    }
}

void BackendGate::cancel(uint64_t originNode, uint64_t requestId)
{
    const auto found = calls_.find({originNode, requestId});
    if (found == calls_.end()) {
        return;
    }
    found->second->cancelled = true;
    found->second->timer.cancel();
    found->second->control->cancel();
}

} // namespace wisteriahoist
