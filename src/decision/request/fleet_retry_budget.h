/** @file fleet_retry_budget.h This node's share of a fleet-wide retry budget. */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <deque>

namespace wisteriahoist {

/** Limits of the retry budget of one service, over all nodes. */
struct FleetRetryLimits {
    double ratio = 0.2; ///< Retries per request of the same window.
    double slack = 60;  ///< Retries per window in addition to that.
    milliseconds window{10000};
    bool operator==(const FleetRetryLimits &) const = default;
};

/**
 * Keeps one node within its share of the budget, so that the sum over all nodes stays within it in
 * every window without communication: the ratio applies to this node's own requests, and the slack
 * is divided by the number of nodes. A retried request makes its nested calls again, and these
 * count as retries at the service they call, so only the share UsedShare of ratio and slack is used
 * here.
 */
class FleetRetryBudget
{
public:
    /** The nested calls of a retried request amount to 1.4 retries on the users' sites, and a node
     *  that has just restarted does not know what it has spent. */
    static constexpr double UsedShare = 0.4;

    explicit FleetRetryBudget(FleetRetryLimits budget) : budget_(budget) { }

    void onRequest(TimePoint now);

    /** @param nodes Number of nodes that share the budget. @return Whether a retry may be sent; if
     *          so, it is counted. */
    bool tryTake(size_t nodes, TimePoint now);

private:
    void dropOld(TimePoint now);

    FleetRetryLimits budget_;
    std::deque<TimePoint> requests_; ///< Of the last window.
    std::deque<TimePoint> retries_;  ///< Of the last window.
};

} // namespace wisteriahoist
