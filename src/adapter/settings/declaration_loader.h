/** @file declaration_loader.h Declarations from a folder of TOML files. */

#pragma once

#include "adapter/settings/toml_reader.h"
#include "decision/config/declaration_type.h"

namespace wisteriahoist {

/** Reads every *.toml file of @p folder, in order of name; all findings are collected. */
Declarations loadDeclarations(const std::string &folder, std::vector<Finding> &findings);

/** Reads one file's services into @p declarations. */
void parseDeclarations(std::string_view content, const std::string &file,
                       Declarations &declarations, std::vector<Finding> &findings);

} // namespace wisteriahoist
