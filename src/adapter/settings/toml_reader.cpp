/** @file toml_reader.cpp Reads TOML tables and reports all findings. */

#include "adapter/settings/toml_reader.h"

namespace wisteriahoist {

namespace {

std::string describe(const toml::node &node)
{
    std::ostringstream text;
    node.visit([&text](const auto &value) {
        if constexpr (toml::is_value<decltype(value)>) {
            text << value;
        } else {
            text << "a table or array";
        }
    });
    return text.str();
}

} // namespace

std::string formatFinding(const Finding &finding)
{
    return finding.file + ":" + std::to_string(finding.line) + ": " + finding.message;
}

TomlReader::TomlReader(const toml::table &table, std::string file, std::string path,
                       std::vector<Finding> &findings)
    : table_(table), file_(std::move(file)), path_(std::move(path)), findings_(findings)
{ }

void TomlReader::report(std::string_view key, const std::string &message)
{
    const toml::node *node = table_.get(key);
    const auto line = node != nullptr ? node->source().begin.line : table_.source().begin.line;
    const std::string name = path_.empty() ? std::string(key) : path_ + "." + std::string(key);
    findings_.push_back({file_, std::max<uint32_t>(line, 1), name + ": " + message});
}

const toml::node *TomlReader::lookUp(std::string_view key)
{
    readKeys_.emplace(key);
    return table_.get(key);
}

const toml::node *TomlReader::require(std::string_view key)
{
    const toml::node *node = lookUp(key);
    if (node == nullptr) {
        report(key, "missing");
    }
    return node;
}

void TomlReader::reportUnknown()
{
    for (const auto &[key, node] : table_) {
        if (!readKeys_.contains(key.str())) {
            report(key.str(), "unknown entry");
        }
    }
}

std::string TomlReader::requireText(std::string_view key)
{
    const toml::node *node = require(key);
    if (node == nullptr) {
        return {};
    }
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
        report(key, "found " + describe(*node) + ", expected a non-empty string");
        return {};
    }
    return *value;
}

std::string TomlReader::text(std::string_view key, std::string fallback)
{
    const toml::node *node = lookUp(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        report(key, "found " + describe(*node) + ", expected a string");
        return fallback;
    }
    return *value;
}

uint64_t TomlReader::checkNumber(const toml::node *node, std::string_view key, uint64_t fallback,
                                 uint64_t least, uint64_t most)
{
    const auto value = node->value_exact<int64_t>();
    const bool fits = value && *value >= 0 && static_cast<uint64_t>(*value) >= least
                      && static_cast<uint64_t>(*value) <= most;
    if (!fits) {
        report(key, "found " + describe(*node) + ", expected an integer from "
                            + std::to_string(least) + " to " + std::to_string(most));
        return fallback;
    }
    return static_cast<uint64_t>(*value);
}

uint64_t TomlReader::requireNumber(std::string_view key, uint64_t least, uint64_t most)
{
    const toml::node *node = require(key);
    return node == nullptr ? least : checkNumber(node, key, least, least, most);
}

uint64_t TomlReader::number(std::string_view key, uint64_t fallback, uint64_t least, uint64_t most)
{
    const toml::node *node = lookUp(key);
    return node == nullptr ? fallback : checkNumber(node, key, fallback, least, most);
}

bool TomlReader::boolean(std::string_view key, bool fallback)
{
    const toml::node *node = lookUp(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        report(key, "found " + describe(*node) + ", expected true or false");
        return fallback;
    }
    return *value;
}

milliseconds TomlReader::duration(std::string_view key, milliseconds fallback, milliseconds least,
                                  milliseconds most)
{
    return milliseconds(number(key, static_cast<uint64_t>(fallback.count()),
                               static_cast<uint64_t>(least.count()),
                               static_cast<uint64_t>(most.count())));
}

size_t TomlReader::choice(std::string_view key, const std::vector<std::string_view> &names,
                          size_t fallback)
{
    const toml::node *node = lookUp(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value_exact<std::string>();
    std::string allowed;
    for (size_t index = 0; index < names.size(); ++index) {
        if (value && *value == names[index]) {
            return index;
        }
        allowed += (index == 0 ? "" : ", ") + std::string(names[index]);
    }
    report(key, "found " + describe(*node) + ", expected one of " + allowed);
    return fallback;
}

const toml::table *TomlReader::table(std::string_view key, bool required)
{
    const toml::node *node = required ? require(key) : lookUp(key);
    if (node == nullptr) {
        return nullptr;
    }
    if (!node->is_table()) {
        report(key, "expected a table");
        return nullptr;
    }
    return node->as_table();
}

std::vector<const toml::table *> TomlReader::tables(std::string_view key)
{
    std::vector<const toml::table *> found;
    const toml::node *node = lookUp(key);
    if (node == nullptr) {
        return found;
    }
    if (!node->is_array_of_tables()) {
        report(key, "expected an array of tables");
        return found;
    }
    for (const toml::node &element : *node->as_array()) {
        found.push_back(element.as_table());
    }
    return found;
}

} // namespace wisteriahoist
