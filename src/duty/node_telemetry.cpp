/** @file node_telemetry.cpp Metrics, health and trace spans of one node. */

#include "duty/node_telemetry.h"

#include "adapter/http2/transport_bytes.h"
#include "adapter/random/mt_random_source.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace wisteriahoist {

namespace {

constexpr milliseconds LoopTurnInterval{1000}; ///< A third of LoopStallTimeout.

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

HttpResponse makeStatePage(const char *yes, const char *no, const boost::json::array &reasons)
{
    const bool good = reasons.empty();
    boost::json::object body;
    body["status"] = good ? yes : no;
    body["reasons"] = reasons;
    body["build"] = WISTERIAHOIST_VERSION;
    HttpResponse response(good ? http::status::ok : http::status::service_unavailable, 11);
    response.set(http::field::content_type, "application/json");
    response.set(http::field::cache_control, "no-store");
    response.body() = boost::json::serialize(body);
    return response;
}

/** @return Number of ranges of @p after whose first point had another owner in @p before. */
uint64_t countOwnerChanges(const SliceTable &before, const SliceTable &after)
{
    uint64_t changes = 0;
    for (const Slice &slice : after.slices()) {
        const Slice *old = before.find(slice.first);
        if (old != nullptr && old->owner != InvalidNode && old->owner != slice.owner) {
            ++changes;
        }
    }
    return changes;
}

/** @return The largest number of ranges of one owner divided by the mean; 1: balanced. */
double findShareImbalance(const std::map<std::string, SliceTable> &tables)
{
    double worst = 1;
    for (const auto &[service, table] : tables) {
        std::map<NodeId, double> owned;
        for (const Slice &slice : table.slices()) {
            ++owned[slice.owner];
        }
        double most = 0;
        for (const auto &[owner, count] : owned) {
            most = std::max(most, count);
        }
        const auto total = static_cast<double>(table.slices().size());
        if (total > 0) {
            worst = std::max(worst, most * static_cast<double>(owned.size()) / total);
        }
    }
    return worst;
}

} // namespace

std::string_view hopOutcomeName(v1::HopOutcome outcome)
{
    switch (outcome) {
    case v1::HOP_OUTCOME_DONE:
        return "done";
    case v1::HOP_OUTCOME_NOT_RUN:
        return "not-run";
    default:
        return "unknown";
    }
}

IngressMetrics::IngressMetrics(MetricRegistry &registry)
    : requests(registry.addLabelledCounter(
            "wisteriahoist_requests_total",
            "Callers' requests to which this node responded, by outcome.", "outcome")),
      notRun(registry.addLabelledCounter("wisteriahoist_requests_not_run_total",
                                         "Callers' requests that were not run, by reason.",
                                         "reason")),
      duration(registry.addDistribution("wisteriahoist_request_duration_seconds",
                                        "Time from a caller's complete request to its response.")),
      forwarded(registry.addCounter("wisteriahoist_requests_forwarded_total",
                                    "Requests forwarded to another node.")),
      retries(registry.addCounter("wisteriahoist_retries_total",
                                  "Requests retried within the retry budget.")),
      connections(registry.addGauge("wisteriahoist_caller_connections",
                                    "Open connections from callers."))
{ }

GateMetrics::GateMetrics(MetricRegistry &registry)
    : requests(registry.addLabelledCounter("wisteriahoist_gate_requests_total",
                                           "Requests completed by the owner gate, by outcome.",
                                           "outcome")),
      notRun(registry.addLabelledCounter("wisteriahoist_gate_not_run_total",
                                         "Requests refused by the gate, by reason.", "reason")),
      hops(registry.addCounter("wisteriahoist_gate_hops_total",
                               "Requests received by the gate from other nodes.")),
      duration(registry.addDistribution(
              "wisteriahoist_gate_duration_seconds",
              "Time in the gate, including the wait for a slot and the backend server.")),
      open(registry.addGauge("wisteriahoist_gate_open_requests",
                             "Requests in the gate that wait for a slot or run."))
{ }

