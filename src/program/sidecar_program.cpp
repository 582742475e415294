/** @file sidecar_program.cpp A node beside a backend server on the users' platform. */

#include "program/sidecar_program.h"

#include "adapter/clock/sleep_func.h"
#include "adapter/log/event_log.h"
#include "adapter/socket/address_func.h"
#include "adapter/task/background_task.h"
#include "core/hash_func.h"
#include "decision/member/report_check.h"

#include <boost/asio/co_spawn.hpp>
#include <thread>

namespace wisteriahoist {

namespace {

/** Share of the time until nothing may be sent any more, counted from when this node hears of an
 *  evacuation; the news itself takes up to half of the time. */
constexpr double EvacuationLeavingShare = 0.3;
/** The platform polls readiness once a second and stops sending callers after two failed polls. */
constexpr milliseconds CallerRemovalDelay{2500};
/**
 * Time from the shutdown request until other nodes are notified to send no more requests and
 * keyless requests are rejected here. With no delay the backend server stood idle for the whole
 * shutdown: 3 to 6 s for each of four nodes that were restarted one second apart.
 */
constexpr milliseconds GateCloseDelay{1800};
/**
 * Reserve before the shutdown timeout when open requests are aborted, since ending the
 * process takes time.
 */
constexpr milliseconds ShutdownMargin{300};
constexpr milliseconds StopPollInterval{20};
/** A backend server waits a second for an acknowledgement: until when it is given, and until when
 *  other nodes are asked to keep the record that the store doesn't have. */
constexpr milliseconds AcknowledgementTime{850};
constexpr milliseconds StoreWriteWait{250};
constexpr milliseconds RetryAfterNotKept{1000};
/** A process that starts waits so long to learn of other nodes, after the store has answered. */
constexpr milliseconds MembersWait{1000};
/** A heartbeat waits so long for what an earlier process has left. */
constexpr milliseconds PredecessorWait{500};
constexpr milliseconds StartPollInterval{10};
/** A process that starts waits so long for the store before it asks the backend server. */
constexpr milliseconds StartStoreWait{300};
constexpr milliseconds StartHealthTimeout{300};
constexpr milliseconds StartHealthInterval{500};
/** Reading the small file is cheap, and settings that may change at run time are not urgent. */
constexpr milliseconds SettingsPollInterval{5000};
constexpr milliseconds AddressPollInterval{50};

/** Share of the process's memory for the requests that it holds; the rest is for responses, what
 *  the process itself needs, and one copy of a response. */
constexpr double RequestMemoryShare = 0.6;
constexpr double ResponseMemoryShare = 0.15;

size_t shareOf(uint64_t bytes, double share)
{
    return static_cast<size_t>(static_cast<double>(bytes) * share);
}

GrantTimes makeGrantTimes(const SidecarSettings &settings)
{
    GrantTimes times;
    if (settings.maxHoldTime.count() > 0) {
        times.hold = std::min(times.hold, settings.maxHoldTime);
    }
    return times;
}

NodeId makeNodeId(const SidecarSettings &settings)
{
    // The address is part of the id, since a VM that replaces another one may get its name but is a
    // different node.
    return NodeId(hashKey(settings.name + "@" + settings.peers.ip, 0).value() | 1U);
}

MemberRecord makeSelf(const SidecarSettings &settings, NodeId node)
{
    MemberRecord self;
    self.node = node;
    self.name = settings.name;
    const Endpoint &announced = settings.announcedPeers.value_or(settings.peers);
    self.ip = announced.ip;
    self.peerPort = announced.port;
    self.failureDomain = settings.failureDomain;
    self.service = settings.service;
    self.cpuShare = settings.cpuShare;
    return self;
}

RouterSettings makeRouterSettings(const SidecarSettings &settings, NodeId node)
{
    return {node, settings.failureDomain, settings.service, settings.retries};
}

HttpLimits makeCallerLimits(const CallerLimits &limits)
{
    HttpLimits http;
    http.headerBytes = limits.headerBytes;
    http.bodyBytes = limits.bodyBytes;
    http.idle = limits.idleTimeout;
    return http;
}

HttpResponse makeText(http::status status, const std::string &text)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = text;
    response.prepare_payload();
    return response;
}

} // namespace

