/** @file admission_queue_test.cpp Order, bounds and slots at the gate. */

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

Test(request_queue, patient_work_does_not_starve)
{
    // A caller that can wait has a far deadline. Requests with near deadlines arrive as fast as
    // slots get free, so by deadline alone the patient one is never next and ends at its bound.
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
    limits.entries = 2;
    AdmissionQueue queue(limits);
    cr_assert(queue.push(makeQueued(1, milliseconds(100), milliseconds(10))));
    cr_assert(queue.push(makeQueued(2, milliseconds(100), milliseconds(50))));
    SECTION("a full queue refuses at once")
    {
        cr_assert(!queue.push(makeQueued(3, milliseconds(100), milliseconds(50))));
    }
    SECTION("what is past its patience is not run any more")
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
    SECTION("a cold backend server is given one slot first, and all of them later")
    {
        cr_assert(limiter.limit(Start) == 1);
        const uint32_t half = limiter.limit(Start + milliseconds(1000));
        cr_assert(half > 1 && half < 12);
        cr_assert(limiter.limit(Start + milliseconds(2000)) == 12);
    }
    SECTION("a shed pauses handing over, and half the load follows")
    {
        const TimePoint shed = Start + milliseconds(3000);
        limiter.onShed(8, shed);
        cr_assert(limiter.limit(shed) == 0);
        cr_assert(limiter.limit(shed + milliseconds(50)) == 4);
        cr_assert(limiter.limit(shed + milliseconds(1050)) == 12);
    }
    SECTION("sheds in a row pause longer, up to a bound")
    {
        TimePoint now = Start + milliseconds(3000);
        for (int shed = 0; shed < 20; ++shed) {
            limiter.onShed(1, now);
            cr_assert(limiter.pausedUntil() - now <= SlotTimes{}.longestBackOff);
            now = limiter.pausedUntil();
        }
    }
}
