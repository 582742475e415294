/** @file sidecar_program.h One node beside a backend server on the users' platform. */

#pragma once

#include "adapter/clock/asio_wake_timer_factory.h"
#include "adapter/clock/boot_clock_adapter.h"
#include "adapter/http/http_server.h"
#include "adapter/log/rate_limited_event.h"
#include "adapter/metrics/metric_registry.h"
#include "adapter/random/mt_random_source.h"
#include "duty/backend_gate.h"
#include "duty/backend_health_checker.h"
#include "duty/member_publisher.h"
#include "duty/peer_link.h"
#include "duty/range_controller.h"
#include "duty/request_router.h"
#include "duty/shared_watch.h"
#include "duty/store_relay.h"
#include "duty/store_sync.h"
#include "program/sidecar_settings.h"

namespace wisteriahoist {

/** A report of a backend server, as its call was decoded. */
struct BackendCall {
    BackendReport report;
    bool deregisters = false; ///< Only the life of the report is set.
};

/** What the program needs from the platform's adapter. */
struct SidecarPorts {
    RecordStore &store;
    BackendControl &backend;
    const RequestProtocol &protocol;
    std::string configName; ///< Record that holds the configuration.
    ConfigDecoder decodeConfig;
    std::function<Result<BackendCall>(const HttpRequest &)> decodeReport;
    std::function<HttpResponse(const std::optional<GrantReply> &)> makeReportAck;
    const StoreCallCounts &storeCalls;
};

/**
 * All duties of one node on one thread. A node has a fifth of a core, each wake-up of another
 * thread is paid for, and no duty waits for anything but sockets and timers.
 */
class SidecarProgram
{
public:
    SidecarProgram(asio::io_context &context, const SidecarSettings &settings,
                   const SidecarPorts &ports);

    /** @throws boost::system::system_error if an address cannot be bound. */
    void start();

    /** Takes over settings that may change while the process runs. */
    void onSettings(const SidecarSettings &settings);

    /** @return Whether @p settings differ from those that were read last. */
    bool differs(const SidecarSettings &settings) const { return !(settings == known_); }

    /**
     * Begins a stop, which goes through these steps in this order:
     * 1. At once: the platform is told "not ready", each answer announces the end of its
     *    connection, keys are given away.
     * 2. When other nodes have had time to follow: they are told to send nothing here any more.
     * 3. When the platform sends no more callers: listening ends. Connections on which nothing has
     *    arrived are closed; every request that has begun to arrive is answered or refused.
     * 4. When the last connection and the last request of another node have ended: the process
     * does.
     *
     * The time to end bounds all of them: no request is handed over that may outlive it, and what
     * is still open shortly before it is cut.
     */
    void beginStop();

    /** Takes the steps of the stop that are due. */
    void continueStop(TimePoint now);

    /** @return Whether the process may end at @p now. */
    bool hasStopped(TimePoint now) const;

    const Clock &clock() const { return clock_; }

private:
    MemberRecord describe() const;
    void onBackendChange();
    asio::awaitable<HttpResponse> onReport(HttpRequest request);
    Result<BackendCall> readReport(const HttpRequest &request);
    asio::awaitable<std::optional<GrantReply>> answerHeartbeat(BackendReport report,
                                                               TimePoint receivedAt);
    asio::awaitable<HttpResponse> onReadiness(HttpRequest request);
    asio::awaitable<HttpResponse> onMetrics(HttpRequest request);
    void registerMetrics();
    void registerStoreCalls();

    asio::io_context &context_;
    BootClockAdapter clock_;
    SidecarSettings settings_;
    SidecarSettings known_; ///< As read last; addresses take effect at the next start only.
    SidecarPorts ports_;
    NodeId node_;
    FleetView view_;
    BackendMonitor monitor_{MonitorLimits{}};
    PeerLoads loads_;
    PeerLink peers_;
    RelayedStore relay_;
    SharedWatch store_;
    AsioWakeTimerFactory timers_;
    MtRandomSource random_; ///< Of the duty of the keys.
    RangeController ranges_;
    BackendGate gate_;
    RequestRouter router_;
    StoreSync sync_;
    MemberPublisher publisher_;
    BackendHealthChecker healthChecker_;
    MetricRegistry metrics_;
    std::shared_ptr<HttpServer> callers_;
    std::shared_ptr<HttpServer> reports_;
    std::shared_ptr<HttpServer> readiness_;
    std::shared_ptr<HttpServer> metricsPage_;
    /// A foreign writer may repeat itself for ever.
    RateLimitedEvent reportLines_{LogEvent::ReportRefused, 1, 10};
    bool stopping_ = false;
    bool closing_ = false; ///< The last part of the stop: other nodes send nothing here any more.
    TimePoint stopBegun_ = NeverTime;
};

/** Runs a node until it is told to end. @param reload Reads the settings again, if they changed. */
int runSidecar(asio::io_context &context, SidecarProgram &program,
               std::function<std::optional<SidecarSettings>()> reload);

} // namespace wisteriahoist
