/** @file toml_reader.h Reads TOML tables and reports all findings with file and line. */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace wisteriahoist {

/** A problem in a settings or declarations file. */
struct Finding {
    std::string file;
    uint32_t line = 0;   ///< From 1.
    std::string message; ///< Key, value found and values allowed.
};

/** @return The finding as FILE:LINE: message. */
std::string formatFinding(const Finding &finding);

/**
 * Reads one table. Wrong, missing and unknown entries are collected as findings instead of raising
 * an error, so that all of them are reported together.
 */
class TomlReader
{
public:
    TomlReader(const toml::table &table, std::string file, std::string path,
               std::vector<Finding> &findings);

    /** Reports entries that have not been read. Called once, at the end. */
    void reportUnknown();

    std::string requireText(std::string_view key);
    std::string text(std::string_view key, std::string fallback);
    uint64_t requireNumber(std::string_view key, uint64_t least, uint64_t most);
    uint64_t number(std::string_view key, uint64_t fallback, uint64_t least, uint64_t most);
    bool boolean(std::string_view key, bool fallback);
    milliseconds duration(std::string_view key, milliseconds fallback, milliseconds least,
                          milliseconds most);

    /**
     * @return The index of the entry's value in @p names; @p fallback if it is absent or invalid.
     */
    size_t choice(std::string_view key, const std::vector<std::string_view> &names,
                  size_t fallback);

    /**
     * @return The table @p key, or nullptr if it is absent or not a table. If @p required, its
     * absence is a finding.
     */
    const toml::table *table(std::string_view key, bool required);

    /** @return The tables in the array @p key; empty if absent. */
    std::vector<const toml::table *> tables(std::string_view key);

    /** Adds a finding for @p key. */
    void report(std::string_view key, const std::string &message);

private:
    const toml::node *lookUp(std::string_view key);
    const toml::node *require(std::string_view key);
    uint64_t checkNumber(const toml::node *node, std::string_view key, uint64_t fallback,
                         uint64_t least, uint64_t most);

    const toml::table &table_;
    std::string file_;
    std::string path_; ///< Dotted path of the table for messages; empty at the root.
    std::vector<Finding> &findings_;
    std::set<std::string, std::less<>> readKeys_;
};

} // namespace wisteriahoist
