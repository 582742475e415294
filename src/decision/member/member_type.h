/** @file member_type.h What each node publishes of itself and of the backend server beside it. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "decision/range/held_keys.h"

#include <optional>

#include <string>
#include <vector>

namespace wisteriahoist {

/** What a node says of the backend server beside it. */
enum class BackendState {
    Absent,   ///< None has announced itself yet.
    Ready,    ///< Takes requests.
    Draining, ///< Leaving: takes no new requests.
    Down,     ///< It crashed, or has fallen silent.
};

/** One node and the backend server beside it, as the node itself has published it. */
struct MemberRecord {
    NodeId node;
    std::string name; ///< For people; from the node's settings.
    Incarnation life; ///< Of the node's process.
    std::string ip;   ///< Of the node's listener for other nodes.
    uint16_t peerPort = 0;
    std::string failureDomain;
    std::string service;        ///< Of the backend server.
    BackendIncarnation backend; ///< Empty while Absent.
    BackendState state = BackendState::Absent;
    uint32_t slots = 0;    ///< Requests that the backend server runs at once.
    bool stopping = false; ///< The node's process has been told to end.
    double cpuShare = 0;   ///< Of a core, that the node may use; 0: not known.
    bool operator==(const MemberRecord &) const = default;

    bool takesRequests() const { return state == BackendState::Ready && !stopping; }
};

/** A heartbeat of a backend server, as its node received it. */
struct BackendReport {
    BackendIncarnation backend;
    std::string service;
    BackendState state = BackendState::Ready;
    uint32_t slots = 0;
    milliseconds warmUpLeft{0};            ///< How much longer it stays slow after its start.
    uint64_t sequence = 0;                 ///< Rises with each report of one life.
    std::optional<HeldKeysReport> holding; ///< Nothing if its service is not divided by key.
};

} // namespace wisteriahoist
