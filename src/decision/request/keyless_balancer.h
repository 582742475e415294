/** @file keyless_balancer.h Load balancing of requests without a key. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahoist {

/** Known load of one instance. */
struct InstanceLoad {
    NodeId id;
    std::string_view failureDomain;
    uint32_t slots = 1;
    uint32_t outstanding = 0;   ///< This node's own requests that are open there.
    double reportedRunning = 0; ///< From its latest report; may be outdated or wrong.
    TimePoint reportedAt = NeverTime;
    uint32_t sentSinceReport = 0; ///< This node's own requests since that report.
    milliseconds serviceTime{0};  ///< Mean service time; 0: not known.
};

/** Limits of the balancer. */
struct BalancerLimits {
    milliseconds reportAge{1000}; ///< Older reports are ignored.
    double localMargin = 0.1; ///< Share of the slots by which the own domain may have more load.
};

/** @return Load of @p instance as a share of its slots: its report, corrected by own counts. */
double estimateLoad(const InstanceLoad &instance, const BalancerLimits &limits, TimePoint now);

/**
 * Chooses the less loaded of two randomly drawn instances. An instance in the own failure domain is
 * preferred unless its load is higher by more than the margin. One of the two is drawn from the own
 * failure domain, so that most requests stay there while it has capacity: with both drawn from all
 * instances of four equal domains, 56% of the requests left their domain unnecessarily.
 *
 * Where service times are known, the load of an instance is scaled by the ratio of its service time
 * to the mean, since the same number of requests keeps a slow instance busy for longer.
 *
 * Two random choices are used instead of the least loaded of all, because many nodes with the same
 * stale reports would all choose the same instance.
 * @param first, second Uniformly distributed in [0, 1).
 * @return nullopt if @p instances is empty.
 */
std::optional<NodeId> chooseInstance(const std::vector<InstanceLoad> &instances,
                                     const std::string &ownDomain, const BalancerLimits &limits,
                                     double first, double second, TimePoint now);

} // namespace wisteriahoist
