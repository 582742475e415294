/** @file node_settings.h Reads and validates the settings of one node from a TOML file. */

#pragma once

#include "adapter/auth/fleet_key.h"
#include "adapter/settings/signals_settings.h"
#include "adapter/settings/toml_reader.h"
#include "decision/ownership/ownership_type.h"

#include <optional>

namespace wisteriahoist {

/** All settings of a node. */
struct NodeSettings {
    NodeId id;
    std::string cell;
    std::string failureDomain;
    NodeAddress address; ///< A port of 0 selects an ephemeral port.
    std::string platformIp;
    uint16_t platformPort = 0;
    milliseconds platformTimeout{1000};
    OwnershipTimes times;
    SignalsSettings signals;
    FleetKeys fleetKeys; ///< Empty only with fleet.allow_unauthenticated.
};

/**
 * Reads @p file.
 * @param findings Receives all problems; the settings are valid only if it stays empty.
 */
NodeSettings loadNodeSettings(const std::string &file, std::vector<Finding> &findings);

/** Reads settings from @p content; @p file is the file name in findings. */
NodeSettings parseNodeSettings(std::string_view content, const std::string &file,
                               std::vector<Finding> &findings);

/**
 * Parses @p content as TOML.
 * @return The root table; after a syntax error a finding is added and the table is empty.
 */
toml::table parseToml(std::string_view content, const std::string &file,
                      std::vector<Finding> &findings);

/**
 * Reads the fleet's keys from the tables fleet.key, each with id and secret or file.
 * @param file Name of the settings file in findings.
 */
FleetKeys readFleetKeys(TomlReader &fleet, const std::string &file, std::vector<Finding> &findings);

/** Reads a key file: a single line with the key's id and its secret in hexadecimal. */
std::optional<FleetKey> readKeyFile(const std::string &file, std::vector<Finding> &findings);

/** @return The content of a key file. */
std::string formatKey(const FleetKey &key);

/** @return The content of @p file; adds a finding if it cannot be read. */
std::string readTextFile(const std::string &file, std::vector<Finding> &findings);

} // namespace wisteriahoist
