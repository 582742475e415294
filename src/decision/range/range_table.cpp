/** @file range_table.cpp Operations on a range table; each returns a new table or edits its
 * argument. */

#include "decision/range/range_type.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace wisteriahoist {

void splitAt(RangeTable &table, ShardKey key)
{
    auto next = std::upper_bound(
            table.entries.begin(), table.entries.end(), key,
            [](ShardKey value, const RangeEntry &entry) { return value < entry.first; });
    if (next == table.entries.begin() || std::prev(next)->first == key) {
        return;
    }
    RangeEntry part = *std::prev(next);
    part.first = key;
    table.entries.insert(next, std::move(part));
}

void mergeAdjacent(RangeTable &table)
{
    std::vector<RangeEntry> merged;
    for (RangeEntry &entry : table.entries) {
        const bool same = !merged.empty() && merged.back().holder == entry.holder
                          && merged.back().fence == entry.fence
                          && merged.back().handover == entry.handover;
        if (!same) {
            merged.push_back(std::move(entry));
        }
    }
    table.entries = std::move(merged);
}

const RangeEntry *RangeTable::find(ShardKey key) const
{
    const auto next = std::upper_bound(
            entries.begin(), entries.end(), key,
            [](ShardKey value, const RangeEntry &entry) { return value < entry.first; });
    return next == entries.begin() ? nullptr : &*std::prev(next);
}

namespace {

/**
 * Assigns the keys of @p span, or only those listed under @p from if it is set, to @p holder under
 * a new fence.
 */
RangeTable assignKeys(RangeTable table, const KeySpan &span, const std::optional<Epoch> &from,
                      const RangeHolder &holder, const std::string &handover)
{
    splitAt(table, span.first);
    if (span.last != LastShardKey) {
        splitAt(table, ShardKey(span.last.value() + 1));
    }
    const Epoch fence = table.highestFence.next();
    for (RangeEntry &entry : table.entries) {
        if (span.contains(entry.first) && (!from || entry.fence == *from)) {
            entry.holder = holder;
            entry.fence = fence;
            entry.handover = handover;
            table.highestFence = fence;
        }
    }
    mergeAdjacent(table);
    return table;
}

} // namespace

RangeTable assignRange(RangeTable table, const KeySpan &span, const RangeHolder &holder,
                       const std::string &handover)
{
    if (table.entries.empty()) {
        table.entries.push_back({});
    }
    return assignKeys(std::move(table), span, std::nullopt, holder, handover);
}

RangeTable reassignRange(RangeTable table, const KeySpan &span, Epoch from,
                         const RangeHolder &holder, const std::string &handover)
{
    return assignKeys(std::move(table), span, from, holder, handover);
}

std::vector<KeySpan> findReassignedParts(const RangeTable &table, const KeySpan &span, Epoch known)
{
    std::vector<KeySpan> parts;
    for (size_t index = 0; index < table.entries.size(); ++index) {
        const KeySpan listed = table.spanOf(index);
        if (listed.overlaps(span) && table.entries[index].fence != known) {
            parts.push_back({std::max(listed.first, span.first), std::min(listed.last, span.last)});
        }
    }
    return parts;
}

std::vector<std::pair<KeySpan, RangeHolder>> splitByShares(const KeySpan &span,
                                                           const std::vector<HolderShare> &shares)
{
    double total = 0;
    for (const HolderShare &share : shares) {
        total += share.share;
    }
    std::vector<std::pair<KeySpan, RangeHolder>> parts;
    double taken = 0;
    uint32_t begin = span.first.value();
    const uint32_t end = span.last.value() + 1;
    for (size_t index = 0; index < shares.size() && begin < end; ++index) {
        taken += shares[index].share;
        const bool isLast = index + 1 == shares.size();
        const auto width = static_cast<uint32_t>(std::llround(span.size() * taken / total));
        const uint32_t partEnd = isLast ? end : std::min(end, span.first.value() + width);
        if (partEnd > begin) {
            parts.push_back({{ShardKey(begin), ShardKey(partEnd - 1)}, shares[index].holder});
        }
        begin = partEnd;
    }
    return parts;
}

RangeTable makeRangeTable(const std::vector<HolderShare> &shares)
{
    RangeTable table;
    for (const auto &[span, holder] : splitByShares(KeySpan{}, shares)) {
        table = assignRange(std::move(table), span, holder, {});
    }
    return table;
}

RangeTable adoptRanges(RangeTable table, const RangeHolder &self)
{
    for (RangeEntry &entry : table.entries) {
        if (entry.holder.node != self.node || entry.holder == self) {
            continue;
        }
        if (entry.holder.backend != self.backend) {
            table.highestFence = table.highestFence.next();
            entry.fence = table.highestFence;
            entry.handover.clear();
        }
        entry.holder = self;
    }
    mergeAdjacent(table);
    return table;
}

uint32_t countKeys(const RangeTable &table, NodeId node)
{
    const std::map<NodeId, uint32_t> counts = countKeysByNode(table);
    const auto found = counts.find(node);
    return found == counts.end() ? 0 : found->second;
}

std::map<NodeId, uint32_t> countKeysByNode(const RangeTable &table)
{
    std::map<NodeId, uint32_t> counts;
    for (size_t index = 0; index < table.entries.size(); ++index) {
        counts[table.entries[index].holder.node] += table.spanOf(index).size();
    }
    return counts;
}

} // namespace wisteriahoist
