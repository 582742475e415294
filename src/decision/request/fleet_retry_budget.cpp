/** @file fleet_retry_budget.cpp This node's share of a fleet-wide retry budget. */

#include "decision/request/fleet_retry_budget.h"

#include <algorithm>

namespace wisteriahoist {

void FleetRetryBudget::dropOld(TimePoint now)
{
    const TimePoint oldest = now - budget_.window;
    for (std::deque<TimePoint> *times : {&requests_, &retries_}) {
        while (!times->empty() && times->front() < oldest) {
            times->pop_front();
        }
    }
}

void FleetRetryBudget::onRequest(TimePoint now)
{
    dropOld(now);
    requests_.push_back(now);
}

bool FleetRetryBudget::tryTake(size_t nodes, TimePoint now)
{
    dropOld(now);
    const double own = budget_.ratio * static_cast<double>(requests_.size());
    const double slack = budget_.slack / static_cast<double>(std::max<size_t>(1, nodes));
    if (static_cast<double>(retries_.size() + 1) > UsedShare * (own + slack)) {
        return false;
    }
    retries_.push_back(now);
    return true;
}

} // namespace wisteriahoist
