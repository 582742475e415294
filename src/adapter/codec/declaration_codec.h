/** @file declaration_codec.h Converts declarations to and from protobuf. */

#pragma once

#include "core/failure_type.h"
#include "decision/config/declaration_type.h"
#include "wisteriahoist/v1/operator.pb.h"

namespace wisteriahoist {

v1::GrantMode encodeGrantMode(GrantMode mode);
GrantMode decodeGrantMode(v1::GrantMode mode);

v1::Configuration encodeConfiguration(const Declarations &declarations);
Declarations decodeConfiguration(const v1::Configuration &message);

/** Encodes the configuration object, including the version. */
std::string encodeDeclarations(const Declarations &declarations);
Result<Declarations> decodeDeclarations(const std::string &bytes);

} // namespace wisteriahoist