OwnershipMetrics::OwnershipMetrics(MetricRegistry &registry)
    : term(registry.addGauge("wisteriahoist_term", "Term of the latest known assignment.")),
      coordinating(registry.addGauge("wisteriahoist_coordinating",
                                     "1 if this node coordinates its cell.")),
      assignmentVersion(registry.addGauge("wisteriahoist_assignment_version",
                                          "Version of the assignment in effect at this node.")),
      configVersion(registry.addGauge("wisteriahoist_config_version",
                                      "Version of the declarations in effect at this node.")),
      ownedRanges(registry.addGauge("wisteriahoist_owned_ranges", "Ranges assigned to this node.")),
      members(registry.addGauge("wisteriahoist_members", "Members of the cell's roster.")),
      shareImbalance(registry.addGauge(
              "wisteriahoist_share_imbalance",
              "Largest divided by mean number of ranges per owner; 1: balanced.")),
      loadImbalance(registry.addGauge(
              "wisteriahoist_load_imbalance",
              "Largest divided by mean load per owner, on the coordinator; 0 elsewhere.")),
      ownerChanges(
              registry.addCounter("wisteriahoist_owner_changes_total",
                                  "Churn: changes of range owners, as observed by this node.")),
      unavailableSeconds(registry.addGauge(
              "wisteriahoist_unavailable_seconds",
              "Time in which ranges were assigned to this node but it held no lease."))
{ }

NodeTelemetry::NodeTelemetry(const Clock &clock, NodeId self, const TraceSettings &trace)
    : clock_(clock), self_(self), ingress_(registry_), gate_(registry_), ownership_(registry_),
      platform_(registry_), trace_(registry_),
      ingressTracer_(clock, std::make_unique<MtRandomSource>(), trace, trace_.dropped),
      gateTracer_(clock, std::make_unique<MtRandomSource>(), trace, trace_.dropped),
      leaseUntil_(NeverTime.time_since_epoch().count())
{
    registry_.addComputed(
            {"wisteriahoist_lease_left_seconds",
             "Remaining time in which this node may admit requests; 0 without a lease.",
             MetricKind::Gauge},
            {}, [this](TimePoint now) {
                const TimePoint until(Duration(leaseUntil_.load()));
                return until > now ? toSeconds(until - now) : 0.0;
            });
    registry_.addComputed({"wisteriahoist_peer_bytes_total", "Bytes on connections between nodes.",
                           MetricKind::Counter},
                          {{"direction", "sent"}},
                          [](TimePoint) { return static_cast<double>(peerBytesSent().load()); });
    registry_.addComputed({"wisteriahoist_peer_bytes_total", "Bytes on connections between nodes.",
                           MetricKind::Counter},
                          {{"direction", "received"}}, [](TimePoint) {
                              return static_cast<double>(peerBytesReceived().load());
                          });
    registry_
            .addGauge("wisteriahoist_build_info", "Always 1; the labels contain the build version.",
                      {{"version", WISTERIAHOIST_VERSION}, {"node", std::to_string(self.value())}})
            .set(1);
}

void NodeTelemetry::watchLoop(std::string_view duty, boost::asio::io_context &context)
{
    WatchedLoop &loop = loops_.emplace_back();
    loop.duty = duty;
    loop.turnedAt = clock_.now().time_since_epoch().count();
    boost::asio::co_spawn(context, turnLoop(context, loop), boost::asio::detached);
}

