/** @file outlier_detector.h Ejects instances that fail this node's own requests. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <map>
#include <vector>

namespace wisteriahoist {

/** Limits of ejection. */
struct OutlierLimits {
    uint32_t consecutiveFailures = 5; ///< Own observations; a health report alone never ejects.
    uint32_t failuresIfUnhealthy = 2; ///< The same if the instance reports itself unhealthy.
    milliseconds firstEjection{1000}; ///< Doubles with each consecutive ejection.
    milliseconds longestEjection{30000};
    double largestShare = 0.34; ///< Of a service's instances that may be ejected at once.
};

/**
 * Ejects instances that failed this node's own requests. Health reports may be late or wrong, so
 * they only lower the number of failures that is required. At most a share of the instances is
 * ejected at once: with a common cause all instances fail, and ejecting all of them would turn slow
 * responses into none.
 *
 * It applies only to requests without a key; a keyed request is sent to its owner in any case,
 * since no other instance may serve it.
 */
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierLimits limits) : limits_(limits) { }

    void onSuccess(NodeId instance);
    void onFailure(NodeId instance, TimePoint now);

    /** The instance has reported its own health. */
    void onReport(NodeId instance, bool healthy);

    /** @return Those of @p instances that are not ejected; never empty unless @p instances is. */
    std::vector<NodeId> usable(const std::vector<NodeId> &instances, TimePoint now) const;

    /** Drops the state of all but @p instances. */
    void keepOnly(const std::vector<NodeId> &instances);

private:
    struct State {
        uint32_t failures = 0;  ///< Consecutive ones.
        uint32_t ejections = 0; ///< Consecutive ones.
        bool reportedUnhealthy = false;
        TimePoint ejectedUntil = NeverTime;
    };

    OutlierLimits limits_;
    std::map<NodeId, State> states_;
};

} // namespace wisteriahoist
