/** @file range_planner_test.cpp Who gets which keys when a holder leaves or is too busy. */

#include "decision/range/range_planner.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

RangeCandidate makeCandidate(uint64_t node, double busySlots)
{
    RangeCandidate candidate;
    candidate.holder = {NodeId(node), Incarnation(1), "b-" + std::to_string(node)};
    candidate.slots = 12;
    candidate.busySlots = busySlots;
    return candidate;
}

uint32_t keysOf(const std::vector<RangeMove> &moves, uint64_t node)
{
    uint32_t keys = 0;
    for (const RangeMove &move : moves) {
        keys += move.holder.node == NodeId(node) ? move.span.size() : 0;
    }
    return keys;
}

} // namespace

Test(range_planner, give_away)
{
    const std::vector<KeySpan> whole{KeySpan{}};
    SECTION("nobody to take it: nothing is moved")
    {
        cr_assert(planGiveAway(whole, {}, {}).empty());
    }
    SECTION("without a known load the keys are divided evenly")
    {
        const auto moves = planGiveAway(whole, {}, {makeCandidate(1, 0), makeCandidate(2, 0)});
        cr_assert(keysOf(moves, 1) + keysOf(moves, 2) == 65536);
        cr_assert(keysOf(moves, 1) > 32000 && keysOf(moves, 1) < 33500);
    }
    SECTION("a busy candidate gets less than an idle one")
    {
        const std::vector<KeyRate> rates{{ShardKey(100), 2}, {ShardKey(40000), 2}};
        const auto moves = planGiveAway(whole, rates, {makeCandidate(1, 10), makeCandidate(2, 1)});
        for (const RangeMove &move : moves) {
            const bool busyKey
                    = move.span.contains(ShardKey(100)) || move.span.contains(ShardKey(40000));
            cr_assert(!busyKey || move.holder.node == NodeId(2));
        }
    }
    SECTION("every key is given to exactly one")
    {
        const std::vector<KeySpan> parts{{ShardKey(5), ShardKey(9)}, {ShardKey(20), ShardKey(20)}};
        uint32_t keys = 0;
        for (const RangeMove &move :
             planGiveAway(parts, {}, {makeCandidate(1, 0), makeCandidate(2, 3)})) {
            keys += move.span.size();
        }
        cr_assert(keys == 6);
    }
}

// One key draws most of the demand within seconds: its holder is asked for 16 of its 12 slots, and
// callers of all its other keys wait behind the hot one. The other keys have to leave, since the
// hot one alone would fill the next holder just the same.
Test(range_planner, neighbours_of_a_hot_key_move)
{
    const KeySpan span{ShardKey(0), ShardKey(999)};
    const std::vector<KeyRate> rates{
            {ShardKey(10), 1.5}, {ShardKey(200), 1.5}, {ShardKey(500), 11}, {ShardKey(900), 2}};
    RangeCandidate self = makeCandidate(1, 16);
    const auto moves = planBalance(self, {span}, rates, {makeCandidate(2, 6)}, BalanceLimits{});
    cr_assert(!moves.empty());
    for (const RangeMove &move : moves) {
        cr_assert(!move.span.contains(ShardKey(500)));
        cr_assert(move.holder.node == NodeId(2));
    }
    SECTION("a holder with room keeps what it has: a move costs its keys half a second")
    {
        self.busySlots = 6;
        cr_assert(planBalance(self, {span}, rates, {makeCandidate(2, 0)}, BalanceLimits{}).empty());
    }
    SECTION("a hot key alone moves from a slow holder to a faster one that has room for it")
    {
        const std::vector<KeyRate> hot{{ShardKey(500), 15}};
        RangeCandidate fast = makeCandidate(2, 2);
        self.busySlots = 15;
        self.serviceTime = milliseconds(450);
        fast.serviceTime = milliseconds(250);
        const auto moved = planBalance(self, {span}, hot, {fast}, BalanceLimits{});
        cr_assert(moved.size() == 1 && moved[0].span == KeySpan({ShardKey(500), ShardKey(500)}));
        fast.serviceTime = milliseconds(450);
        fast.busySlots = 6;
        cr_assert(planBalance(self, {span}, hot, {fast}, BalanceLimits{}).empty());
    }
    SECTION("and nothing moves when the others are as busy")
    {
        self.busySlots = 14;
        cr_assert(
                planBalance(self, {span}, rates, {makeCandidate(2, 13)}, BalanceLimits{}).empty());
    }
}

// After many moves a holder has thirty small ranges and is asked for five times its slots; callers
// of most keys are refused for the rest of the day. Not one of the ranges alone weighs a quarter of
// what should move, so several have to move together.
Test(range_planner, many_small_ranges_move_together)
{
    std::vector<KeySpan> spans;
    std::vector<KeyRate> rates;
    for (uint32_t index = 0; index < 30; ++index) {
        spans.push_back({ShardKey(index * 100), ShardKey(index * 100 + 50)});
        rates.push_back({ShardKey(index * 100 + 7), 2});
    }
    const auto moves = planBalance(makeCandidate(1, 60), spans, rates, {makeCandidate(2, 0)},
                                   BalanceLimits{});
    cr_assert(moves.size() == BalanceLimits{}.ranges);
}
