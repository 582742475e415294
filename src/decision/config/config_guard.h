/** @file config_guard.h Prevents a node from applying an older configuration. */

#pragma once

#include "decision/config/declaration_type.h"

namespace wisteriahoist {

/** Result of offering a configuration. */
enum class ConfigOffer {
    Newer,       ///< Applied.
    Same,        ///< Already in effect.
    Older,       ///< Refused.
    Conflicting, ///< Refused: the current version with different content.
};

/**
 * Holds the configuration in effect at one node. Configurations from all sources pass through
 * offer(): replies of the coordinator, the watch of the platform, and relays.
 *
 * Messages may be reordered, and a coordinator that was paused sends the configuration from before
 * its pause; if these were applied in order of arrival, a deleted service would be served again.
 * Comparing versions is sufficient because each accepted change increases the version by a
 * conditional update of a single object, so two accepted contents never have the same version. A
 * node has no disk: after a restart it holds version 0, which contains no service, and serves
 * nothing until it receives a configuration from the coordinator of a term that has this
 * incarnation in its roster.
 */
class ConfigGuard
{
public:
    /** Applies @p declarations if they are newer than those in effect. */
    ConfigOffer offer(const Declarations &declarations);

    const Declarations &inForce() const { return inForce_; }
    uint64_t refusedCount() const { return refused_; }

private:
    Declarations inForce_; ///< Invariant: its version never decreases.
    uint64_t refused_ = 0; ///< Older or conflicting offers.
};

} // namespace wisteriahoist
