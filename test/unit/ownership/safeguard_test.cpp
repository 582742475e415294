/** @file safeguard_test.cpp Random runs of the model find each safeguard missing, and none with
 * all.
 */

#include "fault_matrix/fault_cell.h"
#include "fault_matrix/safeguard_table.h"
#include "support/test_section.h"

#include <rapidcheck.h>

using namespace wisteriahoist;

namespace {

constexpr int OneIn = 150; ///< One message in so many meets a fault.
constexpr uint64_t MaxSeeds = 400;

ModelFindings runSeed(uint64_t seed, const SafeguardSet &safeguards)
{
    ModelSettings settings;
    settings.seed = seed;
    settings.times = makeModelTimes();
    settings.nodes = seed % 2 == 1 ? 5 : 3;
    settings.safeguards = safeguards;
    return runRandom(settings, OneIn, std::chrono::seconds(20));
}

/** @return The first seed whose run finds a violation; 0 if none does. */
uint64_t findSeed(const SafeguardSet &safeguards)
{
    for (uint64_t seed = 1; seed <= MaxSeeds; ++seed) {
        if (runSeed(seed, safeguards).violations() > 0) {
            return seed;
        }
    }
    return 0;
}

bool isFoundWithout(bool SafeguardSet::*flag)
{
    SafeguardSet safeguards;
    safeguards.*flag = false;
    return findSeed(safeguards) != 0;
}

} // namespace

// Without one of these two callers' requests for one key run at two servers; each is shown by
// messages and processes that are lost, late, repeated or stopped, in runs with fixed seeds.
Test(ownership_safeguards, each_is_found_missing)
{
    cr_expect(isFoundWithout(&SafeguardSet::countHeartbeatTime));
    cr_expect(isFoundWithout(&SafeguardSet::outwaitLease));
    cr_expect(isFoundWithout(&SafeguardSet::countLeaseFromRequest));
    cr_expect(isFoundWithout(&SafeguardSet::closeOpenRosters));
    cr_expect(isFoundWithout(&SafeguardSet::listOpenRosters));
    cr_expect(isFoundWithout(&SafeguardSet::matchIncarnation));
    cr_expect(isFoundWithout(&SafeguardSet::writeBeforeTelling));
    cr_expect(isFoundWithout(&SafeguardSet::bundleAssignment));
    cr_expect(isFoundWithout(&SafeguardSet::awaitRelinquish));
}

Test(ownership_safeguards, nothing_is_found_with_all_of_them)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        const ModelFindings found = runSeed(seed, {});
        cr_expect_eq(found.violations(), 0, "seed %lu", seed);
    }
}

// RapidCheck varies the cell's size, the density of faults and the seed; its own seed is fixed.
Test(ownership_safeguards, random_cells)
{
    rc::detail::TestParams params;
    params.seed = 4711;
    params.maxSuccess = 25;
    const auto property = [](uint64_t seed) {
        ModelSettings settings;
        settings.seed = seed;
        settings.times = makeModelTimes();
        settings.nodes = *rc::gen::inRange(3, 8);
        settings.slices = *rc::gen::inRange<uint32_t>(1, 9);
        const int oneIn = *rc::gen::inRange(30, 400);
        RC_ASSERT(runRandom(settings, oneIn, std::chrono::seconds(15)).violations() == 0U);
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    cr_assert(result.template is<rc::detail::SuccessResult>());
}

// Every combination of what may happen to the first four messages after a coordinator stops, or
// after a drain begins: on time, late, lost, or the sender stopped.
Test(ownership_safeguards, first_messages_of_an_election_and_a_move)
{
    constexpr size_t Depth = 4;
    constexpr uint64_t Combinations = 256;
    for (uint64_t choice = 0; choice < Combinations; ++choice) {
        ModelSettings settings;
        settings.times = makeModelTimes();
        settings.nodes = 3;
        settings.slices = 3;
        cr_expect_eq(runElection(settings, choice, Depth).violations(), 0, "election %lu", choice);
        cr_expect_eq(runMove(settings, choice, Depth).violations(), 0, "move %lu", choice);
    }
}
