/** @file health_decision.h Liveness and readiness of a node. */

#pragma once

#include "core/time_type.h"

#include <string_view>
#include <vector>

namespace wisteriahoist {

/** A process counts as stalled if one of its event loops has not run for this time. */
inline constexpr milliseconds LoopStallTimeout{3000};

/** When the event loop of one duty ran last. */
struct LoopActivity {
    std::string_view duty; ///< Refers to a string literal.
    TimePoint at = NeverTime;
};

/** @return The duties whose event loop is stalled; empty if the process is alive. */
std::vector<std::string_view> findStalledLoops(const std::vector<LoopActivity> &activities,
                                               TimePoint now);

/** State that determines whether a node can serve requests. */
struct ReadinessInput {
    TimePoint leaseUntil = NeverTime;
    bool routingPresent = false;   ///< Declarations and an assignment have been received.
    bool backendAnnounced = false; ///< A backend server beside this node has been announced.
    bool draining = false;
};

/** Why a node is not ready. */
enum class NotReadyReason { NoLease, NoRouting, NoBackend, Draining };

std::string_view notReadyReasonName(NotReadyReason reason);

/** @return All reasons why the node is not ready; empty if it is. */
std::vector<NotReadyReason> findNotReadyReasons(const ReadinessInput &input, TimePoint now);

} // namespace wisteriahoist
