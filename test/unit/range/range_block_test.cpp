/** @file range_block_test.cpp A range table in several records: splitting, joining, and reading
 * records in any order. */

#include "adapter/codec/record_codec.h"
#include "duty/fleet_view.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

RangeHolder holderOf(uint64_t node)
{
    return {NodeId(node), Incarnation(1), "b-" + std::to_string(node)};
}

RangeTable makeTable(size_t holders)
{
    std::vector<HolderShare> shares;
    for (size_t index = 1; index <= holders; ++index) {
        shares.push_back({holderOf(index), 1});
    }
    return makeRangeTable(shares);
}

RangeRecord makeBase(size_t holders)
{
    RangeRecord record;
    record.table = makeTable(holders);
    record.layout = chooseLayout(holders);
    return record;
}

RangeRecord makeBlock(const RangeTable &table, const BlockLayout &layout, uint32_t block)
{
    RangeRecord record;
    record.service = "s";
    record.block = block;
    record.layout = layout;
    record.table = extractBlock(table, layout.spanOf(block));
    return record;
}

} // namespace

Test(range_block, small_service_has_one_record_and_a_large_one_several)
{
    cr_assert_eq(chooseLayout(4).count, 1U);
    cr_assert_eq(chooseLayout(8).count, 1U);
    cr_assert_eq(chooseLayout(41).count, 256U);
    cr_assert_eq(chooseLayout(18000).count, 1024U);
    cr_assert(BlockLayout{256}.spanOf(255).last == LastShardKey);
    cr_assert(!isValidBlockCount(3) && !isValidBlockCount(0) && !isValidBlockCount(2048));
}

Test(range_block, joining_all_blocks_restores_the_table)
{
    const RangeTable table = makeTable(41);
    const BlockLayout layout = chooseLayout(41);
    RangeTable joined = assignRange(table, KeySpan{}, holderOf(99), {});
    for (uint32_t block = 0; block < layout.count; ++block) {
        joined = replaceBlock(std::move(joined), layout.spanOf(block),
                              extractBlock(table, layout.spanOf(block)));
    }
    cr_assert(joined.entries == table.entries);
}

Test(range_block, view_joins_records_in_any_order)
{
    const RangeRecord base = makeBase(41);
    const KeySpan moved{ShardKey(300), ShardKey(310)};
    const RangeTable after = assignRange(base.table, moved, holderOf(7), "token");
    const RangeRecord block = makeBlock(after, base.layout, 1);
    FleetView view;

    SECTION("a block that arrives before the base record does not make a table")
    {
        view.onRanges("s.block-1", block, StoreRevision(9));
        cr_assert(view.findTable("s") == nullptr);
    }
    SECTION("with the base record the block counts, and other blocks keep the initial division")
    {
        view.onRanges("s", base, StoreRevision(5));
        const StoredTable *stored = view.findTable("s");
        cr_assert(stored != nullptr);
        cr_assert(stored->table.find(ShardKey(305))->holder == holderOf(7));
        cr_assert(stored->table.entries == after.entries);
        cr_assert(stored->revisionOf(1) == StoreRevision(9));
        cr_assert(stored->revisionOf(2) == StoreRevision(0));
    }
    SECTION("an older record of the block changes nothing")
    {
        view.onRanges("s.block-1", makeBlock(base.table, base.layout, 1), StoreRevision(8));
        cr_assert(view.findTable("s")->table.find(ShardKey(305))->holder == holderOf(7));
    }
}

// Guards against a block whose changes all fail, since the entry of another writer that describes
// it as well is newer: the revision of that entry is not the one that a write replaces.
Test(range_block, block_counts_under_its_own_name)
{
    const RangeRecord base = makeBase(41);
    const auto describe = [&base](uint64_t holder) {
        const RangeTable table
                = assignRange(base.table, base.layout.spanOf(1), holderOf(holder), {});
        return encodeRangeRecord(makeBlock(table, base.layout, 1));
    };
    FleetView view;
    view.onRanges("s", base, StoreRevision(5));
    view.onRangeRecord({"s.block-1", StoreRevision(9), describe(7)});
    for (const std::string name : {"a-writer", "s", "s.block-2", "s.block-01", "t.block-1", "z"}) {
        view.onRangeRecord({name, StoreRevision(50), describe(8)});
        const StoredTable *stored = view.findTable("s");
        cr_assert(stored->table.find(ShardKey(300))->holder == holderOf(7), "%s", name.c_str());
        cr_assert(stored->revisionOf(1) == StoreRevision(9), "%s", name.c_str());
    }
    SECTION("and is changed there")
    {
        view.onRangeRecord({"s.block-1", StoreRevision(51), describe(3)});
        cr_assert(view.findTable("s")->table.find(ShardKey(300))->holder == holderOf(3));
    }
}

Test(range_block, block_record_round_trip)
{
    const RangeRecord base = makeBase(41);
    const RangeRecord block = makeBlock(base.table, base.layout, 200);
    const Result<RangeRecord> read = decodeRangeRecord(encodeRangeRecord(block));
    cr_assert(read.has_value());
    cr_assert(read.assume_value().isBlock());
    cr_assert_eq(read.assume_value().block, 200U);
    cr_assert(read.assume_value().table == block.table);

    SECTION("ranges outside the block are malformed")
    {
        RangeRecord wrong = block;
        wrong.block = 201;
        cr_assert(!decodeRangeRecord(encodeRangeRecord(wrong)).has_value());
    }
    SECTION("a block count that no release writes is malformed")
    {
        RangeRecord wrong = block;
        wrong.layout.count = 250;
        cr_assert(!decodeRangeRecord(encodeRangeRecord(wrong)).has_value());
    }
}
