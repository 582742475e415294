/** @file balanced_placement.cpp The default placement policy. */

#include "decision/placement/balanced_placement.h"

namespace wisteriahoist {

BalancedPlacement::BalancedPlacement(PlacementSettings settings) : settings_(settings) { }

std::vector<PlacementStep> BalancedPlacement::decide(const PlacementInput &input, TimePoint now)
{
    return services_.try_emplace(input.service, settings_).first->second.decide(input, now);
}

PlacementSummary BalancedPlacement::summary(const std::string &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? PlacementSummary{} : found->second.summary();
}

} // namespace wisteriahoist
