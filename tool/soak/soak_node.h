/** @file soak_node.h One VM of the soak: a real node process, its backend server, links with
 * faults. */

#pragma once

#include "platform/standin/backend_server_standin.h"
#include "platform/standin/object_store_standin.h"
#include "soak/fault_proxy.h"
#include "standin/child_process.h"

#include <memory>
#include <string>

namespace wisteriahoist::soak {

/** Part of the target of requests under which backend servers crash. */
inline constexpr std::string_view CrashingTarget = "crash-";

/** Where one soak runs; several may run side by side. */
struct SoakSettings {
    std::string nodeBinary;
    std::string directory; ///< For settings and logs.
    uint64_t seed = 1;
    size_t nodes = 8;
    bool grantsByHeartbeat = false; ///< And backend servers start again under their ids.
    bool crashingRequests = false;  ///< Some callers repeat requests that crash backend servers.
    bool namedLimits = false;       ///< Some backend servers name a limit of requests per second.
    bool announcedLeaving = false;  ///< Backend servers leave that say so first in their answers.
    bool frequentChanges = false;   ///< The configuration changes every second or so.
    bool endlessAnswers = false;    ///< Some backend servers send bytes until the caller closes.
    bool secondAnswers = false;     ///< Some backend servers reject requests and answer twice.
    bool largeBodies = false;       ///< Some callers send bodies of many megabytes.
    bool lateReports = false;       ///< Backend servers leave while the store is down.
    bool allLost = false;           ///< With lateReports: the processes of all nodes end then.
    uint64_t memoryBound = 0;       ///< Bytes that a node may use; 0: not checked.
    bool powerLoss = false;         ///< At the end all nodes and backend servers are lost at once.
    size_t callersPerNode = 3;
    size_t strongNodes = 0; ///< The first ones: feeders, and targets of half of the faults.
    uint8_t slot = 20;      ///< Second number of all its loopback addresses; unique on the machine.
};

/** One VM. The process is real; all that surrounds it is in the soak's own process. */
class SoakNode
{
public:
    SoakNode(asio::io_context &context, const SoakSettings &settings, size_t index,
             const std::string &service, bool sharded, platform::ObjectStoreStandin &store,
             platform::BackendObserver &observer);

    void start();
    void signal(int signal) { process_->signal(signal); }
    /** Kills the process and waits for its end. */
    void kill();

    bool isRunning() { return process_ != nullptr && !process_->hasEnded(); }
    int exitCode() { return process_->wait(); }
    /** @return Bytes of memory that the process uses; 0 if it has ended. */
    uint64_t memory() const;

    const std::string &name() const { return settings_.name; }
    const std::string &service() const { return settings_.service; }
    Endpoint callers() const { return settings_.callers; }
    Endpoint readiness() const { return settings_.readiness; }
    platform::BackendServerStandin &backend() { return backend_; }
    FaultProxy &storeLink() { return storeLink_; }
    FaultProxy &peerLink() { return peerLink_; }

private:
    std::string directory_;
    std::string binary_;
    SidecarSettings settings_;
    FaultProxy storeLink_;
    FaultProxy peerLink_;
    platform::BackendServerStandin backend_;
    std::unique_ptr<ChildProcess> process_;
};

} // namespace wisteriahoist::soak
