/** @file least_owned_policy.cpp The smallest placement policy. */

#include "decision/ownership/least_owned_policy.h"

#include <algorithm>
#include <map>
#include <optional>

namespace wisteriahoist {

namespace {

constexpr size_t EvenOutMoves = 4; ///< Moves in one decision that only even the counts out.

std::optional<PlacementReason> findReason(const PlacementInput &input, NodeId owner)
{
    if (owner == InvalidNode) {
        return PlacementReason::NoOwner;
    }
    for (const InstanceView &instance : input.instances) {
        if (instance.id == owner) {
            if (!instance.live) {
                return PlacementReason::OwnerLost;
            }
            return instance.draining ? std::optional(PlacementReason::OwnerDraining) : std::nullopt;
        }
    }
    return PlacementReason::NoOwner;
}

} // namespace

std::vector<PlacementStep> LeastOwnedPolicy::decide(const PlacementInput &input, TimePoint)
{
    std::map<NodeId, size_t> owned; // instances that may own
    for (const InstanceView &instance : input.instances) {
        if (instance.live && !instance.draining) {
            owned[instance.id] = 0;
        }
    }
    if (owned.empty()) {
        return {};
    }
    for (const Slice &slice : input.table.slices()) {
        const auto found = owned.find(slice.owner);
        if (found != owned.end()) {
            ++found->second;
        }
    }
    const auto byCount
            = [](const auto &left, const auto &right) { return left.second < right.second; };
    std::vector<PlacementStep> steps;
    for (const Slice &slice : input.table.slices()) {
        if (const auto reason = findReason(input, slice.owner)) {
            const auto least = std::min_element(owned.begin(), owned.end(), byCount);
            ++least->second;
            steps.push_back({PlacementStep::Kind::Move, slice.first, least->first, *reason});
        }
    }
    if (!steps.empty()) {
        return steps;
    }
    for (const Slice &slice : input.table.slices()) {
        const auto least = std::min_element(owned.begin(), owned.end(), byCount);
        if (steps.size() == EvenOutMoves || owned[slice.owner] <= least->second + 1) {
            continue;
        }
        ++least->second;
        --owned[slice.owner];
        steps.push_back(
                {PlacementStep::Kind::Move, slice.first, least->first, PlacementReason::Overload});
    }
    return steps;
}

} // namespace wisteriahoist
