/** @file config_guard.h Keeps a node from ever putting an older configuration in force. */

#pragma once

#include "decision/config/declaration_type.h"

namespace wisteriahoist {

/** What became of an offered configuration. */
enum class ConfigOffer {
    Newer,       ///< Put in force.
    Same,        ///< Already in force.
    Older,       ///< Refused.
    Conflicting, ///< Refused: the version in force, with another content.
};

/**
 * Holds the configuration in force at one node. Every source goes through offer(): the
 * coordinator's replies, the platform's watch, a relay.
 *
 * Failure prevented: messages are overtaken by others, and a coordinator that was paused sends what
 * was in force before its pause; applied in order of arrival, a deleted service would serve again.
 * The version is enough because it rises with each accepted change by conditional update of a
 * single object, so that two accepted contents never share one. A node has no disk: after a
 * restart it holds version 0, which names no service, and serves nothing until the coordinator of a
 * term that has this incarnation in its roster gave it a configuration.
 */
class ConfigGuard
{
public:
    /** Offers @p declarations from any source. */
    ConfigOffer offer(const Declarations &declarations);

    const Declarations &inForce() const { return inForce_; }
    uint64_t refusedCount() const { return refused_; }

private:
    Declarations inForce_; ///< Invariant: its version never falls.
    uint64_t refused_ = 0; ///< Offers that were older or conflicting.
};

} // namespace wisteriahoist
