/** @file operator_output.h Output of the operator commands. */

#pragma once

#include "adapter/settings/toml_reader.h"
#include "core/failure_type.h"
#include "wisteriahoist/v1/operator.pb.h"

#include <string_view>

namespace wisteriahoist {

/** Output format of the commands. */
enum class OutputFormat {
    Text, ///< Human-readable.
    Json, ///< The reply in protobuf's JSON mapping.
};

constexpr int ExitDone = 0;
constexpr int ExitFailed = 1;   ///< Rejected or failed; the error code and message were printed.
constexpr int ExitBadUsage = 2; ///< Invalid usage, settings or declarations.

/** Prints @p message as JSON on one line. */
void printJson(const google::protobuf::Message &message);

void printChanges(const google::protobuf::RepeatedPtrField<v1::Change> &changes);
void printStatus(const v1::StatusReply &reply);
void printExplanation(const v1::ExplainReply &reply);

/** Prints the problems to standard error. @return The exit code. */
int reportProblems(const google::protobuf::RepeatedPtrField<v1::Problem> &problems);
int reportFailure(const Failure &failure);
int reportFindings(const std::vector<Finding> &findings);

} // namespace wisteriahoist
