/** @file ownership_sequence_test.cpp Random sequences of faults over several nodes: no key is held
 * twice. */

#include "support/ownership_world.h"
#include "support/test_section.h"

#include <iostream>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** Of the simulated clock, under faults: a takeover takes 2.75 s, what was sent late comes within
 *  3 s, and a holder moves keys for their load every 3 s. */
constexpr std::chrono::seconds Span{16};
/** The platform's bound for a service to be back after the last fault. */
constexpr std::chrono::seconds RecoveryBound{15};
constexpr uint64_t Seeds = 100;
/** Blocks of keys, so that one move takes several writes. */
constexpr uint32_t SeveralRecords = 8;

/** What a run of seeds showed. */
struct Verdict {
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

bool passes(uint64_t seed, const WorldSettings &settings, Verdict &verdict)
{
    OwnershipWorld world(seed, settings);
    bool passed = world.run(Span);
    if (passed) {
        world.endFaults();
        passed = world.recovers(RecoveryBound);
    }
    verdict.handovers += world.handovers();
    verdict.takeovers += world.takeovers();
    if (!passed) {
        std::cerr << "seed " << seed << ": " << world.violation() << "\n";
        verdict.failed.push_back(seed);
    }
    return passed;
}

Verdict play(const WorldSettings &settings)
{
    Verdict verdict;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        (void)passes(seed, settings, verdict);
    }
    return verdict;
}

/** The steps have to reach hand-overs and takeovers, or they prove nothing. */
bool reachesMoves(const Verdict &verdict)
{
    return verdict.handovers > Seeds && verdict.takeovers > Seeds / 10;
}

} // namespace

// Guards against keys that are held twice, or served by nobody once faults have ended.
Test(ownership_sequence, no_key_is_held_twice_where_calls_grant)
{
    const Verdict verdict = play(grantingBy(GrantDelivery::Call));
    cr_assert(verdict.failed.empty());
    cr_assert(reachesMoves(verdict));
}

// Guards against the same in the second form of grants.
Test(ownership_sequence, no_key_is_held_twice_where_heartbeats_grant)
{
    const Verdict verdict = play(grantingBy(GrantDelivery::Heartbeat));
    cr_assert(verdict.failed.empty());
    cr_assert(reachesMoves(verdict));
}

// Guards against the same where one move of keys takes several writes.
Test(ownership_sequence, no_key_is_held_twice_where_the_table_has_several_records)
{
    for (const GrantDelivery form : {GrantDelivery::Call, GrantDelivery::Heartbeat}) {
        const Verdict verdict = play(grantingBy(form, SeveralRecords));
        cr_assert(verdict.failed.empty());
        cr_assert(reachesMoves(verdict));
    }
}
