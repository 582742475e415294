/** @file hot_key_sketch.cpp Finds the hottest keys in bounded memory (Space-Saving algorithm). */

#include "decision/placement/hot_key_sketch.h"

#include <algorithm>
#include <cassert>

namespace wisteriahoist {

HotKeySketch::HotKeySketch(size_t capacity) : capacity_(capacity)
{
    assert(capacity > 0);
    heap_.reserve(capacity);
    position_.reserve(capacity);
}

void HotKeySketch::add(KeyHash hash, double weight)
{
    const auto found = position_.find(hash);
    if (found != position_.end()) {
        const size_t index = found->second;
        heap_[index].count += weight;
        siftDown(index);
        return;
    }
    if (heap_.size() < capacity_) {
        heap_.push_back({hash, weight, 0});
        position_[hash] = heap_.size() - 1;
        siftUp(heap_.size() - 1);
        return;
    }
    SketchEntry &smallest = heap_.front();
    position_.erase(smallest.hash);
    smallest = {hash, smallest.count + weight, smallest.count};
    position_[hash] = 0;
    siftDown(0);
}

void HotKeySketch::scale(double factor)
{
    for (SketchEntry &entry : heap_) {
        entry.count *= factor;
        entry.error *= factor;
    }
}

std::vector<SketchEntry> HotKeySketch::top(size_t limit) const
{
    std::vector<SketchEntry> entries = heap_;
    const size_t count = std::min(limit, entries.size());
    const auto hotter = [](const SketchEntry &left, const SketchEntry &right) {
        return left.count != right.count ? left.count > right.count : left.hash < right.hash;
    };
    std::partial_sort(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(count),
                      entries.end(), hotter);
    entries.resize(count);
    return entries;
}

void HotKeySketch::siftDown(size_t index)
{
    for (;;) {
        size_t smallest = index;
        for (size_t child = 2 * index + 1; child <= 2 * index + 2; ++child) {
            if (child < heap_.size() && heap_[child].count < heap_[smallest].count) {
                smallest = child;
            }
        }
        if (smallest == index) {
            return;
        }
        swapEntries(index, smallest);
        index = smallest;
    }
}

void HotKeySketch::siftUp(size_t index)
{
    while (index > 0 && heap_[index].count < heap_[(index - 1) / 2].count) {
        swapEntries(index, (index - 1) / 2);
        index = (index - 1) / 2;
    }
}

void HotKeySketch::swapEntries(size_t left, size_t right)
{
    std::swap(heap_[left], heap_[right]);
    position_[heap_[left].hash] = left;
    position_[heap_[right].hash] = right;
}

} // namespace wisteriahoist
