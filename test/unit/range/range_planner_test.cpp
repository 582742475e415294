/** @file range_planner_test.cpp Which holder gets which keys when a holder leaves or is
 * overloaded. */

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

Test(range_planner, distribute_keys_of_a_leaving_holder)
{
    const std::vector<KeySpan> whole{KeySpan{}};
    SECTION("nothing moves without candidates")
    {
        cr_assert(planDistribution(whole, {}, {}).empty());
    }
    SECTION("keys are divided evenly if no load is known")
    {
        const auto moves = planDistribution(whole, {}, {makeCandidate(1, 0), makeCandidate(2, 0)});
        cr_assert(keysOf(moves, 1) + keysOf(moves, 2) == 65536);
        cr_assert(keysOf(moves, 1) > 32000 && keysOf(moves, 1) < 33500);
    }
    SECTION("a busy candidate gets less than an idle one")
    {
        const std::vector<KeyRate> rates{{ShardKey(100), 2}, {ShardKey(40000), 2}};
        const auto moves
                = planDistribution(whole, rates, {makeCandidate(1, 10), makeCandidate(2, 1)});
        for (const RangeMove &move : moves) {
            const bool busyKey
                    = move.span.contains(ShardKey(100)) || move.span.contains(ShardKey(40000));
            cr_assert(!busyKey || move.holder.node == NodeId(2));
        }
    }
    SECTION("every key is assigned to exactly one candidate")
    {
        const std::vector<KeySpan> parts{{ShardKey(5), ShardKey(9)}, {ShardKey(20), ShardKey(20)}};
        uint32_t keys = 0;
        for (const RangeMove &move :
             planDistribution(parts, {}, {makeCandidate(1, 0), makeCandidate(2, 3)})) {
            keys += move.span.size();
        }
        cr_assert(keys == 6);
    }
}

// Guards against requests for all keys of a holder waiting behind one hot key. One key attracts
// most of the load within seconds, so that its holder needs 16 slots and has 12. The other keys
// have to move, since the hot key alone would fill the next holder just the same.
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
    SECTION("a holder with free slots keeps its keys: a move makes them unavailable for 0.5 s")
    {
        self.busySlots = 6;
        cr_assert(planBalance(self, {span}, rates, {makeCandidate(2, 0)}, BalanceLimits{}).empty());
    }
    SECTION("a hot key alone moves from a slow holder to a faster one with free slots")
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
    SECTION("nothing moves when the other holders are as busy")
    {
        self.busySlots = 14;
        cr_assert(
                planBalance(self, {span}, rates, {makeCandidate(2, 13)}, BalanceLimits{}).empty());
    }
}

// Guards against a permanently overloaded holder. After many moves a holder has thirty small
// ranges and needs five times its slots, and requests for most of its keys stay refused.
// No single range has a quarter of the load that should move, so several have to move together.
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

// Guards against refused requests for as long as a key is hot: it lies at a slow backend server,
// and a much faster one has room.
Test(range_planner, a_hot_key_moves_to_the_server_that_serves_it_best)
{
    const std::vector<KeyRate> rates{{ShardKey(7), 30}};
    RangeCandidate slow = makeCandidate(1, 31);
    slow.serviceTime = milliseconds(320);
    RangeCandidate fast = makeCandidate(2, 3);
    fast.serviceTime = milliseconds(140);
    RangeCandidate medium = makeCandidate(3, 0);
    medium.serviceTime = milliseconds(300);
    const auto move = planHotKey(slow, rates, {medium, fast}, BalanceLimits{});
    cr_assert(move.has_value());
    cr_assert(move->holder.node == NodeId(2));
    cr_assert(move->span == (KeySpan{ShardKey(7), ShardKey(7)}));
    SECTION("but not for a small gain: each move keeps the key unserved for a moment")
    {
        cr_assert(!planHotKey(slow, rates, {medium}, BalanceLimits{}).has_value());
    }
    SECTION("and not on, once it is there")
    {
        fast.busySlots = 16;
        slow.busySlots = 6;
        cr_assert(!planHotKey(fast, {{ShardKey(7), 13}}, {slow, medium}, BalanceLimits{})
                           .has_value());
    }
}
