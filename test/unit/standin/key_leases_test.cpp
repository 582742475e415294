/** @file key_leases_test.cpp Key leases of a stand-in backend server; the soak relies on them. */

#include "platform/standin/key_leases.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::platform;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr TimePoint Until = Start + milliseconds(2500);
const KeySpan Low{ShardKey(0), ShardKey(99)};
const KeySpan High{ShardKey(100), ShardKey(199)};

} // namespace

Test(key_leases, grants_and_releases)
{
    KeyLeases leases;
    cr_assert(leases.heldOrInUse(Start).empty());
    cr_assert(leases.grant(Low, Epoch(3), Until));
    cr_assert(leases.holds(ShardKey(99), Start) && !leases.holds(ShardKey(100), Start));
    SECTION("a lease expires")
    {
        cr_assert(!leases.holds(ShardKey(5), Until));
    }
    SECTION("a shorter grant does not shorten a lease")
    {
        cr_assert(leases.grant(Low, Epoch(3), Start + milliseconds(1)));
        cr_assert(leases.holds(ShardKey(5), Start + milliseconds(2000)));
    }
    SECTION("a lower fence is rejected for the whole span and releases nothing")
    {
        const KeySpan both{Low.first, High.last};
        cr_assert(!leases.grant(both, Epoch(2), Until));
        cr_assert(!leases.holds(ShardKey(150), Start));
        leases.release(Low, Epoch(2), Start);
        cr_assert(leases.holds(ShardKey(5), Start));
    }
    SECTION("a release raises the fence for later grants")
    {
        leases.release(Low, Epoch(5), Start);
        cr_assert(!leases.holds(ShardKey(5), Start));
        cr_assert(!leases.grant(Low, Epoch(4), Until));
        cr_assert(leases.grant(Low, Epoch(5), Until));
    }
}

Test(key_leases, keys_in_heartbeats)
{
    KeyLeases leases;
    cr_assert(leases.grant(Low, Epoch(1), Until));
    cr_assert(leases.grant(High, Epoch(2), Until));
    SECTION("one row per fence")
    {
        const std::vector<HeldKeys> rows{{Low, Epoch(1)}, {High, Epoch(2)}};
        cr_assert(leases.heldOrInUse(Start) == rows);
    }
    SECTION("held keys outside of the granted spans")
    {
        const KeySpan kept{ShardKey(50), ShardKey(149)};
        const std::vector<HeldKeys> rows{{{ShardKey(0), ShardKey(49)}, Epoch(1)},
                                         {{ShardKey(150), ShardKey(199)}, Epoch(2)}};
        cr_assert(leases.heldOutside({kept}, Start) == rows);
    }
    SECTION("released keys that are still in use")
    {
        leases.beginWork(ShardKey(7));
        leases.release(Low, Epoch(1), Start);
        const KeySpan worked{ShardKey(7), ShardKey(7)};
        const std::vector<HeldKeys> rows{{worked, Epoch(1)}, {High, Epoch(2)}};
        cr_assert(leases.heldOrInUse(Start) == rows);
        cr_assert(leases.isInUse(Low) && !leases.isInUse(High));
        leases.endWork(ShardKey(7));
        cr_assert(!leases.isInUse(Low));
    }
}
