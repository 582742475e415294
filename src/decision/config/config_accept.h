/** @file config_accept.h Decides whether a configuration change is accepted. */

#pragma once

#include "core/strong_id.h"
#include "decision/config/config_problem_type.h"
#include "decision/config/declaration_type.h"

#include <optional>

namespace wisteriahoist {

using ConfigRequestId = StrongId<struct ConfigRequestIdTag>; ///< Chosen by the operator; 0: none.

/** Requests kept in the configuration object; about 10 minutes at 38,000 changes per day. */
inline constexpr size_t MaxRememberedRequests = 256;

/** An accepted change, kept to recognise repeated requests. */
struct AcceptedRequest {
    ConfigRequestId id;
    uint64_t version = 0;     ///< The version that it created.
    uint64_t fingerprint = 0; ///< Hash of the requested declarations.
    bool operator==(const AcceptedRequest &) const = default;
};

/** The configuration object: the current declarations and the latest accepted requests. */
struct ConfigRecord {
    Declarations declarations;
    std::vector<AcceptedRequest> recent; ///< Oldest first; at most MaxRememberedRequests; no
                                         ///< version is above that of the declarations.

    /** @return The accepted request @p id; nullptr if it is not kept. */
    const AcceptedRequest *findRequest(ConfigRequestId id) const;
};

/** A change requested by an operator. */
struct ConfigRequest {
    Declarations declarations; ///< The version in it is ignored.
    ConfigRequestId id;
    uint64_t fingerprint = 0; ///< Hash of the declarations as sent; detects reuse of the id.
    std::optional<uint64_t> expectedVersion;
    bool allowDelete = false;
    bool allowRehash = false;
    bool allowUnfence = false;
};

/** How to proceed with a change. */
enum class ConfigVerdict {
    Write,          ///< Write the record, then respond.
    AlreadyApplied, ///< The request was accepted before; nothing is done.
    Unchanged,      ///< Equal to the stored declarations; nothing is done.
    Refused,        ///< See the problems.
};

/** The decision about one change. */
struct ConfigDecision {
    ConfigVerdict verdict = ConfigVerdict::Refused;
    uint64_t version = 0; ///< Version of the change; 0 if refused.
    ConfigProblems problems;
    std::vector<ConfigChange> changes; ///< Differences from the stored declarations.
    ConfigRecord record;               ///< For Write: the complete new object.
};

/**
 * Accepts or refuses one change as a whole.
 *
 * @param stored The configuration object as stored in the platform; default if there is none.
 * @param request The change.
 * @param floor The highest version that has been in effect at this node. The next version is also
 *              above this one: if the platform has lost the object (deleted, or restored from a
 *              backup), a lower version would be accepted here and refused by every other node.
 */
ConfigDecision decideChange(const ConfigRecord &stored, const ConfigRequest &request,
                            uint64_t floor);

} // namespace wisteriahoist
