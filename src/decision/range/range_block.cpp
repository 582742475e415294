/** @file range_block.cpp Stores the range table of a service in several records. */

#include "decision/range/range_block.h"

#include <algorithm>
#include <bit>

namespace wisteriahoist {

namespace {

constexpr uint32_t AllKeys = LastShardKey.value() + 1;
constexpr size_t MaxHoldersOfOneRecord = 8;
constexpr size_t BlocksPerHolder = 4;
constexpr uint32_t MaxBlocks = 1024; ///< 64 keys per block; the store lists 500 records at a time.

} // namespace

KeySpan BlockLayout::spanOf(uint32_t block) const
{
    const uint32_t width = AllKeys / count;
    return {ShardKey(block * width), ShardKey((block + 1) * width - 1)};
}

BlockLayout chooseLayout(size_t holders)
{
    if (holders <= MaxHoldersOfOneRecord) {
        return {};
    }
    const size_t wanted = std::bit_ceil(holders * BlocksPerHolder);
    return {static_cast<uint32_t>(std::min<size_t>(wanted, MaxBlocks))};
}

bool isValidBlockCount(uint32_t count)
{
    return std::has_single_bit(count) && count <= MaxBlocks;
}

RangeTable extractBlock(const RangeTable &table, const KeySpan &span)
{
    RangeTable part;
    part.highestFence = table.highestFence;
    auto entry = std::upper_bound(
            table.entries.begin(), table.entries.end(), span.first,
            [](ShardKey key, const RangeEntry &other) { return key < other.first; });
    if (entry != table.entries.begin()) {
        --entry;
    }
    for (; entry != table.entries.end() && entry->first <= span.last; ++entry) {
        part.entries.push_back(*entry);
        part.entries.back().first = std::max(entry->first, span.first);
    }
    return part;
}

RangeTable replaceBlock(RangeTable table, const KeySpan &span, const RangeTable &part)
{
    splitAt(table, span.first);
    if (span.last < LastShardKey) {
        splitAt(table, ShardKey(span.last.value() + 1));
    }
    const auto isBefore = [](const RangeEntry &entry, ShardKey key) { return entry.first < key; };
    const auto begin
            = std::lower_bound(table.entries.begin(), table.entries.end(), span.first, isBefore);
    const auto end = std::find_if(begin, table.entries.end(), [&span](const RangeEntry &entry) {
        return entry.first > span.last;
    });
    const auto gap = table.entries.erase(begin, end);
    table.entries.insert(gap, part.entries.begin(), part.entries.end());
    table.highestFence = std::max(table.highestFence, part.highestFence);
    mergeAdjacent(table);
    return table;
}

} // namespace wisteriahoist
