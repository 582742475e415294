/** @file destination_index.h Finds the instance that has most room, domains kept even. */

#pragma once

#include "decision/placement/placement_model.h"

#include <functional>
#include <set>

namespace wisteriahoist {

/**
 * Instances that may get ranges, by relative load, one ordered set for each failure domain.
 * Invariant: holds exactly the instances with capacity for which the constructor's filter held.
 */
class DestinationIndex
{
public:
    using Filter = std::function<bool(const InstanceState &)>;

    DestinationIndex(PlacementModel &model, const Filter &usable);

    /** @return The least loaded instance that @p accepts; NoInstance if none of the first few. */
    uint32_t find(const Filter &accepts) const;

    /** Moves range @p index to instance @p to in the model and keeps the order. */
    void place(size_t index, uint32_t to);

private:
    using Entry = std::pair<double, uint32_t>; ///< Relative load, instance.

    void remove(uint32_t instance);
    void insert(uint32_t instance);

    PlacementModel &model_;
    std::vector<std::set<Entry>> domains_;
    std::vector<double> domainLoad_;
    std::vector<double> domainCapacity_;
    std::vector<bool> held_;
};

} // namespace wisteriahoist
