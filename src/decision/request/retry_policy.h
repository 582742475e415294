/** @file retry_policy.h Decides whether and after which back-off a request is retried. */

#pragma once

#include "decision/request/outcome_table.h"

namespace wisteriahoist {

/** Limits of one service's retries. */
struct RetryLimits {
    double share = 0.1;           ///< Retries per recent success.
    double reserve = 10;          ///< Retries allowed without recent successes.
    uint32_t attempts = 3;        ///< Attempts of one request, the first included.
    milliseconds firstPause{5};   ///< Initial back-off; doubles with each attempt.
    milliseconds halfLife{10000}; ///< Of the weight of a success.
};

/**
 * The retry budget of one service. Retries are limited to a share of the recent successes: when all
 * requests fail, each retry adds load to what is already failing, and would prolong the failure for
 * as long as callers keep sending requests.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryLimits limits) : limits_(limits) { }

    void onSuccess(TimePoint now);

    /** @return Whether a retry may be made; if so, it is counted against the budget. */
    bool tryTake(TimePoint now);

    const RetryLimits &limits() const { return limits_; }

private:
    void decay(TimePoint now);

    RetryLimits limits_;
    double successes_ = 0; ///< Decays by half each halfLife.
    double taken_ = 0;     ///< Decays likewise. Invariant: at most share * successes + reserve,
                           ///< when a retry is taken.
    TimePoint decayedAt_ = NeverTime;
};

/** An attempt that failed. */
struct FailedAttempt {
    Outcome outcome = Outcome::Unknown;
    bool idempotent = false;    ///< As declared by the rule.
    uint32_t attempt = 0;       ///< 0: the first.
    milliseconds retryAfter{0}; ///< Requested by the other side.
    Duration deadlineLeft{0};
};

/** Whether and when to retry. */
struct RetryDecision {
    bool retry = false;
    milliseconds pause{0};
};

/**
 * Decides for the node that received the request. No other node on the path retries, so that one
 * request makes at most RetryLimits::attempts attempts, independent of the number of hops.
 * @param jitter In [0, 1): spreads the back-off of many callers.
 */
RetryDecision decideRetry(const FailedAttempt &failed, RetryBudget &budget, double jitter,
                          TimePoint now);

} // namespace wisteriahoist
