/** @file toml_reader.h Reads TOML tables and collects every finding, with file and line. */

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

/** One thing wrong with a settings or declarations file. */
struct Finding {
    std::string file;
    uint32_t line = 0;   ///< From 1.
    std::string message; ///< Key, what was found, what is allowed.
};

/** @return The finding as FILE:LINE: message. */
std::string formatFinding(const Finding &finding);

/**
 * Reads one table; each wrong, missing or unknown entry becomes a finding instead of an error, so
 * that all of them are reported in one go.
 */
class TomlReader
{
public:
    TomlReader(const toml::table &table, std::string file, std::string path,
               std::vector<Finding> &findings);

    /** Reports entries that were never asked for. Called once, at the end. */
    void reportUnknown();

    std::string requireText(std::string_view key);
    std::string text(std::string_view key, std::string fallback);
    uint64_t requireNumber(std::string_view key, uint64_t least, uint64_t most);
    uint64_t number(std::string_view key, uint64_t fallback, uint64_t least, uint64_t most);
    bool boolean(std::string_view key, bool fallback);
    milliseconds duration(std::string_view key, milliseconds fallback, milliseconds least,
                          milliseconds most);

    /** @return The index of the entry's text in @p names; 0 after a finding. */
    size_t choice(std::string_view key, const std::vector<std::string_view> &names,
                  size_t fallback);

    /** @return The table @p key, or nullptr after a finding if it is required. */
    const toml::table *table(std::string_view key, bool required);

    /** @return The tables of the array @p key; empty if absent. */
    std::vector<const toml::table *> tables(std::string_view key);

    /** Adds a finding about @p key. */
    void report(std::string_view key, const std::string &message);

private:
    const toml::node *take(std::string_view key);
    const toml::node *require(std::string_view key);
    uint64_t checkNumber(const toml::node *node, std::string_view key, uint64_t fallback,
                         uint64_t least, uint64_t most);

    const toml::table &table_;
    std::string file_;
    std::string path_; ///< Dotted path of the table, for messages; empty at the root.
    std::vector<Finding> &findings_;
    std::set<std::string, std::less<>> asked_;
};

} // namespace wisteriahoist
