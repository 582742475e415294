/** @file key_leases_test.cpp What a stand-in for a backend server believes to hold; the soak's
 * checks rest on it.
 */

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
    SECTION("until the lease has run out")
    {
        cr_assert(!leases.holds(ShardKey(5), Until));
    }
    SECTION("a shorter grant does not shorten it")
    {
        cr_assert(leases.grant(Low, Epoch(3), Start + milliseconds(1)));
        cr_assert(leases.holds(ShardKey(5), Start + milliseconds(2000)));
    }
    SECTION("a lower fence is refused for the whole span and releases nothing")
    {
        const KeySpan both{Low.first, High.last};
        cr_assert(!leases.grant(both, Epoch(2), Until));
        cr_assert(!leases.holds(ShardKey(150), Start));
        leases.release(Low, Epoch(2), Start);
        cr_assert(leases.holds(ShardKey(5), Start));
    }
    SECTION("the fence of a release counts for later grants")
    {
        leases.release(Low, Epoch(5), Start);
        cr_assert(!leases.holds(ShardKey(5), Start));
        cr_assert(!leases.grant(Low, Epoch(4), Until));
        cr_assert(leases.grant(Low, Epoch(5), Until));
    }
}

Test(key_leases, what_a_heartbeat_shows)
{
    KeyLeases leases;
    cr_assert(leases.grant(Low, Epoch(1), Until));
    cr_assert(leases.grant(High, Epoch(2), Until));
    SECTION("a row for each fence")
    {
        const std::vector<HeldKeys> rows{{Low, Epoch(1)}, {High, Epoch(2)}};
        cr_assert(leases.heldOrInUse(Start) == rows);
    }
    SECTION("what an answer leaves out is what is held outside of it")
    {
        const KeySpan kept{ShardKey(50), ShardKey(149)};
        const std::vector<HeldKeys> rows{{{ShardKey(0), ShardKey(49)}, Epoch(1)},
                                         {{ShardKey(150), ShardKey(199)}, Epoch(2)}};
        cr_assert(leases.heldOutside({kept}, Start) == rows);
    }
    SECTION("keys that are worked on although they are released")
    {
        leases.beginWork(ShardKey(7));
        leases.release(Low, Epoch(1), Start);
        const KeySpan worked{ShardKey(7), ShardKey(7)};
        const std::vector<HeldKeys> rows{{worked, Epoch(1)}, {High, Epoch(2)}};
        cr_assert(leases.heldOrInUse(Start) == rows);
        cr_assert(leases.isBusy(Low) && !leases.isBusy(High));
        leases.endWork(ShardKey(7));
        cr_assert(!leases.isBusy(Low));
    }
}
