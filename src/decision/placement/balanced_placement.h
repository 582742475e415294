/** @file balanced_placement.h The placement policy that is shipped. */

#pragma once

#include "decision/placement/service_placement.h"

#include <map>
#include <string>

namespace wisteriahoist {

/** Even load by few moves; one ServicePlacement, with its memory, for each service. */
class BalancedPlacement : public PlacementPolicy
{
public:
    explicit BalancedPlacement(PlacementSettings settings = {});

    std::vector<PlacementStep> decide(const PlacementInput &input, TimePoint now) override;

    /** @return What the service's last decision saw; the default if there was none. */
    PlacementSummary summary(const std::string &service) const;

private:
    PlacementSettings settings_;
    std::map<std::string, ServicePlacement> services_;
};

} // namespace wisteriahoist
