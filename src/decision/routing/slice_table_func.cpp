/** @file slice_table_func.cpp Changes of a slice table. */

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
        return Failure{FailureCode::BadArgument, "split: no range, or one begins there already"};
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
        return Failure{FailureCode::NotFound, "merge: no range begins there"};
    }
    if (place == slices.begin() || std::prev(place)->owner != place->owner) {
        return Failure{FailureCode::BadArgument, "merge: no range before it with the same owner"};
    }
    std::prev(place)->epoch = std::max(std::prev(place)->epoch, place->epoch);
    slices.erase(place);
    return SliceTable(std::move(slices));
}

Result<SliceTable> isolateKey(const SliceTable &table, KeyHash hash)
{
    if (table.empty()) {
        return Failure{FailureCode::BadArgument, "isolate: the table is empty"};
    }
    SliceTable result = table;
    if (result.find(hash)->first != hash) {
        result = splitSlice(result, hash).assume_value();
    }
    const KeyHash after = hash.next(); // Wraps round to 0 behind the last point: no cut there.
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
        return Failure{FailureCode::NotFound, "move: no range begins there"};
    }
    if (epoch <= place->epoch) {
        return Failure{FailureCode::BadArgument, "move: the epoch does not rise"};
    }
    place->owner = owner;
    place->epoch = epoch;
    return SliceTable(std::move(slices));
}

} // namespace wisteriahoist
