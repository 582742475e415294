/** @file ingress_message.h The ingress's messages: hops to owners, answers to callers. */

#pragma once

#include "adapter/http/http_type.h"
#include "decision/request/deduplication_table.h"
#include "decision/request/outcome_table.h"
#include "decision/request/route_resolver.h"
#include "decision/routing/routing_snapshot.h"
#include "wisteriahoist/v1/control.pb.h"

#include <optional>

namespace wisteriahoist {

/** What the caller asked for beside its request. */
struct CallerTerms {
    milliseconds deadline{0};
    std::optional<IdempotencyHeader> idempotency;
    RequestEnd refusal = RequestEnd::None; ///< Not None: the terms break the rule.
};

/** Reads the deadline and the idempotency key that the caller set, within @p rule. */
CallerTerms readMetadata(const HttpRequest &request, const RouteRule &rule);

/** @return The request as it goes to the owner; ids and times are set for each try. */
v1::HopRequest makeHop(const HttpRequest &request, const ResolvedRequest &resolved,
                       const CallerTerms &terms);

/** @return A reply that says what may be said of a request that ended here. */
v1::HopReply makeOutcomeReply(RequestStage stage, RequestEnd end);

/** @return The answer to the caller for @p reply: outcome by status, header and body. */
HttpResponse makeCallerResponse(v1::HopReply reply, const RoutingSnapshot &routing);

/** @return 307 to the caller address of @p owner. */
HttpResponse makeRedirect(const MemberInfo &owner, const std::string &target);

Outcome outcomeOf(const v1::HopReply &reply);

/** @return Whether a caller can be answered with what another node has replied. */
bool isAnswer(const v1::HopReply &reply);

} // namespace wisteriahoist
