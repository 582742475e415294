/** @file attempt_policy_test.cpp Next step after each result of an attempt; fleet-wide budget. */

#include "decision/request/attempt_policy.h"
#include "decision/request/fleet_retry_budget.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

AttemptHistory makeHistory(bool idempotent)
{
    AttemptHistory history;
    history.idempotent = idempotent;
    history.maxAttempts = 2;
    history.reached = 1;
    history.tried = 1;
    history.candidates = 3;
    history.timeLeft = milliseconds(1000);
    return history;
}

AttemptStep decide(const AttemptResult &end, const AttemptHistory &history)
{
    return decideNextAttempt(end, history, AttemptLimits{});
}

const AttemptResult Lost{Outcome::Unknown, 502, true, false, false};
const AttemptResult Shed{Outcome::NotRun, 503, true, false, false};
const AttemptResult Full{Outcome::NotRun, 503, false, false, false};
const AttemptResult Moved{Outcome::NotRun, 421, false, true, false};
const AttemptResult Crashed{Outcome::NotRun, 503, false, false, true};
const AttemptResult Failed{Outcome::Done, 500, true, false, false};
const AttemptResult Served{Outcome::Done, 200, true, false, false};

} // namespace

Test(attempt_policy, when_a_request_is_retried)
{
    cr_assert(decide(Served, makeHistory(true)) == AttemptStep::Finish);
    SECTION("a booking whose response was lost may have run: no retry")
    {
        cr_assert(decide(Lost, makeHistory(false)) == AttemptStep::Finish);
        cr_assert(decide(Failed, makeHistory(false)) == AttemptStep::Finish);
    }
    SECTION("a booking that the instance refused has not run: retry")
    {
        cr_assert(decide(Shed, makeHistory(false)) == AttemptStep::RetryAnother);
    }
    SECTION("a read: retry, up to the route's limit of attempts")
    {
        AttemptHistory history = makeHistory(true);
        cr_assert(decide(Lost, history) == AttemptStep::RetryAnother);
        cr_assert(decide(Failed, history) == AttemptStep::RetryAnother);
        history.reached = 2;
        cr_assert(decide(Lost, history) == AttemptStep::Finish);
    }
    SECTION("too little time left: no retry")
    {
        AttemptHistory history = makeHistory(true);
        history.timeLeft = milliseconds(20);
        cr_assert(decide(Lost, history) == AttemptStep::Finish);
    }
}

Test(attempt_policy, when_another_node_is_tried)
{
    AttemptHistory history = makeHistory(false);
    history.reached = 0;
    cr_assert(decide(Full, history) == AttemptStep::TryAnother);
    history.tried = 3;
    cr_assert(decide(Full, history) == AttemptStep::Finish);
    SECTION("the owner of a key is not tried again when it is full, since no other can serve it")
    {
        history.sharded = true;
        history.tried = 1;
        cr_assert(decide(Full, history) == AttemptStep::Finish);
    }
    SECTION("during the hand-over of a key the new owner is awaited, up to a limit")
    {
        history.sharded = true;
        cr_assert(decide(Moved, history) == AttemptStep::AwaitOwner);
        history.ownerWaitSpent = milliseconds(700);
        cr_assert(decide(Moved, history) == AttemptStep::Finish);
    }
    SECTION("the wait is limited by the latency objective, but long enough to detect a crash")
    {
        history.sharded = true;
        history.objective = milliseconds(1500);
        history.ownerWaitSpent = milliseconds(449);
        cr_assert(decide(Moved, history) == AttemptStep::AwaitOwner);
        history.ownerWaitSpent = milliseconds(450);
        cr_assert(decide(Moved, history) == AttemptStep::Finish);
        history.objective = milliseconds(200);
        cr_assert(decide(Moved, history) == AttemptStep::Finish);
        history.ownerWaitSpent = milliseconds(249);
        cr_assert(decide(Moved, history) == AttemptStep::AwaitOwner);
        history.objective = Duration(0);
    }
    SECTION("the wait for a crashed owner is shorter: without the store it stays the owner")
    {
        history.sharded = true;
        history.ownerWaitSpent = milliseconds(0);
        cr_assert(decide(Crashed, history) == AttemptStep::AwaitOwner);
        history.ownerWaitSpent = milliseconds(250);
        cr_assert(decide(Crashed, history) == AttemptStep::Finish);
    }
}

// Eleven nodes observe failures of the same instance, and each retries its requests. Without
// communication between them, the sum must stay within the fleet-wide budget in every window.
Test(repeat_budget, the_sum_over_all_nodes_stays_within_the_budget)
{
    constexpr size_t Nodes = 11;
    constexpr size_t RequestsEach = 100;
    FleetRetryLimits fleet;
    fleet.slack = 62;
    const TimePoint start{std::chrono::hours(1)};
    size_t taken = 0;
    for (size_t node = 0; node < Nodes; ++node) {
        FleetRetryBudget budget(fleet);
        for (size_t request = 0; request < RequestsEach; ++request) {
            const TimePoint now = start + milliseconds(100 * request);
            budget.onRequest(now);
            taken += budget.tryTake(Nodes, now) ? 1 : 0;
        }
    }
    cr_assert(taken > 0);
    cr_assert(static_cast<double>(taken) <= fleet.ratio * Nodes * RequestsEach + fleet.slack);
}
