/** @file fleet.h A small fleet of real processes on loopback: platform, nodes, backend servers. */

#pragma once

#include "adapter/auth/fleet_key.h"
#include "standin/child_process.h"

#include <memory>
#include <string>
#include <vector>

namespace wisteriahoist {

/** How a fleet is started. */
struct FleetSettings {
    std::string nodeBinary;
    std::string standinBinary;
    std::string directory; ///< Settings and logs go here.
    uint32_t nodes = 6;
    uint32_t failureDomains = 3;
    std::string service = "profiles";
    std::string extraSettings; ///< Appended to each node's settings file.
    std::vector<std::string> backendFlags;
};

/** One node and the backend server beside it. */
struct FleetNode {
    std::unique_ptr<ChildProcess> node;
    std::unique_ptr<ChildProcess> backend;
    uint64_t id = 0;
    uint16_t callerPort = 0;
    uint16_t adminPort = 0;
    uint16_t backendPort = 0;
};

/** Starts the processes in its constructor and ends them in its destructor. */
class Fleet
{
public:
    explicit Fleet(FleetSettings settings);

    /** Runs an operator's command to its end. @return Its exit code. */
    int runOperator(const std::vector<std::string> &arguments);

    /** Starts one more node with the given id, and its backend server. */
    FleetNode &addNode(uint64_t id);

    /** Starts the node of @p entry again, as a new incarnation at new ports. */
    void restartNode(FleetNode &entry);

    std::vector<std::unique_ptr<FleetNode>> &nodes() { return nodes_; }
    const FleetKeys &keys() const { return keys_; }
    uint16_t platformPort() const { return platformPort_; }
    ChildProcess &platform() { return *platform_; }

private:
    std::string writeSettings(uint64_t id) const;
    void startNode(FleetNode &entry);

    FleetSettings settings_;
    FleetKeys keys_; ///< Of every node; runOperator() signs with it.
    std::unique_ptr<ChildProcess> platform_;
    uint16_t platformPort_ = 0;
    std::vector<std::unique_ptr<FleetNode>> nodes_;
    uint32_t commands_ = 0;
};

} // namespace wisteriahoist
