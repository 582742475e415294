/** @file request_rate_limiter_test.cpp How many requests a backend server gets that names a limit.
 */

#include "decision/request/request_rate_limiter.h"

#include "support/test_section.h"

#include <deque>

using namespace wisteriahoist;

namespace {

constexpr TimePoint Begin{std::chrono::seconds(100)};

TimePoint at(int64_t count)
{
    return Begin + milliseconds(count);
}

} // namespace

// Guards against a burst that breaks what the platform allows in four seconds.
Test(request_rate_limiter, no_window_holds_more_than_the_platform_allows)
{
    for (const double limit : {0.0, 0.3, 1.0, 3.1, 8.3, 200.0}) {
        RequestRateLimiter limiter;
        limiter.onNamed(limit, at(0));
        std::deque<TimePoint> sent;
        for (int64_t now = 0; now < 30000; now += 1) {
            // Nothing arrives for some seconds, then more than can be served.
            if (now % 7000 > 3000 && limiter.tryTake(at(now))) {
                sent.push_back(at(now));
            }
            while (!sent.empty() && at(now) - sent.front() > milliseconds(4000)) {
                sent.pop_front();
            }
            cr_assert_leq(static_cast<double>(sent.size()), 1.5 * 4 * limit + 5);
        }
    }
}

Test(request_rate_limiter, what_a_server_takes_is_used)
{
    RequestRateLimiter limiter;
    limiter.onNamed(8, at(0));
    size_t sent = 0;
    for (int64_t now = 0; now < 10000; now += 10) {
        sent += limiter.tryTake(at(now)) ? 1 : 0;
    }
    cr_assert_geq(sent, 79U);
}

Test(request_rate_limiter, waiting_requests_have_their_tokens)
{
    RequestRateLimiter limiter;
    limiter.onNamed(4, at(0));
    cr_assert(limiter.hasRoom(2, at(1000)));
    cr_assert(!limiter.hasRoom(4, at(1000)));
}

Test(request_rate_limiter, callers_are_spread_over_the_time_in_which_they_can_be_served)
{
    RequestRateLimiter limiter;
    limiter.onNamed(2, at(0));
    for (int64_t caller = 1; caller <= 6; ++caller) {
        cr_assert_eq(limiter.reject(at(0)).count(), caller * 500);
    }
    cr_assert_eq(limiter.reject(at(2000)).count(), 1500, "four of them may have returned");
    for (int caller = 0; caller < 100; ++caller) {
        cr_assert_leq(limiter.reject(at(2000)).count(), 10000);
    }
}

Test(request_rate_limiter, an_answer_without_a_limit_ends_it_unless_it_is_older)
{
    RequestRateLimiter limiter;
    limiter.onNamed(1, at(1000));
    limiter.onNoneNamed(at(900));
    cr_assert(limiter.limit().has_value());
    limiter.onNoneNamed(at(1100));
    cr_assert(!limiter.limit().has_value());
    for (int request = 0; request < 100; ++request) {
        cr_assert(limiter.tryTake(at(1200)));
    }
}

Test(request_rate_limiter, a_limit_bounds_the_slots_that_are_of_use)
{
    cr_assert_float_eq(usableSlots(12, std::nullopt, milliseconds(100)), 12, 1e-9);
    cr_assert_float_eq(usableSlots(12, 8.0, milliseconds(250)), 2, 1e-9);
    cr_assert_float_eq(usableSlots(12, 1000.0, milliseconds(250)), 12, 1e-9);
    cr_assert_gt(usableSlots(12, 0.0, milliseconds(250)), 0);
}
