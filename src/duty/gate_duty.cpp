/** @file gate_duty.cpp The owner gate: the last point before the backend server. */

#include "duty/gate_duty.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace wisteriahoist {

namespace {

constexpr milliseconds RetryAfterNoLease{200};
constexpr milliseconds RetryAfterFull{100};
constexpr milliseconds DrainPoll{2}; ///< How often a lost range's running requests are looked at.

void refuse(v1::HopReply &reply, http::status status, const char *reason, milliseconds retryAfter)
{
    reply.set_outcome(v1::HOP_OUTCOME_NOT_RUN);
    reply.set_status(static_cast<uint32_t>(status));
    reply.set_reason(reason);
    reply.set_retry_after_ms(retryAfter.count());
}

bool isHopByHop(http::field field)
{
    return field == http::field::connection || field == http::field::keep_alive
           || field == http::field::transfer_encoding || field == http::field::content_length
           || field == http::field::te || field == http::field::upgrade
           || field == http::field::proxy_connection || field == http::field::trailer;
}

} // namespace

GateDuty::GateDuty(asio::io_context &context, const Clock &clock, NodeId self)
    : context_(context), clock_(clock), self_(self)
{ }

asio::awaitable<Accepted> GateDuty::onGrant(GateGrant grant)
{
    const bool moved
            = grant.backend.ip != grant_.backend.ip || grant.backend.port != grant_.backend.port;
    grant_ = std::move(grant);
    if (moved && grant_.backend.port != 0) {
        client_ = std::make_shared<HttpClient>(context_.get_executor(), grant_.backend.ip,
                                               grant_.backend.port);
    }
    // The new grant is in force from here on: nothing of a lost range is admitted any more. What
    // was handed over before may still run; without the wait the next owner would run beside it.
    asio::steady_timer timer(context_);
    for (TimePoint now = clock_.now(); inflight_.lostUntil(grant_.routing.get(), self_, now) > now;
         now = clock_.now()) {
        timer.expires_after(DrainPoll);
        beast::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return Accepted{};
}

bool GateDuty::admit(const v1::HopRequest &request, TimePoint now, v1::HopReply &reply) const
{
    const bool served = client_ && grant_.backend.service == request.service();
    if (!served || grant_.backend.draining) {
        refuse(reply, http::status::service_unavailable, "no-backend", RetryAfterNoLease);
        return false;
    }
    if (running_ >= grant_.backend.slots) {
        refuse(reply, http::status::service_unavailable, "slots-full", RetryAfterFull);
        return false;
    }
    if (!request.keyed()) {
        return true;
    }
    // A check made before a pause is worthless after it, so the lease is read here, last.
    if (now >= grant_.leaseUntil) {
        refuse(reply, http::status::service_unavailable, "no-lease", RetryAfterNoLease);
        return false;
    }
    const Slice *slice = grant_.routing ? grant_.routing->findSlice(request.service(),
                                                                    KeyHash(request.key_hash()))
                                        : nullptr;
    if (slice == nullptr || slice->owner != self_) {
        refuse(reply, http::status::misdirected_request, "not-owner", milliseconds(0));
        return false;
    }
    reply.set_owner_node(self_.value());
    reply.set_epoch(slice->epoch.value());
    return true;
}

HttpRequest GateDuty::makeBackendRequest(const v1::HopRequest &request, Epoch epoch,
                                         milliseconds deadlineLeft) const
{
    HttpRequest forwarded;
    forwarded.method_string(request.method());
    forwarded.target(request.target());
    for (const v1::HeaderField &field : request.headers()) {
        if (!isHopByHop(http::string_to_field(field.name()))) {
            forwarded.insert(field.name(), field.value());
        }
    }
    if (request.keyed()) {
        forwarded.set("Wisteriahoist-Key", request.key());
        forwarded.set("Wisteriahoist-Epoch", std::to_string(epoch.value()));
    }
    forwarded.set("Wisteriahoist-Deadline-Ms", std::to_string(deadlineLeft.count()));
    forwarded.body() = request.body();
    return forwarded;
}

asio::awaitable<v1::HopReply> GateDuty::onRequest(v1::HopRequest request)
{
    v1::HopReply reply;
    const TimePoint now = clock_.now();
    if (!admit(request, now, reply)) {
        co_return reply;
    }
    milliseconds deadlineLeft(request.deadline_left_ms());
    if (request.keyed()) {
        const auto leaseLeft = std::chrono::duration_cast<milliseconds>(grant_.leaseUntil - now);
        deadlineLeft = std::min(deadlineLeft, std::max(leaseLeft, milliseconds(1)));
    }
    const std::shared_ptr<HttpClient> client = client_;
    ++running_;
    uint64_t inflightId = 0;
    if (request.keyed()) {
        InflightRequest inflight{request.service(), KeyHash(request.key_hash()),
                                 Epoch(reply.epoch()), now + deadlineLeft};
        inflightId = inflight_.begin(std::move(inflight));
    }
    Result<HttpResponse> answer = co_await client->exchange(
            makeBackendRequest(request, Epoch(reply.epoch()), deadlineLeft), deadlineLeft);
    --running_;
    const bool neverSent = !answer && answer.assume_error().code == FailureCode::Unavailable;
    inflight_.end(inflightId, answer.has_value() || neverSent, clock_.now());
    if (!answer) {
        reply.set_outcome(neverSent ? v1::HOP_OUTCOME_NOT_RUN : v1::HOP_OUTCOME_UNKNOWN);
        reply.set_status(neverSent ? 503 : 504);
        reply.set_reason(std::string(failureName(answer.assume_error().code)));
        reply.set_retry_after_ms(neverSent ? RetryAfterNoLease.count() : 0);
        co_return reply;
    }
    HttpResponse &response = answer.assume_value();
    if (response.find("Not-Run") != response.end()) {
        refuse(reply, http::status::service_unavailable, "shed", RetryAfterFull);
        co_return reply;
    }
    reply.set_outcome(v1::HOP_OUTCOME_DONE);
    reply.set_status(response.result_int());
    for (const auto &field : response) {
        if (!isHopByHop(field.name())) {
            v1::HeaderField *header = reply.add_headers();
            header->set_name(std::string(field.name_string()));
            header->set_value(std::string(field.value()));
        }
    }
    reply.set_body(std::move(response.body()));
    co_return reply;
}

} // namespace wisteriahoist
