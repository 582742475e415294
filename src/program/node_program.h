/** @file node_program.h The node command: wires ports, adapters and duties of one process. */

#pragma once

#include "adapter/clock/boot_clock_adapter.h"
#include "adapter/platform/platform_http_store.h"
#include "adapter/settings/node_settings.h"
#include "decision/request/drain_state.h"
#include "duty/admin_duty.h"
#include "duty/control_duty.h"
#include "duty/duty_thread.h"
#include "duty/gate_duty.h"
#include "duty/ingress_duty.h"
#include "duty/node_telemetry.h"
#include "duty/peer_duty.h"

#include <memory>

namespace wisteriahoist {

/** One node: five duties, a thread each, joined by bounded rings. */
class NodeProgram
{
public:
    /** @throws boost::system::system_error if an address cannot be bound. */
    explicit NodeProgram(const NodeSettings &settings);

    void start();
    void stop();

    /** Stops accepting callers and hands its ranges over; what is open goes on. */
    void beginDrain();

    /** @return What is still open here. */
    DrainProgress drainProgress() const;

    /** @return The node's addresses with the ports that were bound. */
    const NodeAddress &address() const { return address_; }

private:
    void watchSignals();
    void makeTraceDuty(const NodeSettings &settings);
    void watchRefusals(const std::string &side, const AuthCounters &counters);
    asio::awaitable<v1::HopReply> passGate(v1::HopRequest request);

    BootClockAdapter clock_;
    NodeTelemetry telemetry_; ///< Before the threads, so that it outlives them.
    DutyThread ingressThread_{"ingress"};
    DutyThread peerThread_{"peer"};
    DutyThread gateThread_{"gate"};
    DutyThread controlThread_{"control"};
    DutyThread adminThread_{"admin"};
    DutyThread traceThread_{"trace"}; ///< Runs only if spans are exported.

    GateLink ingressToGate_;
    GateLink peerToGate_;
    RenewLink peerToControl_;
    AdminLink adminToControl_;
    RoutingLink controlToIngress_;
    GrantLink controlToGate_;

    PlatformHttpStore platform_;
    MeteredPlatformStore meteredPlatform_;
    GateDuty gate_;
    IngressDuty ingress_;
    PeerDuty peer_;
    AdminDuty admin_;
    NodeAddress address_;
    std::unique_ptr<TraceDuty> trace_;     ///< Present if spans are exported.
    std::unique_ptr<ControlDuty> control_; ///< Made last: it needs the bound ports.
};

/**
 * Runs a node until SIGTERM or SIGINT, then drains it. A second signal, or the bound of the drain,
 * ends it at once; what that cuts is printed.
 * @return The exit code: 0 done, 1 failed, 2 bad settings.
 */
int runNode(const std::string &settingsFile);

} // namespace wisteriahoist
