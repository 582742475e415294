/** @file balanced_placement.h The default placement policy. */

#pragma once

#include "decision/placement/service_placement.h"

#include <map>
#include <string>

namespace wisteriahoist {

/** Balances load with few moves; keeps one stateful ServicePlacement per service. */
class BalancedPlacement : public PlacementPolicy
{
public:
    explicit BalancedPlacement(PlacementSettings settings = {});

    std::vector<PlacementStep> decide(const PlacementInput &input, TimePoint now) override;

    /** @return The summary of the service's last decision; the default if there was none. */
    PlacementSummary summary(const std::string &service) const;

private:
    PlacementSettings settings_;
    std::map<std::string, ServicePlacement> services_;
};

} // namespace wisteriahoist
