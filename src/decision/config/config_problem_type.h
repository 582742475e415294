/** @file config_problem_type.h Problems of a configuration change, and configuration diffs. */

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriahoist {

/** Why a change is refused. */
enum class ConfigProblemCode {
    BadArgument,       ///< Violates a rule of the schema.
    TooLarge,          ///< Exceeds a limit.
    Duplicate,         ///< A name or host that must be unique occurs twice.
    UnreachableRoute,  ///< An earlier route of the service matches all its requests.
    VersionConflict,   ///< Another change was accepted before.
    NeedsAllowDelete,  ///< A declared service would be deleted.
    NeedsAllowRehash,  ///< The key space of a declared service would change.
    NeedsAllowUnfence, ///< A declared service would go from fenced to unchecked.
    RequestIdReused,   ///< The request id was used for a change with other content.
};

/** One reason for a refusal. */
struct ConfigProblem {
    ConfigProblemCode code = ConfigProblemCode::BadArgument;
    std::string path;    ///< For example services[2].routes[0].deadline_ms.
    std::string message; ///< Human-readable; never parsed.
};

using ConfigProblems = std::vector<ConfigProblem>;

/** Kind of change to one element or value. */
enum class ConfigChangeKind { Added, Removed, Changed };

/** One difference between two configurations. */
struct ConfigChange {
    ConfigChangeKind kind = ConfigChangeKind::Changed;
    std::string path;   ///< For example services[NAME].key_space.hash_seed.
    std::string before; ///< As declared; empty if added.
    std::string after;  ///< As declared; empty if removed.
    bool operator==(const ConfigChange &) const = default;
};

} // namespace wisteriahoist
