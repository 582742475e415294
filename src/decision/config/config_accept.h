/** @file config_accept.h Whether a change of the configuration is accepted. */

#pragma once

#include "core/strong_id.h"
#include "decision/config/config_problem_type.h"
#include "decision/config/declaration_type.h"

#include <optional>

namespace wisteriahoist {

using ConfigRequestId = StrongId<struct ConfigRequestIdTag>; ///< An operator's; 0 is none.

/** Requests that the configuration object remembers; about 10 minutes at 38,000 changes a day. */
inline constexpr size_t MaxRememberedRequests = 256;

/** A change that was accepted. */
struct AcceptedRequest {
    ConfigRequestId id;
    uint64_t version = 0;     ///< The version that it became.
    uint64_t fingerprint = 0; ///< Hash of what was asked for.
    bool operator==(const AcceptedRequest &) const = default;
};

/** The configuration object: what is in force, and which requests made it so. */
struct ConfigRecord {
    Declarations declarations;
    std::vector<AcceptedRequest> recent; ///< Oldest first; at most MaxRememberedRequests; each
                                         ///< version is lower than or equal to declarations'.

    /** @return The remembered request @p id, or nullptr. */
    const AcceptedRequest *findRequest(ConfigRequestId id) const;
};

/** An operator's change. */
struct ConfigRequest {
    Declarations declarations; ///< The version in it is ignored.
    ConfigRequestId id;
    uint64_t fingerprint = 0; ///< Hash of the declarations as sent; tells a reuse of the id.
    std::optional<uint64_t> expectedVersion;
    bool allowDelete = false;
    bool allowRehash = false;
    bool allowUnfence = false;
};

/** What is to be done with a change. */
enum class ConfigVerdict {
    Write,          ///< Write the record, then answer.
    AlreadyApplied, ///< The request was accepted before; nothing is done.
    Unchanged,      ///< What is stored says the same; nothing is done.
    Refused,        ///< See the problems.
};

/** The decision about one change. */
struct ConfigDecision {
    ConfigVerdict verdict = ConfigVerdict::Refused;
    uint64_t version = 0; ///< That the change has or gets; 0 if refused.
    ConfigProblems problems;
    std::vector<ConfigChange> changes; ///< Against what is stored.
    ConfigRecord record;               ///< For Write: the whole new object.
};

/**
 * Decides about one change as a whole.
 *
 * @param stored The configuration object as it is in the platform; default if there is none.
 * @param request The change.
 * @param floor The highest version that this node has had in force. The next version is above it
 *              too: after the platform lost the object (deleted, or restored from a backup), a
 *              lower one would be accepted here and refused by every node that knows better.
 */
ConfigDecision decideChange(const ConfigRecord &stored, const ConfigRequest &request,
                            uint64_t floor);

} // namespace wisteriahoist
