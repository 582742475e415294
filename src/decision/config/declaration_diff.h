/** @file declaration_diff.h The differences between two sets of declarations. */

#pragma once

#include "decision/config/config_problem_type.h"
#include "decision/config/declaration_type.h"

#include <string_view>

namespace wisteriahoist {

/** @name Values as they stand in declaration files. @{ */
std::string_view keyPlaceName(KeyPlace place);
std::string_view repetitionName(Repetition repetition);
std::string_view grantModeName(GrantMode mode);
std::string_view missingKeyName(MissingKey missing);
std::string_view missingAgeName(MissingAge missing);
std::string_view misroutedName(Misrouted misrouted);
std::string_view priorityName(MeasurePriority priority);
/** @} */

/**
 * Compares two sets of declarations. Services are matched by name, routes by position, since the
 * first route that matches decides. The order of services has no meaning.
 * @return Nothing if and only if both say the same.
 */
std::vector<ConfigChange> diffDeclarations(const Declarations &before, const Declarations &after);

/** @return Whether a key may hash or be found differently under @p after than under @p before. */
bool rehashes(const KeySpaceDeclaration &before, const KeySpaceDeclaration &after);

/**
 * Finds the changes that move or stop what serves and that need a flag of their own.
 * @return A problem for each, with the path within @p after (for a deletion: services[NAME]).
 */
ConfigProblems findGuardedChanges(const Declarations &before, const Declarations &after);

} // namespace wisteriahoist
