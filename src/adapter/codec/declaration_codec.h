/** @file declaration_codec.h Between declarations and their protobuf form. */

#pragma once

#include "core/failure_type.h"
#include "decision/config/declaration_type.h"
#include "wisteriahoist/v1/operator.pb.h"

namespace wisteriahoist {

v1::GrantMode encodeGrantMode(GrantMode mode);
GrantMode decodeGrantMode(v1::GrantMode mode);

v1::Configuration encodeConfiguration(const Declarations &declarations);
Declarations decodeConfiguration(const v1::Configuration &message);

/** The configuration object's bytes, version included. */
std::string encodeDeclarations(const Declarations &declarations);
Result<Declarations> decodeDeclarations(const std::string &bytes);

} // namespace wisteriahoist
