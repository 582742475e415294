/** @file outlier_detector.h Which instances a node leaves out for a while, by what it saw itself.
 */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <map>
#include <vector>

namespace wisteriahoist {

/** Bounds of ejection. */
struct OutlierLimits {
    uint32_t failuresInRow = 5;          ///< Own observations; reported health alone never ejects.
    uint32_t failuresIfReportedSick = 2; ///< Enough when the instance's own report agrees.
    milliseconds firstEjection{1000};    ///< Doubles with each ejection in a row.
    milliseconds longestEjection{30000};
    double largestShare = 0.34; ///< Of a service's instances ejected at once.
};

/**
 * Leaves out instances that failed this node's own requests. Reports lag and lie, so they only
 * lower the number of failures that is needed. At most a share is ejected at once: with a common
 * cause all instances fail, and ejecting them all would turn slow answers into none.
 *
 * Only requests without a key ask here; a keyed request goes to its owner whatever it did, since
 * no other instance may serve it.
 */
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierLimits limits) : limits_(limits) { }

    void onSuccess(NodeId instance);
    void onFailure(NodeId instance, TimePoint now);

    /** The instance's own word on its health. */
    void onReport(NodeId instance, bool healthy);

    /** @return Those of @p instances that may be used; never empty unless @p instances is. */
    std::vector<NodeId> usable(const std::vector<NodeId> &instances, TimePoint now) const;

    /** Forgets all but @p instances. */
    void keepOnly(const std::vector<NodeId> &instances);

private:
    struct State {
        uint32_t failures = 0;  ///< In a row.
        uint32_t ejections = 0; ///< In a row.
        bool reportedSick = false;
        TimePoint ejectedUntil = NeverTime;
    };

    OutlierLimits limits_;
    std::map<NodeId, State> states_;
};

} // namespace wisteriahoist
