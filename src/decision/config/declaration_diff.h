/** @file declaration_diff.h Compares two sets of declarations. */

#pragma once

#include "decision/config/config_problem_type.h"
#include "decision/config/declaration_type.h"

#include <string_view>

namespace wisteriahoist {

/** @name Enum values as written in declaration files. @{ */
std::string_view keyPlaceName(KeyPlace place);
std::string_view repetitionName(Repetition repetition);
std::string_view grantModeName(GrantMode mode);
std::string_view missingKeyName(MissingKey missing);
std::string_view missingAgeName(MissingAge missing);
std::string_view misroutedName(Misrouted misrouted);
std::string_view priorityName(MeasurePriority priority);
/** @} */

/**
 * Compares two sets of declarations. Services are matched by name, and routes by position because
 * the first matching route applies. The order of services is not significant.
 * @return The differences; empty if and only if both are equivalent.
 */
std::vector<ConfigChange> diffDeclarations(const Declarations &before, const Declarations &after);

/** @return Whether a key may be extracted or hashed differently by @p after than by @p before. */
bool rehashes(const KeySpaceDeclaration &before, const KeySpaceDeclaration &after);

/**
 * Finds changes that move keys, delete a service or give up checks of grants, and so require an
 * explicit flag.
 * @return A problem for each, with the path within @p after (for a deletion: services[NAME]).
 */
ConfigProblems findGuardedChanges(const Declarations &before, const Declarations &after);

} // namespace wisteriahoist
