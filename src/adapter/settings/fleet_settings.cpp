/** @file fleet_settings.cpp The fleet's keys in the settings and in key files. */

#include "adapter/settings/node_settings.h"

#include <sstream>

namespace wisteriahoist {

namespace {

constexpr size_t MaxKeyId = 32;

/** @return Whether @p id can stand in a signature: no blanks or line breaks. */
bool isKeyId(const std::string &id)
{
    return !id.empty() && id.size() <= MaxKeyId
           && id.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos;
}

std::optional<std::string> decodeSecret(const std::string &hex)
{
    auto secret = fromHex(hex);
    return secret && secret->size() == FleetSecretBytes ? secret : std::nullopt;
}

const std::string SecretRule
        = std::to_string(FleetSecretBytes * 2) + " hexadecimal digits are needed";

FleetKey readKey(TomlReader &reader, std::vector<Finding> &findings)
{
    FleetKey key;
    const std::string file = reader.text("file", "");
    if (!file.empty()) {
        return readKeyFile(file, findings).value_or(key);
    }
    key.id = reader.requireText("id");
    if (!key.id.empty() && !isKeyId(key.id)) {
        reader.report("id", "found " + key.id + ", a to z, 0 to 9 and - are allowed");
    }
    const std::string hex = reader.requireText("secret");
    if (const auto secret = decodeSecret(hex)) {
        key.secret = *secret;
    } else if (!hex.empty()) {
        reader.report("secret", SecretRule); // The value is never printed.
    }
    return key;
}

} // namespace

std::optional<FleetKey> readKeyFile(const std::string &file, std::vector<Finding> &findings)
{
    const size_t before = findings.size();
    std::istringstream stream(readTextFile(file, findings));
    if (findings.size() > before) {
        return std::nullopt;
    }
    FleetKey key;
    std::string hex;
    stream >> key.id >> hex;
    const auto secret = decodeSecret(hex);
    if (!isKeyId(key.id) || !secret) {
        findings.push_back({file, 1, "a key id, a blank and " + SecretRule});
        return std::nullopt;
    }
    key.secret = *secret;
    return key;
}

std::string formatKey(const FleetKey &key)
{
    return key.id + " " + toHex(key.secret) + "\n";
}

FleetKeys readFleetKeys(TomlReader &fleet, const std::string &file, std::vector<Finding> &findings)
{
    FleetKeys keys;
    const bool open = fleet.boolean("allow_unauthenticated", false);
    size_t index = 0;
    for (const toml::table *table : fleet.tables("key")) {
        TomlReader reader(*table, file, "fleet.key[" + std::to_string(index++) + "]", findings);
        FleetKey key = readKey(reader, findings);
        reader.reportUnknown();
        if (!key.id.empty() && keys.find(key.id) != nullptr) {
            reader.report("id", "found " + key.id + " twice");
        }
        keys.keys.push_back(std::move(key));
    }
    if (keys.empty() && !open) {
        fleet.report("key", "missing; keygen makes one, allow_unauthenticated = true does without");
    }
    if (!keys.empty() && open) {
        fleet.report("allow_unauthenticated", "found true beside keys");
    }
    return keys;
}

} // namespace wisteriahoist
