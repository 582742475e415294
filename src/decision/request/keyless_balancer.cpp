/** @file keyless_balancer.cpp Load balancing of requests without a key. */

#include "decision/request/keyless_balancer.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

/** @return The mean over the instances with a known service time; 1 if there is none. */
double meanServiceTime(const std::vector<InstanceLoad> &instances)
{
    double sum = 0;
    size_t known = 0;
    for (const InstanceLoad &instance : instances) {
        sum += static_cast<double>(instance.serviceTime.count());
        known += instance.serviceTime.count() > 0 ? 1 : 0;
    }
    return known == 0 ? 1 : sum / static_cast<double>(known);
}

} // namespace

double estimateLoad(const InstanceLoad &instance, const BalancerLimits &limits, TimePoint now)
{
    const auto own = static_cast<double>(instance.outstanding);
    const double slots = std::max<uint32_t>(1, instance.slots);
    if (now - instance.reportedAt > limits.reportAge) {
        return own / slots;
    }
    // The report lacks requests sent after it; outstanding requests are certainly running.
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
    const auto pick = [](double random, size_t most) {
        return static_cast<size_t>(random * static_cast<double>(most));
    };
    std::vector<size_t> near;
    for (size_t index = 0; index < count; ++index) {
        if (instances[index].failureDomain == ownDomain) {
            near.push_back(index);
        }
    }
    const size_t firstIndex = near.empty() ? pick(first, count) : near[pick(first, near.size())];
    const size_t secondIndex
            = count > 1 ? (firstIndex + 1 + pick(second, count - 1)) % count : firstIndex;
    const double meanService = meanServiceTime(instances);
    const auto costOf = [&](const InstanceLoad &instance) {
        const double distance = instance.failureDomain == ownDomain ? 0 : limits.localMargin;
        const auto service = static_cast<double>(instance.serviceTime.count());
        const double slowness = service > 0 ? service / meanService : 1;
        return estimateLoad(instance, limits, now) * slowness + distance;
    };
    const InstanceLoad &a = instances[firstIndex];
    const InstanceLoad &b = instances[secondIndex];
    return costOf(b) < costOf(a) ? b.id : a.id;
}

} // namespace wisteriahoist
