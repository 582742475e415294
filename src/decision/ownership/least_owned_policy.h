/** @file least_owned_policy.h The smallest placement policy: even counts of ranges. */

#pragma once

#include "decision/placement/placement_type.h"

namespace wisteriahoist {

/**
 * Gives each range that has no fit owner to the instance that owns the fewest, then evens the
 * counts out by a few moves at a time. Knows nothing of load.
 */
class LeastOwnedPolicy : public PlacementPolicy
{
public:
    std::vector<PlacementStep> decide(const PlacementInput &input, TimePoint now) override;
};

} // namespace wisteriahoist
