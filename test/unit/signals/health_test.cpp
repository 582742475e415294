/** @file health_test.cpp Liveness and readiness of a node. */

#include "decision/health/health_decision.h"
#include "support/test_section.h"

#include <algorithm>

using namespace wisteriahoist;

namespace {

TimePoint at(int64_t count)
{
    return fromMillisecondCount(count);
}

} // namespace

Test(signals, readinessTruthTable)
{
    // Each of the four conditions alone makes the node unready; all sixteen combinations.
    for (unsigned bits = 0; bits < 16; ++bits) {
        ReadinessInput input;
        input.leaseUntil = (bits & 1U) != 0 ? at(1001) : at(1000);
        input.routingPresent = (bits & 2U) != 0;
        input.backendAnnounced = (bits & 4U) != 0;
        input.draining = (bits & 8U) == 0;
        const auto reasons = findNotReadyReasons(input, at(1000));
        const auto has = [&reasons](NotReadyReason reason) {
            return std::find(reasons.begin(), reasons.end(), reason) != reasons.end();
        };
        cr_assert_eq(has(NotReadyReason::NoLease), (bits & 1U) == 0);
        cr_assert_eq(has(NotReadyReason::NoRouting), (bits & 2U) == 0);
        cr_assert_eq(has(NotReadyReason::NoBackend), (bits & 4U) == 0);
        cr_assert_eq(has(NotReadyReason::Draining), (bits & 8U) == 0);
        cr_assert_eq(reasons.empty(), bits == 15);
    }
}

Test(signals, stuckLoopIsNamed)
{
    // The event loop of a duty hangs and its activity is no longer recorded. After the timeout the
    // process counts as stalled, and /healthz answers 503 and names the duty.
    const std::vector<LoopActivity> activities{{"gate", at(0)}, {"control", at(500)}};
    cr_assert(findStalledLoops(activities, at(0) + LoopStallTimeout).empty());
    const auto stuck = findStalledLoops(activities, at(1) + LoopStallTimeout);
    cr_assert_eq(stuck.size(), 1);
    cr_assert(stuck.front() == "gate");
}
