/** @file ingress_message.cpp The ingress's messages: hops to owners, answers to callers. */

#include "duty/ingress_message.h"

#include "adapter/http/header_rules.h"

#include <algorithm>
#include <charconv>

namespace wisteriahoist {

namespace {

constexpr std::string_view TimeoutField = "Request-Timeout-Ms";
constexpr std::string_view KeyField = "Idempotency-Key";

/**
 * How long a caller may use an owner hint. Any length is safe, since ownership is checked at the
 * gate; a longer one only lets more callers go to a former owner first and pay one hop more.
 */
constexpr milliseconds HintTimeToLive{5000};

std::string makeAddress(const NodeAddress &address)
{
    const bool isIpv6 = address.ip.find(':') != std::string::npos;
    const std::string host = isIpv6 ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.callerPort);
}

void setOwnerHint(HttpResponse &response, const v1::HopReply &reply, const RoutingSnapshot &routing)
{
    response.set("Wisteriahoist-Owner",
                 std::to_string(reply.owner_node()) + ";epoch=" + std::to_string(reply.epoch()));
    const MemberInfo *owner = routing.findMember(NodeId(reply.owner_node()));
    if (owner == nullptr || owner->draining || reply.epoch() == 0) {
        return;
    }
    response.set("Wisteriahoist-Hint", makeAddress(owner->address)
                                               + ";first=" + std::to_string(reply.range_first())
                                               + ";last=" + std::to_string(reply.range_last())
                                               + ";epoch=" + std::to_string(reply.epoch())
                                               + ";ttl=" + std::to_string(HintTimeToLive.count()));
}

milliseconds readDeadline(const HttpRequest &request, milliseconds highest)
{
    const auto text = request[TimeoutField];
    uint32_t asked = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), asked);
    const bool valid = error == std::errc() && end == text.data() + text.size() && asked > 0;
    return valid ? std::min(milliseconds(asked), highest) : highest;
}

} // namespace

CallerTerms readMetadata(const HttpRequest &request, const RouteRule &rule)
{
    CallerTerms terms;
    terms.deadline = readDeadline(request, rule.deadline);
    const size_t keys = request.count(KeyField);
    if (rule.repetition == Repetition::Idempotent) {
        return terms;
    }
    if (keys == 0) {
        terms.refusal = rule.missingKey == MissingKey::Refuse ? RequestEnd::IdempotencyKeyMissing
                                                              : RequestEnd::None;
        return terms;
    }
    terms.idempotency = parseIdempotencyHeader(std::string_view(request[KeyField]));
    if (keys > 1 || !terms.idempotency) {
        terms.refusal = RequestEnd::IdempotencyKeyMalformed;
    }
    return terms;
}

v1::HopRequest makeHop(const HttpRequest &request, const ResolvedRequest &resolved,
                       const CallerTerms &terms)
{
    const RouteRule &rule = *resolved.rule;
    v1::HopRequest hop;
    hop.set_service(resolved.service->name);
    hop.set_key_hash(resolved.hash.value());
    hop.set_key(resolved.key);
    hop.set_keyed(rule.keyed);
    hop.set_method(std::string(request.method_string()));
    hop.set_target(std::string(request.target()));
    hop.set_must_not_repeat(rule.repetition == Repetition::MustNotRepeat);
    hop.set_refuse_unknown_age(rule.missingAge == MissingAge::Refuse);
    if (terms.idempotency) {
        hop.set_idempotency_key(terms.idempotency->key);
        hop.set_has_idempotency_age(terms.idempotency->age.has_value());
        hop.set_idempotency_age_ms(terms.idempotency->age.value_or(milliseconds(0)).count());
    }
    for (const ForwardedField &field : forwardableFields(request)) {
        v1::HeaderField *header = hop.add_headers();
        header->set_name(field.name);
        header->set_value(field.value);
    }
    hop.set_body(request.body());
    return hop;
}

v1::HopReply makeOutcomeReply(RequestStage stage, RequestEnd end)
{
    const OutcomeDecision verdict = decideOutcome(stage, end);
    v1::HopReply reply;
    reply.set_outcome(verdict.outcome == Outcome::NotRun ? v1::HOP_OUTCOME_NOT_RUN
                                                         : v1::HOP_OUTCOME_UNKNOWN);
    reply.set_status(verdict.status);
    reply.set_reason(std::string(verdict.reason));
    reply.set_retry_after_ms(verdict.retryAfter.count());
    return reply;
}

Outcome outcomeOf(const v1::HopReply &reply)
{
    switch (reply.outcome()) {
    case v1::HOP_OUTCOME_DONE:
        return Outcome::Done;
    case v1::HOP_OUTCOME_NOT_RUN:
        return Outcome::NotRun;
    default:
        return Outcome::Unknown;
    }
}

bool isAnswer(const v1::HopReply &reply)
{
    return reply.outcome() != v1::HOP_OUTCOME_UNSPECIFIED && isFinalStatus(reply.status())
           && std::all_of(reply.headers().begin(), reply.headers().end(),
                          [](const v1::HeaderField &field) {
                              return isValidField(field.name(), field.value());
                          });
}

HttpResponse makeCallerResponse(v1::HopReply reply, const RoutingSnapshot &routing)
{
    if (reply.outcome() == v1::HOP_OUTCOME_DONE) {
        HttpResponse response(static_cast<http::status>(reply.status()), 11);
        for (const v1::HeaderField &field : reply.headers()) {
            response.insert(field.name(), field.value());
        }
        response.set("Wisteriahoist-Outcome", "done");
        setOwnerHint(response, reply, routing);
        if (reply.replayed()) {
            response.set("Wisteriahoist-Replayed", "1");
        }
        response.body() = std::move(*reply.mutable_body());
        return response;
    }
    const bool notRun = reply.outcome() == v1::HOP_OUTCOME_NOT_RUN;
    Problem problem;
    problem.status = static_cast<http::status>(reply.status());
    problem.type = notRun ? "not-run" : "outcome-unknown";
    problem.detail = reply.reason();
    problem.retryAfter = milliseconds(reply.retry_after_ms());
    HttpResponse response = makeProblemResponse(problem);
    response.set("Wisteriahoist-Outcome", notRun ? "not-run" : "unknown");
    response.set("Wisteriahoist-Reason", reply.reason());
    return response;
}

HttpResponse makeRedirect(const MemberInfo &owner, const std::string &target)
{
    HttpResponse response(http::status::temporary_redirect, 11);
    response.set(http::field::location, "http://" + makeAddress(owner.address) + target);
    response.set("Wisteriahoist-Outcome", "not-run");
    return response;
}

} // namespace wisteriahoist
