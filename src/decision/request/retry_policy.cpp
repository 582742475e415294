/** @file retry_policy.cpp Decides whether and after which back-off a request is retried. */

#include "decision/request/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace wisteriahoist {

void RetryBudget::decay(TimePoint now)
{
    if (decayedAt_ == NeverTime) {
        decayedAt_ = now;
        return;
    }
    const std::chrono::duration<double, std::milli> elapsed = now - decayedAt_;
    const double factor
            = std::exp2(-elapsed.count() / static_cast<double>(limits_.halfLife.count()));
    successes_ *= factor;
    taken_ *= factor;
    decayedAt_ = now;
}

void RetryBudget::onSuccess(TimePoint now)
{
    decay(now);
    successes_ += 1;
}

bool RetryBudget::tryTake(TimePoint now)
{
    decay(now);
    if (taken_ + 1 > limits_.share * successes_ + limits_.reserve) {
        return false;
    }
    taken_ += 1;
    return true;
}

RetryDecision decideRetry(const FailedAttempt &failed, RetryBudget &budget, double jitter,
                          TimePoint now)
{
    const bool repeatable = failed.outcome == Outcome::NotRun
                            || (failed.outcome == Outcome::Unknown && failed.idempotent);
    if (!repeatable || failed.attempt + 1 >= budget.limits().attempts) {
        return {};
    }
    const milliseconds backOff = budget.limits().firstPause * (1U << failed.attempt);
    const double spread = 0.5 + jitter;
    const auto jittered
            = milliseconds(static_cast<int64_t>(spread * static_cast<double>(backOff.count())));
    const milliseconds pause = std::max(jittered, failed.retryAfter);
    if (pause >= failed.deadlineLeft || !budget.tryTake(now)) {
        return {};
    }
    return {true, pause};
}

} // namespace wisteriahoist
