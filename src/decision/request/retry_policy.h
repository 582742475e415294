/** @file retry_policy.h Whether, and after what pause, a request is tried again. */

#pragma once

#include "decision/request/outcome_table.h"

namespace wisteriahoist {

/** Bounds of one service's retries. */
struct RetryLimits {
    double share = 0.1;           ///< Retries per recent success.
    double reserve = 10;          ///< Retries that a service without recent successes may make.
    uint32_t attempts = 3;        ///< Tries of one request, the first included.
    milliseconds firstPause{5};   ///< Doubles with each try.
    milliseconds halfLife{10000}; ///< After this time a success counts half.
};

/**
 * The retry budget of one service. Retries beyond a share of recent successes are not made: when
 * all requests fail, each retry would add load to what is already failing, and the callers would
 * see the failure last for as long as they keep asking.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryLimits limits) : limits_(limits) { }

    void onSuccess(TimePoint now);

    /** @return Whether a retry may be made; if so, it has been taken from the budget. */
    bool tryTake(TimePoint now);

    const RetryLimits &limits() const { return limits_; }

private:
    void decay(TimePoint now);

    RetryLimits limits_;
    double successes_ = 0; ///< Decays by half each halfLife.
    double taken_ = 0;     ///< Decays alike. Invariant: at most share * successes + reserve, when
                           ///< a retry is taken.
    TimePoint decayedAt_ = NeverTime;
};

/** What is known of a try that failed. */
struct FailedAttempt {
    Outcome outcome = Outcome::Unknown;
    bool idempotent = false;    ///< The declared rule says so.
    uint32_t attempt = 0;       ///< 0: this was the first.
    milliseconds retryAfter{0}; ///< What the other side asked for.
    Duration deadlineLeft{0};
};

/** Whether to try again. */
struct RetryDecision {
    bool retry = false;
    milliseconds pause{0};
};

/**
 * Decides for the node that received the request; no other node on the way retries, so that the
 * tries of one request are at most RetryLimits::attempts whatever the number of hops.
 * @param jitter In [0, 1): spreads the pauses of many callers.
 */
RetryDecision decideRetry(const FailedAttempt &failed, RetryBudget &budget, double jitter,
                          TimePoint now);

} // namespace wisteriahoist
