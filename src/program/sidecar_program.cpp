/** @file sidecar_program.cpp A node beside a backend server on the users' platform. */

#include "program/sidecar_program.h"

#include "adapter/clock/sleep_func.h"
#include "adapter/log/event_log.h"
#include "adapter/socket/address_func.h"
#include "adapter/task/background_task.h"
#include "core/hash_func.h"

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
      node_(makeNodeId(settings)), evidence_(EvidenceLimits{}, settings.heartbeat, clock_.now()),
      startedAt_(clock_.now()), requestMemory_(std::make_shared<MemoryBudget>(
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
      keepers_(context, clock_, peers_, view_, node_),
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
    const auto ask = [this]() { return ruleOutLeaving(); };
    startLoop(context_.get_executor(), "evidence of the backend server", ask);
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
