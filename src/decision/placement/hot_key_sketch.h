/** @file hot_key_sketch.h Finds the hottest keys in bounded memory (Space-Saving algorithm). */

#pragma once

#include "core/id_type.h"

#include <unordered_map>
#include <vector>

namespace wisteriahoist {

/** A key, its weighted count and the maximum error of that count. */
struct SketchEntry {
    KeyHash hash;
    double count = 0;
    double error = 0; ///< The true count is in [count - error, count].
};

/**
 * Space-Saving with weighted events: a key that is not tracked replaces the one with the smallest
 * count and inherits that count. So each key with more than total/capacity of the weight is
 * tracked. Invariant: heap_ is a min-heap by count; position_[hash] is the key's index in heap_.
 */
class HotKeySketch
{
public:
    explicit HotKeySketch(size_t capacity);

    /** Counts one event with @p weight. Complexity: logarithmic in the capacity. */
    void add(KeyHash hash, double weight);

    /** Multiplies all counts by @p factor, to rescale the weights. */
    void scale(double factor);

    /** @return Up to @p limit entries with the highest counts, highest first. */
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
