/** @file slice_table.h Maps the ranges of a service's hash space to their owners. */

#pragma once

#include "core/id_type.h"

#include <vector>

namespace wisteriahoist {

/** One range, from first up to the first point of the next range. */
struct Slice {
    KeyHash first;
    NodeId owner; ///< InvalidNode: no owner at present.
    Epoch epoch;  ///< Increases with each change of owner.
    bool operator==(const Slice &) const = default;
};

/** @return The last point (inclusive) of the range at @p index. */
inline KeyHash lastPointOf(const std::vector<Slice> &slices, size_t index)
{
    return index + 1 < slices.size() ? KeyHash(slices[index + 1].first.value() - 1)
                                     : KeyHash(UINT64_MAX);
}

/**
 * An immutable table of the ranges of one service. Threads read it without a lock; a change creates
 * a new table, which readers get with their next snapshot.
 * Invariant: sorted by first, and the first range begins at 0; so each hash is in exactly one
 * range.
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

    /** @return Memory used by the table, in bytes. */
    size_t memoryBytes() const;

    /** @return A table of @p count ranges of equal width without owners. */
    static SliceTable makeEven(uint32_t count);

private:
    void buildIndex();

    std::vector<Slice> slices_;
    /// Indexed by the top bits of a hash (its bucket): the range that contains the first point of
    /// the bucket. A lookup searches only between two adjacent entries. Empty for small tables.
    std::vector<uint32_t> index_;
    int shift_ = 64; ///< Bits by which a hash is shifted right to get its bucket.
};

} // namespace wisteriahoist
