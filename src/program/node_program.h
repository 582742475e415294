/** @file node_program.h The node command: connects ports, adapters and duties of one process. */

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

/** One node: five duties, each on its own thread, connected by bounded rings. */
class NodeProgram
{
public:
    /** @throws boost::system::system_error if an address cannot be bound. */
    explicit NodeProgram(const NodeSettings &settings);

    void start();
    void stop();

    /** Stops accepting callers and hands over all ranges; open requests continue. */
    void beginDrain();

    /** @return Ranges still owned and requests still open. */
    DrainProgress drainProgress() const;

    /** @return The node's addresses, with the bound ports. */
    const NodeAddress &address() const { return address_; }

private:
    void registerTelemetry();
    void makeTraceDuty(const NodeSettings &settings);
    void registerRefusalMetrics(const std::string &side, const AuthCounters &counters);
    asio::awaitable<v1::HopReply> executeAtGate(v1::HopRequest request);

    BootClockAdapter clock_;
    NodeTelemetry telemetry_; ///< Declared before the threads so that it outlives them.
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
    std::unique_ptr<ControlDuty> control_; ///< Created last, since it needs the bound ports.
};

/**
 * Runs a node until SIGTERM or SIGINT, then drains it. A second signal or the time limit of the
 * drain ends the process immediately; the number of aborted requests and of ranges left is printed.
 * @return The exit code: 0 success, 1 failure, 2 invalid settings.
 */
int runNode(const std::string &settingsFile);

} // namespace wisteriahoist
