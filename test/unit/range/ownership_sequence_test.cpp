/** @file ownership_sequence_test.cpp Random sequences of faults over several nodes: no key is held
 * twice. */

#include "support/ownership_world.h"
#include "support/story.h"

#include <iostream>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** Of the simulated clock: a takeover takes 2.75 s, and what was sent late arrives within 3 s. */
constexpr std::chrono::seconds Span{12};
constexpr uint64_t Seeds = 300;

/** What a run of seeds showed. */
struct Verdict {
    std::vector<uint64_t> failed; ///< Seeds in which two backend servers held a key.
    uint64_t handovers = 0;
    uint64_t takeovers = 0;
};

WorldSettings grantingBy(GrantForm form)
{
    WorldSettings settings;
    settings.form = form;
    return settings;
}

bool holdsOnce(uint64_t seed, const WorldSettings &settings, Verdict &verdict)
{
    OwnershipWorld world(seed, settings);
    const bool held = world.run(Span);
    verdict.handovers += world.handovers();
    verdict.takeovers += world.takeovers();
    if (!held) {
        std::cerr << "seed " << seed << ": " << world.violation() << "\n";
        verdict.failed.push_back(seed);
    }
    return held;
}

Verdict play(GrantForm form)
{
    Verdict verdict;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        (void)holdsOnce(seed, grantingBy(form), verdict);
    }
    return verdict;
}

} // namespace

// Two backend servers hold a key, and both work on it. Whatever is lost, late, doubled or refused,
// and whoever starts again amid it, at most one of them counts a key as its own at any step. The
// steps have to reach hand-overs and takeovers, or they prove nothing.
Test(ownership_sequence, no_key_is_held_twice_where_calls_grant)
{
    const Verdict verdict = play(GrantForm::Call);
    cr_assert(verdict.failed.empty());
    cr_assert(verdict.handovers > Seeds && verdict.takeovers > Seeds / 10);
}

Test(ownership_sequence, no_key_is_held_twice_where_heartbeats_grant)
{
    const Verdict verdict = play(GrantForm::Heartbeat);
    cr_assert(verdict.failed.empty());
    cr_assert(verdict.handovers > Seeds && verdict.takeovers > Seeds / 10);
}
