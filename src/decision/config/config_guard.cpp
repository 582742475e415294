/** @file config_guard.cpp Prevents a node from applying an older configuration. */

#include "decision/config/config_guard.h"

#include "decision/config/declaration_diff.h"

namespace wisteriahoist {

ConfigOffer ConfigGuard::offer(const Declarations &declarations)
{
    if (declarations.version > inForce_.version) {
        inForce_ = declarations;
        return ConfigOffer::Newer;
    }
    if (declarations.version < inForce_.version) {
        ++refused_;
        return ConfigOffer::Older;
    }
    if (!diffDeclarations(inForce_, declarations).empty()) {
        ++refused_;
        return ConfigOffer::Conflicting;
    }
    return ConfigOffer::Same;
}

} // namespace wisteriahoist
