/** @file attempt_policy_test.cpp What follows an attempt: every end against every kind of request.
 */

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
    history.asked = 1;
    history.candidates = 3;
    history.timeLeft = milliseconds(1000);
    return history;
}

AttemptStep decide(const AttemptEnd &end, const AttemptHistory &history)
{
    return decideNextAttempt(end, history, AttemptLimits{});
}

const AttemptEnd Lost{Outcome::Unknown, 502, true, false, false};
const AttemptEnd Shed{Outcome::NotRun, 503, true, false, false};
const AttemptEnd Full{Outcome::NotRun, 503, false, false, false};
const AttemptEnd Moved{Outcome::NotRun, 421, false, true, false};
const AttemptEnd Crashed{Outcome::NotRun, 503, false, false, true};
const AttemptEnd Failed{Outcome::Done, 500, true, false, false};
const AttemptEnd Served{Outcome::Done, 200, true, false, false};

} // namespace

Test(attempt_policy, what_may_be_sent_again)
{
    cr_assert(decide(Served, makeHistory(true)) == AttemptStep::Finish);
    SECTION("a booking whose answer was lost may have run: never")
    {
        cr_assert(decide(Lost, makeHistory(false)) == AttemptStep::Finish);
        cr_assert(decide(Failed, makeHistory(false)) == AttemptStep::Finish);
    }
    SECTION("a booking that the instance refused has not run")
    {
        cr_assert(decide(Shed, makeHistory(false)) == AttemptStep::RepeatAnother);
    }
    SECTION("a read, within the route's number of instances")
    {
        AttemptHistory history = makeHistory(true);
        cr_assert(decide(Lost, history) == AttemptStep::RepeatAnother);
        cr_assert(decide(Failed, history) == AttemptStep::RepeatAnother);
        history.reached = 2;
        cr_assert(decide(Lost, history) == AttemptStep::Finish);
    }
    SECTION("nothing without time for it")
    {
        AttemptHistory history = makeHistory(true);
        history.timeLeft = milliseconds(20);
        cr_assert(decide(Lost, history) == AttemptStep::Finish);
    }
}

Test(attempt_policy, where_else_to_ask)
{
    AttemptHistory history = makeHistory(false);
    history.reached = 0;
    cr_assert(decide(Full, history) == AttemptStep::AskAnother);
    history.asked = 3;
    cr_assert(decide(Full, history) == AttemptStep::Finish);
    SECTION("only its holder can serve a key: a full one is not asked again")
    {
        history.sharded = true;
        history.asked = 1;
        cr_assert(decide(Full, history) == AttemptStep::Finish);
    }
    SECTION("a key on its way is waited for, for a while")
    {
        history.sharded = true;
        cr_assert(decide(Moved, history) == AttemptStep::AwaitOwner);
        history.awaitedOwner = milliseconds(700);
        cr_assert(decide(Moved, history) == AttemptStep::Finish);
    }
    SECTION("for less if that is of no use any more, but long enough for a crash to be noticed")
    {
        history.sharded = true;
        history.objective = milliseconds(1500);
        history.awaitedOwner = milliseconds(449);
        cr_assert(decide(Moved, history) == AttemptStep::AwaitOwner);
        history.awaitedOwner = milliseconds(450);
        cr_assert(decide(Moved, history) == AttemptStep::Finish);
        history.objective = milliseconds(200);
        cr_assert(decide(Moved, history) == AttemptStep::Finish);
        history.awaitedOwner = milliseconds(249);
        cr_assert(decide(Moved, history) == AttemptStep::AwaitOwner);
        history.objective = Duration(0);
    }
    SECTION("a crashed holder's for less: without the store it stays with it")
    {
        history.sharded = true;
        history.awaitedOwner = milliseconds(0);
        cr_assert(decide(Crashed, history) == AttemptStep::AwaitOwner);
        history.awaitedOwner = milliseconds(250);
        cr_assert(decide(Crashed, history) == AttemptStep::Finish);
    }
}

// Eleven nodes see the same instance fail and each sends its requests once more. Without talk
// between them their sum has to stay below the fleet's budget in every window.
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
