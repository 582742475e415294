/** @file declaration_writer.h Writes declarations as a TOML file. */

#pragma once

#include "decision/config/declaration_type.h"

#include <string>

namespace wisteriahoist {

/** @return The content of a file; reading it gives the same services. */
std::string writeDeclarations(const Declarations &declarations);

} // namespace wisteriahoist
