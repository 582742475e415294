/** @file placement_model.cpp The state on which placement decisions operate. */

#include "decision/placement/placement_model.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace wisteriahoist {

namespace {

constexpr double KeySpace = 18446744073709551616.0; ///< 2^64.

/** @return The share of the key space from @p first to the next range or to the end. */
double widthBetween(KeyHash first, const KeyHash *next)
{
    const uint64_t end = next == nullptr ? 0 : next->value(); // 0 stands for 2^64.
    const uint64_t points = end - first.value();
    return points == 0 ? 1.0 : static_cast<double>(points) / KeySpace;
}

bool isSinglePoint(KeyHash first, const KeyHash *next)
{
    return next == nullptr ? first.value() == UINT64_MAX : next->value() - first.value() == 1;
}

/** @return The share of [@p otherFrom, @p otherTo) that is in [@p from, @p to); null: the end. */
double overlapShare(KeyHash from, const KeyHash *to, KeyHash otherFrom, const KeyHash *otherTo)
{
    const KeyHash start = std::max(from, otherFrom);
    const KeyHash *end = to == nullptr ? otherTo : to;
    if (to != nullptr && otherTo != nullptr) {
        end = *to < *otherTo ? to : otherTo;
    }
    return widthBetween(start, end) / widthBetween(otherFrom, otherTo);
}

template <typename Item>
const KeyHash *firstAfter(const std::vector<Item> &items, size_t index)
{
    return index + 1 < items.size() ? &items[index + 1].first : nullptr;
}

} // namespace

void PlacementModel::refresh(const PlacementInput &input, TimePoint now)
{
    readInstances(input.instances);
    readTable(input.table, now);
    readLoads(input.loads, input.instances, now);
    updateTotals();
    refreshedAt_ = now;
}

void PlacementModel::readInstances(const std::vector<InstanceView> &views)
{
    instances_.clear();
    byId_.clear();
    std::map<std::string, uint32_t> domains;
    for (const InstanceView &view : views) {
        const auto domain
                = domains.try_emplace(view.failureDomain, static_cast<uint32_t>(domains.size()));
        InstanceState state;
        state.id = view.id;
        state.domain = domain.first->second;
        state.leaving = view.draining;
        if (view.live) {
            byId_[view.id] = static_cast<uint32_t>(instances_.size());
            const double slots = std::max<uint32_t>(view.slots, 1);
            state.capacity = view.draining ? 0 : slots * (view.cold ? settings_.coldShare : 1.0);
        }
        instances_.push_back(state);
    }
    domainCount_ = static_cast<uint32_t>(domains.size());
}

void PlacementModel::readTable(const SliceTable &table, TimePoint now)
{
    std::vector<RangeState> old = std::move(ranges_);
    ranges_.clear();
    const std::vector<Slice> &slices = table.slices();
    ranges_.reserve(slices.size());
    size_t cursor = 0;
    for (size_t index = 0; index < slices.size(); ++index) {
        const KeyHash *next = firstAfter(slices, index);
        while (cursor + 1 < old.size() && old[cursor + 1].first <= slices[index].first) {
            ++cursor;
        }
        RangeState range;
        const bool same = cursor < old.size() && old[cursor].first == slices[index].first;
        if (same) {
            range = old[cursor];
        } else if (cursor < old.size()) {
            range.measured = old[cursor].measured;
            range.reshapedAt = now;
        }
        // Old and new boundaries may differ because a requested change has not been carried out.
        range.load = 0;
        for (size_t part = cursor; part < old.size(); ++part) {
            if (next != nullptr && old[part].first >= *next) {
                break;
            }
            range.load += old[part].load
                          * overlapShare(slices[index].first, next, old[part].first,
                                         firstAfter(old, part));
        }
        range.first = slices[index].first;
        range.width = widthBetween(range.first, next);
        range.isolated = isSinglePoint(range.first, next);
        if (range.owner != slices[index].owner) {
            range.movedAt = range.owner == InvalidNode ? range.movedAt : now;
            range.owner = slices[index].owner;
        }
        if (range.owner == range.pendingTo || now >= range.pendingUntil) {
            range.pendingTo = InvalidNode;
        }
        const bool pending = range.pendingTo != InvalidNode && byId_.contains(range.pendingTo);
        const auto found = byId_.find(pending ? range.pendingTo : range.owner);
        range.instance = found == byId_.end() ? NoInstance : found->second;
        ranges_.push_back(range);
    }
}

