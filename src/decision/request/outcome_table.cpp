/** @file outcome_table.cpp Decides what is reported to the caller of a failed request. */

#include "decision/request/outcome_table.h"

namespace wisteriahoist {

namespace {

constexpr milliseconds RetrySoon{100};    ///< Slots become free within this time.
constexpr milliseconds RetryOwner{200};   ///< A routing change is received within this time.
constexpr milliseconds RetryBackend{500}; ///< A backend server is announced within this time.

std::string_view endName(RequestEnd end)
{
    switch (end) {
    case RequestEnd::None:
        return "done";
    case RequestEnd::BackendRefused:
        return "shed";
    case RequestEnd::NotOwner:
        return "not-owner";
    case RequestEnd::NoLease:
        return "no-lease";
    case RequestEnd::NoBackend:
        return "no-backend";
    case RequestEnd::Overloaded:
        return "overloaded";
    case RequestEnd::QueueTimeout:
        return "patience-over";
    case RequestEnd::Unreachable:
        return "unreachable";
    case RequestEnd::DeadlineOver:
        return "deadline-over";
    case RequestEnd::ConnectionLost:
        return "connection-lost";
    case RequestEnd::InvalidResponse:
        return "bad-answer";
    case RequestEnd::CallerDisconnected:
        return "caller-gone";
    case RequestEnd::IdempotencyKeyMissing:
        return "idempotency-key-missing";
    case RequestEnd::IdempotencyKeyMalformed:
        return "idempotency-key-malformed";
    case RequestEnd::IdempotencyKeyReused:
        return "idempotency-key-reused";
    case RequestEnd::DeduplicationTableFull:
        return "idempotency-table-full";
    case RequestEnd::IdempotencyKeyInProgress:
        return "idempotency-key-in-progress";
    case RequestEnd::IdempotencyOutcomeUnknown:
        return "idempotency-key-outcome-lost";
    case RequestEnd::RateLimited:
        return "rate-limited";
    case RequestEnd::CrashesBackend:
        return "crashes-backend";
    case RequestEnd::IdempotencyKeyTooOld:
        return "idempotency-key-older-than-epoch";
    }
    return "unknown";
}

uint16_t notRunStatus(RequestEnd end)
{
    switch (end) {
    case RequestEnd::NotOwner:
        return 421;
    case RequestEnd::CallerDisconnected:
        return 499;
    case RequestEnd::DeadlineOver:
        return 504;
    case RequestEnd::IdempotencyKeyMissing:
    case RequestEnd::IdempotencyKeyMalformed:
        return 400;
    case RequestEnd::IdempotencyKeyReused:
        return 422;
    default:
        return 503;
    }
}

milliseconds retryAfterOf(RequestEnd end)
{
    switch (end) {
    case RequestEnd::NotOwner:
    case RequestEnd::NoLease:
    case RequestEnd::Unreachable:
        return RetryOwner;
    case RequestEnd::IdempotencyKeyMissing:
    case RequestEnd::IdempotencyKeyMalformed:
    case RequestEnd::IdempotencyKeyReused:
        return milliseconds(0);
    case RequestEnd::NoBackend:
        return RetryBackend;
    default:
        return RetrySoon;
    }
}

/** @return Whether @p end concerns an earlier request with the same key, which may have run. */
bool isAboutEarlierSending(RequestEnd end)
{
    return end == RequestEnd::IdempotencyKeyInProgress
           || end == RequestEnd::IdempotencyOutcomeUnknown
           || end == RequestEnd::IdempotencyKeyTooOld;
}

uint16_t unknownStatus(RequestEnd end)
{
    if (isAboutEarlierSending(end)) {
        return 409;
    }
    return end == RequestEnd::InvalidResponse ? 502 : 504;
}

/** @return Whether the request provably did not start to run at any backend server. */
bool isProvablyNotRun(RequestStage stage, RequestEnd end)
{
    if (isAboutEarlierSending(end)) {
        return false;
    }
    // A refusal of the backend server proves this only if it was read completely: a partly read one
    // may be any response.
    if (end == RequestEnd::BackendRefused) {
        return stage == RequestStage::Answered;
    }
    // A partly sent request proves nothing: a backend server may act on its head alone.
    return stage == RequestStage::Received || stage == RequestStage::Queued;
}

} // namespace

OutcomeDecision decideOutcome(RequestStage stage, RequestEnd end)
{
    if (stage == RequestStage::Answered && end == RequestEnd::None) {
        return {Outcome::Done, 200, endName(end), milliseconds(0)};
    }
    if (isProvablyNotRun(stage, end)) {
        return {Outcome::NotRun, notRunStatus(end), endName(end), retryAfterOf(end)};
    }
    const milliseconds retryAfter
            = end == RequestEnd::IdempotencyKeyInProgress ? RetrySoon : milliseconds(0);
    return {Outcome::Unknown, unknownStatus(end), endName(end), retryAfter};
}

} // namespace wisteriahoist
