/** @file fleet_retry_budget.cpp This node's part of a fleet-wide budget. */

#include "decision/request/fleet_retry_budget.h"

#include <algorithm>

namespace wisteriahoist {

void FleetRetryBudget::forget(TimePoint now)
{
    const TimePoint oldest = now - budget_.window;
    for (std::deque<TimePoint> *times : {&requests_, &repeats_}) {
        while (!times->empty() && times->front() < oldest) {
            times->pop_front();
        }
    }
}

void FleetRetryBudget::onRequest(TimePoint now)
{
    forget(now);
    requests_.push_back(now);
}

bool FleetRetryBudget::tryTake(size_t nodes, TimePoint now)
{
    forget(now);
    const double own = budget_.ratio * static_cast<double>(requests_.size());
    const double slack = budget_.slack / static_cast<double>(std::max<size_t>(1, nodes));
    if (static_cast<double>(repeats_.size() + 1) > UsedShare * (own + slack)) {
        return false;
    }
    repeats_.push_back(now);
    return true;
}

} // namespace wisteriahoist
