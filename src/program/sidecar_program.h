/** @file sidecar_program.h A node beside a backend server on the users' platform. */

#pragma once

#include "adapter/clock/asio_wake_timer_factory.h"
#include "adapter/clock/boot_clock_adapter.h"
#include "adapter/http/http_server.h"
#include "adapter/log/rate_limited_event.h"
#include "adapter/metrics/metric_registry.h"
#include "adapter/random/mt_random_source.h"
#include "adapter/signal/process_signals.h"
#include "decision/member/liveness_evidence.h"
#include "duty/backend_gate.h"
#include "duty/backend_health_checker.h"
#include "duty/member_publisher.h"
#include "duty/peer_link.h"
#include "duty/range_controller.h"
#include "duty/record_keepers.h"
#include "duty/request_router.h"
#include "duty/shared_watch.h"
#include "duty/stall_monitor.h"
#include "duty/store_relay.h"
#include "duty/store_sync.h"
#include "program/sidecar_settings.h"

namespace wisteriahoist {

/** A decoded heartbeat or deregistration of a backend server. */
struct BackendCall {
    BackendReport report;
    bool isDeregistration = false; ///< Only the backend field of the report is set.
};

/** What the platform's adapters provide. */
struct SidecarPorts {
    RecordStore &store;
    BackendControl &backend;
    const RequestProtocol &protocol;
    std::string configName; ///< Name of the configuration record.
    ConfigDecoder decodeConfig;
    std::function<Result<BackendCall>(const HttpRequest &)> decodeReport;
    std::function<HttpResponse(const std::optional<GrantReply> &)> makeReportAck;
    const StoreCallCounts &storeCalls;
};

/**
 * All duties of one node on one thread. A node has a fifth of a core, each wake-up of another
 * thread costs CPU time, and no duty blocks on anything but sockets and timers.
 */
class SidecarProgram
{
public:
    SidecarProgram(asio::io_context &context, const SidecarSettings &settings,
                   const SidecarPorts &ports);

    /** @throws boost::system::system_error if an address cannot be bound. */
    void start();

    /** Applies those settings that may change while the process runs. */
    void onSettings(const SidecarSettings &settings);

    /** @return Whether @p settings differ from the last ones read. */
    bool differs(const SidecarSettings &settings) const { return !(settings == lastRead_); }

    /**
     * Begins a graceful shutdown, in this order:
     * 1. Immediately: readiness reports "not ready" to the platform, each response announces the
     *    end of its connection, and keys are handed over.
     * 2. After other nodes have had time to react: they are notified to send no more requests here.
     * 3. After the platform has stopped sending callers: listening ends. Connections on which
     *    nothing has arrived are closed; every request of which a part has arrived is answered or
     *    rejected.
     * 4. After the last connection and the last request of another node have ended: the process
     *    ends.
     *
     * The shutdown timeout bounds all steps: no request is sent to the backend server that
     * may outlast it, and whatever is still open shortly before it is aborted.
     */
    void beginStop();

    /** Performs the shutdown steps that are due. */
    void continueStop(TimePoint now);

    /** @return Whether the process may end at @p now. */
    bool hasStopped(TimePoint now) const;