SidecarProgram::SidecarProgram(asio::io_context &context, const SidecarSettings &settings,
                               const SidecarPorts &ports)
    : context_(context), settings_(settings), lastRead_(settings), ports_(ports),
      node_(makeNodeId(settings)), requestMemory_(std::make_shared<MemoryBudget>(
                                           shareOf(settings.memoryBytes, RequestMemoryShare))),
      responseMemory_(
              std::make_shared<ResponseBudget>(shareOf(settings.memoryBytes, ResponseMemoryShare))),
      peers_(context, settings.peers.ip, settings.peers.port),
      relay_(ports.store, clock_, peers_, view_, node_),
      store_(context, relay_, clock_, peers_, view_, makeSelf(settings, node_)), timers_(context),
      ranges_({context, clock_, timers_, random_, store_, ports.backend, peers_}, view_, monitor_,
              loads_, makeSelf(settings, node_), makeGrantTimes(settings)),
      gate_(context, clock_, ports.protocol, settings.backend.ip, settings.backend.port, monitor_,
            ranges_, crashes_, responseMemory_),
      router_(context, clock_, ports.protocol, view_, loads_, gate_, peers_, crashes_,
              makeRouterSettings(settings, node_)),
      sync_(context, store_, clock_, view_, ports.configName, ports.decodeConfig),
      keepers_(context, peers_, view_, node_),
      publisher_(
              context, store_, [this]() { return describe(); },
              [this](const MemberRecord &member, StoreRevision revision) {
                  view_.onMember(member, revision);
              }),
      healthChecker_(context, clock_, ports.backend, monitor_, settings.heartbeat,
                     [this]() { onBackendChange(); })
{
    peers_.identifyAs(node_);
    peers_.limitMemory({requestMemory_, responseMemory_});
    view_.onChange([this]() {
        callerServer_->setLimits(makeCallerLimits(
                view_.routes().config() ? view_.routes().config()->limits : CallerLimits{}));
        updateColdLimits();
        onEvacuations();
        ranges_.wake();
    });
    if (settings.evacuationTime.count() > 0) {
        sync_.watchEvacuations();
    }
    gate_.setEvacuationPhase([this](TimePoint now) {
        const auto leavingTime = std::chrono::duration_cast<milliseconds>(settings_.evacuationTime
                                                                          * EvacuationLeavingShare);
        return view_.evacuations().phaseOf(settings_.failureDomain, leavingTime, now);
    });
    view_.onMemberRecord([this](const MemberRecord &member) {
        if (crashes_.onReports(member.crashes, clock_.now())) {
            publisher_.wake();
        }
    });
    gate_.onLimitChange([this]() { publisher_.wake(); });
    gate_.onCrashReport([this]() { publisher_.wake(); });
    monitor_.awaitPredecessor();
    publisher_.onPreviousRecord(
            [this](std::optional<MemberRecord> earlier) { return restore(std::move(earlier)); });
    gate_.onMonitorChange([this]() { onBackendChange(); });
    gate_.onConnectionFailure([this]() { healthChecker_.requestCheck(); });
    gate_.onOtherNamed([this](const std::string &named) {
        if (named.empty()) {
            healthChecker_.requestCheck();
        } else {
            onDoubt(named, 0, "response");
        }
    });
    sync_.exchangeConfig(peers_);
    router_.setRevisionExchange(sync_);
    ports_.store.onConflict(
            [this](RecordKind kind, const StoredRecord &record) { sync_.onRecord(kind, record); });
    ranges_.onMonitorChange([this]() { onBackendChange(); });
    ranges_.setPeerProbe([this](const MemberRecord &member) { return router_.probe(member); });
    updateColdLimits();
    registerMetrics();
}

