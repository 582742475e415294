/** @file node_program.cpp The node command. */

#include "program/node_program.h"

#include "adapter/log/event_log.h"
#include "adapter/signal/process_signals.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>

namespace wisteriahoist {

namespace {

constexpr size_t RequestRingSize = 1024; ///< Capacity: requests in transit between two duties.
constexpr size_t ControlRingSize = 256;

MemberInfo makeSelf(const NodeSettings &settings, const NodeAddress &address)
{
    MemberInfo self;
    self.id = settings.id;
    // The wall clock gives a later start a higher incarnation, even on a replaced VM.
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    self.incarnation = Incarnation(
            static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(wall).count()));
    self.address = address;
    self.failureDomain = settings.failureDomain;
    return self;
}

} // namespace

NodeProgram::NodeProgram(const NodeSettings &settings)
    : telemetry_(clock_, settings.id, settings.signals.trace),
      ingressToGate_(ingressThread_.context(), gateThread_.context(), RequestRingSize),
      peerToGate_(peerThread_.context(), gateThread_.context(), RequestRingSize),
      peerToControl_(peerThread_.context(), controlThread_.context(), ControlRingSize),
      adminToControl_(adminThread_.context(), controlThread_.context(), ControlRingSize),
      controlToIngress_(controlThread_.context(), ingressThread_.context(), ControlRingSize),
      controlToGate_(controlThread_.context(), gateThread_.context(), ControlRingSize),
      platform_(controlThread_.context().get_executor(), settings.platformIp, settings.platformPort,
                settings.platformTimeout),
      meteredPlatform_(platform_, telemetry_.platform()),
      gate_(gateThread_.context(), clock_, settings.id),
      ingress_(ingressThread_.context(), clock_, settings.id, settings.address.ip,
               settings.address.callerPort, ingressToGate_),
      peer_(peerThread_.context(), settings.address.ip, settings.address.peerPort, peerToGate_,
            peerToControl_),
      admin_(adminThread_.context(), settings.address.ip, settings.address.adminPort,
             settings.fleetKeys, adminToControl_, telemetry_),
      address_{settings.address.ip, ingress_.port(), peer_.port(), admin_.port()}
{
    control_ = std::make_unique<ControlDuty>(controlThread_.context(), clock_, meteredPlatform_,
                                             settings.times, makeSelf(settings, address_),
                                             settings.cell, controlToIngress_, controlToGate_);
    control_->observeWith(telemetry_.ownership());
    ingress_.observeWith(telemetry_);
    if (!settings.fleetKeys.empty()) {
        peer_.requireHello(settings.fleetKeys);
        ingress_.authenticateWith(settings.fleetKeys);
        control_->authenticateWith(settings.fleetKeys);
        registerRefusalMetrics("operator", admin_.refusals());
        registerRefusalMetrics("peer", *peer_.refusals());
    }
    ingressToGate_.serve(
            [this](v1::HopRequest request) { return executeAtGate(std::move(request)); });
    peerToGate_.serve([this](v1::HopRequest request) {
        telemetry_.gate().hops.add();
        return executeAtGate(std::move(request));
    });
    peerToControl_.serve([this](std::string body) { return control_->onRenew(std::move(body)); });
    adminToControl_.serve([this](AdminCall call) { return control_->onAdmin(std::move(call)); });
    controlToIngress_.serve([this](RoutingSnapshotPtr routing) {
        telemetry_.onRouting(*routing);
        return ingress_.onRouting(std::move(routing));
    });
    controlToGate_.serve([this](GateGrant grant) {
        telemetry_.onGrant(grant);
        return gate_.onGrant(std::move(grant));
    });
    registerTelemetry();
    if (settings.signals.trace.isEnabled()) {
        makeTraceDuty(settings);
    }
}

void NodeProgram::makeTraceDuty(const NodeSettings &settings)
{
    SpanResource resource;
    resource.node = settings.id;
    resource.failureDomain = settings.failureDomain;
    resource.build = WISTERIAHOIST_VERSION;
    resource.bootTime = std::chrono::system_clock::now() - clock_.now().time_since_epoch();
    trace_ = std::make_unique<TraceDuty>(
            traceThread_.context(), std::move(resource),
            makeSpanSink(settings.signals.trace, traceThread_.context().get_executor()),
            telemetry_.trace(),
            std::vector<DutyTracer *>{&telemetry_.ingressTracer(), &telemetry_.gateTracer()});
}

asio::awaitable<v1::HopReply> NodeProgram::executeAtGate(v1::HopRequest request)
{
    if (request.cancel()) {
        co_return co_await gate_.onRequest(std::move(request));
    }
    const TimePoint startedAt = clock_.now();
    Span span = telemetry_.gateTracer().startFromHop(SpanStep::Gate, request);
    v1::HopReply reply = co_await gate_.onRequest(std::move(request));
    telemetry_.onGateReply(reply, startedAt);
    telemetry_.gate().open.set(static_cast<double>(gate_.openRequests()));
    telemetry_.gateTracer().finish(std::move(span), hopOutcomeName(reply.outcome()),
                                   reply.outcome() != v1::HOP_OUTCOME_DONE);
    co_return reply;
}

