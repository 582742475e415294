/** @file admission_queue_test.cpp Order and limits of the queue; slots of the backend server. */

#include "decision/request/admission_queue.h"
#include "decision/request/slot_limiter.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

QueuedRequest makeQueued(uint64_t id, milliseconds deadline, milliseconds patience)
{
    return {id, Start + deadline, Start + patience};
}

} // namespace

Test(request_queue, order)
{
    AdmissionQueue queue{QueueLimits{}};
    queue.push(makeQueued(1, milliseconds(900), milliseconds(800)));
    queue.push(makeQueued(2, milliseconds(100), milliseconds(90)));
    queue.push(makeQueued(3, milliseconds(500), milliseconds(400)));
    cr_assert(queue.pop(Start) == 2U);
    cr_assert(queue.pop(Start) == 3U);
    cr_assert(queue.pop(Start) == 1U);
    cr_assert(!queue.pop(Start).has_value());
}

Test(request_queue, request_with_distant_deadline_does_not_starve)
{
    // Requests with near deadlines arrive as fast as slots become free. By deadline alone, a
    // request with a distant deadline would never be next and would end at its queue deadline.
    AdmissionQueue queue{QueueLimits{}};
    queue.push(makeQueued(1, milliseconds(60000), milliseconds(50000)));
    bool served = false;
    for (uint64_t id = 2; id < 10 && !served; ++id) {
        queue.push(makeQueued(id, milliseconds(100), milliseconds(100)));
        queue.push(makeQueued(id + 100, milliseconds(100), milliseconds(100)));
        served = queue.pop(Start) == 1U;
    }
    cr_assert(served);
}

Test(request_queue, bounds)
{
    QueueLimits limits;
    limits.maxEntries = 2;
    AdmissionQueue queue(limits);
    cr_assert(queue.push(makeQueued(1, milliseconds(100), milliseconds(10))));
    cr_assert(queue.push(makeQueued(2, milliseconds(100), milliseconds(50))));
    SECTION("a full queue refuses further requests")
    {
        cr_assert(!queue.push(makeQueued(3, milliseconds(100), milliseconds(50))));
    }
    SECTION("a request beyond its queue deadline is not run")
    {
        cr_assert(queue.pop(Start + milliseconds(10)) == 2U);
        cr_assert(!queue.pop(Start + milliseconds(10)).has_value());
        cr_assert(queue.takeExpired(Start + milliseconds(10)) == std::vector<uint64_t>{1});
        cr_assert(queue.size() == 0);
    }
}

Test(request_slots, slow_start_and_back_off)
{
    SlotLimiter limiter{SlotTimes{}};
    limiter.onBackend(12, Start);
    SECTION("after a cold start the limit grows from one slot to all")
    {
        cr_assert(limiter.limit(Start) == 1);
        const uint32_t half = limiter.limit(Start + milliseconds(1000));
        cr_assert(half > 1 && half < 12);
        cr_assert(limiter.limit(Start + milliseconds(2000)) == 12);
    }
    SECTION("after a shed request nothing is sent for a pause, then half as many run")
    {
        const TimePoint shed = Start + milliseconds(3000);
        limiter.onShed(8, shed);
        cr_assert(limiter.limit(shed) == 0);
        cr_assert(limiter.limit(shed + milliseconds(50)) == 4);
        cr_assert(limiter.limit(shed + milliseconds(1050)) == 12);
    }
    SECTION("consecutive shed requests lengthen the back-off up to its limit")
    {
        TimePoint now = Start + milliseconds(3000);
        for (int shed = 0; shed < 20; ++shed) {
            limiter.onShed(1, now);
            cr_assert(limiter.pausedUntil() - now <= SlotTimes{}.longestBackOff);
            now = limiter.pausedUntil();
        }
    }
}
