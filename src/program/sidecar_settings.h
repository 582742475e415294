/** @file sidecar_settings.h What a node that runs beside a backend server has to know at its start.
 */

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

/** All settings; the adapter that reads them has checked each one. */
struct SidecarSettings {
    std::string name; ///< Unique in the fleet.
    std::string failureDomain;
    std::string service; ///< Of the backend server beside this node.
    Endpoint backend;    ///< Only processes on the same VM reach it.
    Endpoint callers;    ///< HTTP/1.1 from callers and from the backend server.
    Endpoint peers;      ///< HTTP/2 from other nodes.
    /** Where other nodes reach `peers` if not there: behind a proxy or translated addresses. */
    std::optional<Endpoint> announcedPeers;
    Endpoint readiness; ///< Asked by the platform.
    Endpoint reports;   ///< Heartbeats of the backend server.
    Endpoint metrics;
    Endpoint store;
    milliseconds heartbeat{1000}; ///< About so often the backend server reports.
    milliseconds maxHoldTime{0};  ///< The longest grant that it takes; 0: keys are not granted.
    milliseconds shutdownTimeout{6000}; ///< From the request to end until the process is killed.
    FleetRetryLimits retries;
    double cpuShare = 0; ///< Of a core, that this process may use; 0: not known.
    bool operator==(const SidecarSettings &) const = default;
};

} // namespace wisteriahoist
