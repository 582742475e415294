/** @file fleet_settings.cpp Reads the fleet's keys from settings and key files. */

#include "adapter/settings/node_settings.h"

#include <sstream>

namespace wisteriahoist {

namespace {

constexpr size_t MaxKeyId = 32;

/**
 * @return Whether @p id is valid: the fields of a signature are separated by blanks, so it must not
 * contain blanks or line breaks.
 */
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

const std::string SecretFormat = std::to_string(FleetSecretBytes * 2) + " hexadecimal digits";

FleetKey readKey(TomlReader &reader, std::vector<Finding> &findings)
{
    FleetKey key;
    const std::string file = reader.text("file", "");
    if (!file.empty()) {
        return readKeyFile(file, findings).value_or(key);
    }
    key.id = reader.requireText("id");
    if (!key.id.empty() && !isKeyId(key.id)) {
        reader.report("id",
                      "found " + key.id + ", expected 1 to 32 characters of a to z, 0 to 9 and -");
    }
    const std::string hex = reader.requireText("secret");
    if (const auto secret = decodeSecret(hex)) {
        key.secret = *secret;
    } else if (!hex.empty()) {
        reader.report("secret", "expected " + SecretFormat); // The message omits the secret.
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
        findings.push_back(
                {file, 1,
                 "expected a key id (1 to 32 characters of a to z, 0 to 9 and -), a space and "
                         + SecretFormat});
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
    const bool unauthenticated = fleet.boolean("allow_unauthenticated", false);
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
    if (keys.empty() && !unauthenticated) {
        fleet.report("key", "missing; create one with keygen, or set allow_unauthenticated = true");
    }
    if (!keys.empty() && unauthenticated) {
        fleet.report("allow_unauthenticated", "found true, but keys are configured");
    }
    return keys;
}

} // namespace wisteriahoist
