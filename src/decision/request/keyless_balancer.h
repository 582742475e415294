/** @file keyless_balancer.h Which instance gets a request without a key. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahoist {

/** What is known of one instance. */
struct InstanceLoad {
    NodeId id;
    std::string_view failureDomain;
    uint32_t slots = 1;
    uint32_t outstanding = 0;   ///< This node's own requests there, at present.
    double reportedRunning = 0; ///< By its report; may lag or mislead.
    TimePoint reportedAt = NeverTime;
    uint32_t sentSinceReport = 0; ///< This node's own requests since that report.
    milliseconds serviceTime{0};  ///< Mean time that a request runs there; 0: not known.
};

/** How much reports count. */
struct BalancerLimits {
    milliseconds reportAge{1000}; ///< An older report counts as unknown.
    double localMargin = 0.1;     ///< The own failure domain is preferred up to so much more load.
};

/** @return The load of @p instance as a share of its slots; own counts correct the report. */
double estimateLoad(const InstanceLoad &instance, const BalancerLimits &limits, TimePoint now);

/**
 * Chooses the less loaded of two instances; the own failure domain's wins while it is not hotter.
 * One of the two is drawn from the own domain, so that most requests stay there while it has room:
 * with both from everywhere, in four equal domains 56% left it without need.
 * Where service times are known, a slow instance counts as fuller in proportion to its own over
 * the mean of all: the same number of requests there takes so much longer.
 * Two random choices, and not the least of all: many nodes with the same stale reports would all
 * choose the same instance.
 * @param first, second Random numbers in [0, 1).
 * @return nothing if @p instances is empty.
 */
std::optional<NodeId> chooseInstance(const std::vector<InstanceLoad> &instances,
                                     const std::string &ownDomain, const BalancerLimits &limits,
                                     double first, double second, TimePoint now);

} // namespace wisteriahoist
