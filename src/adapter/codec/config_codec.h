/** @file config_codec.h Converts configuration types to and from the operators' schema. */

#pragma once

#include "core/failure_type.h"
#include "decision/config/config_accept.h"
#include "wisteriahoist/v1/operator.pb.h"

namespace wisteriahoist {

/** Encodes the configuration object. */
std::string encodeConfigRecord(const ConfigRecord &record);

/** @return The record; a default one if @p bytes is empty, as for an object that does not exist. */
Result<ConfigRecord> decodeConfigRecord(const std::string &bytes);

/** @return The change requested by @p message. */
ConfigRequest decodeApplyRequest(const v1::ApplyRequest &message);

/**
 * Finds what @p message would lose when it is decoded: unspecified enumerators, and enumerators or
 * fields that this version of the schema does not have. Without this check an operator with a newer
 * schema would get "accepted" for a rule that is then interpreted as a different one.
 */
ConfigProblems checkConfigurationMessage(const v1::Configuration &message);

void encodeProblem(const ConfigProblem &problem, v1::Problem &message);
void encodeFailure(const Failure &failure, v1::Problem &message);
void encodeChange(const ConfigChange &change, v1::Change &message);

} // namespace wisteriahoist
