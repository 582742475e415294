/** @file slice_table_func.cpp Operations that derive a changed slice table. */

#include "decision/routing/slice_table_func.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

std::vector<Slice>::iterator lowerBound(std::vector<Slice> &slices, KeyHash first)
{
    return std::lower_bound(slices.begin(), slices.end(), first,
                            [](const Slice &slice, KeyHash point) { return slice.first < point; });
}

} // namespace

Result<SliceTable> splitSlice(const SliceTable &table, KeyHash at)
{
    std::vector<Slice> slices = table.slices();
    const auto place = lowerBound(slices, at);
    if (slices.empty() || (place != slices.end() && place->first == at)) {
        return Failure{
                FailureCode::BadArgument,
                "split rejected: the table is empty or a range already begins at this point"};
    }
    Slice part = *std::prev(place);
    part.first = at;
    slices.insert(place, part);
    return SliceTable(std::move(slices));
}

Result<SliceTable> mergeSlice(const SliceTable &table, KeyHash first)
{
    std::vector<Slice> slices = table.slices();
    const auto place = lowerBound(slices, first);
    if (place == slices.end() || place->first != first) {
        return Failure{FailureCode::NotFound, "merge rejected: no range begins at this point"};
    }
    if (place == slices.begin() || std::prev(place)->owner != place->owner) {
        return Failure{FailureCode::BadArgument,
                       "merge rejected: no preceding range with the same owner"};
    }
    std::prev(place)->epoch = std::max(std::prev(place)->epoch, place->epoch);
    slices.erase(place);
    return SliceTable(std::move(slices));
}

Result<SliceTable> isolateKey(const SliceTable &table, KeyHash hash)
{
    if (table.empty()) {
        return Failure{FailureCode::BadArgument, "isolate rejected: the table is empty"};
    }
    SliceTable result = table;
    if (result.find(hash)->first != hash) {
        result = splitSlice(result, hash).assume_value();
    }
    const KeyHash after = hash.next(); // Wraps to 0 after the last point, where no split is needed.
    if (after != KeyHash(0) && result.find(after)->first != after) {
        result = splitSlice(result, after).assume_value();
    }
    return result;
}

Result<SliceTable> moveSlice(const SliceTable &table, KeyHash first, NodeId owner, Epoch epoch)
{
    std::vector<Slice> slices = table.slices();
    const auto place = lowerBound(slices, first);
    if (place == slices.end() || place->first != first) {
        return Failure{FailureCode::NotFound, "move rejected: no range begins at this point"};
    }
    if (epoch <= place->epoch) {
        return Failure{FailureCode::BadArgument,
                       "move rejected: the epoch is not above the present one"};
    }
    place->owner = owner;
    place->epoch = epoch;
    return SliceTable(std::move(slices));
}

} // namespace wisteriahoist
