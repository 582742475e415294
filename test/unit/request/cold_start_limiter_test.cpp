/** @file cold_start_limiter_test.cpp How many requests a cold backend server gets. */

#include "decision/request/cold_start_limiter.h"

#include "support/test_section.h"

#include <deque>
#include <functional>

using namespace wisteriahoist;

namespace {

constexpr TimePoint Begin{std::chrono::seconds(100)};
constexpr ColdStartLimits Limits{12, 1.5, 8};
constexpr size_t MostInOneSecond = 26;

TimePoint at(int64_t count)
{
    return Begin + milliseconds(count);
}

/** Sends as often as allowed. @return The most requests in any one second. */
size_t sendAll(ColdStartLimiter &limiter, const std::function<bool(int64_t)> &isCold)
{
    std::deque<TimePoint> sent;
    size_t most = 0;
    for (int64_t now = 0; now < 10000; ++now) {
        if (limiter.hasRoom(isCold(now), 0, at(now))) {
            limiter.onSent(at(now));
            sent.push_back(at(now));
        }
        while (!sent.empty() && at(now) - sent.front() >= std::chrono::seconds(1)) {
            sent.pop_front();
        }
        most = std::max(most, isCold(now) ? sent.size() : 0);
    }
    return most;
}

} // namespace

// Guards against a cold backend server that crashes under a hot range which was just given to it.
Test(cold_start_limiter, no_second_holds_more_than_a_cold_server_tolerates)
{
    ColdStartLimiter limiter;
    limiter.setLimits(Limits);
    cr_assert_leq(sendAll(limiter, [](int64_t) { return true; }), MostInOneSecond);
}

Test(cold_start_limiter, what_a_cold_server_tolerates_is_used)
{
    ColdStartLimiter limiter;
    limiter.setLimits(Limits);
    cr_assert_geq(sendAll(limiter, [](int64_t) { return true; }), 24U);
}

// Guards against a burst at the moment at which a backend server says that it has turned cold: what
// it got just before counts too.
Test(cold_start_limiter, requests_sent_before_it_turned_cold_count)
{
    ColdStartLimiter limiter;
    limiter.setLimits(Limits);
    for (int request = 0; request < 40; ++request) {
        limiter.onSent(at(request));
    }
    cr_assert(limiter.hasRoom(false, 0, at(500)));
    cr_assert(!limiter.hasRoom(true, 0, at(500)));
    cr_assert(limiter.hasRoom(true, 0, at(1300)));
    SECTION("callers are told when there is room again")
    {
        cr_assert_geq(limiter.retryAfter(at(500)), milliseconds(500));
        cr_assert_eq(limiter.retryAfter(at(5000)), milliseconds(0));
    }
}

Test(cold_start_limiter, waiting_requests_have_their_room)
{
    ColdStartLimiter limiter;
    limiter.setLimits(Limits);
    cr_assert(limiter.hasRoom(true, MostInOneSecond - 1, at(0)));
    cr_assert(!limiter.hasRoom(true, MostInOneSecond, at(0)));
}

Test(cold_start_limiter, a_service_that_declares_no_rate_is_not_limited)
{
    ColdStartLimiter limiter;
    limiter.setLimits({0, 1, 0});
    for (int request = 0; request < 1000; ++request) {
        limiter.onSent(at(0));
    }
    cr_assert(limiter.hasRoom(true, 1000, at(0)));
}

// Guards against a cold backend server that is flooded by other nodes while the one beside it has
// not yet read what it tolerates.
Test(cold_start_limiter, a_cold_server_is_limited_before_its_rate_is_known)
{
    ColdStartLimiter limiter;
    size_t sent = 0;
    const auto sendFor = [&](int64_t begin, int64_t end) {
        for (int64_t now = begin; now < end; now += 5) {
            if (limiter.hasRoom(true, 0, at(now))) {
                limiter.onSent(at(now));
                ++sent;
            }
        }
    };
    sendFor(0, 200);
    limiter.setLimits(Limits);
    sendFor(200, 1000);
    cr_assert_leq(sent, MostInOneSecond);
}

// Guards against callers that are refused for longer than it takes to read the configuration.
Test(cold_start_limiter, before_the_rate_is_known_what_any_rate_allows_is_sent)
{
    ColdStartLimiter limiter;
    limiter.setLimits({std::nullopt, Limits.overshoot, Limits.slack});
    for (int request = 0; request < 8; ++request) {
        cr_assert(limiter.hasRoom(true, 0, at(0)));
        limiter.onSent(at(0));
    }
    cr_assert(!limiter.hasRoom(true, 0, at(0)));
    cr_assert(limiter.hasRoom(false, 0, at(0)));
    cr_assert_leq(limiter.retryAfter(at(0)), milliseconds(300));
    SECTION("and as soon as it is known, the rest")
    {
        limiter.setLimits(Limits);
        cr_assert(limiter.hasRoom(true, MostInOneSecond - 9, at(200)));
        cr_assert(!limiter.hasRoom(true, MostInOneSecond - 8, at(200)));
    }
}

// Guards against requests of two seconds that reach a cold backend server in one: some of them had
// been admitted and waited for their connection.
Test(cold_start_limiter, requests_count_when_they_are_sent)
{
    ColdStartLimiter limiter;
    limiter.setLimits(Limits);
    for (size_t request = 0; request < MostInOneSecond; ++request) {
        cr_assert(limiter.hasRoom(true, 0, at(0)));
        limiter.admit();
    }
    cr_assert(!limiter.hasRoom(true, 0, at(0)));
    SECTION("while they wait")
    {
        cr_assert(!limiter.hasRoom(true, 0, at(1200)));
    }
    SECTION("and a second from then on")
    {
        for (size_t request = 0; request < MostInOneSecond - 1; ++request) {
            limiter.endAdmission(true, at(1200));
        }
        cr_assert(!limiter.hasRoom(true, 0, at(2200)));
    }
    SECTION("but not those that were never sent")
    {
        limiter.endAdmission(false, at(1200));
        cr_assert(limiter.hasRoom(true, 0, at(2200)));
        cr_assert(!limiter.hasRoom(true, 1, at(2200)));
    }
}

Test(cold_start_limiter, what_an_earlier_process_has_sent_is_assumed)
{
    ColdStartLimiter limiter;
    limiter.setLimits(Limits);
    limiter.assumeSentUntil(at(0));
    cr_assert(!limiter.hasRoom(true, 0, at(1000)));
    cr_assert(limiter.hasRoom(false, 0, at(1000)));
    cr_assert_geq(limiter.retryAfter(at(500)), milliseconds(500));
    cr_assert(limiter.hasRoom(true, 0, at(1200)));
    cr_assert_eq(limiter.retryAfter(at(1200)), milliseconds(0));
}
