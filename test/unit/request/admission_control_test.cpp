/** @file admission_control_test.cpp Admission to a backend server with few slots. */

#include "decision/request/admission_control.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

using Step = AdmissionDecision::Step;
constexpr TimePoint Start{std::chrono::hours(1)};
constexpr uint64_t Plain = 1;
constexpr uint64_t Cheap = 2;

WorkItem makeItem(uint64_t id, uint32_t priority = 2, uint64_t kind = Plain)
{
    WorkItem item;
    item.id = id;
    item.kind = kind;
    item.priority = priority;
    item.deadline = Start + milliseconds(kind == Cheap ? 600 : 1500);
    item.objective = Start + milliseconds(kind == Cheap ? 200 : 600);
    return item;
}

/** @return Twelve slots, all busy; requests take 300 ms, cheap ones 60 ms. */
AdmissionControl makeBusy()
{
    AdmissionControl control{AdmissionLimits{}};
    control.onSlots(12);
    for (uint64_t id = 0; id < 400; ++id) {
        (void)control.offer(makeItem(id, 2, Cheap), Start);
        control.onEnd(Cheap, milliseconds(60));
    }
    for (uint64_t id = 400; id < 800; ++id) {
        (void)control.offer(makeItem(id), Start);
        control.onEnd(Plain, milliseconds(300));
    }
    for (uint64_t id = 800; id < 812; ++id) {
        (void)control.offer(makeItem(id), Start);
    }
    return control;
}

} // namespace

Test(admission_control, slots)
{
    AdmissionControl control{AdmissionLimits{}};
    SECTION("without a backend server no request is admitted")
    {
        cr_assert(control.offer(makeItem(1), Start).step == Step::Refuse);
    }
    SECTION("as many requests run at once as there are slots")
    {
        control.onSlots(2);
        cr_assert(control.offer(makeItem(1), Start).step == Step::Run);
        cr_assert(control.offer(makeItem(2), Start).step == Step::Run);
        cr_assert(control.offer(makeItem(3), Start).step == Step::Wait);
        cr_assert(!control.takeNext());
        control.onEnd(Plain, milliseconds(200));
        cr_assert(control.takeNext() == 3);
    }
}

// Guards against a long queue under overload: with twice as many requests as can be served, each
// would wait beyond its deadline, and slots would run requests of callers that have left. The queue
// must stay so short that admitted requests meet their objective; all others are refused at once,
// with the time after which to retry.
Test(admission_control, overload_refuses_at_once)
{
    AdmissionControl control = makeBusy();
    uint64_t id = 1000;
    AdmissionDecision decision = control.offer(makeItem(id), Start);
    while (decision.step == Step::Wait) {
        decision = control.offer(makeItem(++id), Start);
    }
    cr_assert(decision.step == Step::Refuse);
    cr_assert(control.waiting() >= 3 && control.waiting() <= 8);
    cr_assert(decision.retryAfter >= milliseconds(100));
    SECTION("a request of higher priority is still admitted and runs first")
    {
        cr_assert(control.offer(makeItem(2000, 1), Start).step == Step::Wait);
        control.onEnd(Plain, milliseconds(300));
        cr_assert(control.takeNext() == 2000);
    }
}

// Guards against refusing a cheap nested call: a report that is already running needs a calibration
// record while the scheduler is full of bookings. The refusal would fail the report, waste the work
// done for it, and free only a fifth of the capacity of a booking.
Test(admission_control, cheap_requests_wait_beyond_their_objective)
{
    AdmissionControl control = makeBusy();
    for (uint64_t id = 1000; id < 1012; ++id) {
        (void)control.offer(makeItem(id, 1, Cheap), Start);
    }
    cr_assert(control.waiting() == 12);
    cr_assert(control.offer(makeItem(2000, 1, Cheap), Start).step == Step::Wait);
}

Test(admission_control, late_requests_wait_behind_those_that_can_meet_their_objective)
{
    AdmissionControl control = makeBusy();
    WorkItem late = makeItem(1000);
    late.objective = Start;
    cr_assert(control.offer(late, Start).step == Step::Wait);
    cr_assert(control.offer(makeItem(1001), Start).step == Step::Wait);
    control.onEnd(Plain, milliseconds(300));
    cr_assert(control.takeNext() == 1001);
}
