/** @file gate_message.cpp Messages of the gate to the backend server and to other nodes. */

#include "duty/gate_message.h"

#include "adapter/http/header_rules.h"
#include "core/hash_func.h"

namespace wisteriahoist {

HttpRequest makeForwardedHead(const v1::HopRequest &request)
{
    HttpRequest forwarded;
    forwarded.method_string(request.method());
    forwarded.target(request.target());
    for (const v1::HeaderField &field : request.headers()) {
        forwarded.insert(field.name(), field.value());
    }
    return forwarded;
}

RequestFingerprint fingerprintOf(const v1::HopRequest &request)
{
    RequestContent content;
    content.method = request.method();
    content.target = request.target();
    content.callerService = request.caller_service();
    content.body = request.body();
    if (request.keyed()) {
        content.key = request.shard_key();
    }
    for (const v1::HeaderField &field : request.headers()) {
        if (beast::iequals(field.name(), "Host")) {
            content.host = field.value();
        }
    }
    return fingerprintOf(content);
}

HttpRequest makeBackendRequest(const v1::HopRequest &request, const BackendGrant &grant)
{
    HttpRequest forwarded = makeForwardedHead(request);
    forwarded.body() = request.body();
    if (request.keyed()) {
        forwarded.set("Wisteriahoist-Key", request.key());
        forwarded.set("Wisteriahoist-Epoch", std::to_string(grant.epoch.value()));
        forwarded.set("Wisteriahoist-Grant-Expires-Ms", std::to_string(grant.expires.count()));
    }
    forwarded.set("Wisteriahoist-Deadline-Ms", std::to_string(grant.deadline.count()));
    return forwarded;
}

void fillOutcome(v1::HopReply &reply, RequestStage stage, RequestEnd end)
{
    const OutcomeDecision verdict = decideOutcome(stage, end);
    reply.set_outcome(verdict.outcome == Outcome::NotRun ? v1::HOP_OUTCOME_NOT_RUN
                                                         : v1::HOP_OUTCOME_UNKNOWN);
    reply.set_status(verdict.status);
    reply.set_reason(std::string(verdict.reason));
    reply.set_retry_after_ms(verdict.retryAfter.count());
}

void fillResponse(v1::HopReply &reply, HttpResponse response, bool headOnly)
{
    reply.set_outcome(v1::HOP_OUTCOME_DONE);
    reply.set_status(response.result_int());
    for (const ForwardedField &field : forwardableFields(response)) {
        v1::HeaderField *header = reply.add_headers();
        header->set_name(field.name);
        header->set_value(field.value);
    }
    const auto length = response.find(http::field::content_length);
    if (headOnly && length != response.end()) {
        v1::HeaderField *header = reply.add_headers();
        header->set_name("Content-Length");
        header->set_value(std::string(length->value()));
    }
    reply.set_body(std::move(response.body()));
}

KeyedAttempt makeKeyedAttempt(const v1::HopRequest &request, TimePoint epochSince)
{
    KeyedAttempt attempt;
    attempt.service = request.service();
    attempt.idempotencyKey = request.idempotency_key();
    const std::string content = request.method() + ' ' + request.target() + '\n' + request.body();
    attempt.fingerprint = std::to_string(hashKey(content, 0).value());
    if (request.has_idempotency_age()) {
        attempt.age = milliseconds(request.idempotency_age_ms());
    }
    attempt.refuseUnknownAge = request.refuse_unknown_age();
    attempt.epochSince = epochSince;
    return attempt;
}

RequestEnd requestEndOfExchange(FailureCode code, bool cancelled)
{
    if (cancelled) {
        return RequestEnd::CallerDisconnected;
    }
    switch (code) {
    case FailureCode::Unavailable:
        return RequestEnd::Unreachable;
    case FailureCode::DeadlineExceeded:
        return RequestEnd::DeadlineOver;
    case FailureCode::Malformed:
        return RequestEnd::InvalidResponse;
    default:
        return RequestEnd::ConnectionLost;
    }
}

RequestEnd requestEndOf(DeduplicationStep step)
{
    switch (step) {
    case DeduplicationStep::InProgress:
        return RequestEnd::IdempotencyKeyInProgress;
    case DeduplicationStep::Reused:
        return RequestEnd::IdempotencyKeyReused;
    case DeduplicationStep::OutcomeUnknown:
        return RequestEnd::IdempotencyOutcomeUnknown;
    case DeduplicationStep::OlderThanEpoch:
        return RequestEnd::IdempotencyKeyTooOld;
    case DeduplicationStep::TableFull:
        return RequestEnd::DeduplicationTableFull;
    case DeduplicationStep::Run:
    case DeduplicationStep::Replay:
        break;
    }
    return RequestEnd::None;
}

} // namespace wisteriahoist
