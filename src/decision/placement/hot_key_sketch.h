/** @file hot_key_sketch.h The hottest keys of a stream in bounded memory (space-saving). */

#pragma once

#include "core/id_type.h"

#include <unordered_map>
#include <vector>

namespace wisteriahoist {

/** A key with its weighted count and by how much that count may be too high. */
struct SketchEntry {
    KeyHash hash;
    double count = 0;
    double error = 0; ///< The true count lies in [count - error, count].
};

/**
 * Space-saving over weighted events: a key that is not held takes the place, and the count, of the
 * smallest one. So every key with more than total/capacity of the weight is held.
 * Invariant: heap_ is a min-heap by count; position_[hash] is the key's index in heap_.
 */
class HotKeySketch
{
public:
    explicit HotKeySketch(size_t capacity);

    /** Counts one event of @p weight; logarithmic in the capacity. */
    void add(KeyHash hash, double weight);

    /** Multiplies every count, when the weights' scale is set back. */
    void scale(double factor);

    /** @return The @p limit entries with the highest count, highest first. */
    std::vector<SketchEntry> top(size_t limit) const;

private:
    void siftDown(size_t index);
    void siftUp(size_t index);
    void swapEntries(size_t left, size_t right);

    size_t capacity_;
    std::vector<SketchEntry> heap_;
    std::unordered_map<KeyHash, size_t> position_;
};

} // namespace wisteriahoist
