/** @file health_decision.h Whether a node is alive and whether it can serve. */

#pragma once

#include "core/time_type.h"

#include <string_view>
#include <vector>

namespace wisteriahoist {

/** A duty's event loop must have turned within this time, or the process counts as stuck. */
inline constexpr milliseconds LoopStallTimeout{3000};

/** When one duty's event loop turned last. */
struct LoopActivity {
    std::string_view duty; ///< A literal.
    TimePoint at = NeverTime;
};

/** @return The duties whose loop has not turned within LoopStallTimeout; none: alive. */
std::vector<std::string_view> findStalledLoops(const std::vector<LoopActivity> &turns,
                                               TimePoint now);

/** What decides whether requests should be sent to a node. */
struct ReadinessInput {
    TimePoint leaseUntil = NeverTime;
    bool routingPresent = false;   ///< Declarations and an assignment have been received.
    bool backendAnnounced = false; ///< A backend server beside this node has announced itself.
    bool draining = false;
};

/** Why a node is not ready. */
enum class NotReadyReason { NoLease, NoRouting, NoBackend, Draining };

std::string_view notReadyReasonName(NotReadyReason reason);

/** @return Every reason against; none: ready. */
std::vector<NotReadyReason> findNotReadyReasons(const ReadinessInput &input, TimePoint now);

} // namespace wisteriahoist
