/** @file sidecar_settings.h Settings of a node that runs beside a backend server. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "decision/request/fleet_retry_budget.h"

#include <optional>
#include <string>

namespace wisteriahoist {

/** An address to listen on or to call. */
struct Endpoint {
    std::string ip;
    uint16_t port = 0;
    bool operator==(const Endpoint &) const = default;
};

/** All settings, already validated by the adapter that reads them. */
struct SidecarSettings {
    std::string name; ///< Unique in the fleet.
    std::string failureDomain;
    std::string service; ///< Service of the backend server beside this node.
    Endpoint backend;    ///< Reachable only from the same VM.
    Endpoint callers;    ///< HTTP/1.1 from callers and the backend server.
    Endpoint peers;      ///< HTTP/2 from other nodes.
    /**
     * Address at which other nodes reach `peers`, if different: behind a proxy or address
     * translation.
     */
    std::optional<Endpoint> announcedPeers;
    Endpoint readiness; ///< Polled by the platform.
    Endpoint reports;   ///< Receives heartbeats of the backend server.
    Endpoint metrics;
    Endpoint store;
    milliseconds heartbeat{1000}; ///< Approximate heartbeat interval of the backend server.
    milliseconds maxHoldTime{0};  ///< Longest hold time that it accepts; 0: no keys are granted.
    milliseconds shutdownTimeout{6000}; ///< From SIGTERM until the process is killed.
    FleetRetryLimits retries;
    /** Time until nothing is sent any more to the backend servers of an evacuated failure domain;
     * 0: operators of this installation evacuate none. */
    milliseconds evacuationTime{0};
    double coldOvershoot = 1; ///< Multiple of the declared rate that a cold backend server may get.
    double coldSlack = 0;     ///< Requests per second that it may get in addition.
    /** Memory that this process may use, in bytes. */
    uint64_t memoryBytes = 256'000'000;
    double cpuShare = 0; ///< Share of a core available to this process; 0: unknown.
    bool operator==(const SidecarSettings &) const = default;
};

} // namespace wisteriahoist
