/** @file range_block.cpp A service's range table in several records. */

#include "decision/range/range_block.h"

#include <algorithm>
#include <bit>

namespace wisteriahoist {

namespace {

constexpr uint32_t AllKeys = LastShardKey.value() + 1;
constexpr size_t HoldersOfOneRecord = 8;
constexpr size_t BlocksPerHolder = 4;
constexpr uint32_t MostBlocks = 1024; ///< 64 keys each; the store lists 500 records at a time.

} // namespace

KeySpan BlockLayout::spanOf(uint32_t block) const
{
    const uint32_t width = AllKeys / count;
    return {ShardKey(block * width), ShardKey((block + 1) * width - 1)};
}

BlockLayout chooseLayout(size_t holders)
{
    if (holders <= HoldersOfOneRecord) {
        return {};
    }
    const size_t wanted = std::bit_ceil(holders * BlocksPerHolder);
    return {static_cast<uint32_t>(std::min<size_t>(wanted, MostBlocks))};
}

bool isLayoutCount(uint32_t count)
{
    return std::has_single_bit(count) && count <= MostBlocks;
}

RangeTable cutBlock(const RangeTable &table, const KeySpan &span)
{
    RangeTable part;
    part.highestFence = table.highestFence;
    for (size_t index = 0; index < table.entries.size(); ++index) {
        const KeySpan held = table.spanOf(index);
        if (held.overlaps(span)) {
            RangeEntry entry = table.entries[index];
            entry.first = std::max(entry.first, span.first);
            part.entries.push_back(std::move(entry));
        }
    }
    return part;
}

RangeTable replaceBlock(RangeTable table, const KeySpan &span, const RangeTable &part)
{
    RangeTable joined;
    joined.highestFence = std::max(table.highestFence, part.highestFence);
    const auto append = [&joined](const RangeTable &from) {
        joined.entries.insert(joined.entries.end(), from.entries.begin(), from.entries.end());
    };
    if (span.first > ShardKey(0)) {
        append(cutBlock(table, {ShardKey(0), ShardKey(span.first.value() - 1)}));
    }
    append(part);
    if (span.last < LastShardKey) {
        append(cutBlock(table, {ShardKey(span.last.value() + 1), LastShardKey}));
    }
    mergeEqual(joined);
    return joined;
}

} // namespace wisteriahoist
