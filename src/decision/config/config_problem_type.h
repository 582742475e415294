/** @file config_problem_type.h Why a change of the configuration is refused, and differences. */

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriahoist {

/** Why a change is refused. */
enum class ConfigProblemCode {
    BadArgument,       ///< Breaks a rule of the schema.
    TooLarge,          ///< More than a bound allows.
    Duplicate,         ///< A name or host that must be unique stands twice.
    UnreachableRoute,  ///< An earlier route of the service matches all that it would match.
    VersionConflict,   ///< Another change came first.
    NeedsAllowDelete,  ///< A declared service would disappear.
    NeedsAllowRehash,  ///< The key space of a declared service would change.
    NeedsAllowUnfence, ///< A declared service would go from fenced to unchecked.
    RequestIdReused,   ///< The request id stands for a change with other content.
};

/** One reason for a refusal. */
struct ConfigProblem {
    ConfigProblemCode code = ConfigProblemCode::BadArgument;
    std::string path;    ///< Within the configuration: services[2].routes[0].deadline_ms.
    std::string message; ///< For people; never parsed.
};

using ConfigProblems = std::vector<ConfigProblem>;

/** What happened to one element or value. */
enum class ConfigChangeKind { Added, Removed, Changed };

/** One difference between two configurations. */
struct ConfigChange {
    ConfigChangeKind kind = ConfigChangeKind::Changed;
    std::string path;   ///< services[NAME].key_space.hash_seed
    std::string before; ///< As declared; empty if added.
    std::string after;  ///< As declared; empty if removed.
    bool operator==(const ConfigChange &) const = default;
};

} // namespace wisteriahoist
