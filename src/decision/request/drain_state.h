/** @file drain_state.h Decides when a draining node may stop. */

#pragma once

#include "core/time_type.h"

#include <cstddef>

namespace wisteriahoist {

/** Limits of a graceful shutdown. */
struct DrainLimits {
    milliseconds handover{5000}; ///< For moving the ranges; then the owner's lease is released.
    milliseconds total{30000};   ///< For the whole shutdown; requests running then are cut off.
};

/** What a draining node still has open. */
struct DrainProgress {
    size_t ownedRanges = 0;
    size_t callerRequests = 0; ///< Open at the ingress.
    size_t gateRequests = 0;   ///< Queued or running at the gate.
};

/** The next step. */
enum class DrainStep {
    Wait,   ///< Ranges or requests are still open.
    Finish, ///< Nothing is open: stop.
    Cut,    ///< The time limit is reached: stop, and log what was cut off.
};

/**
 * Decides the end of a graceful shutdown. Ranges are handed over first: if the node stopped while
 * it owns a range, the keys would have no owner until the lease has expired.
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