void SidecarProgram::start()
{
    const auto listen = [this](const Endpoint &address, auto handler) {
        auto server = std::make_shared<HttpServer>(context_, address.ip, address.port, HttpLimits{},
                                                   std::move(handler));
        server->limitMemory(requestMemory_, responseMemory_);
        server->start();
        return server;
    };
    callerServer_ = listen(settings_.callers,
                           CancellableHttpHandler([this](HttpRequest request,
                                                         std::shared_ptr<DisconnectSignal> caller) {
                               return router_.onRequest(std::move(request), std::move(caller));
                           }));
    reportServer_ = listen(settings_.reports, HttpHandler([this](HttpRequest request) {
                               return onReport(std::move(request));
                           }));
    readinessServer_ = listen(settings_.readiness, HttpHandler([this](HttpRequest request) {
                                  return onReadiness(std::move(request));
                              }));
    metricsServer_ = listen(settings_.metrics, HttpHandler([this](HttpRequest request) {
                                return onMetrics(std::move(request));
                            }));
    peers_.start();
    sync_.start();
    publisher_.start();
    ranges_.start();
    healthChecker_.start();
    const auto turns = [this]() { return watchForStalls(); };
    startLoop(context_.get_executor(), "stall monitor", turns);
    const auto ask = [this]() { return askBackendAtStart(); };
    startLoop(context_.get_executor(), "first health check", ask);
}

MemberRecord SidecarProgram::describe() const
{
    MemberRecord self = makeSelf(settings_, node_);
    self.life = ranges_.session();
    self.backend = monitor_.backend();
    self.state = monitor_.state();
    self.slots = monitor_.slots();
    self.stopping = closing_;
    self.requestLimit = gate_.publishedLimit();
    self.crashes = crashes_.published(clock_.now());
    if (!monitor_.service().empty()) {
        self.service = monitor_.service();
    }
    return self;
}

void SidecarProgram::onBackendChange()
{
    logEvent(LogEvent::BackendChanged, {{"backend", monitor_.backend().text()},
                                        {"previous", loggedBackend_.text()},
                                        {"state", static_cast<int64_t>(monitor_.state())},
                                        {"refusing", monitor_.refusesConnections()},
                                        {"evidence", backendEvidenceName(monitor_.evidence())},
                                        {"slots", monitor_.slots()}});
    loggedBackend_ = monitor_.backend();
    if (monitor_.isInDoubt(clock_.now())) {
        healthChecker_.wake();
    }
    updateColdLimits();
    gate_.onBackendChange();
    publisher_.wake();
    ranges_.wake();
}

void SidecarProgram::updateColdLimits()
{
    const std::string &name = monitor_.service().empty() ? settings_.service : monitor_.service();
    // Nodes with a newer configuration may send requests for a service that this one doesn't know.
    const ServiceConfig *service = view_.routes().findService(name);
    std::optional<double> perSecond;
    if (service != nullptr) {
        perSecond = service->coldRequestRate;
    }
    gate_.setColdLimits({perSecond, settings_.coldOvershoot, settings_.coldSlack});
}

void SidecarProgram::onEvacuations()
{
    const EvacuationTable &evacuations = view_.evacuations();
    if (evacuations.changes() == evacuationChanges_) {
        return;
    }
    evacuationChanges_ = evacuations.changes();
    const bool isEvacuated = evacuations.isEvacuated(settings_.failureDomain);
    logEvent(LogEvent::EvacuationsChanged, {{"domains", evacuations.text()},
                                            {"own", isEvacuated},
                                            {"revision", evacuations.revision()}});
    if (isEvacuated) {
        gate_.onEvacuated();
    } else if (wasEvacuated_) {
        monitor_.onMayBeCold(clock_.now());
    }
    wasEvacuated_ = isEvacuated;
}

