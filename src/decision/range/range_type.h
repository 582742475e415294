/** @file range_type.h Ordered key ranges of a sharded service, and who holds each of them. */

#pragma once

#include "core/backend_incarnation.h"
#include "core/id_type.h"
#include "core/time_type.h"

#include <map>
#include <string>
#include <vector>

namespace wisteriahoist {

/** A key of a sharded service: a number whose neighbours tend to be busy together. */
using ShardKey = StrongId<struct ShardKeyTag, uint32_t>;

inline constexpr ShardKey LastShardKey{65535};

/** Keys from first to last, both included. */
struct KeySpan {
    ShardKey first;
    ShardKey last = LastShardKey;
    auto operator<=>(const KeySpan &) const = default;

    bool contains(ShardKey key) const { return first <= key && key <= last; }
    bool covers(const KeySpan &other) const { return first <= other.first && other.last <= last; }
    bool overlaps(const KeySpan &other) const { return first <= other.last && other.first <= last; }
    uint32_t size() const { return last.value() - first.value() + 1; }
};

/**
 * Who holds a range: one life of a backend server beside one life of a node. A new life of either
 * is another holder, so that what an older life was given is never taken for its own.
 */
struct RangeHolder {
    NodeId node;      ///< InvalidNode: nobody.
    Incarnation life; ///< Of the node's process.
    BackendIncarnation backend;
    bool operator==(const RangeHolder &) const = default;

    bool isNobody() const { return node == InvalidNode; }
};

/** One range; it ends where the next one begins. */
struct RangeEntry {
    ShardKey first;
    RangeHolder holder;
    Epoch fence;          ///< Rises with each change of the backend server that holds the range.
    std::string handover; ///< From the last holder's release; empty: none.
    bool operator==(const RangeEntry &) const = default;
};

/**
 * The ranges of one service.
 * Invariant: sorted by first and the first begins at 0, unless empty; no fence is above
 * highestFence, and highestFence never falls.
 */
struct RangeTable {
    Epoch highestFence;
    std::vector<RangeEntry> entries;
    bool operator==(const RangeTable &) const = default;

    KeySpan spanOf(size_t index) const
    {
        const bool isLast = index + 1 >= entries.size();
        const ShardKey last
                = isLast ? LastShardKey : ShardKey(entries[index + 1].first.value() - 1);
        return {entries[index].first, last};
    }

    /** @return The entry that holds @p key; nullptr only if the table is empty. */
    const RangeEntry *find(ShardKey key) const;
};

/** Makes an entry begin at @p key. */
void splitAt(RangeTable &table, ShardKey key);

/** Joins neighbours that differ in nothing but their keys. */
void mergeEqual(RangeTable &table);

/** A share of the keys for one holder. */
struct HolderShare {
    RangeHolder holder;
    double share = 1; ///< Relative to the others; above 0.
};

/** @return @p table with @p span given to @p holder under a fence above all earlier ones. */
RangeTable giveRange(RangeTable table, const KeySpan &span, const RangeHolder &holder,
                     const std::string &handover);

/** @return @p span cut into one part for each share, in order; empty parts are left out. */
std::vector<std::pair<KeySpan, RangeHolder>> cutByShares(const KeySpan &span,
                                                         const std::vector<HolderShare> &shares);

/** @return A new table whose keys are divided by @p shares. @pre There is at least one. */
RangeTable makeRangeTable(const std::vector<HolderShare> &shares);

/**
 * Takes over what an earlier life of the own node or backend server held. The same life of the
 * backend server keeps fence and keys, since it never stopped holding them; a new one gets a new
 * fence and no handover.
 */
RangeTable adoptRanges(RangeTable table, const RangeHolder &self);

/** @return How many keys @p node holds. */
uint32_t countKeys(const RangeTable &table, NodeId node);

/** @return How many keys each node holds; nodes without any are left out. */
std::map<NodeId, uint32_t> countKeysByNode(const RangeTable &table);

} // namespace wisteriahoist
