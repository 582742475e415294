/** @file declaration_writer.h Declarations as a TOML file. */

#pragma once

#include "decision/config/declaration_type.h"

#include <string>

namespace wisteriahoist {

/** @return A file's text; read again it gives the same services. */
std::string writeDeclarations(const Declarations &declarations);

} // namespace wisteriahoist
