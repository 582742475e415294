/** @file keyless_balancer.cpp Which instance gets a request without a key. */

#include "decision/request/keyless_balancer.h"

#include <algorithm>

namespace wisteriahoist {

double estimateLoad(const InstanceLoad &instance, const BalancerLimits &limits, TimePoint now)
{
    const auto own = static_cast<double>(instance.outstanding);
    const double slots = std::max<uint32_t>(1, instance.slots);
    if (now - instance.reportedAt > limits.reportAge) {
        return own / slots;
    }
    // What was sent since the report is not in it; what is outstanding is running for certain.
    const double reported
            = instance.reportedRunning
              + static_cast<double>(std::min(instance.sentSinceReport, instance.outstanding));
    return std::max(own, reported) / slots;
}

std::optional<NodeId> chooseInstance(const std::vector<InstanceLoad> &instances,
                                     const std::string &ownDomain, const BalancerLimits &limits,
                                     double first, double second, TimePoint now)
{
    if (instances.empty()) {
        return std::nullopt;
    }
    const size_t count = instances.size();
    const auto left = static_cast<size_t>(first * static_cast<double>(count));
    auto right = left;
    if (count > 1) {
        const auto step = static_cast<size_t>(second * static_cast<double>(count - 1));
        right = (left + 1 + step) % count;
    }
    const auto costOf = [&](const InstanceLoad &instance) {
        const double distance = instance.failureDomain == ownDomain ? 0 : limits.localMargin;
        return estimateLoad(instance, limits, now) + distance;
    };
    const InstanceLoad &a = instances[left];
    const InstanceLoad &b = instances[right];
    return costOf(b) < costOf(a) ? b.id : a.id;
}

} // namespace wisteriahoist