void PlacementModel::readLoads(const std::vector<SliceLoad> &loads,
                               const std::vector<InstanceView> &views, TimePoint now)
{
    std::vector<SliceLoad> sorted = loads;
    std::sort(sorted.begin(), sorted.end(), [](const SliceLoad &left, const SliceLoad &right) {
        return left.first < right.first;
    });
    std::vector<bool> owning(instances_.size(), false);
    size_t cursor = 0;
    for (RangeState &range : ranges_) {
        while (cursor < sorted.size() && sorted[cursor].first < range.first) {
            ++cursor;
        }
        const auto owner = byId_.find(range.owner);
        if (owner == byId_.end()) {
            continue;
        }
        owning[owner->second] = true;
        const Duration age = views[owner->second].reportAge;
        const TimePoint changed = std::max(range.movedAt, range.reshapedAt);
        // Soon after a change the report is still about the previous range, or has only just begun
        // to count: if it were used, a moved hot range would look idle and attract more ranges.
        const bool settled = now - changed > settings_.settle + age;
        if (age > settings_.staleAfter || !settled) {
            continue;
        }
        const bool found = cursor < sorted.size() && sorted[cursor].first == range.first;
        updateLoad(range, found ? std::max(0.0, sorted[cursor].requestsPerSecond) : 0.0, now);
    }
    for (size_t index = 0; index < instances_.size(); ++index) {
        instances_[index].known = !owning[index] || views[index].reportAge <= settings_.staleAfter;
    }
}

void PlacementModel::updateLoad(RangeState &range, double reported, TimePoint now) const
{
    if (!std::isfinite(reported)) {
        return;
    }
    if (!range.measured || refreshedAt_ == NeverTime || reported >= range.load) {
        range.load = reported;
        range.measured = true;
        return;
    }
    // Decreases slowly: otherwise an instance that reports too little would get ranges at once.
    const double elapsed = std::chrono::duration<double>(now - refreshedAt_).count();
    const double fall = std::chrono::duration<double>(settings_.loadFall).count();
    range.load = std::max(reported, range.load * std::exp(-elapsed / fall));
}

void PlacementModel::updateTotals()
{
    double measured = 0;
    for (const RangeState &range : ranges_) {
        measured += range.load;
    }
    capacity_ = 0;
    size_t usable = 0;
    for (const InstanceState &instance : instances_) {
        capacity_ += instance.capacity;
        usable += instance.capacity > 0 ? 1 : 0;
    }
    prior_ = std::max(measured * settings_.priorShare,
                      settings_.priorRate * static_cast<double>(usable));
    totalLoad_ = measured + prior_;
    for (const RangeState &range : ranges_) {
        if (range.instance != NoInstance) {
            instances_[range.instance].load += weightOf(range);
            instances_[range.instance].width += range.width;
        }
    }
}

double PlacementModel::meanInstance() const
{
    size_t usable = 0;
    for (const InstanceState &instance : instances_) {
        usable += instance.capacity > 0 ? 1 : 0;
    }
    return usable == 0 ? 0 : totalLoad_ / static_cast<double>(usable);
}

void PlacementModel::place(size_t index, uint32_t to)
{
    RangeState &range = ranges_[index];
    const double weight = weightOf(range);
    if (range.instance != NoInstance) {
        instances_[range.instance].load -= weight;
        instances_[range.instance].width -= range.width;
    }
    range.instance = to;
    instances_[to].load += weight;
    instances_[to].width += range.width;
}

void PlacementModel::split(const std::vector<KeyHash> &boundaries, const std::vector<HotKey> &keys,
                           TimePoint now)
{
    std::vector<RangeState> result;
    result.reserve(ranges_.size() + boundaries.size());
    auto boundary = boundaries.begin();
    auto key = keys.begin();
    for (size_t index = 0; index < ranges_.size(); ++index) {
        const RangeState whole = ranges_[index];
        const KeyHash *next = firstAfter(ranges_, index);
        const size_t begin = result.size();
        result.push_back(whole);
        for (; boundary != boundaries.end() && (next == nullptr || *boundary < *next); ++boundary) {
            result.push_back(whole);
            result.back().first = *boundary;
        }
        if (result.size() == begin + 1) {
            continue;
        }
        double rest = whole.load;
        for (size_t part = begin; part < result.size(); ++part) {
            const KeyHash *end = part + 1 < result.size() ? &result[part + 1].first : next;
            RangeState &range = result[part];
            range.reshapedAt = now;
            range.width = widthBetween(range.first, end);
            range.isolated = isSinglePoint(range.first, end);
            range.load = 0;
            while (key != keys.end() && key->hash < range.first) {
                ++key;
            }
            if (range.isolated && key != keys.end() && key->hash == range.first) {
                range.load = std::min(key->requestsPerSecond, rest);
                rest -= range.load;
            }
        }
        for (size_t part = begin; part < result.size(); ++part) {
            result[part].load += rest * result[part].width / whole.width;
        }
    }
    ranges_ = std::move(result);
}

void PlacementModel::merge(size_t index, TimePoint now)
{
    RangeState &range = ranges_[index];
    size_t before = index - 1;
    while (ranges_[before].width == 0) {
        --before;
    }
    ranges_[before].load += range.load;
    ranges_[before].width += range.width;
    ranges_[before].isolated = false;
    ranges_[before].reshapedAt = now;
    range.width = 0;
}

void PlacementModel::dropMerged()
{
    std::erase_if(ranges_, [](const RangeState &range) { return range.width == 0; });
}

} // namespace wisteriahoist
