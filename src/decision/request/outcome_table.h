/** @file outcome_table.h The only place that decides what is reported about a failed request. */

#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wisteriahoist {

/** Progress of a request, as far as it is known for certain. */
enum class RequestStage {
    Received,       ///< At the ingress node; nothing was sent.
    Queued,         ///< In the queue of the owner's gate.
    Sent,           ///< Sent to the backend server or to the owner's node; end not observed.
    PartlySent,     ///< Partly written to the backend server.
    PartlyAnswered, ///< The response was partly read.
    Answered,       ///< The complete response was read.
};
inline constexpr size_t RequestStageCount = 6;

/** How a request ended. */
enum class RequestEnd {
    None,               ///< Without a failure.
    BackendRefused,     ///< The backend server stated that it did not run it (load shed, fenced).
    NotOwner,           ///< This gate does not own the key.
    NoLease,            ///< This gate's lease has expired.
    NoBackend,          ///< There is no backend server, or it is draining.
    Overloaded,         ///< A bounded queue or ring buffer was full.
    QueueTimeout,       ///< It was queued for the longest time that the rule allows.
    Unreachable,        ///< No connection could be opened.
    DeadlineOver,       ///< The deadline passed.
    ConnectionLost,     ///< The connection ended, or was silent for too long.
    InvalidResponse,    ///< The response violated the protocol, or its length did not match.
    CallerDisconnected, ///< The caller closed its connection.
    IdempotencyKeyMissing,     ///< The rule requires an idempotency key.
    IdempotencyKeyMalformed,   ///< The idempotency key cannot be parsed.
    IdempotencyKeyReused,      ///< The idempotency key was used for a different request.
    DeduplicationTableFull,    ///< The gate cannot store another idempotency key.
    IdempotencyKeyInProgress,  ///< The first request with this idempotency key is still running.
    IdempotencyOutcomeUnknown, ///< The first request with this idempotency key ended with unknown
                               ///< outcome.
    RateLimited,               ///< The backend server takes no more requests a second.
    CrashesBackend,            ///< Several backend servers have ended under the same request.
    IdempotencyKeyTooOld, ///< The idempotency key predates this ownership; a previous owner may
                          ///< have run the request.
};
inline constexpr size_t RequestEndCount = 21;

/** What is known about whether a request ran. */
enum class Outcome {
    Done,    ///< It ran, and this is the complete response.
    NotRun,  ///< It provably did not run; a retry is safe.
    Unknown, ///< It may have run.
};

/** Outcome of one request and the response for its caller. */
struct OutcomeDecision {
    Outcome outcome = Outcome::Unknown;
    uint16_t status = 504;      ///< HTTP status for the caller.
    std::string_view reason;    ///< Stable name of the RequestEnd.
    milliseconds retryAfter{0}; ///< When the caller should retry; 0: not stated.
};

/** @return The outcome of a request that had reached @p stage and ended with @p end. */
OutcomeDecision decideOutcome(RequestStage stage, RequestEnd end);

} // namespace wisteriahoist
