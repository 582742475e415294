/** @file retry_policy_test.cpp Retries are safe, limited, and within the deadline. */

#include "decision/request/retry_policy.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

FailedAttempt makeFailed(Outcome outcome, bool idempotent)
{
    FailedAttempt failed;
    failed.outcome = outcome;
    failed.idempotent = idempotent;
    failed.deadlineLeft = milliseconds(1000);
    return failed;
}

} // namespace

Test(request_retry, what_may_be_retried)
{
    RetryBudget budget{RetryLimits{}};
    cr_assert(decideRetry(makeFailed(Outcome::NotRun, false), budget, 0.5, Start).retry);
    cr_assert(decideRetry(makeFailed(Outcome::Unknown, true), budget, 0.5, Start).retry);
    SECTION("a request with unknown outcome that must not be repeated is never retried")
    {
        cr_assert(!decideRetry(makeFailed(Outcome::Unknown, false), budget, 0.5, Start).retry);
    }
    SECTION("the last attempt is not followed by another")
    {
        FailedAttempt failed = makeFailed(Outcome::NotRun, false);
        failed.attempt = budget.limits().attempts - 1;
        cr_assert(!decideRetry(failed, budget, 0.5, Start).retry);
    }
    SECTION("a back-off beyond the deadline ends the attempts at once")
    {
        FailedAttempt failed = makeFailed(Outcome::NotRun, false);
        failed.retryAfter = milliseconds(200);
        failed.deadlineLeft = milliseconds(150);
        cr_assert(!decideRetry(failed, budget, 0.5, Start).retry);
    }
    SECTION("the other side's retry time is respected, and jitter spreads the back-off")
    {
        FailedAttempt failed = makeFailed(Outcome::NotRun, false);
        const auto early = decideRetry(failed, budget, 0.0, Start);
        const auto late = decideRetry(failed, budget, 0.99, Start);
        cr_assert(early.pause < late.pause);
        failed.retryAfter = milliseconds(77);
        cr_assert(decideRetry(failed, budget, 0.0, Start).pause == milliseconds(77));
    }
}

Test(request_retry, budget)
{
    // All requests of a service fail for a minute. Each retry would add load to what is already
    // failing; the budget allows only a few.
    RetryLimits limits;
    limits.reserve = 2;
    RetryBudget budget(limits);
    uint32_t made = 0;
    for (uint32_t request = 0; request < 1000; ++request) {
        made += decideRetry(makeFailed(Outcome::NotRun, false), budget, 0.5, Start).retry ? 1 : 0;
    }
    cr_assert(made == 2);
    SECTION("successes earn new retries")
    {
        for (uint32_t success = 0; success < 100; ++success) {
            budget.onSuccess(Start);
        }
        made = 0;
        while (budget.tryTake(Start)) {
            ++made;
        }
        cr_assert(made == 10);
    }
    SECTION("the weight of old successes decays")
    {
        RetryBudget old(limits);
        for (uint32_t success = 0; success < 100; ++success) {
            old.onSuccess(Start);
        }
        made = 0;
        while (old.tryTake(Start + limits.halfLife * 10)) {
            ++made;
        }
        cr_assert(made == 2);
    }
}
