/** @file operator_program.h The operators' commands: check, apply, status. */

#pragma once

#include <cstdint>
#include <string>

namespace wisteriahoist {

/** Where the operator's call goes: any node's admin address. */
struct OperatorTarget {
    std::string ip = "127.0.0.1";
    uint16_t port = 0;
};

/** Checks a folder of declarations without contacting anything. @return 0, or 2 with findings. */
int runCheck(const std::string &folder);

/** Puts a folder of declarations in force. @return 0, 1 refused or failed, 2 bad declarations. */
int runApply(const std::string &folder, const OperatorTarget &target);

/** Prints what a node knows. @return 0, or 1 if it cannot be reached. */
int runStatus(const OperatorTarget &target);

} // namespace wisteriahoist
