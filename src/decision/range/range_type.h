/** @file range_type.h Ordered key ranges of a sharded service and their holders. */

#pragma once

#include "core/backend_incarnation.h"
#include "core/id_type.h"
#include "core/time_type.h"

#include <map>
#include <string>
#include <vector>

namespace wisteriahoist {

/** A key of a sharded service. Neighbouring keys tend to be busy at the same time. */
using ShardKey = StrongId<struct ShardKeyTag, uint32_t>;

inline constexpr ShardKey LastShardKey{65535};

/** The keys from first to last, both inclusive. */
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
 * The holder of a range: one incarnation of a backend server paired with one incarnation of a
 * node. A new incarnation of either is a different holder, so that ranges granted to an earlier
 * incarnation are never mistaken for its own.
 */
struct RangeHolder {
    NodeId node;      ///< InvalidNode: no holder.
    Incarnation life; ///< Incarnation of the node process.
    BackendIncarnation backend;
    bool operator==(const RangeHolder &) const = default;

    bool isUnassigned() const { return node == InvalidNode; }
};

/** One range. It ends where the next one begins. */
struct RangeEntry {
    ShardKey first;
    RangeHolder holder;
    Epoch fence;          ///< Increases whenever another backend server becomes the holder.
    std::string handover; ///< Hand-over token from the release by the previous holder; empty: none.
    bool operator==(const RangeEntry &) const = default;
};

/**
 * The ranges of one service.
 * Invariant: entries are sorted by first, and unless the table is empty the first entry begins at
 * 0. No fence is above highestFence, and highestFence never decreases.
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

    /** @return The entry that contains @p key; nullptr only if the table is empty. */
    const RangeEntry *find(ShardKey key) const;
};

/** Splits the entry that contains @p key so that an entry begins at @p key. */
void splitAt(RangeTable &table, ShardKey key);

/** Merges adjacent entries that differ only in their keys. */
void mergeAdjacent(RangeTable &table);

/** The share of the keys that one holder receives. */
struct HolderShare {
    RangeHolder holder;
    double share = 1; ///< Relative to the other shares; greater than 0.
};

/** @return @p table with @p span assigned to @p holder under a fence above all earlier ones. */
RangeTable assignRange(RangeTable table, const KeySpan &span, const RangeHolder &holder,
                       const std::string &handover);

/**
 * A fence identifies one assignment of a key, so keys that have been assigned anew since @p from
 * are not changed.
 * @return @p table with the keys of @p span that it lists under @p from assigned to @p holder under
 *         a fence above all earlier ones.
 */
RangeTable reassignRange(RangeTable table, const KeySpan &span, Epoch from,
                         const RangeHolder &holder, const std::string &handover);

/** @return The parts of @p span that @p table lists under another fence than @p known. */
std::vector<KeySpan> findReassignedParts(const RangeTable &table, const KeySpan &span, Epoch known);

/** @return @p span divided into one part per share, in order; empty parts are omitted. */
std::vector<std::pair<KeySpan, RangeHolder>> splitByShares(const KeySpan &span,
                                                           const std::vector<HolderShare> &shares);

/**
 * @return A new table whose keys are divided according to @p shares.
 * @pre There is at least one share.
 */
RangeTable makeRangeTable(const std::vector<HolderShare> &shares);

/**
 * Takes over the ranges of an earlier incarnation of this node or of its backend server. If the
 * backend server is still the same incarnation, fence and keys stay the same, since it never
 * stopped holding the keys. A new incarnation of the backend server gets a new fence and no
 * hand-over token.
 */
RangeTable adoptRanges(RangeTable table, const RangeHolder &self);

/** @return The number of keys that @p node holds. */
uint32_t countKeys(const RangeTable &table, NodeId node);

/** @return The number of keys per node; nodes that hold none are omitted. */
std::map<NodeId, uint32_t> countKeysByNode(const RangeTable &table);

} // namespace wisteriahoist
