/** @file node_settings.cpp Reads and validates the settings of one node. */

#include "adapter/settings/node_settings.h"

#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <sstream>

namespace wisteriahoist {

namespace {

constexpr uint64_t MaxPort = 65535;

std::string readIp(TomlReader &reader, std::string_view key)
{
    std::string ip = reader.requireText(key);
    boost::system::error_code error;
    boost::asio::ip::make_address(ip, error);
    if (error && !ip.empty()) {
        reader.report(key, "found " + ip + ", expected an IP address");
    }
    return ip;
}

uint16_t readPort(TomlReader &reader, std::string_view key)
{
    return static_cast<uint16_t>(reader.requireNumber(key, 0, MaxPort));
}

void readTimes(TomlReader &reader, OwnershipTimes &times)
{
    times.renewInterval = reader.duration("renew_interval_ms", times.renewInterval,
                                          milliseconds(20), milliseconds(2000));
    times.leaseTerm = reader.duration("lease_term_ms", times.leaseTerm, milliseconds(200),
                                      milliseconds(60000));
    times.suspectAfter = reader.duration("suspect_after_ms", times.suspectAfter, milliseconds(50),
                                         milliseconds(30000));
    times.driftBound = reader.duration("drift_bound_ms", times.driftBound, milliseconds(1),
                                       milliseconds(5000));
    times.settle = reader.duration("settle_ms", times.settle, milliseconds(0), milliseconds(60000));
    times.uncheckedOverrun = reader.duration("unchecked_overrun_ms", times.uncheckedOverrun,
                                             milliseconds(0), milliseconds(600000));
    times.platformBound = reader.duration("platform_bound_ms", times.platformBound, milliseconds(0),
                                          milliseconds(86400000));
    if (times.renewInterval * 3 > times.leaseTerm) {
        reader.report("lease_term_ms", "must be at least three renew intervals");
    }
}

} // namespace

std::string readTextFile(const std::string &file, std::vector<Finding> &findings)
{
    std::ifstream stream(file);
    if (!stream) {
        findings.push_back({file, 1, "cannot read file"});
        return {};
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

toml::table parseToml(std::string_view content, const std::string &file,
                      std::vector<Finding> &findings)
{
    try {
        return toml::parse(content);
    } catch (const toml::parse_error &error) {
        findings.push_back({file, error.source().begin.line, std::string(error.description())});
        return {};
    }
}

NodeSettings loadNodeSettings(const std::string &file, std::vector<Finding> &findings)
{
    const std::string content = readTextFile(file, findings);
    if (!findings.empty()) {
        return {};
    }
    return parseNodeSettings(content, file, findings);
}

NodeSettings parseNodeSettings(std::string_view content, const std::string &file,
                               std::vector<Finding> &findings)
{
    NodeSettings settings;
    const toml::table root = parseToml(content, file, findings);
    if (!findings.empty()) {
        return settings;
    }
    TomlReader reader(root, file, "", findings);
    if (const toml::table *table = reader.table("node", true)) {
        TomlReader node(*table, file, "node", findings);
        settings.id = NodeId(node.requireNumber("id", 1, INT64_MAX));
        settings.cell = node.text("cell", "cell-0");
        settings.failureDomain = node.requireText("failure_domain");
        settings.address.ip = readIp(node, "ip");
        settings.address.callerPort = readPort(node, "caller_port");
        settings.address.peerPort = readPort(node, "peer_port");
        settings.address.adminPort = readPort(node, "admin_port");
        node.reportUnknown();
    }
    if (const toml::table *table = reader.table("platform", true)) {
        TomlReader platform(*table, file, "platform", findings);
        settings.platformIp = readIp(platform, "ip");
        settings.platformPort = static_cast<uint16_t>(platform.requireNumber("port", 1, MaxPort));
        settings.platformTimeout = platform.duration("timeout_ms", settings.platformTimeout,
                                                     milliseconds(10), milliseconds(60000));
        platform.reportUnknown();
    }
    if (const toml::table *table = reader.table("ownership", false)) {
        TomlReader ownership(*table, file, "ownership", findings);
        readTimes(ownership, settings.times);
        ownership.reportUnknown();
    }
    if (const toml::table *table = reader.table("signals", false)) {
        TomlReader signals(*table, file, "signals", findings);
        settings.signals = readSignals(signals);
        signals.reportUnknown();
    }
    // Required, so that omitting the table does not disable authentication.
    if (const toml::table *table = reader.table("fleet", true)) {
        TomlReader fleet(*table, file, "fleet", findings);
        settings.fleetKeys = readFleetKeys(fleet, file, findings);
        fleet.reportUnknown();
    }
    reader.reportUnknown();
    return settings;
}

} // namespace wisteriahoist
