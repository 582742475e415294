/** @file outcome_table.h The one place that says what a caller may be told after a failure. */

#pragma once

#include "core/time_type.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wisteriahoist {

/** How far a request had come, seen from the last point that is known for certain. */
enum class RequestStage {
    Received,       ///< At the first node; nothing was sent on.
    Queued,         ///< In the owner gate's queue.
    Sent,           ///< On its way to the backend server, or to the owner's node; end not seen.
    PartlySent,     ///< A part of it was written to the backend server.
    PartlyAnswered, ///< A part of the answer was read.
    Answered,       ///< The whole answer was read.
};
inline constexpr size_t RequestStageCount = 6;

/** What ended a request. */
enum class RequestEnd {
    None,                    ///< Nothing went wrong.
    BackendRefused,          ///< The backend server said that it had not run it (shed, fenced off).
    NotOwner,                ///< This gate does not own the key.
    NoLease,                 ///< This gate's lease has lapsed.
    NoBackend,               ///< No backend server, or it drains.
    Overloaded,              ///< A bounded queue or ring was full.
    QueueTimeout,            ///< It queued for as long as the rule allows.
    Unreachable,             ///< No connection could be opened.
    DeadlineOver,            ///< The deadline passed.
    ConnectionLost,          ///< The connection ended, or went silent past its bound.
    BadAnswer,               ///< The answer broke the protocol, or its length did not match.
    CallerGone,              ///< The caller closed its connection.
    IdempotencyKeyMissing,   ///< The rule asks for an idempotency key.
    IdempotencyKeyMalformed, ///< The idempotency key cannot be read.
    IdempotencyKeyReused,    ///< The idempotency key was used for another request.
    DeduplicationTableFull,  ///< The gate cannot remember one more key.
    IdempotencyKeyInProgress,  ///< The first sending of this key still runs.
    IdempotencyOutcomeUnknown, ///< The first sending of this key ended without a known answer.
    IdempotencyKeyTooOld, ///< The key is older than this ownership; an earlier owner may have run
                          ///< it.
};
inline constexpr size_t RequestEndCount = 19;

/** What may be said about a request. */
enum class Outcome {
    Done,    ///< It ran, and this is the whole answer.
    NotRun,  ///< It provably did not run; asking again is safe.
    Unknown, ///< It may have run.
};

/** The verdict on one request. */
struct OutcomeDecision {
    Outcome outcome = Outcome::Unknown;
    uint16_t status = 504;      ///< HTTP status for the caller.
    std::string_view reason;    ///< Stable name of the end.
    milliseconds retryAfter{0}; ///< When to come back; 0 unless NotRun.
};

/** @return What may be said of a request that ended at @p stage by @p end. */
OutcomeDecision decideOutcome(RequestStage stage, RequestEnd end);

} // namespace wisteriahoist
