/** @file fleet_retry_budget.h This node's part of a fleet-wide budget for sending requests once
 * more. */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <deque>

namespace wisteriahoist {

/** The budget of one service, over all nodes. */
struct FleetRetryLimits {
    double ratio = 0.2; ///< Repeats for each request of the same window.
    double slack = 60;  ///< Repeats beyond that in one window.
    milliseconds window{10000};
    bool operator==(const FleetRetryLimits &) const = default;
};

/**
 * Keeps one node within its part of the budget, so that the sum over all nodes holds in every
 * window without any talk between them: the ratio counts this node's own requests, and the slack
 * is divided by the number of nodes. A run that is repeated makes its nested calls again, which
 * count as repeats at the service that they go to; so only a part of the ratio and of the slack is
 * used here, see usedShare.
 */
class FleetRetryBudget
{
public:
    /** Nested calls of a repeated run add up to 1.4 repeats on the users' sites, and a node that
     *  has just restarted does not remember what it spent. */
    static constexpr double UsedShare = 0.4;

    explicit FleetRetryBudget(FleetRetryLimits budget) : budget_(budget) { }

    void onRequest(TimePoint now);

    /** @param nodes How many nodes share the budget. @return Whether a repeat may be sent; if so,
     *          it is counted. */
    bool tryTake(size_t nodes, TimePoint now);

private:
    void forget(TimePoint now);

    FleetRetryLimits budget_;
    std::deque<TimePoint> requests_; ///< Of the last window.
    std::deque<TimePoint> repeats_;  ///< Of the last window.
};

} // namespace wisteriahoist
