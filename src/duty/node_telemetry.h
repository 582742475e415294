/** @file node_telemetry.h The metrics and the health of one node, fed by its duties. */

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

/** What the ingress duty counts. */
struct IngressMetrics {
    explicit IngressMetrics(MetricRegistry &registry);

    LabelledCounter &requests; ///< By outcome: done, not-run, unknown, refused.
    LabelledCounter &notRun;   ///< By reason.
    Distribution &duration;    ///< Seconds, from the whole request to the whole answer.
    Counter &forwarded;
    Counter &retries;
    Gauge &connections;
};

/** What the gate duty counts. */
struct GateMetrics {
    explicit GateMetrics(MetricRegistry &registry);

    LabelledCounter &requests; ///< By outcome, as the backend server or the gate ended them.
    LabelledCounter &notRun;   ///< By reason.
    Counter &hops;             ///< Requests that came from other nodes.
    Distribution &duration;    ///< Seconds in the gate, queue and backend server included.
    Gauge &open;               ///< Waiting for a slot or running.
};

/** What is known of ownership and configuration. */
struct OwnershipMetrics {
    explicit OwnershipMetrics(MetricRegistry &registry);

    Gauge &term;
    Gauge &coordinating; ///< 1 if this node coordinates its cell.
    Gauge &assignmentVersion;
    Gauge &configVersion;
    Gauge &ownedRanges;
    Gauge &members;
    Gauge &shareImbalance; ///< Largest over mean number of ranges for each owner.
    Gauge &loadImbalance;  ///< Largest over mean load; set by the coordinator only.
    Counter &ownerChanges; ///< Churn: ranges whose owner differs from the assignment before.
    Gauge &unavailableSeconds;
};

/**
 * Owned by the program; duties get a reference. The admin duty reads it. Nothing here takes a
 * lock: the values are atomics with one writer each.
 */
class NodeTelemetry
{
public:
    /** @param trace Share of the requests that are traced, and whether spans are kept at all. */
    NodeTelemetry(const Clock &clock, NodeId self, const TraceSettings &trace);

    /** Watches the event loop of @p duty: a timer on it records each turn. */
    void watchLoop(std::string_view duty, boost::asio::io_context &context);

    /** Registers depth and refusals of a ring. @pre Called before the duties run. */
    template <typename Link>
    void watchRing(const std::string &ring, const Link &link)
    {
        addRing(
                ring, [&link]() { return static_cast<double>(link.depth()); },
                [&link]() { return static_cast<double>(link.refusedCount()); });
    }

    /** The control duty told the gate something new. Called on the gate duty's thread. */
    void onGrant(const GateGrant &grant);

    /** The control duty made a new routing snapshot. Called on the ingress duty's thread. */
    void onRouting(const RoutingSnapshot &routing);

    /** Begins the ingress span; @p request carries its context from then on. Ingress thread. */
    Span startIngressSpan(HttpRequest &request);

    /** A caller was answered. Called on the ingress duty's thread. */
    void onAnswer(const HttpResponse &response, TimePoint startedAt, Span span);

    /** A caller's request ended, after its retries. Called on the ingress duty's thread. */
    void onOutcome(const v1::HopReply &reply);

    /** The gate ended a request. Called on the gate duty's thread. */
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
        std::atomic<int64_t> turnedAt{0}; ///< Nanoseconds on the clock.
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
    std::deque<WatchedLoop> loops_; ///< A deque, since coroutines keep references.
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
