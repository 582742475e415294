/** @file config_codec.h Between the configuration decisions and the operators' schema. */

#pragma once

#include "core/failure_type.h"
#include "decision/config/config_accept.h"
#include "wisteriahoist/v1/operator.pb.h"

namespace wisteriahoist {

/** The configuration object's bytes. */
std::string encodeConfigRecord(const ConfigRecord &record);

/** @return The record; the default one for an object that does not exist (no bytes). */
Result<ConfigRecord> decodeConfigRecord(const std::string &bytes);

/** @return The change that @p message asks for. */
ConfigRequest decodeApplyRequest(const v1::ApplyRequest &message);

/**
 * Finds what is lost when @p message becomes declarations: enumerations that are unspecified,
 * and enumerators or fields that this version of the schema does not have. Without it an operator
 * with a newer schema would be told "accepted" for a rule that is then read as another one.
 */
ConfigProblems checkConfigurationMessage(const v1::Configuration &message);

void encodeProblem(const ConfigProblem &problem, v1::Problem &message);
void encodeFailure(const Failure &failure, v1::Problem &message);
void encodeChange(const ConfigChange &change, v1::Change &message);

} // namespace wisteriahoist
