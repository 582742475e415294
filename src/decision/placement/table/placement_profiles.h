/** @file placement_profiles.h Default weights of the three measures for the users' services. */

#pragma once

#include "decision/placement/placement_type.h"

#include <array>
#include <string_view>

namespace wisteriahoist {

/** A default profile: a service, its current size and its weights of the measures. */
struct PlacementProfile {
    std::string_view name;
    uint32_t instances;            ///< Current number of backend servers.
    uint32_t slotsPerServer;       ///< Requests that one backend server runs concurrently.
    uint32_t connectionsPerServer; ///< Maximum connections of one backend server.
    std::string_view mainMeasure;  ///< The most important measure to its users.
    PlacementWeights weights;
};

/** Unavailable time first: callers leave if they have to wait. Moves are short, so balance is
 * second. */
inline constexpr PlacementWeights UnavailableTimeWeights{2.0, 1.0, 4.0};

/** Churn first: report and scheduling state is expensive to move, and callers can wait. */
inline constexpr PlacementWeights ChurnWeights{2.0, 6.0, 1.0};

inline constexpr std::array PlacementProfiles{
        PlacementProfile{"poteglad-profiles", 3, 12, 120, "unavailable time",
                         UnavailableTimeWeights},
        PlacementProfile{"poteglad-booking", 3, 12, 120, "unavailable time",
                         UnavailableTimeWeights},
        PlacementProfile{"poteglad-care-notes", 4, 12, 120, "unavailable time",
                         UnavailableTimeWeights},
        PlacementProfile{"kalahari-reports", 5, 12, 80, "churn", ChurnWeights},
        PlacementProfile{"kalahari-booking", 3, 12, 80, "churn", ChurnWeights},
        PlacementProfile{"kalahari-records", 3, 12, 80, "churn", ChurnWeights},
};

} // namespace wisteriahoist
