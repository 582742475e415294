/** @file safeguard_table.h The safeguards by name, so that each can be taken out in a run. */

#pragma once

#include "decision/ownership/ownership_type.h"

#include <array>
#include <string_view>

namespace wisteriahoist {

/** One safeguard. */
struct SafeguardEntry {
    std::string_view name;
    bool SafeguardSet::*flag;
};

inline constexpr std::array SafeguardTable{
        SafeguardEntry{"countHeartbeatTime", &SafeguardSet::countHeartbeatTime},
        SafeguardEntry{"outwaitLease", &SafeguardSet::outwaitLease},
        SafeguardEntry{"fenceAssignment", &SafeguardSet::fenceAssignment},
        SafeguardEntry{"rememberRevoked", &SafeguardSet::rememberRevoked},
        SafeguardEntry{"outwaitOlderLease", &SafeguardSet::outwaitOlderLease},
        SafeguardEntry{"countLeaseFromRequest", &SafeguardSet::countLeaseFromRequest},
        SafeguardEntry{"refuseOlderTerm", &SafeguardSet::refuseOlderTerm},
        SafeguardEntry{"applyNewerOnly", &SafeguardSet::applyNewerOnly},
        SafeguardEntry{"winnerAcknowledges", &SafeguardSet::winnerAcknowledges},
        SafeguardEntry{"closeOpenRosters", &SafeguardSet::closeOpenRosters},
        SafeguardEntry{"listOpenRosters", &SafeguardSet::listOpenRosters},
        SafeguardEntry{"matchIncarnation", &SafeguardSet::matchIncarnation},
        SafeguardEntry{"writeBeforeTelling", &SafeguardSet::writeBeforeTelling},
        SafeguardEntry{"bundleAssignment", &SafeguardSet::bundleAssignment},
        SafeguardEntry{"awaitRelinquish", &SafeguardSet::awaitRelinquish},
        SafeguardEntry{"addDriftBound", &SafeguardSet::addDriftBound},
        SafeguardEntry{"readBack", &SafeguardSet::readBack},
        SafeguardEntry{"limitWithoutPlatform", &SafeguardSet::limitWithoutPlatform},
};

static_assert(SafeguardTable.size() == sizeof(SafeguardSet),
              "a safeguard without a row cannot be shown to be needed");

} // namespace wisteriahoist
