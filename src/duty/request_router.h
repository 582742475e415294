/** @file request_router.h Ingress node of a request: routing, choice of the instance, retries. */

#pragma once

#include "adapter/http/http_server.h"
#include "adapter/http/request_protocol.h"
#include "adapter/log/rate_limited_event.h"
#include "adapter/metrics/metric_type.h"
#include "decision/request/adaptive_throttle.h"
#include "decision/request/attempt_policy.h"
#include "decision/request/fleet_retry_budget.h"
#include "duty/backend_gate.h"
#include "duty/fleet_view.h"
#include "duty/peer_link.h"
#include "duty/peer_loads.h"
#include "port/revision_exchange.h"

#include <list>
#include <random>
#include <set>

namespace wisteriahoist {

/** Settings of the router's own node. */
struct RouterSettings {
    NodeId node;
    std::string failureDomain;
    std::string service;
    FleetRetryLimits retries;
};

/** Counters of the router. */
struct RouterCounters {
    uint64_t requests = 0;
    uint64_t served = 0; ///< Answered by an instance.
    uint64_t notRun = 0;
    uint64_t unknown = 0;
    uint64_t forwarded = 0; ///< Attempts at other nodes.
    uint64_t retries = 0;   ///< Attempts that used the retry budget.
    uint64_t callersDisconnected = 0;
    uint64_t throttled = 0; ///< Refused without asking any node for a slot.
    uint64_t crashing = 0;  ///< Refused because backend servers have ended under the same request.
};

/**
 * The ingress node of a request: the node that its caller is connected to. Only this node retries,
 * so a request makes at most the attempts of its route, independent of the number of hops.
 */
class RequestRouter
{
public:
    RequestRouter(asio::io_context &context, const Clock &clock, const RequestProtocol &protocol,
                  FleetView &view, PeerLoads &loads, BackendGate &gate, PeerLink &peers,
                  const CrashLedger &crashes, RouterSettings settings);

    asio::awaitable<HttpResponse> onRequest(HttpRequest request,
                                            std::shared_ptr<DisconnectSignal> caller);

    /** @return Whether @p member answers a call. */
    asio::awaitable<bool> probe(MemberRecord member);

    size_t openRequests() const { return openRequests_; }
    const RouterCounters &counters() const { return counters_; }
    uint64_t droppedLines() const { return lines_.dropped(); }

    /** @param duration Observes the seconds from each request to its response. */
    void observeWith(Histogram &duration) { duration_ = &duration; }

    /** Adds the store revisions known to @p exchange to each reply to another node, and passes on
     * those received in replies. */
    void setRevisionExchange(RevisionExchange &exchange) { revisions_ = &exchange; }

    /** Replaces the limits of the retry budget; what was spent of the old one is forgotten. */
    void setRetryLimits(const FleetRetryLimits &retries);

private:
    /** One caller's request and the state of its attempts. */
    struct RequestState {
        std::shared_ptr<const RouteTable> routes; ///< Keeps route alive.
        const Route *route = nullptr;
        v1::HopRequest hop;
        RequestFingerprint fingerprint;
        std::shared_ptr<DisconnectSignal> caller;
        AttemptHistory history;
        TimePoint startedAt;
        TimePoint deadline;
        TimePoint objective;
        NodeId target; ///< Of the current attempt.
        std::set<NodeId> tried;
        std::optional<RangeEntry> routingSeen; ///< Of its key, when the target was chosen.
        std::optional<KeyOwner> namedOwner;    ///< Named by a node that no longer owns the key.
        milliseconds retryAfter{0};            ///< The shortest that a node returned.
        v1::HopReply earlierReply;             ///< Valid if history.answered.
    };

    /** Known capacity for one route's requests. */
    struct RouteCapacity {
        AdaptiveThrottle throttle;
        milliseconds retryAfter{0}; ///< From the latest refusal.
    };

