/** @file slice_table.h Which node owns which range of a service's hash space. */

#pragma once

#include "core/id_type.h"

#include <vector>

namespace wisteriahoist {

/** One range, from first to the next range's first. */
struct Slice {
    KeyHash first;
    NodeId owner; ///< InvalidNode: no owner at present.
    Epoch epoch;  ///< Rises with each change of owner.
    bool operator==(const Slice &) const = default;
};

/** @return The last point (inclusive) of the range at @p index. */
inline KeyHash lastPointOf(const std::vector<Slice> &slices, size_t index)
{
    return index + 1 < slices.size() ? KeyHash(slices[index + 1].first.value() - 1)
                                     : KeyHash(UINT64_MAX);
}

/**
 * An immutable table of the ranges of one service. Threads read it without a lock; a change makes
 * a new table, which the readers' next snapshot holds.
 * Invariant: sorted by first; the first range begins at 0; so every hash lies in exactly one range.
 */
class SliceTable
{
public:
    SliceTable() = default;

    /** @pre @p slices is sorted by first, and begins at 0 unless it is empty. */
    explicit SliceTable(std::vector<Slice> slices);

    /** @return The range that holds @p hash; nullptr only if the table is empty. */
    const Slice *find(KeyHash hash) const;

    const std::vector<Slice> &slices() const { return slices_; }
    bool empty() const { return slices_.empty(); }
    bool operator==(const SliceTable &other) const { return slices_ == other.slices_; }

    /** @return The memory that the table holds, in bytes. */
    size_t memoryBytes() const;

    /** @return A table of @p count ranges of equal width without owners. */
    static SliceTable makeEven(uint32_t count);

private:
    void buildIndex();

    std::vector<Slice> slices_;
    /// By the hash's top bits: the range that holds the bucket's first point. A lookup searches
    /// only between its bucket's entry and the next one's. Empty for small tables.
    std::vector<uint32_t> index_;
    int shift_ = 64; ///< A hash's bucket is the hash shifted right by this many bits.
};

} // namespace wisteriahoist
