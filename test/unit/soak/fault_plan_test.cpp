/** @file fault_plan_test.cpp Plans of the soak: the same for a seed, and of the kinds that it says.
 */

#include "soak/fault_plan.h"
#include "support/test_section.h"

#include <set>

using namespace wisteriahoist;
using namespace wisteriahoist::soak;

Test(fault_plan, a_seed_gives_the_same_plan_each_time)
{
    const FaultPlan first = makeFaultPlan(7, 8);
    const FaultPlan second = makeFaultPlan(7, 8);
    cr_assert_eq(first.faults.size(), second.faults.size());
    for (size_t index = 0; index < first.faults.size(); ++index) {
        cr_assert(first.faults[index].kind == second.faults[index].kind);
        cr_assert(first.faults[index].at == second.faults[index].at);
        cr_assert_eq(first.faults[index].target, second.faults[index].target);
    }
}

Test(fault_plan, fifty_seeds_hold_every_kind)
{
    std::set<FaultKind> kinds;
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        const FaultPlan plan = makeFaultPlan(seed, 8);
        for (const Fault &fault : plan.faults) {
            kinds.insert(fault.kind);
            cr_assert_lt(fault.target, 8U);
            cr_assert(!plan.calm || isPlanned(fault.kind));
        }
    }
    cr_assert_eq(kinds.size(), FaultKindCount);
}

Test(fault_plan, every_other_fault_can_be_aimed_at_the_first_nodes)
{
    const FaultPlan plan = makeFaultPlan(7, 40);
    const FaultPlan aimed = aimAtFirst(plan, 3);
    cr_assert_eq(aimed.faults.size(), plan.faults.size());
    for (size_t index = 0; index < plan.faults.size(); ++index) {
        const bool isAimed = index % 2 == 0;
        cr_assert(isAimed ? aimed.faults[index].target < 3
                          : aimed.faults[index].target == plan.faults[index].target);
        cr_assert(aimed.faults[index].kind == plan.faults[index].kind);
    }
    const FaultPlan unchanged = aimAtFirst(plan, 0);
    cr_assert_eq(unchanged.faults.front().target, plan.faults.front().target);
}
