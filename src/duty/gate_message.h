/** @file gate_message.h The gate's messages: requests to the backend server, replies to the hop. */

#pragma once

#include "adapter/http/http_type.h"
#include "core/failure_type.h"
#include "decision/request/deduplication_table.h"
#include "decision/request/outcome_table.h"
#include "wisteriahoist/v1/control.pb.h"

namespace wisteriahoist {

/** What the backend server is told beside the request itself. */
struct BackendGrant {
    Epoch epoch;
    milliseconds expires{0};  ///< What is left of the lease.
    milliseconds deadline{0}; ///< What is left for the run.
};

/** @return The request as its caller sent it, without what belonged to the caller's connection. */
HttpRequest makeForwardedRequest(const v1::HopRequest &request);

/** @return The request as the backend server gets it. */
HttpRequest makeBackendRequest(const v1::HopRequest &request, const BackendGrant &grant);

/** Fills @p reply with what may be said of a request that ended at @p stage by @p end. */
void fillOutcome(v1::HopReply &reply, RequestStage stage, RequestEnd end);

/** Fills @p reply with the whole answer of the backend server. */
void fillAnswer(v1::HopReply &reply, HttpResponse response, bool headOnly);

/** @return The request as the deduplication table sees it. */
KeyedAttempt makeKeyedAttempt(const v1::HopRequest &request, TimePoint epochSince);

/** @return How an exchange that failed with @p code ended. @param cancelled By its caller's
 * leaving. */
RequestEnd endOfExchange(FailureCode code, bool cancelled);

/** @return The end of a request that the deduplication table did not let run. */
RequestEnd endOf(DeduplicationStep step);

} // namespace wisteriahoist
