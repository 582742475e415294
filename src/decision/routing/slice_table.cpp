/** @file slice_table.cpp Which node owns which range of a service's hash space. */

#include "decision/routing/slice_table.h"

#include <algorithm>
#include <cassert>

namespace wisteriahoist {

SliceTable::SliceTable(std::vector<Slice> slices) : slices_(std::move(slices))
{
    assert(slices_.empty() || slices_.front().first == KeyHash(0));
}

const Slice *SliceTable::find(KeyHash hash) const
{
    if (slices_.empty()) {
        return nullptr;
    }
    const auto after = std::upper_bound(
            slices_.begin(), slices_.end(), hash,
            [](KeyHash point, const Slice &slice) { return point < slice.first; });
    return &*std::prev(after);
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
