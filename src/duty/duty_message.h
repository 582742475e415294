/** @file duty_message.h What the duties of one node say to each other. */

#pragma once

#include "decision/routing/routing_snapshot.h"
#include "duty/duty_link.h"
#include "wisteriahoist/v1/control.pb.h"

#include <string>

namespace wisteriahoist {

/** Where the backend server beside this node listens. */
struct BackendInfo {
    std::string ip;
    uint16_t port = 0; ///< 0: none has announced itself.
    std::string service;
    uint32_t slots = 0;
    GrantMode grantMode = GrantMode::Fenced;
    bool draining = false;
    bool operator==(const BackendInfo &) const = default;
};

/** What the control duty tells the gate: what it may admit, and until when. */
struct GateGrant {
    RoutingSnapshotPtr routing;
    TimePoint leaseUntil = NeverTime;
    BackendInfo backend;
};

/** The receiver has taken the message over. */
struct Accepted {
    std::vector<ServiceLoad> loads; ///< From the gate: what its ranges carry.
};

/** One operator's or backend server's call, from the admin duty to the control duty. */
struct AdminCall {
    enum class Kind { Announce, Operator };
    Kind kind = Kind::Operator;
    BackendInfo backend; ///< For Announce.
    std::string method;  ///< For Operator: the method's name in the schema.
    std::string body;    ///< For Operator: the protobuf request.
};

/** Its answer. */
struct AdminReply {
    std::string body; ///< Protobuf reply.
};

using GateLink = DutyLink<v1::HopRequest, v1::HopReply>;
using GrantLink = DutyLink<GateGrant, Accepted>;
using RoutingLink = DutyLink<RoutingSnapshotPtr, Accepted>;
using RenewLink = DutyLink<std::string, std::string>;
using AdminLink = DutyLink<AdminCall, AdminReply>;

} // namespace wisteriahoist
