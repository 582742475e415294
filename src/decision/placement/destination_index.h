/** @file destination_index.h Finds the least loaded instance, balanced over failure domains. */

#pragma once

#include "decision/placement/placement_model.h"

#include <functional>
#include <set>

namespace wisteriahoist {

/**
 * Possible destinations of ranges, sorted by relative load in one ordered set per failure domain.
 * Invariant: contains exactly the instances with capacity that passed the constructor's filter.
 */
class DestinationIndex
{
public:
    using Filter = std::function<bool(const InstanceState &)>;

    DestinationIndex(PlacementModel &model, const Filter &usable);

    /** @return The least loaded instance for which @p accepts returns true; NoInstance if it does
     *  for none of the first few of each failure domain. */
    uint32_t find(const Filter &accepts) const;

    /** Moves range @p index to instance @p to in the model and updates the order. */
    void place(size_t index, uint32_t to);

private:
    using Entry = std::pair<double, uint32_t>; ///< Relative load, instance.

    void remove(uint32_t instance);
    void insert(uint32_t instance);

    PlacementModel &model_;
    std::vector<std::set<Entry>> domains_;
    std::vector<double> domainLoad_;
    std::vector<double> domainCapacity_;
    std::vector<bool> indexed_; ///< By instance: whether it is in domains_.
};

} // namespace wisteriahoist