    const Clock &clock() const { return clock_; }

private:
    MemberRecord describe() const;
    void onBackendChange();
    void updateColdLimits();
    void onEvacuations();
    asio::awaitable<HttpResponse> onReport(HttpRequest request);
    /** Applies what an earlier process of this node has left. */
    asio::awaitable<void> restore(std::optional<MemberRecord> earlier);
    /** Nobody may know what an earlier process has acknowledged: the backend server itself shows
     *  whether it leaves. */
    asio::awaitable<void> ruleOutLeaving();
    asio::awaitable<void> collectEvidence(TimePoint &nextCheck);
    void onLeavingUncertain(std::string_view cause, size_t witnesses);
    void onPredecessorKnown();
    void applyEarlier(const MemberRecord &earlier, std::string_view source);
    /** @return Whether it outlasts this process that @p backend leaves. */
    asio::awaitable<bool> keepLeaving(BackendIncarnation backend);
    /** Nodes that keep that it leaves may end as well: gives them the record again until the store
     *  has it. */
    asio::awaitable<void> renewKeptLeaving();
    asio::awaitable<bool> awaitStoredLeaving(milliseconds longest);
    Result<BackendCall> readReport(const HttpRequest &request);
    asio::awaitable<std::optional<GrantReply>> answerHeartbeat(BackendReport report,
                                                               TimePoint receivedAt);
    /** Waits until the backend server has told whether it is @p backend, if that is in doubt. */
    asio::awaitable<void> awaitIdentity(BackendIncarnation backend, TimePoint end);
    /** @p named, which is not the current incarnation, may be the one that runs. @param sequence Of
     *  the heartbeat that says so; 0: none does. */
    void onDoubt(const std::string &named, uint64_t sequence, std::string_view source);
    void logIfIgnored(const BackendReport &report, TimePoint now);
    asio::awaitable<HttpResponse> onReadiness(HttpRequest request);
    asio::awaitable<HttpResponse> onMetrics(HttpRequest request);
    void registerMetrics();
    void registerStoreCalls();
    asio::awaitable<void> watchForStalls();

    asio::io_context &context_;
    BootClockAdapter clock_;
    SidecarSettings settings_;
    SidecarSettings lastRead_; ///< Last ones read; new addresses apply only after a restart.
    SidecarPorts ports_;
    NodeId node_;
    FleetView view_;
    BackendMonitor monitor_{MonitorLimits{}};
    LivenessEvidence evidence_;
    TimePoint startedAt_;
    bool storeAnswered_ = false; ///< The record of an earlier process has been read.
    /// What the store and other nodes have may lack what an earlier process has acknowledged.
    bool leavingUncertain_ = false;
    PeerLoads loads_;
    CrashLedger crashes_;
    std::shared_ptr<MemoryBudget> requestMemory_;
    std::shared_ptr<ResponseBudget> responseMemory_;
    PeerLink peers_;
    RelayedStore relay_;
    SharedWatch store_;
    AsioWakeTimerFactory timers_;
    MtRandomSource random_; ///< Used by ranges_.
    RangeController ranges_;
    BackendGate gate_;
    RequestRouter router_;
    StoreSync sync_;
    RecordKeepers keepers_;
    MemberPublisher publisher_;
    BackendHealthChecker healthChecker_;
    MetricRegistry metrics_;
    StallMonitor stalls_;
    std::shared_ptr<HttpServer> callerServer_;
    std::shared_ptr<HttpServer> reportServer_;
    std::shared_ptr<HttpServer> readinessServer_;
    std::shared_ptr<HttpServer> metricsServer_;
    /// Rate-limited, since a client that sends invalid reports may repeat them indefinitely.
    RateLimitedEvent reportLog_{LogEvent::ReportRefused, 1, 10};
    RateLimitedEvent ignoredReportLog_{LogEvent::ReportIgnored, 1, 10};
    RateLimitedEvent doubtLog_{LogEvent::BackendDoubted, 1, 10};
    BackendIncarnation loggedBackend_; ///< Current one when the last change was logged.
    uint64_t evacuationChanges_ = 0;   ///< Of the table that onEvacuations() has seen.
    bool wasEvacuated_ = false;        ///< The failure domain of this node, when last looked at.
    BackendIncarnation keptLeaving_;   ///< Other nodes keep that it leaves.
    bool stopping_ = false;
    bool closing_ = false; ///< Last phase of the shutdown: other nodes send no more requests here.
    TimePoint stopStartedAt_ = NeverTime;
};

/**
 * Waits until the addresses that the node listens on are free: a process before this one, which
 * may take as long as a shutdown to end, still has them.
 * @return A failure that names an address if it is still in use at the end.
 */
Result<void> awaitAddresses(const SidecarSettings &settings, const Clock &clock);

/**
 * Runs a node until SIGTERM or SIGINT.
 * @param reload Reads the settings again; nothing if they are invalid.
 * @return The exit code: 0 success, 1 failed.
 */
int runSidecar(asio::io_context &context, SidecarProgram &program, ProcessSignals &signals,
               std::function<std::optional<SidecarSettings>()> reload);

} // namespace wisteriahoist
