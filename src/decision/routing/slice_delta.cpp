/** @file slice_delta.cpp Versioned deltas of range tables, and how a node applies them. */

#include "decision/routing/slice_delta.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

constexpr size_t SliceBytes = 24;  ///< First point, owner and epoch.
constexpr size_t PointBytes = 8;   ///< First point of a removed range.
constexpr size_t HeaderBytes = 16; ///< Base version and version.

/** Compares two sorted tables range by range. */
template <typename OnRemoved, typename OnChanged>
void compare(const std::vector<Slice> &base, const std::vector<Slice> &target, OnRemoved removed,
             OnChanged changed)
{
    auto old = base.begin();
    for (const Slice &slice : target) {
        for (; old != base.end() && old->first < slice.first; ++old) {
            removed(old->first);
        }
        const bool same = old != base.end() && *old == slice;
        if (!same) {
            changed(slice);
        }
        if (old != base.end() && old->first == slice.first) {
            ++old;
        }
    }
    for (; old != base.end(); ++old) {
        removed(old->first);
    }
}

SliceDelta composeOne(const SliceDelta &first, const SliceDelta &second)
{
    std::map<KeyHash, std::optional<Slice>> effect;
    for (const SliceDelta *delta : {&first, &second}) {
        for (const KeyHash point : delta->removed) {
            effect[point] = std::nullopt;
        }
        for (const Slice &slice : delta->changed) {
            effect[slice.first] = slice;
        }
    }
    SliceDelta result;
    for (const auto &[point, slice] : effect) {
        if (slice) {
            result.changed.push_back(*slice);
        } else {
            result.removed.push_back(point);
        }
    }
    return result;
}

} // namespace

SliceDelta makeDelta(const SliceTable &base, const SliceTable &target)
{
    SliceDelta delta;
    compare(
            base.slices(), target.slices(),
            [&delta](KeyHash point) { delta.removed.push_back(point); },
            [&delta](const Slice &slice) { delta.changed.push_back(slice); });
    return delta;
}

Result<SliceTable> applyDelta(const SliceTable &base, const SliceDelta &delta)
{
    std::vector<Slice> result;
    result.reserve(base.slices().size() + delta.changed.size());
    auto changed = delta.changed.begin();
    auto removed = delta.removed.begin();
    for (const Slice &slice : base.slices()) {
        for (; changed != delta.changed.end() && changed->first < slice.first; ++changed) {
            result.push_back(*changed);
        }
        while (removed != delta.removed.end() && *removed < slice.first) {
            ++removed;
        }
        if (changed != delta.changed.end() && changed->first == slice.first) {
            result.push_back(*changed++);
        } else if (removed == delta.removed.end() || *removed != slice.first) {
            result.push_back(slice);
        }
    }
    result.insert(result.end(), changed, delta.changed.end());
    const bool ordered = std::adjacent_find(result.begin(), result.end(),
                                            [](const Slice &left, const Slice &right) {
                                                return !(left.first < right.first);
                                            })
                         == result.end();
    if (!ordered || (!result.empty() && result.front().first != KeyHash(0))) {
        return Failure{FailureCode::Malformed,
                       "delta rejected: the resulting ranges would not cover the key space"};
    }
    return SliceTable(std::move(result));
}

RouteDelta composeDeltas(const RouteDelta &first, const RouteDelta &second)
{
    RouteDelta result{first.base, second.version, first.services};
    for (const auto &[service, delta] : second.services) {
        const auto found = result.services.find(service);
        if (found == result.services.end()) {
            result.services[service] = delta;
        } else {
            found->second = composeOne(found->second, delta);
        }
    }
    return result;
}

size_t deltaBytes(const RouteDelta &delta)
{
    size_t bytes = HeaderBytes;
    for (const auto &[service, changes] : delta.services) {
        bytes += service.size() + changes.changed.size() * SliceBytes
                 + changes.removed.size() * PointBytes;
    }
    return bytes;
}

void DeltaLog::onVersion(ObjectVersion version, const ServiceTables &tables)
{
    if (version <= version_) {
        return;
    }
    RouteDelta delta{version_, version, {}};
    const SliceTable none;
    for (const auto &[service, table] : tables) {
        const auto found = tables_.find(service);
        SliceDelta changes = makeDelta(found == tables_.end() ? none : found->second, table);
        if (changes != SliceDelta{}) {
            delta.services[service] = std::move(changes);
        }
    }
    for (const auto &[service, table] : tables_) {
        if (!tables.contains(service)) {
            delta.services[service] = makeDelta(table, none);
        }
    }
    entries_.push_back(std::move(delta));
    if (entries_.size() > capacity_) {
        entries_.pop_front();
    }
    tables_ = tables;
    version_ = version;
}

std::optional<RouteDelta> DeltaLog::since(ObjectVersion known) const
{
    if (known == version_) {
        return RouteDelta{version_, version_, {}};
    }
    const auto start
            = std::find_if(entries_.begin(), entries_.end(),
                           [known](const RouteDelta &entry) { return entry.base == known; });
    if (start == entries_.end()) {
        return std::nullopt;
    }
    RouteDelta result = *start;
    for (auto entry = std::next(start); entry != entries_.end(); ++entry) {
        result = composeDeltas(result, *entry);
    }
    return result;
}

DeltaOutcome RouteFollower::onDelta(const RouteDelta &delta)
{
    if (delta.version <= version_) {
        return DeltaOutcome::Old;
    }
    // A lost delta would leave ranges with former owners, and their requests would take an extra
    // hop permanently. The base version of the next delta reveals the gap; a snapshot closes it.
    if (delta.base != version_) {
        needsSnapshot_ = true;
        return DeltaOutcome::Gap;
    }
    ServiceTables next = tables_;
    for (const auto &[service, changes] : delta.services) {
        Result<SliceTable> table = applyDelta(next[service], changes);
        if (!table) {
            needsSnapshot_ = true;
            return DeltaOutcome::Gap;
        }
        next[service] = std::move(table.assume_value());
        if (next[service].empty()) {
            next.erase(service);
        }
    }
    tables_ = std::move(next);
    version_ = delta.version;
    return DeltaOutcome::Applied;
}

bool RouteFollower::onSnapshot(ObjectVersion version, ServiceTables tables)
{
    if (version < version_) {
        return false;
    }
    tables_ = std::move(tables);
    version_ = version;
    needsSnapshot_ = false;
    return true;
}

} // namespace wisteriahoist
