/** @file declaration_loader.h Declarations from a folder of TOML files. */

#pragma once

#include "adapter/settings/toml_reader.h"
#include "decision/config/declaration_type.h"

#include <map>
#include <string>

namespace wisteriahoist {

/** Reads files of declarations and checks them together. */
class DeclarationLoader
{
public:
    /** @param findings Gets everything that is wrong, each with its file and line. */
    explicit DeclarationLoader(std::vector<Finding> &findings) : findings_(findings) { }

    /** Reads one file's services. */
    void parse(std::string_view content, const std::string &file);

    /** Checks all that was read against every rule. @return The declarations. */
    Declarations finish();

private:
    struct Location {
        std::string file;
        uint32_t line = 1;
    };

    void readService(const toml::table &table, const std::string &file);
    void noteLocations(const toml::table &table, const std::string &path, const std::string &file);
    Location locate(std::string path) const;
    bool isReported(const std::string &path) const;

    std::vector<Finding> &findings_;
    Declarations declarations_;
    std::map<std::string, Location> locations_; ///< By path within the declarations.
};

/** Reads every *.toml file of @p folder, in order of name; all findings are collected. */
Declarations loadDeclarations(const std::string &folder, std::vector<Finding> &findings);

} // namespace wisteriahoist
