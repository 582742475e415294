/** @file placement_profiles.h Shipped weights of the three measures, by the users' services. */

#pragma once

#include "decision/placement/placement_type.h"

#include <array>
#include <string_view>

namespace wisteriahoist {

/** A shipped profile: a service, its size today, and how its users weigh the measures. */
struct PlacementProfile {
    std::string_view name;
    uint32_t instances;          ///< Backend servers today.
    uint32_t slotsEach;          ///< Requests that one backend server runs at once.
    uint32_t connectionsEach;    ///< Connections that one backend server accepts.
    std::string_view measuredBy; ///< What its users weigh most.
    PlacementWeights weights;
};

/** Unavailable time first: an owner who waits leaves. Moves are short, so balance comes second. */
inline constexpr PlacementWeights UnavailableTimeWeights{2.0, 1.0, 4.0};

/** Churn first: report and scheduling state is costly to move, and clients can wait. */
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