    HttpResponse refuse(http::status status, std::string_view type, const std::string &detail,
                        milliseconds retryAfter) const;
    /** Logs a request that is refused before it has a state, with how this node came by the
     *  configuration that decided so. */
    void logRefusal(RateLimitedEvent &event, const HttpRequest &request, std::string_view reason,
                    const RouteTable &routes);
    /** Takes the body of @p request. */
    std::shared_ptr<RequestState> makeState(HttpRequest &request, const RequestMetadata &metadata,
                                            const Route &route,
                                            std::shared_ptr<DisconnectSignal> caller);
    asio::awaitable<v1::HopReply> runAttempts(std::shared_ptr<RequestState> state);
    asio::awaitable<v1::HopReply> attempt(std::shared_ptr<RequestState> state);
    asio::awaitable<v1::HopReply> forward(MemberRecord member, std::shared_ptr<RequestState> state);
    asio::awaitable<std::string> onHop(std::string body);
    asio::awaitable<std::string> onProbe();
    void addRevisions(v1::HopReply &reply) const;
    void readRevisions(NodeId peer, const v1::HopReply &reply, TimePoint now);
    asio::awaitable<void> awaitRouting(std::shared_ptr<RequestState> state);
    asio::awaitable<void> sendCancel(NodeId target, uint64_t requestId);
    const RangeEntry *findOwner(const RequestState &state) const;
    bool recordNamedOwner(RequestState &state, const v1::HopReply &reply) const;
    void wakeWaiters();
    NodeId chooseTarget(RequestState &state);
    NodeId chooseAny(RequestState &state);
    /** @return Those of @p members that the request has not tried and that are not left out. */
    std::vector<NodeId> usableNodes(const std::vector<const MemberRecord *> &members,
                                    const RequestState &state, TimePoint now) const;
    static v1::HopReply finalReply(RequestState &state, v1::HopReply reply,
                                   const AttemptResult &end);
    bool takeRetry(const RequestState &state, TimePoint now);
    RouteCapacity &capacityOf(const RequestState &state);
    bool admit(RequestState &state);
    v1::HopReply refuseCrashing(const RequestState &state, TimePoint now);
    void recordCapacity(const RequestState &state, const v1::HopReply &reply);
    HttpResponse makeResponse(const RequestState &state, v1::HopReply reply);
    void logEnd(const RequestState &state, const v1::HopReply &reply, unsigned status);
    double random() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    asio::io_context &context_;
    const Clock &clock_;
    const RequestProtocol &protocol_;
    FleetView &view_;
    PeerLoads &loads_;
    BackendGate &gate_;
    const CrashLedger &crashes_;
    RouterSettings settings_;
    TimePoint startedAt_;
    PeerLink &peers_;
    TargetPicker targets_;
    std::map<std::string, FleetRetryBudget> budgets_; ///< By service.
    std::map<std::string, RouteCapacity> capacities_; ///< By route, for one configuration.
    uint64_t capacitiesVersion_ = 0;                  ///< Version of that configuration.
    std::mt19937_64 random_;
    RouterCounters counters_;
    /// Lines of about 300 bytes: at most 60 KB/s. A node of the users' sites answers 30 to 60
    /// requests per second and stays below this limit.
    RateLimitedEvent lines_{LogEvent::RequestEnded, 200, 400};
    RateLimitedEvent unknownRoutes_{LogEvent::RouteUnknown, 20, 40};
    RateLimitedEvent refusals_{LogEvent::RequestRefused, 20, 40};
    Histogram *duration_ = nullptr;
    RevisionExchange *revisions_ = nullptr;
    /** A request that waits for a new owner of its key. */
    struct Waiter {
        const RequestState *state = nullptr;
        asio::steady_timer *timer = nullptr;
    };
    std::list<Waiter> waiters_;
    uint64_t lastRequestId_ = 0;
    size_t openRequests_ = 0;
};

} // namespace wisteriahoist
