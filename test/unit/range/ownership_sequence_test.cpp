/** @file ownership_sequence_test.cpp Random sequences of faults over several nodes: no two backend
 * servers hold the same key. */

#include "support/ownership_world.h"
#include "support/test_section.h"

#include <iostream>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/**
 * Simulated time under faults. A takeover takes 2.75 s, a late message arrives within 3 s, and a
 * holder moves keys because of their load every 3 s.
 */
constexpr std::chrono::seconds Span{16};
/** The platform's limit for the recovery of a service after the last fault. */
constexpr std::chrono::seconds RecoveryBound{15};
constexpr uint64_t Seeds = 120;
/** Number of blocks, so that one move takes several writes. */
constexpr uint32_t SeveralRecords = 8;

/** Results of a run over all seeds. */
struct SeedResults {
    std::vector<uint64_t> failed;
    uint64_t handovers = 0;
    uint64_t takeovers = 0;
};

WorldSettings grantingBy(GrantDelivery form, uint32_t blocks = 1)
{
    WorldSettings settings;
    settings.form = form;
    settings.blocks = blocks;
    return settings;
}

bool passes(uint64_t seed, const WorldSettings &settings, SeedResults &results)
{
    OwnershipWorld world(seed, settings);
    bool passed = world.run(Span);
    if (passed) {
        world.endFaults();
        passed = world.recovers(RecoveryBound);
    }
    results.handovers += world.handovers();
    results.takeovers += world.takeovers();
    if (!passed) {
        std::cerr << "seed " << seed << ": " << world.violation() << "\n";
        results.failed.push_back(seed);
    }
    return passed;
}

SeedResults runSeeds(const WorldSettings &settings)
{
    SeedResults results;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        (void)passes(seed, settings, results);
    }
    return results;
}

/** @return Whether the run had enough hand-overs and takeovers to be meaningful. */
bool hasEnoughMoves(const SeedResults &results)
{
    return results.handovers > Seeds && results.takeovers > Seeds / 10;
}

} // namespace

// Guards against keys that are held twice, or that are not served once faults have ended.
Test(ownership_sequence, no_key_is_held_twice_with_grants_by_call)
{
    const SeedResults results = runSeeds(grantingBy(GrantDelivery::Call));
    cr_assert(results.failed.empty());
    cr_assert(hasEnoughMoves(results), "%lu hand-overs, %lu takeovers", results.handovers,
              results.takeovers);
}

// Guards against the same with grants in replies to heartbeats.
Test(ownership_sequence, no_key_is_held_twice_with_grants_by_heartbeat)
{
    const SeedResults results = runSeeds(grantingBy(GrantDelivery::Heartbeat));
    cr_assert(results.failed.empty());
    cr_assert(hasEnoughMoves(results), "%lu hand-overs, %lu takeovers", results.handovers,
              results.takeovers);
}

// Guards against the same if one move of keys takes several writes.
Test(ownership_sequence, no_key_is_held_twice_with_several_records)
{
    for (const GrantDelivery form : {GrantDelivery::Call, GrantDelivery::Heartbeat}) {
        const SeedResults results = runSeeds(grantingBy(form, SeveralRecords));
        cr_assert(results.failed.empty());
        cr_assert(hasEnoughMoves(results), "%lu hand-overs, %lu takeovers", results.handovers,
                  results.takeovers);
    }
}