asio::awaitable<HttpResponse> SidecarProgram::onReport(HttpRequest request)
{
    const TimePoint receivedAt = clock_.now();
    const Result<BackendCall> call = readReport(request);
    if (!call) {
        const Failure &failure = call.assume_error();
        const bool missing = failure.code == FailureCode::NotFound;
        if (reportLog_.tryTake(receivedAt)) {
            reportLog_.log({{"cause", failure.context}});
        }
        co_return makeProblemResponse(
                {missing ? http::status::not_found : http::status::bad_request,
                 failureName(failure.code), failure.context, milliseconds(0)});
    }
    const BackendReport &report = call.assume_value().report;
    const bool leaves = call.assume_value().isDeregistration;
    std::optional<GrantReply> order;
    if (!leaves) {
        order = co_await answerHeartbeat(report, receivedAt);
    } else {
        if (monitor_.onDeregister(report.backend)) {
            onBackendChange();
        }
        co_await awaitIdentity(report.backend, receivedAt + PredecessorWait);
    }
    if (leaves || report.state == BackendState::Draining) {
        const bool kept = co_await keepLeaving(report.backend);
        if (!kept) {
            logEvent(LogEvent::LeavingNotAcknowledged, {{"backend", report.backend.text()}});
            co_return makeProblemResponse({http::status::service_unavailable, "not-recorded",
                                           "That the backend server leaves is not recorded: the "
                                           "store and other nodes can't be reached.",
                                           RetryAfterNotKept});
        }
    }
    co_return ports_.makeReportAck(order);
}

