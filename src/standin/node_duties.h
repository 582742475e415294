/** @file node_duties.h The duties on one node's request path, for tests and measures within a
 * process.
 */

#pragma once

#include "adapter/clock/boot_clock_adapter.h"
#include "duty/gate_duty.h"
#include "duty/ingress_duty.h"
#include "duty/peer_duty.h"

namespace wisteriahoist {

/** Ingress, gate and peer duty of one node on one loop, at free ports of the loopback address. */
struct NodeDuties {
    /** @param ringLength Of the rings to the gate; a request beyond it is refused. */
    NodeDuties(asio::io_context &context, NodeId node, size_t ringLength, RetryLimits retries = {})
        : id(node), gate(context, clock, id), toGate(context, context, ringLength),
          fromPeer(context, context, ringLength), renew(context, context, RenewRingLength),
          ingress(context, clock, id, "127.0.0.1", 0, toGate, retries),
          peer(context, "127.0.0.1", 0, fromPeer, renew)
    {
        const auto run = [this](v1::HopRequest hop) { return gate.onRequest(std::move(hop)); };
        toGate.serve(run);
        fromPeer.serve(run);
        ingress.start();
        peer.start();
    }

    /** @return The node as others know it. */
    MemberInfo describe(const std::string &service, uint32_t slots) const
    {
        MemberInfo member;
        member.id = id;
        member.address = {"127.0.0.1", ingress.port(), peer.port(), 0};
        member.service = service;
        member.slots = slots;
        return member;
    }

    static constexpr size_t RenewRingLength = 8;

    NodeId id;
    BootClockAdapter clock;
    GateDuty gate;
    GateLink toGate;
    GateLink fromPeer;
    RenewLink renew;
    IngressDuty ingress;
    PeerDuty peer;
};

} // namespace wisteriahoist
