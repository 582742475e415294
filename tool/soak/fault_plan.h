/** @file fault_plan.h The faults and the planned work of one seed: what, where, when, how long. */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace wisteriahoist::soak {

/** What is done to the fleet. */
enum class FaultKind {
    // Planned work.
    NodeStop,     ///< SIGTERM, and a start once it has ended.
    NodeReload,   ///< SIGHUP.
    BackendLeave, ///< Announced; a new life starts later.
    Reconfigure,  ///< A new configuration.
    // Processes.
    NodeKill,  ///< SIGKILL, and a start after a while.
    NodePause, ///< SIGSTOP, SIGCONT after a while.
    HerdKill,  ///< SIGKILL of more than half of the nodes.
    BackendKill,
    // Backend servers.
    BackendSlow,
    BackendLosesAnswers,
    BackendGarbles,
    BackendFails,
    BackendLies, ///< Health answers are the opposite of the truth.
    OrdersUnanswered,
    OrdersLate,
    // The store.
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreWritesLate,
    StoreRefusesNode,
    StoreForgets, ///< Its history.
    // Links.
    StoreLinkCut,
    StoreLinkSilent,
    PeerLinkDelay,
    PeerLinkReset,
    PeerLinkSilent,
    PeerLinkCutIn,
    PeerLinkCutOut,
    // Callers.
    CallersLeave, ///< They wait for a short time only.
};
inline constexpr size_t FaultKindCount = static_cast<size_t>(FaultKind::CallersLeave) + 1;

std::string_view faultName(FaultKind kind);

/** @return Whether it is work that operators plan: nobody should notice it. */
bool isPlanned(FaultKind kind);

/** @return Whether the fault is over at once; its length means nothing then. */
bool isMomentary(FaultKind kind);

/** @return Whether the fault may be felt at every node, not at its target alone. */
bool concernsAll(FaultKind kind);

/** One entry of a plan. */
struct Fault {
    FaultKind kind = FaultKind::NodeStop;
    size_t target = 0;  ///< Index of a node or of the backend server beside it.
    milliseconds at{0}; ///< From the first request.
    milliseconds length{0};
};

/** The faults of one seed, sorted by time. */
struct FaultPlan {
    bool calm = false; ///< Planned work only.
    std::vector<Fault> faults;
};

/** @return The plan of @p seed: the same each time. Every fourth seed holds planned work only. */
FaultPlan makeFaultPlan(uint64_t seed, size_t nodes);

/** @return @p plan with every other fault at one of the first @p nodes nodes; 0: unchanged. */
FaultPlan aimAtFirst(FaultPlan plan, size_t nodes);

} // namespace wisteriahoist::soak
