/** @file operator_output.h How the operators' commands print replies. */

#pragma once

#include "adapter/settings/toml_reader.h"
#include "core/failure_type.h"
#include "wisteriahoist/v1/operator.pb.h"

#include <string_view>

namespace wisteriahoist {

/** The form of what the commands print. */
enum class OutputForm {
    Text, ///< For people.
    Json, ///< The reply by protobuf's JSON mapping.
};

constexpr int ExitDone = 0;
constexpr int ExitFailed = 1;   ///< Refused or failed; the typed reason was printed.
constexpr int ExitBadUsage = 2; ///< Bad usage, settings or declarations.

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