asio::awaitable<bool> SidecarProgram::keepLeaving(BackendIncarnation backend)
{
    if (monitor_.isClaimed(backend, clock_.now())) {
        co_return false; // It may be the current one, which is not known yet.
    }
    const bool isCurrent
            = backend.id == monitor_.backend().id && monitor_.state() == BackendState::Draining;
    if (!isCurrent) {
        co_return true; // It has ended: another one is current.
    }
    const TimePoint end = clock_.now() + AcknowledgementTime;
    const auto isStored = [this](const MemberRecord &stored) {
        return stored.backend == monitor_.backend() && stored.state == BackendState::Draining;
    };
    if (keptLeaving_ == monitor_.backend()
        || co_await publisher_.awaitStored(isStored, StoreWriteWait)) {
        co_return true;
    }
    MemberRecord record = describe();
    const bool kept = co_await keepers_.deposit(record);
    if (kept) {
        keptLeaving_ = record.backend;
        logEvent(LogEvent::LeavingKept, {{"backend", record.backend.text()}});
        co_return true;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(end - clock_.now());
    co_return co_await publisher_.awaitStored(isStored, std::max(left, milliseconds(0)));
}

/**
 * An acknowledgement of an earlier process still binds. Its record may not have reached the store;
 * other nodes have it then.
 */
asio::awaitable<void> SidecarProgram::restore(std::optional<MemberRecord> earlier)
{
    if (earlier) {
        applyEarlier(*earlier, "store");
        const TimePoint end = clock_.now() + MembersWait;
        while (view_.members().empty() && clock_.now() < end) {
            co_await sleepFor(StartPollInterval);
        }
        const std::vector<MemberRecord> kept = co_await keepers_.collect();
        for (const MemberRecord &record : kept) {
            applyEarlier(record, "node");
        }
    }
    monitor_.onPredecessorKnown();
    onBackendChange();
}

asio::awaitable<void> SidecarProgram::askBackendAtStart()
{
    co_await sleepFor(StartStoreWait);
    while (!monitor_.isPredecessorKnown()) {
        if (monitor_.hasReported()) {
            const BackendStatus status = co_await ports_.backend.pollOnce(StartHealthTimeout);
            const bool isCurrent = status.backend == monitor_.backend().id;
            if (status.answered && status.healthy && isCurrent && !monitor_.isPredecessorKnown()) {
                // What the store and other nodes have is still applied when they answer.
                monitor_.onPredecessorKnown();
                onBackendChange();
                co_return;
            }
        }
        co_await sleepFor(StartHealthInterval);
    }
}

void SidecarProgram::applyEarlier(const MemberRecord &earlier, std::string_view source)
{
    crashes_.onOwnReports(earlier.crashes, clock_.now());
    if (earlier.requestLimit) {
        gate_.adoptLimit(earlier.backend, *earlier.requestLimit);
    }
    if (earlier.state == BackendState::Draining && monitor_.onDeregister(earlier.backend)) {
        logEvent(LogEvent::LeavingRestored,
                 {{"backend", earlier.backend.text()}, {"source", std::string(source)}});
        onBackendChange();
    }
}

Result<BackendCall> SidecarProgram::readReport(const HttpRequest &request)
{
    Result<BackendCall> call = ports_.decodeReport(request);
    if (!call || call.assume_value().isDeregistration) {
        return call;
    }
    const LocalBackend local{settings_.backend.ip + ":" + std::to_string(settings_.backend.port),
                             lastRead_.service};
    const std::optional<Failure> refusal
            = checkReport(call.assume_value().report, monitor_.backend(), view_.routes(), local);
    if (refusal) {
        return *refusal;
    }
    return call;
}

asio::awaitable<std::optional<GrantReply>> SidecarProgram::answerHeartbeat(BackendReport report,
                                                                           TimePoint receivedAt)
{
    logIfIgnored(report, receivedAt);
    const bool isOther = monitor_.standingOf(report) == ReportStanding::OtherIncarnation;
    const bool changed = monitor_.onReport(report, receivedAt);
    if (changed) {
        onBackendChange();
    }
    if (isOther) {
        onDoubt(report.backend.text(), report.sequence, "heartbeat");
    }
    const TimePoint end = receivedAt + PredecessorWait;
    while (!monitor_.isPredecessorKnown() && clock_.now() < end) {
        co_await sleepFor(StartPollInterval);
    }
    co_await awaitIdentity(report.backend, end);
    if (!report.holding || !monitor_.isNewest(report) || !ranges_.grantsByHeartbeat()
        || !monitor_.isPredecessorKnown()) {
        co_return std::nullopt;
    }
    const bool atOnce = changed || isOther || monitor_.state() != BackendState::Ready;
    co_return co_await ranges_.handleHeartbeat(std::move(*report.holding), atOnce, receivedAt);
}

asio::awaitable<void> SidecarProgram::awaitIdentity(BackendIncarnation backend, TimePoint end)
{
    while (monitor_.isClaimed(backend, clock_.now()) && clock_.now() < end) {
        co_await sleepFor(StartPollInterval);
    }
}

void SidecarProgram::onDoubt(const std::string &named, uint64_t sequence, std::string_view source)
{
    if (doubtLog_.tryTake(clock_.now())) {
        doubtLog_.log({{"named", named},
                       {"current", monitor_.backend().text()},
                       {"source", std::string(source)},
                       {"sequence", sequence}});
    }
    healthChecker_.wake();
}

void SidecarProgram::logIfIgnored(const BackendReport &report, TimePoint now)
{
    const ReportStanding standing = monitor_.standingOf(report);
    const bool leaves = report.state == BackendState::Draining;
    const bool ignored = standing == ReportStanding::Ended
                         || (standing == ReportStanding::Outdated && !leaves);
    if (ignored && ignoredReportLog_.tryTake(now)) {
        ignoredReportLog_.log({{"reported", report.backend.text()},
                               {"sequence", report.sequence},
                               {"current", monitor_.backend().text()},
                               {"standing", reportStandingName(standing)}});
    }
}

asio::awaitable<HttpResponse> SidecarProgram::onReadiness(HttpRequest)
{
    const bool ready = !stopping_ && view_.routes().version() > 0;
    co_return makeText(ready ? http::status::ok : http::status::service_unavailable,
                       ready ? "ready\n" : "not ready\n");
}

asio::awaitable<HttpResponse> SidecarProgram::onMetrics(HttpRequest)
{
    co_return makeText(http::status::ok, metrics_.render(clock_.now()));
}

void SidecarProgram::registerMetrics()
{
    const auto counter = [this](const std::string &name, const std::string &help, auto read) {
        metrics_.addComputed({name, help, MetricKind::Counter}, {},
                             [read](TimePoint) { return static_cast<double>(read()); });
    };
    const auto gauge = [this](const std::string &name, const std::string &help, auto read) {
        metrics_.addComputed({name, help, MetricKind::Gauge}, {},
                             [read](TimePoint) { return static_cast<double>(read()); });
    };
    const RouterCounters &counters = router_.counters();
    counter("wisteriahoist_requests_total", "Requests from callers.",
            [&counters]() { return counters.requests; });
    counter("wisteriahoist_served_total", "Requests answered by a backend server.",
            [&counters]() { return counters.served; });
    counter("wisteriahoist_not_run_total", "Requests rejected without being executed.",
            [&counters]() { return counters.notRun; });
    counter("wisteriahoist_unknown_total", "Requests with an unknown outcome.",
            [&counters]() { return counters.unknown; });
    counter("wisteriahoist_forwarded_total", "Attempts forwarded to other nodes.",
            [&counters]() { return counters.forwarded; });
    counter("wisteriahoist_repeats_total", "Attempts charged to the retry budget.",
            [&counters]() { return counters.retries; });
    counter("wisteriahoist_callers_gone_total", "Callers that disconnected before the response.",
            [&counters]() { return counters.callersDisconnected; });
    counter("wisteriahoist_throttled_total",
            "Requests rejected on arrival because their service had no free capacity on any node.",
            [&counters]() { return counters.throttled; });
    counter("wisteriahoist_rate_limited_total",
            "Requests rejected because of the limit that the backend server names.",
            [this]() { return gate_.rateLimited(); });
    counter("wisteriahoist_malformed_limits_total",
            "Responses of the backend server that name a limit which cannot be understood.",
            [this]() { return gate_.malformedLimits(); });
    counter("wisteriahoist_cold_refused_total",
            "Requests rejected because the backend server has just started and takes no more.",
            [this]() { return gate_.coldRefused(); });
    gauge("wisteriahoist_kept_records", "Member records that this node keeps for other nodes.",
          [this]() { return keepers_.keptRecords(); });
    gauge("wisteriahoist_request_bytes", "Memory held for requests, in bytes.",
          [this]() { return requestMemory_->held(); });
    gauge("wisteriahoist_response_bytes", "Memory held for responses, in bytes.",
          [this]() { return responseMemory_->held(); });
    counter("wisteriahoist_memory_rejected_total",
            "Requests of callers rejected because there was no memory for them.",
            [this]() { return callerServer_->rejectedForMemory(); });
    counter("wisteriahoist_sent_again_total",
            "Attempts sent to the backend server again, on a new connection.",
            [this]() { return gate_.sentAgain(); });
    gauge("wisteriahoist_evacuated_domains", "Failure domains that are evacuated.",
          [this]() { return view_.evacuations().domains().size(); });
    gauge("wisteriahoist_evacuation_revision",
          "Latest revision of the store at which the evacuations are known; 0: not known.",
          [this]() { return view_.evacuations().revision(); });
    gauge("wisteriahoist_evacuated_seconds",
          "Time since this node heard that its failure domain is evacuated; -1: it is not.",
          [this]() {
              const auto &domains = view_.evacuations().domains();
              const auto own = domains.find(settings_.failureDomain);
              return own == domains.end()
                             ? -1.0
                             : std::chrono::duration<double>(clock_.now() - own->second.since)
                                       .count();
          });
    gauge("wisteriahoist_backend_request_limit",
          "Requests per second that the backend server takes, as it names them; -1: no limit.",
          [this]() { return gate_.publishedLimit().value_or(-1); });
    counter("wisteriahoist_crashing_refused_total",
            "Requests rejected because backend servers have crashed under the same request.",
            [&counters]() { return counters.crashing; });
    gauge("wisteriahoist_crashing_requests",
          "Different requests that are rejected because backend servers have crashed under them.",
          [this]() { return crashes_.refusedRequests(clock_.now()); });
    registerStoreCalls();
    counter("wisteriahoist_store_calls_relayed_total",
            "Calls to the platform's store carried out for other nodes.",
            [this]() { return relay_.relayedCalls(); });
    counter("wisteriahoist_log_lines_dropped_total", "Request log lines dropped by the rate limit.",
            [this]() { return router_.droppedLines(); });
    router_.observeWith(metrics_.addHistogram("wisteriahoist_request_seconds",
                                              "Time from a caller's request to the response."));
    gate_.observeWith(metrics_.addHistogram(
            "wisteriahoist_backend_seconds",
            "Time from sending a request to the backend server to its response."));
    gauge("wisteriahoist_config_version", "Version of the applied configuration.",
          [this]() { return view_.routes().version(); });
    metrics_.addComputed({"wisteriahoist_config_unconfirmed_seconds",
                          "Time since the store had no newer configuration than the applied one.",
                          MetricKind::Gauge},
                         {}, [this](TimePoint now) {
                             const milliseconds age = sync_.configStatus(now).unconfirmed;
                             return std::chrono::duration<double>(age).count();
                         });
    counter("wisteriahoist_stalled_seconds_total", "Time for which the event loop made no turn.",
            [this]() { return std::chrono::duration<double>(stalls_.total()).count(); });
    gauge("wisteriahoist_members", "Known nodes.", [this]() { return view_.members().size(); });
    gauge("wisteriahoist_running", "Requests running on the backend server.",
          [this]() { return gate_.admission().running(); });
    gauge("wisteriahoist_waiting", "Requests waiting for a slot.",
          [this]() { return gate_.admission().waiting(); });
    counter("wisteriahoist_backend_refusals_total", "Connections that the backend server refused.",
            [this]() { return monitor_.refusedConnections(); });
    gauge("wisteriahoist_demand_slots", "Slots demanded by keyed requests.",
          [this]() { return ranges_.demand(clock_.now()); });
}

asio::awaitable<void> SidecarProgram::watchForStalls()
{
    while (true) {
        if (const std::optional<milliseconds> late = stalls_.onTurn(clock_.now())) {
            logEvent(LogEvent::LoopStalled, {{"late_ms", late->count()}});
        }
        co_await sleepFor(stalls_.interval());
    }
}

void SidecarProgram::registerStoreCalls()
{
    for (size_t call = 0; call < StoreCallCount; ++call) {
        for (size_t kind = 0; kind < RecordKindCount; ++kind) {
            const auto storeCall = static_cast<StoreCall>(call);
            const auto recordKind = static_cast<RecordKind>(kind);
            metrics_.addComputed({"wisteriahoist_store_calls_total",
                                  "Calls to the platform's store.", MetricKind::Counter},
                                 {{"call", std::string(storeCallName(storeCall))},
                                  {"kind", std::string(recordKindName(recordKind))}},
                                 [this, storeCall, recordKind](TimePoint) {
                                     return static_cast<double>(
                                             ports_.storeCalls.of(storeCall, recordKind));
                                 });
        }
    }
}

void SidecarProgram::onSettings(const SidecarSettings &settings)
{
    logEvent(LogEvent::SettingsReloaded, {{"changed", differs(settings)}});
    lastRead_ = settings;
    settings_.shutdownTimeout = settings.shutdownTimeout;
    settings_.coldOvershoot = settings.coldOvershoot;
    settings_.coldSlack = settings.coldSlack;
    updateColdLimits();
    router_.setRetryLimits(settings.retries);
}

void SidecarProgram::beginStop()
{
    if (stopping_) {
        return;
    }
    logEvent(LogEvent::NodeStopping);
    stopping_ = true;
    stopStartedAt_ = clock_.now();
    callerServer_->closeAfterResponses();
    gate_.setShutdownDeadline(stopStartedAt_ + settings_.shutdownTimeout - ShutdownMargin);
    ranges_.beginStop();
}

void SidecarProgram::continueStop(TimePoint now)
{
    const Duration since = now - stopStartedAt_;
    if (since >= GateCloseDelay && !closing_) {
        closing_ = true;
        publisher_.wake();
        if (view_.readyMembers(monitor_.service()).size() > 1) {
            gate_.rejectKeyless();
        }
    }
    if (since >= CallerRemovalDelay) {
        callerServer_->closeIdle();
    }
    gate_.rejectOutlasting(now);
}

bool SidecarProgram::hasStopped(TimePoint now) const
{
    if (!stopping_) {
        return false;
    }
    // Open requests alone do not suffice: ending the process also aborts connections with an
    // unparsed request and responses that their callers have not read yet. Keys that no other node
    // has taken over would be unavailable until this node's lease expires.
    const bool isDone = callerServer_->hasEnded() && router_.openRequests() == 0
                        && gate_.openRequests() == 0 && !ranges_.hasTransferableKeys(now);
    return isDone || now - stopStartedAt_ >= settings_.shutdownTimeout - ShutdownMargin;
}

namespace {

asio::awaitable<void> stopOnSignal(asio::io_context &context, SidecarProgram &program,
                                   ProcessSignals &signals)
{
    co_await signals.awaitStop();
    program.beginStop();
    while (!program.hasStopped(program.clock().now())) {
        program.continueStop(program.clock().now());
        co_await sleepFor(StopPollInterval);
    }
    context.stop();
}

asio::awaitable<void> reloadOnSignal(SidecarProgram &program, ProcessSignals &signals,
                                     std::function<std::optional<SidecarSettings>()> reload)
{
    while (true) {
        co_await signals.awaitReload();
        if (const std::optional<SidecarSettings> settings = reload()) {
            program.onSettings(*settings);
        }
    }
}

/** Polls the settings file, since it may change without a signal. */
asio::awaitable<void> reloadPeriodically(SidecarProgram &program,
                                         std::function<std::optional<SidecarSettings>()> reload)
{
    while (true) {
        co_await sleepFor(SettingsPollInterval);
        const std::optional<SidecarSettings> settings = reload();
        if (settings && program.differs(*settings)) {
            program.onSettings(*settings);
        }
    }
}

/** @return The first address that another socket has, as text; nullopt if there is none. */
std::optional<std::string> findAddressInUse(const SidecarSettings &settings)
{
    for (const Endpoint &address : {settings.callers, settings.peers, settings.readiness,
                                    settings.reports, settings.metrics}) {
        if (isAddressInUse(address.ip, address.port)) {
            return address.ip + ":" + std::to_string(address.port);
        }
    }
    return std::nullopt;
}

} // namespace

Result<void> awaitAddresses(const SidecarSettings &settings, const Clock &clock)
{
    const TimePoint end = clock.now() + settings.shutdownTimeout;
    std::optional<std::string> inUse = findAddressInUse(settings);
    if (inUse) {
        logEvent(LogEvent::AddressAwaited, {{"address", *inUse}});
    }
    while (inUse && clock.now() < end) {
        std::this_thread::sleep_for(AddressPollInterval);
        inUse = findAddressInUse(settings);
    }
    if (inUse) {
        return Failure{FailureCode::Unavailable, *inUse + " is in use"};
    }
    return boost::outcome_v2::success();
}

int runSidecar(asio::io_context &context, SidecarProgram &program, ProcessSignals &signals,
               std::function<std::optional<SidecarSettings>()> reload)
{
    program.start();
    const auto stop = [&]() { return stopOnSignal(context, program, signals); };
    const auto hup = [&]() { return reloadOnSignal(program, signals, reload); };
    asio::co_spawn(context, stop, logFailureOf("stop"));
    const auto poll = [&]() { return reloadPeriodically(program, reload); };
    startLoop(context.get_executor(), "reload by signal", hup);
    startLoop(context.get_executor(), "reload by time", poll);
    try {
        context.run();
    } catch (const std::exception &error) {
        // With a coroutine ended by the exception, the node would respond but do nothing. The
        // process exits instead so that it is restarted, with the cause in its log.
        logEvent(LogEvent::NodeFailed, {{"cause", std::string(error.what())}});
        return 1;
    }
    logEvent(LogEvent::NodeStopped);
    return 0;
}

} // namespace wisteriahoist
