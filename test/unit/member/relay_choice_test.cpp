/** @file relay_choice_test.cpp Which nodes relay the store calls of another one. */

#include "decision/member/relay_choice.h"

#include "support/test_section.h"

#include <set>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr uint64_t FleetSize = 40;

std::map<NodeId, MemberRecord> makeFleet()
{
    std::map<NodeId, MemberRecord> fleet;
    for (uint64_t id = 1; id <= FleetSize; ++id) {
        fleet[NodeId(id)].node = NodeId(id);
    }
    return fleet;
}

} // namespace

Test(relay_choice, each_node_has_an_order_of_its_own)
{
    std::map<NodeId, MemberRecord> fleet = makeFleet();
    fleet[NodeId(3)].stopping = true;
    std::set<NodeId> first;
    for (uint64_t id = 1; id <= FleetSize; ++id) {
        const std::vector<NodeId> relays
                = RelayChoice(NodeId(id)).candidates(fleet, TimePoint(milliseconds(0)));
        cr_assert_eq(relays.size(), RelayLimits{}.maxTried);
        first.insert(relays.front());
        SECTION("without itself and nodes that stop")
        {
            for (const NodeId relay : relays) {
                cr_assert(relay != NodeId(id) && relay != NodeId(3));
            }
        }
    }
    cr_assert_geq(first.size(), FleetSize / 3);
}

// Guards against a node without any relay because the store rejects the first three as well.
Test(relay_choice, failed_relays_are_skipped_for_a_while)
{
    const std::map<NodeId, MemberRecord> fleet = makeFleet();
    const TimePoint begun{milliseconds(100)};
    RelayChoice choice(NodeId(1));
    const std::vector<NodeId> first = choice.candidates(fleet, begun);
    for (const NodeId relay : first) {
        choice.onFailure(relay, begun);
    }

    SECTION("others are tried")
    {
        for (const NodeId relay : choice.candidates(fleet, begun)) {
            cr_assert(std::find(first.begin(), first.end(), relay) == first.end());
        }
    }
    SECTION("until the time is over")
    {
        cr_assert(choice.candidates(fleet, begun + RelayLimits{}.skipTime) == first);
    }
    SECTION("one that works is kept")
    {
        const NodeId working = choice.candidates(fleet, begun).back();
        cr_assert(choice.onSuccess(working));
        cr_assert(!choice.onSuccess(working));
        cr_assert(choice.candidates(fleet, begun).front() == working);
        choice.onFailure(working, begun);
        cr_assert(choice.candidates(fleet, begun).front() != working);
    }
    SECTION("all of a small fleet have failed: the one that failed first")
    {
        RelayChoice other(NodeId(1));
        const std::map<NodeId, MemberRecord> small(fleet.begin(), std::next(fleet.begin(), 3));
        other.onFailure(NodeId(3), begun);
        other.onFailure(NodeId(2), begun + milliseconds(10));
        const std::vector<NodeId> order = other.candidates(small, begun + milliseconds(20));
        cr_assert(order.size() == 2 && order.front() == NodeId(3));
    }
}