boost::asio::awaitable<void> NodeTelemetry::turnLoop(boost::asio::io_context &context,
                                                     WatchedLoop &loop)
{
    boost::asio::steady_timer timer(context);
    boost::system::error_code ignored;
    for (;;) {
        loop.turnedAt.store(clock_.now().time_since_epoch().count(), std::memory_order_relaxed);
        timer.expires_after(LoopTurnInterval);
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

void NodeTelemetry::addRing(const std::string &ring, std::function<double()> depth,
                            std::function<double()> refused)
{
    registry_.addComputed({"wisteriahoist_ring_depth", "Calls in progress between two duties.",
                           MetricKind::Gauge},
                          {{"ring", ring}},
                          [depth = std::move(depth)](TimePoint) { return depth(); });
    registry_.addComputed({"wisteriahoist_ring_refused_total",
                           "Calls refused because the ring was full.", MetricKind::Counter},
                          {{"ring", ring}},
                          [refused = std::move(refused)](TimePoint) { return refused(); });
}

void NodeTelemetry::onGrant(const GateGrant &grant)
{
    const TimePoint now = clock_.now();
    // There was a time without a lease if the previous grant expired before this one arrived.
    if (ownedRanges_ && grantedAt_ != NeverTime && previousLease_ < now) {
        ownership_.unavailableSeconds.add(toSeconds(now - std::max(previousLease_, grantedAt_)));
    }
    grantedAt_ = now;
    previousLease_ = grant.leaseUntil;
    leaseUntil_.store(grant.leaseUntil.time_since_epoch().count(), std::memory_order_relaxed);
    routingPresent_ = grant.routing && !grant.routing->tables.empty();
    backendAnnounced_ = grant.backend.port != 0;
    draining_ = grant.backend.draining;
    ownedRanges_ = ownership_.ownedRanges.value() > 0;
}

void NodeTelemetry::onRouting(const RoutingSnapshot &routing)
{
    ownership_.configVersion.set(static_cast<double>(routing.declarations.version));
    ownership_.members.set(static_cast<double>(routing.members.size()));
    if (routing.assignmentVersion == previousAssignment_) {
        return;
    }
    uint64_t owned = 0;
    for (const auto &[service, table] : routing.tables) {
        for (const Slice &slice : table.slices()) {
            owned += slice.owner == self_ ? 1 : 0;
        }
        ownership_.ownerChanges.add(countOwnerChanges(previousTables_[service], table));
    }
    ownership_.ownedRanges.set(static_cast<double>(owned));
    ownership_.shareImbalance.set(findShareImbalance(routing.tables));
    ownership_.assignmentVersion.set(static_cast<double>(routing.assignmentVersion.value()));
    previousTables_ = routing.tables;
    previousAssignment_ = routing.assignmentVersion;
}

Span NodeTelemetry::startIngressSpan(HttpRequest &request)
{
    const boost::beast::string_view name(TraceparentHeader.data(), TraceparentHeader.size());
    const auto header = request[name];
    const TraceContext context = ingressTracer_.begin({header.data(), header.size()});
    Span span = ingressTracer_.start(SpanStep::Ingress, context, "");
    request.set(name, formatTraceparent(span.context));
    return span;
}

void NodeTelemetry::onAnswer(const HttpResponse &response, TimePoint startedAt, Span span)
{
    const TimePoint now = clock_.now();
    ingress_.duration.observe(toSeconds(now - startedAt), now);
    const auto header = response["Wisteriahoist-Outcome"];
    const std::string_view outcome = header.empty()
                                             ? std::string_view("refused")
                                             : std::string_view(header.data(), header.size());
    ingress_.requests.add(outcome);
    ingressTracer_.finish(std::move(span), outcome, outcome != "done");
}

void NodeTelemetry::onOutcome(const v1::HopReply &reply)
{
    if (reply.outcome() == v1::HOP_OUTCOME_NOT_RUN) {
        ingress_.notRun.add(reply.reason());
    }
}

void NodeTelemetry::onGateReply(const v1::HopReply &reply, TimePoint startedAt)
{
    const TimePoint now = clock_.now();
    gate_.duration.observe(toSeconds(now - startedAt), now);
    gate_.requests.add(hopOutcomeName(reply.outcome()));
    if (reply.outcome() == v1::HOP_OUTCOME_NOT_RUN) {
        gate_.notRun.add(reply.reason());
    }
}

HttpResponse NodeTelemetry::metricsPage() const
{
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
    response.body() = registry_.render(clock_.now());
    return response;
}

HttpResponse NodeTelemetry::healthPage() const
{
    std::vector<LoopActivity> turns;
    for (const WatchedLoop &loop : loops_) {
        turns.push_back({loop.duty, TimePoint(Duration(loop.turnedAt.load()))});
    }
    boost::json::array stuck;
    for (const std::string_view duty : findStalledLoops(turns, clock_.now())) {
        stuck.emplace_back(duty);
    }
    return makeStatePage("alive", "stuck", stuck);
}

ReadinessInput NodeTelemetry::readiness() const
{
    ReadinessInput input;
    input.leaseUntil = TimePoint(Duration(leaseUntil_.load(std::memory_order_relaxed)));
    input.routingPresent = routingPresent_;
    input.backendAnnounced = backendAnnounced_;
    input.draining = draining_;
    return input;
}

HttpResponse NodeTelemetry::readyPage() const
{
    boost::json::array reasons;
    for (const NotReadyReason reason : findNotReadyReasons(readiness(), clock_.now())) {
        reasons.emplace_back(notReadyReasonName(reason));
    }
    return makeStatePage("ready", "not-ready", reasons);
}

} // namespace wisteriahoist
