/** @file slice_table.cpp Maps the ranges of a service's hash space to their owners. */

#include "decision/routing/slice_table.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace wisteriahoist {

namespace {

constexpr int CoarserBits = 1;         ///< About two ranges per bucket, which halves the index.
constexpr size_t SmallestIndexed = 64; ///< Below, a binary search touches few cache lines.

} // namespace

SliceTable::SliceTable(std::vector<Slice> slices) : slices_(std::move(slices))
{
    assert(slices_.empty() || slices_.front().first == KeyHash(0));
    if (slices_.size() >= SmallestIndexed) {
        buildIndex();
    }
}

void SliceTable::buildIndex()
{
    const int bits = static_cast<int>(std::bit_width(slices_.size() - 1)) - CoarserBits;
    const size_t buckets = size_t{1} << bits;
    shift_ = 64 - bits;
    index_.resize(buckets + 1);
    size_t slice = 0;
    for (size_t bucket = 0; bucket < buckets; ++bucket) {
        const KeyHash start(static_cast<uint64_t>(bucket) << shift_);
        while (slice + 1 < slices_.size() && slices_[slice + 1].first <= start) {
            ++slice;
        }
        index_[bucket] = static_cast<uint32_t>(slice);
    }
    index_[buckets] = static_cast<uint32_t>(slices_.size() - 1);
}

const Slice *SliceTable::find(KeyHash hash) const
{
    if (slices_.empty()) {
        return nullptr;
    }
    auto begin = slices_.begin();
    auto end = slices_.end();
    if (!index_.empty()) {
        const size_t bucket = hash.value() >> shift_;
        begin = slices_.begin() + index_[bucket];
        end = slices_.begin() + index_[bucket + 1] + 1;
    }
    const auto after = std::upper_bound(begin, end, hash, [](KeyHash point, const Slice &slice) {
        return point < slice.first;
    });
    return &*std::prev(after);
}

size_t SliceTable::memoryBytes() const
{
    return sizeof *this + slices_.capacity() * sizeof(Slice) + index_.capacity() * sizeof(uint32_t);
}

SliceTable SliceTable::makeEven(uint32_t count)
{
    std::vector<Slice> slices;
    slices.reserve(count);
    const uint64_t width = count <= 1 ? 0 : UINT64_MAX / count + 1;
    for (uint32_t index = 0; index < count; ++index) {
        slices.push_back({KeyHash(width * index), InvalidNode, Epoch(0)});
    }
    return SliceTable(std::move(slices));
}

} // namespace wisteriahoist
