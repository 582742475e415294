/** @file member_type.h The record that each node publishes, and reports of backend servers. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "decision/range/held_keys.h"
#include "decision/request/crash_report.h"

#include <optional>

#include <string>
#include <vector>

namespace wisteriahoist {

/** State of a backend server as published by its node. */
enum class BackendState {
    Absent,   ///< None has registered yet.
    Ready,    ///< Accepts requests.
    Draining, ///< Leaving: accepts no new requests.
    Down,     ///< Crashed or not responding.
};

/** One node and its local backend server, as published by the node itself. */
struct MemberRecord {
    NodeId node;
    std::string name; ///< Display name from the node's settings.
    Incarnation life; ///< Incarnation of the node's process.
    std::string ip;   ///< Address of the node's listener for other nodes.
    uint16_t peerPort = 0;
    std::string failureDomain;
    std::string service;        ///< Service of the backend server.
    BackendIncarnation backend; ///< Empty while Absent.
    BackendState state = BackendState::Absent;
    uint32_t slots = 0;                 ///< Requests that the backend server runs concurrently.
    bool stopping = false;              ///< The node's process is shutting down.
    double cpuShare = 0;                ///< CPU cores that the node may use; 0: not known.
    std::optional<double> requestLimit; ///< Requests per second that the backend server takes.
    std::vector<CrashReport> crashes;   ///< Requests under which backend servers have ended.
    bool operator==(const MemberRecord &) const = default;

    bool acceptsRequests() const { return state == BackendState::Ready && !stopping; }
};

/** A heartbeat of a backend server, as received by its node. */
struct BackendReport {
    BackendIncarnation backend;
    std::string service;
    std::string address; ///< As `ip:port`.
    BackendState state = BackendState::Ready;
    uint32_t slots = 0;
    milliseconds warmUpLeft{0};            ///< Remaining time of slow responses after its start.
    uint64_t sequence = 0;                 ///< Increases with each report of one incarnation.
    std::optional<HeldKeysReport> holding; ///< Empty if its service is not sharded.
};

} // namespace wisteriahoist
