/** @file drain_state.h When a node that was told to end may do so. */

#pragma once

#include "core/time_type.h"

#include <cstddef>

namespace wisteriahoist {

/** Bounds of a graceful shutdown. */
struct DrainLimits {
    milliseconds handover{5000}; ///< For the ranges to move; then their owner's lease is given up.
    milliseconds total{30000};   ///< For everything; what still runs then is cut.
};

/** What is still open at a node. */
struct DrainProgress {
    size_t ownedRanges = 0;
    size_t callerRequests = 0; ///< At the ingress.
    size_t gateRequests = 0;   ///< Waiting or running at the gate.
};

/** What to do next. */
enum class DrainStep {
    Wait,   ///< Ranges or requests are still here.
    Finish, ///< Nothing is left: end.
    Cut,    ///< The bound is over: end, and say what was cut.
};

/**
 * Decides the end of a graceful shutdown. Ranges go first: ending with a range still owned leaves
 * its keys without an owner until the lease has been outwaited.
 */
inline DrainStep decideDrain(const DrainProgress &progress, Duration elapsed,
                             const DrainLimits &limits)
{
    if (elapsed >= limits.total) {
        return DrainStep::Cut;
    }
    if (progress.ownedRanges > 0 && elapsed < limits.handover) {
        return DrainStep::Wait;
    }
    const bool idle = progress.callerRequests == 0 && progress.gateRequests == 0;
    return idle ? DrainStep::Finish : DrainStep::Wait;
}

} // namespace wisteriahoist
