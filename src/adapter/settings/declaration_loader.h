/** @file declaration_loader.h Loads declarations from a folder of TOML files. */

#pragma once

#include "adapter/settings/toml_reader.h"
#include "decision/config/declaration_type.h"

#include <map>
#include <string>

namespace wisteriahoist {

/** Reads declaration files and validates them together. */
class DeclarationLoader
{
public:
    /** @param findings Receives all problems, each with file and line. */
    explicit DeclarationLoader(std::vector<Finding> &findings) : findings_(findings) { }

    /** Reads the services of one file. */
    void parse(std::string_view content, const std::string &file);

    /** Validates everything read so far. @return The declarations. */
    Declarations finish();

private:
    struct Location {
        std::string file;
        uint32_t line = 1;
    };

    void readService(const toml::table &table, const std::string &file);
    void recordLocations(const toml::table &table, const std::string &path,
                         const std::string &file);
    Location locate(std::string path) const;
    bool isReported(const std::string &path) const;

    std::vector<Finding> &findings_;
    Declarations declarations_;
    std::map<std::string, Location> locations_; ///< By path within the declarations.
};

/** Reads every *.toml file of @p folder, ordered by name, and collects all findings. */
Declarations loadDeclarations(const std::string &folder, std::vector<Finding> &findings);

} // namespace wisteriahoist
