/** @file node_telemetry.h Metrics, health and trace spans of one node, reported by its duties. */

#pragma once

#include "adapter/http/http_type.h"
#include "adapter/metrics/metered_platform_store.h"
#include "adapter/metrics/metric_registry.h"
#include "decision/health/health_decision.h"
#include "duty/duty_message.h"
#include "duty/trace_duty.h"
#include "port/clock.h"

#include <boost/asio/io_context.hpp>
#include <deque>

namespace wisteriahoist {

/** @return done, not-run or unknown. */
std::string_view hopOutcomeName(v1::HopOutcome outcome);

/** Metrics of the ingress duty. */
struct IngressMetrics {
    explicit IngressMetrics(MetricRegistry &registry);

    LabelledCounter &requests; ///< By outcome: done, not-run, unknown, refused.
    LabelledCounter &notRun;   ///< By reason.
    Distribution &duration;    ///< Seconds from the complete request to the complete response.
    Counter &forwarded;
    Counter &retries;
    Gauge &connections;
};

/** Metrics of the gate duty. */
struct GateMetrics {
    explicit GateMetrics(MetricRegistry &registry);

    LabelledCounter &requests; ///< By outcome, from the backend server or the gate.
    LabelledCounter &notRun;   ///< By reason.
    Counter &hops;             ///< Requests received from other nodes.
    Distribution &duration;    ///< Seconds in the gate, including queue and backend server.
    Gauge &open;               ///< Requests that wait for a slot or run.
};

/** Metrics of ownership and configuration. */
struct OwnershipMetrics {
    explicit OwnershipMetrics(MetricRegistry &registry);

    Gauge &term;
    Gauge &coordinating; ///< 1 if this node coordinates its cell.
    Gauge &assignmentVersion;
    Gauge &configVersion;
    Gauge &ownedRanges;
    Gauge &members;
    Gauge &shareImbalance; ///< Largest divided by mean number of ranges per owner.
    Gauge &loadImbalance;  ///< Largest divided by mean load; set only by the coordinator.
    Counter &ownerChanges; ///< Churn: ranges with another owner than in the last assignment.
    Gauge &unavailableSeconds;
};

/**
 * Owned by the program; duties get a reference, and the admin duty reads it. There are no locks:
 * each value is an atomic with a single writer.
 */
class NodeTelemetry
{
public:
    /** @param trace Share of the requests that are traced, and whether spans are recorded. */
    NodeTelemetry(const Clock &clock, NodeId self, const TraceSettings &trace);

    /** Monitors the event loop of @p duty: a timer in it records that the loop is running. */
    void watchLoop(std::string_view duty, boost::asio::io_context &context);

    /** Registers metrics for depth and refusals of a ring. @pre The duties are not running yet. */
    template <typename Link>
    void watchRing(const std::string &ring, const Link &link)
    {
        addRing(
                ring, [&link]() { return static_cast<double>(link.depth()); },
                [&link]() { return static_cast<double>(link.refusedCount()); });
    }

    /** The gate duty received a grant from the control duty. Called on the gate duty's thread. */
    void onGrant(const GateGrant &grant);

    /** There is a new routing snapshot. Called on the ingress duty's thread. */
    void onRouting(const RoutingSnapshot &routing);

    /** Starts the ingress span and sets its context in @p request. Called on the ingress thread. */
    Span startIngressSpan(HttpRequest &request);

    /** A response was sent to a caller. Called on the ingress duty's thread. */
    void onAnswer(const HttpResponse &response, TimePoint startedAt, Span span);

    /** A caller's request ended, including its retries. Called on the ingress duty's thread. */
    void onOutcome(const v1::HopReply &reply);

    /** The gate has replied to a request. Called on the gate duty's thread. */
    void onGateReply(const v1::HopReply &reply, TimePoint startedAt);

    HttpResponse metricsPage() const;
    HttpResponse healthPage() const;
    HttpResponse readyPage() const;

    const Clock &clock() const { return clock_; }
    MetricRegistry &registry() { return registry_; }
    IngressMetrics &ingress() { return ingress_; }
    GateMetrics &gate() { return gate_; }
    OwnershipMetrics &ownership() { return ownership_; }
    PlatformMetrics &platform() { return platform_; }
    TraceMetrics &trace() { return trace_; }
    DutyTracer &ingressTracer() { return ingressTracer_; } ///< Ingress duty's thread only.
    DutyTracer &gateTracer() { return gateTracer_; }       ///< Gate duty's thread only.

private:
    struct WatchedLoop {
        std::string_view duty;
        std::atomic<int64_t> turnedAt{0}; ///< Last run, in nanoseconds of the clock.
    };

    boost::asio::awaitable<void> turnLoop(boost::asio::io_context &context, WatchedLoop &loop);
    void addRing(const std::string &ring, std::function<double()> depth,
                 std::function<double()> refused);
    ReadinessInput readiness() const;

    const Clock &clock_;
    const NodeId self_;
    MetricRegistry registry_;
    IngressMetrics ingress_;
    GateMetrics gate_;
    OwnershipMetrics ownership_;
    PlatformMetrics platform_;
    TraceMetrics trace_;
    DutyTracer ingressTracer_;
    DutyTracer gateTracer_;
    std::deque<WatchedLoop> loops_; ///< A deque, because coroutines hold references.
    std::atomic<int64_t> leaseUntil_;
    std::atomic<bool> routingPresent_{false};
    std::atomic<bool> backendAnnounced_{false};
    std::atomic<bool> draining_{false};
    std::map<std::string, SliceTable> previousTables_; ///< Ingress duty's thread only.
    ObjectVersion previousAssignment_;                 ///< Ingress duty's thread only.
    TimePoint grantedAt_ = NeverTime;                  ///< Gate duty's thread only.
    bool ownedRanges_ = false;                         ///< Gate duty's thread only.
    TimePoint previousLease_ = NeverTime;              ///< Gate duty's thread only.
};

} // namespace wisteriahoist
