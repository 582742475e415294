/** @file admission_control_test.cpp Who runs, waits or is refused at a backend server with few
 * slots. */

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

/** Twelve slots, all busy; requests take 300 ms, cheap ones 60 ms. */
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
    SECTION("without a backend server nothing is admitted")
    {
        cr_assert(control.offer(makeItem(1), Start).step == Step::Refuse);
    }
    SECTION("as many run at once as there are slots")
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

// Twice as many callers ask as there is room for. If all of them may queue, each waits for longer
// than it has, and slots run for callers that have left. The queue stays so short that what is let
// in is served within its objective; the others are told at once, with the time to come back.
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
    SECTION("a more urgent one still gets in, and runs first")
    {
        cr_assert(control.offer(makeItem(2000, 1), Start).step == Step::Wait);
        control.onEnd(Plain, milliseconds(300));
        cr_assert(control.takeNext() == 2000);
    }
}

// A report is at work and needs a calibration record; the scheduler is full of bookings. Refused,
// the call costs the report and the work done for it, and frees only a fifth of a booking's room.
Test(admission_control, cheap_requests_wait_beyond_their_objective)
{
    AdmissionControl control = makeBusy();
    for (uint64_t id = 1000; id < 1012; ++id) {
        (void)control.offer(makeItem(id, 1, Cheap), Start);
    }
    cr_assert(control.waiting() == 12);
    cr_assert(control.offer(makeItem(2000, 1, Cheap), Start).step == Step::Wait);
}

Test(admission_control, late_requests_wait_behind_those_in_time)
{
    AdmissionControl control = makeBusy();
    WorkItem late = makeItem(1000);
    late.objective = Start;
    cr_assert(control.offer(late, Start).step == Step::Wait);
    cr_assert(control.offer(makeItem(1001), Start).step == Step::Wait);
    control.onEnd(Plain, milliseconds(300));
    cr_assert(control.takeNext() == 1001);
}
