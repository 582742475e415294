/** @file range_table_test.cpp Range tables: division, moves, adoption, and properties over random
 * moves. */

#include "decision/range/range_type.h"
#include "support/property.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

const RangeHolder First{NodeId(1), Incarnation(1), "b-1"};
const RangeHolder Second{NodeId(2), Incarnation(1), "b-2"};

/** @return Whether the table covers all keys in order and no fence is above the highest fence. */
bool isSound(const RangeTable &table)
{
    if (table.entries.empty() || table.entries.front().first != ShardKey(0)) {
        return false;
    }
    for (size_t index = 0; index < table.entries.size(); ++index) {
        const bool inOrder
                = index == 0 || table.entries[index - 1].first < table.entries[index].first;
        if (!inOrder || table.entries[index].fence > table.highestFence) {
            return false;
        }
    }
    return true;
}

} // namespace

Test(range_table, division_and_moves)
{
    const RangeTable table = makeRangeTable({{First, 1}, {Second, 3}});
    SECTION("keys are divided according to the shares")
    {
        cr_assert(isSound(table));
        cr_assert(countKeys(table, First.node) == 16384);
        cr_assert(countKeys(table, Second.node) == 49152);
    }
    SECTION("a move changes only the holder of its keys, under a new highest fence")
    {
        const KeySpan span{ShardKey(10), ShardKey(10)};
        const RangeTable moved = assignRange(table, span, Second, "token");
        cr_assert(moved.find(ShardKey(9))->holder == First);
        cr_assert(moved.find(ShardKey(10))->holder == Second);
        cr_assert(moved.find(ShardKey(10))->handover == "token");
        cr_assert(moved.find(ShardKey(11))->holder == First);
        cr_assert(moved.find(ShardKey(10))->fence > table.highestFence);
        cr_assert(moved.find(ShardKey(11))->fence == table.find(ShardKey(11))->fence);
    }
}

// Guards against keys that two backend servers hold: a node that knows a range by its fence must
// not change keys of it that have another holder by now.
Test(range_table, only_keys_under_the_known_fence_are_reassigned)
{
    const RangeHolder third{NodeId(3), Incarnation(1), "b-3"};
    const KeySpan known{ShardKey(0), ShardKey(99)};
    const KeySpan moved{ShardKey(40), ShardKey(59)};
    const RangeTable before = assignRange(makeRangeTable({{First, 1}}), known, First, {});
    const Epoch fence = before.find(known.first)->fence;
    const RangeTable table = assignRange(before, moved, Second, "token");
    const RangeTable after = reassignRange(table, known, fence, third, {});
    SECTION("keys that have moved meanwhile stay with their holder, under its fence")
    {
        cr_assert(*after.find(ShardKey(40)) == *table.find(ShardKey(40)));
        cr_assert(*after.find(ShardKey(59)) == *table.find(ShardKey(59)));
    }
    SECTION("the others get the new holder, under a fence above all earlier ones")
    {
        for (const uint32_t key : {0U, 39U, 60U, 99U}) {
            cr_assert(after.find(ShardKey(key))->holder == third);
            cr_assert(after.find(ShardKey(key))->fence > table.highestFence);
        }
        cr_assert(isSound(after));
    }
    SECTION("the parts that have moved are found, also at the ends of the range")
    {
        cr_assert(findReassignedParts(table, known, fence) == std::vector<KeySpan>{moved});
        cr_assert(findReassignedParts(before, known, fence).empty());
        const KeySpan end{ShardKey(50), ShardKey(99)};
        const KeySpan movedEnd{ShardKey(50), ShardKey(59)};
        cr_assert(findReassignedParts(table, end, fence) == std::vector<KeySpan>{movedEnd});
    }
    SECTION("a table without keys under the fence stays as it is")
    {
        cr_assert(reassignRange(after, known, fence, Second, {}) == after);
    }
}

// A node restarts while its backend server still holds its keys: they keep their fence, so that no
// key changes its holder. If the backend server is a new incarnation, it holds no keys, and the
// fence of the old incarnation must not be reused.
Test(range_table, adoption_by_a_new_incarnation)
{
    const RangeTable table = makeRangeTable({{First, 1}, {Second, 1}});
    SECTION("the same incarnation of the backend server keeps the fence")
    {
        const RangeHolder restarted{First.node, Incarnation(2), First.backend};
        const RangeTable adopted = adoptRanges(table, restarted);
        cr_assert(adopted.find(ShardKey(0))->holder == restarted);
        cr_assert(adopted.find(ShardKey(0))->fence == table.find(ShardKey(0))->fence);
    }
    SECTION("a new incarnation of the backend server gets a new fence")
    {
        const RangeHolder replaced{First.node, Incarnation(2), "b-9"};
        const RangeTable adopted = adoptRanges(table, replaced);
        cr_assert(adopted.find(ShardKey(0))->fence > table.highestFence);
        cr_assert(adopted.find(ShardKey(0))->handover.empty());
    }
    SECTION("ranges of other holders are unchanged")
    {
        const RangeTable adopted = adoptRanges(table, {NodeId(3), Incarnation(1), "b-3"});
        cr_assert(adopted == table);
    }
}

Test(range_table, random_moves_keep_the_table_consistent)
{
    const bool held = holds(7, [](const std::vector<uint16_t> &cuts) {
        RangeTable table = makeRangeTable({{First, 1}, {Second, 1}});
        for (size_t index = 0; index + 1 < cuts.size(); ++index) {
            const auto [low, high] = std::minmax(cuts[index], cuts[index + 1]);
            const KeySpan span{ShardKey(low), ShardKey(high)};
            const RangeHolder &holder = index % 2 == 0 ? First : Second;
            const Epoch before = table.highestFence;
            table = assignRange(std::move(table), span, holder, {});
            const RangeEntry *entry = table.find(span.last);
            RC_ASSERT(isSound(table));
            RC_ASSERT(entry->holder == holder && entry->fence > before);
        }
    });
    cr_assert(held);
}
