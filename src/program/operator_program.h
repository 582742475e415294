/** @file operator_program.h The operators' commands. */

#pragma once

#include "program/operator_client.h"
#include "program/operator_output.h"

#include <optional>
#include <string>

namespace wisteriahoist {

/** What every command that calls a node needs. */
struct OperatorOptions {
    OperatorTarget target;
    FleetKeys keys; ///< The first signs; empty: calls are not signed.
    OutputForm form = OutputForm::Text;
};

/** What only apply needs. */
struct ApplyOptions {
    bool dryRun = false;
    bool wait = false;             ///< Until each member has the version in force.
    milliseconds waitBound{30000}; ///< For wait.
    bool allowDelete = false;
    bool allowRehash = false;
    bool allowUnfence = false;
    std::optional<uint64_t> expectedVersion;
};

/** Checks a folder of declarations without contacting anything. @return 0, or 2 with findings. */
int runCheck(const std::string &folder);

/** Prints what an apply would change. @return 0, 1 failed, 2 bad declarations. */
int runDiff(const std::string &folder, const OperatorOptions &options);

/** Puts a folder of declarations in force. @return 0, 1 refused or failed, 2 bad declarations. */
int runApply(const std::string &folder, const OperatorOptions &options, const ApplyOptions &apply);

/** Prints what a node knows, and which members lag. @return 0, or 1 if it cannot be reached. */
int runStatus(const OperatorOptions &options);

/** Prints where a key lies and who serves it. @return 0, or 1. */
int runExplain(const std::string &service, const std::string &key, const OperatorOptions &options);

/** Prints the stored configuration as declarations. @return 0, or 1. */
int runExport(const OperatorOptions &options);

/** What only drain needs. */
struct DrainOptions {
    bool cancel = false;
    bool wait = false;             ///< Until the node owns no range.
    milliseconds waitBound{30000}; ///< For wait.
};

/** Takes the called node out of service, or back in. @return 0, or 1. */
int runDrain(const OperatorOptions &options, const DrainOptions &drain);

/**
 * Says that whatever has not acknowledged a term above @p term is gone for good.
 * @return 0, or 1.
 */
int runConfirmLost(const OperatorOptions &options, uint64_t term, const std::string &confirmedBy);

/** Prints a new key named @p id in the form of a key file. @return 0. */
int runKeygen(const std::string &id);

} // namespace wisteriahoist
