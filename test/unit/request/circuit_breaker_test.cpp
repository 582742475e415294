/** @file circuit_breaker_test.cpp A backend server that refuses requests although it has slots. */

#include "decision/request/circuit_breaker.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr BreakerLimits Limits{};

CircuitBreaker makeOpen(TimePoint now)
{
    CircuitBreaker breaker;
    for (uint32_t refusal = 0; refusal < Limits.consecutiveRefusals; ++refusal) {
        breaker.onRefused(now);
    }
    return breaker;
}

} // namespace

// Guards against a server that refuses all requests and attracts more, since it appears idle.
Test(circuit_breaker, server_that_refuses_everything)
{
    CircuitBreaker breaker = makeOpen(Start);
    SECTION("it is sent no requests during the pause")
    {
        cr_assert(!breaker.allow(Start));
        cr_assert(breaker.isOpen(Start + Limits.firstPause / 2));
    }
    SECTION("after the pause one trial is sent, and no more until it has ended")
    {
        const TimePoint trial = Start + Limits.firstPause;
        cr_assert(breaker.allow(trial));
        cr_assert(!breaker.allow(trial));
    }
    SECTION("the pause grows while trials are refused")
    {
        TimePoint now = Start;
        for (int trial = 0; trial < 8; ++trial) {
            breaker.onRefused(now);
            now += Limits.longestPause;
        }
        breaker.onRefused(now);
        cr_assert(!breaker.allow(now + Limits.longestPause - milliseconds(1)));
        cr_assert(breaker.allow(now + Limits.longestPause));
    }
    SECTION("after a request has run, all are sent again")
    {
        breaker.onExecuted();
        cr_assert(breaker.allow(Start) && breaker.allow(Start));
    }
}

// Guards against excluding a server that refuses only some requests.
Test(circuit_breaker, server_that_refuses_some)
{
    CircuitBreaker breaker;
    for (int request = 0; request < 100; ++request) {
        cr_assert(breaker.allow(Start));
        if (request % 3 == 0) {
            breaker.onExecuted();
        } else {
            breaker.onRefused(Start);
        }
    }
}
