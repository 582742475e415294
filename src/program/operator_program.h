/** @file operator_program.h The operator commands. */

#pragma once

#include "program/operator_client.h"
#include "program/operator_output.h"

#include <optional>
#include <string>

namespace wisteriahoist {

/** Options of all commands that call a node. */
struct OperatorOptions {
    OperatorTarget target;
    FleetKeys keys; ///< The first one signs; empty: calls are not signed.
    OutputFormat format = OutputFormat::Text;
};

/** Options of apply. */
struct ApplyOptions {
    bool dryRun = false;
    bool wait = false;               ///< Wait until each member has applied the version.
    milliseconds waitTimeout{30000}; ///< For wait.
    bool allowDelete = false;
    bool allowRehash = false;
    bool allowUnfence = false;
    std::optional<uint64_t> expectedVersion;
};

/** Validates a folder of declarations offline. @return 0, or 2 with findings. */
int runCheck(const std::string &folder);

/** Prints what apply would change. @return 0, 1 failed, 2 invalid declarations. */
int runDiff(const std::string &folder, const OperatorOptions &options);

/** Applies a folder of declarations. @return 0, 1 rejected or failed, 2 invalid declarations. */
int runApply(const std::string &folder, const OperatorOptions &options, const ApplyOptions &apply);

/** Prints the status of a node and which members lag. @return 0, or 1 if it is unreachable. */
int runStatus(const OperatorOptions &options);

/** Prints the range and the owner of a key, and the reason. @return 0, or 1. */
int runExplain(const std::string &service, const std::string &key, const OperatorOptions &options);

/** Prints the stored configuration as declarations. @return 0, or 1. */
int runExport(const OperatorOptions &options);

/** Options of drain. */
struct DrainOptions {
    bool cancel = false;
    bool wait = false;               ///< Wait until the node owns no range.
    milliseconds waitTimeout{30000}; ///< For wait.
};

/** Drains the called node, or cancels its drain. @return 0, or 1. */
int runDrain(const OperatorOptions &options, const DrainOptions &drain);

/**
 * Confirms that members which have not acknowledged a term above @p term are permanently lost.
 * @return 0, or 1.
 */
int runConfirmLost(const OperatorOptions &options, uint64_t term, const std::string &confirmedBy);

/** Prints a new key with id @p id in key-file format. @return 0. */
int runKeygen(const std::string &id);

} // namespace wisteriahoist
