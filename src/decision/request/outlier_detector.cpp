/** @file outlier_detector.cpp Ejects instances that fail this node's own requests. */

#include "decision/request/outlier_detector.h"

#include <algorithm>

namespace wisteriahoist {

namespace {
constexpr uint32_t MaxDoublings = 8;
}

void OutlierDetector::onSuccess(NodeId instance)
{
    const auto found = states_.find(instance);
    if (found != states_.end()) {
        found->second.failures = 0;
        found->second.ejections = 0;
    }
}

void OutlierDetector::onFailure(NodeId instance, TimePoint now)
{
    State &state = states_[instance];
    ++state.failures;
    const uint32_t enough
            = state.reportedUnhealthy ? limits_.failuresIfUnhealthy : limits_.consecutiveFailures;
    if (state.failures < enough || now < state.ejectedUntil) {
        return;
    }
    const milliseconds time
            = limits_.firstEjection * (1U << std::min(state.ejections, MaxDoublings));
    state.ejectedUntil = now + std::min(time, limits_.longestEjection);
    ++state.ejections;
    state.failures = 0;
}

void OutlierDetector::onReport(NodeId instance, bool healthy)
{
    states_[instance].reportedUnhealthy = !healthy;
}

std::vector<NodeId> OutlierDetector::usable(const std::vector<NodeId> &instances,
                                            TimePoint now) const
{
    std::vector<std::pair<TimePoint, NodeId>> ejected;
    std::vector<NodeId> kept;
    for (const NodeId instance : instances) {
        const auto found = states_.find(instance);
        const bool out = found != states_.end() && now < found->second.ejectedUntil;
        if (out) {
            ejected.emplace_back(found->second.ejectedUntil, instance);
        } else {
            kept.push_back(instance);
        }
    }
    // Beyond the limit, the instances whose ejection ends first are used again.
    std::sort(ejected.begin(), ejected.end());
    const auto most
            = static_cast<size_t>(limits_.largestShare * static_cast<double>(instances.size()));
    for (size_t index = 0; index + most < ejected.size(); ++index) {
        kept.push_back(ejected[index].second);
    }
    return kept;
}

void OutlierDetector::keepOnly(const std::vector<NodeId> &instances)
{
    std::erase_if(states_, [&instances](const auto &entry) {
        return std::find(instances.begin(), instances.end(), entry.first) == instances.end();
    });
}

} // namespace wisteriahoist
