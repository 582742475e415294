/** @file gate_message.h Messages of the gate: requests to the backend server, replies to hops. */

#pragma once

#include "adapter/http/http_type.h"
#include "core/failure_type.h"
#include "decision/request/deduplication_table.h"
#include "decision/request/outcome_table.h"
#include "decision/request/request_fingerprint.h"
#include "wisteriahoist/v1/control.pb.h"

namespace wisteriahoist {

/** Grant metadata that is sent to the backend server with a request. */
struct BackendGrant {
    Epoch epoch;
    milliseconds expires{0};  ///< Remaining time of the lease.
    milliseconds deadline{0}; ///< Remaining time for the request.
};

/** @return The head of the request as its caller sent it, without hop-by-hop headers. */
HttpRequest makeForwardedHead(const v1::HopRequest &request);

/** @return What identifies @p request over all attempts of its callers. */
RequestFingerprint fingerprintOf(const v1::HopRequest &request);

/** @return The request as it is sent to the backend server. */
HttpRequest makeBackendRequest(const v1::HopRequest &request, const BackendGrant &grant);

/** Sets @p reply to the outcome of a request that had reached @p stage and ended with @p end. */
void fillOutcome(v1::HopReply &reply, RequestStage stage, RequestEnd end);

/** Sets @p reply to the complete response of the backend server. */
void fillResponse(v1::HopReply &reply, HttpResponse response, bool headOnly);

/** @return The input of the deduplication table for @p request. */
KeyedAttempt makeKeyedAttempt(const v1::HopRequest &request, TimePoint epochSince);

/** @return How an exchange that failed with @p code ended. @param cancelled Whether it was
 *          cancelled because its caller has disconnected. */
RequestEnd requestEndOfExchange(FailureCode code, bool cancelled);

/** @return How a request ended that the deduplication table did not allow to run. */
RequestEnd requestEndOf(DeduplicationStep step);

} // namespace wisteriahoist