void NodeProgram::registerTelemetry()
{
    telemetry_.watchLoop("ingress", ingressThread_.context());
    telemetry_.watchLoop("peer", peerThread_.context());
    telemetry_.watchLoop("gate", gateThread_.context());
    telemetry_.watchLoop("control", controlThread_.context());
    telemetry_.watchLoop("admin", adminThread_.context());
    telemetry_.watchRing("ingress-gate", ingressToGate_);
    telemetry_.watchRing("peer-gate", peerToGate_);
    telemetry_.watchRing("peer-control", peerToControl_);
    telemetry_.watchRing("admin-control", adminToControl_);
    telemetry_.watchRing("control-ingress", controlToIngress_);
    telemetry_.watchRing("control-gate", controlToGate_);
}

void NodeProgram::registerRefusalMetrics(const std::string &side, const AuthCounters &counters)
{
    for (size_t index = 0; index < AuthRefusalCount; ++index) {
        const auto refusal = static_cast<AuthRefusal>(index);
        telemetry_.registry().addComputed(
                {"wisteriahoist_auth_refused_total",
                 "Calls and hellos rejected for invalid credentials.", MetricKind::Counter},
                {{"side", side}, {"cause", std::string(refusalName(refusal))}},
                [&counters, refusal](TimePoint) {
                    return static_cast<double>(counters.countOf(refusal));
                });
    }
}

void NodeProgram::start()
{
    ingress_.start();
    peer_.start();
    admin_.start();
    control_->start();
    gateThread_.start();
    ingressThread_.start();
    peerThread_.start();
    adminThread_.start();
    controlThread_.start();
    if (trace_) {
        trace_->start();
        traceThread_.start();
    }
}

void NodeProgram::stop()
{
    ingressThread_.stop();
    peerThread_.stop();
    adminThread_.stop();
    controlThread_.stop();
    gateThread_.stop();
    traceThread_.stop();
}

void NodeProgram::beginDrain()
{
    control_->beginDrain();
    ingress_.stop();
}

DrainProgress NodeProgram::drainProgress() const
{
    return {gate_.ownedRanges(), ingress_.openRequests(), gate_.openRequests()};
}

namespace {

constexpr milliseconds DrainPollInterval{20};

/** Waits for a signal, drains @p node and prints what was still open at the end. */
asio::awaitable<void> drainOnSignal(NodeProgram &node, asio::signal_set &set)
{
    co_await set.async_wait(asio::use_awaitable);
    logEvent(LogEvent::NodeStopping);
    node.beginDrain();
    const auto interrupted = std::make_shared<bool>(false);
    set.async_wait(
            [interrupted](const boost::system::error_code &error, int) { *interrupted = !error; });
    const auto start = std::chrono::steady_clock::now();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    DrainStep step = DrainStep::Wait;
    while (step == DrainStep::Wait && !*interrupted) {
        timer.expires_after(DrainPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
        const Duration elapsed = std::chrono::steady_clock::now() - start;
        step = decideDrain(node.drainProgress(), elapsed, DrainLimits{});
    }
    set.cancel();
    const DrainProgress left = node.drainProgress();
    std::cout << "drained: cut_requests=" << std::max(left.callerRequests, left.gateRequests)
              << " ranges_left=" << left.ownedRanges << std::endl;
}

} // namespace

int runNode(const std::string &settingsFile)
{
    ignoreOutputSignals();
    // Before anything else: a signal that arrives while the node is set up is kept.
    asio::io_context signals;
    asio::signal_set set(signals, SIGTERM, SIGINT);
    std::vector<Finding> findings;
    const NodeSettings settings = loadNodeSettings(settingsFile, findings);
    if (!findings.empty()) {
        for (const Finding &finding : findings) {
            std::cerr << formatFinding(finding) << '\n';
        }
        return 2;
    }
    const LogOutput log(std::cerr, settings.signals.severity);
    try {
        NodeProgram node(settings);
        node.start();
        std::cout << "node " << settings.id.value() << " caller_port=" << node.address().callerPort
                  << " peer_port=" << node.address().peerPort
                  << " admin_port=" << node.address().adminPort << std::endl;
        asio::co_spawn(signals, drainOnSignal(node, set), asio::detached);
        logEvent(LogEvent::NodeStarted,
                 {{"node", settings.id.value()}, {"build", WISTERIAHOIST_VERSION}});
        signals.run();
        node.stop();
        logEvent(LogEvent::NodeStopped);
    } catch (const boost::system::system_error &error) {
        std::cerr << "node cannot start: " << error.what() << '\n';
        return 1;
    }
    return 0;
}

} // namespace wisteriahoist
