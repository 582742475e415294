/** @file request_router.h Callers' requests: finds the route and the instance, tries, answers. */

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

/** What the router has to know of its own node. */
struct RouterSettings {
    NodeId node;
    std::string failureDomain;
    std::string service;
    FleetRetryLimits retries;
};

/** What the router counts. */
struct RouterCounters {
    uint64_t requests = 0;
    uint64_t served = 0; ///< With an instance's own answer.
    uint64_t notRun = 0;
    uint64_t unknown = 0;
    uint64_t forwarded = 0; ///< Attempts at other nodes.
    uint64_t retries = 0;   ///< Attempts that drew on the budget.
    uint64_t callersDisconnected = 0;
    uint64_t throttled = 0; ///< Refused without asking any node for room.
};

/**
 * The first node of a request: the one that its caller is connected to. Only this node tries
 * again, so a request makes as many attempts as its route allows whatever the number of hops.
 */
class RequestRouter
{
public:
    RequestRouter(asio::io_context &context, const Clock &clock, const RequestProtocol &protocol,
                  FleetView &view, PeerLoads &loads, BackendGate &gate, PeerLink &peers,
                  RouterSettings settings);

    asio::awaitable<HttpResponse> onRequest(HttpRequest request,
                                            std::shared_ptr<DisconnectSignal> caller);

    /** @return Whether @p member answers at all. */
    asio::awaitable<bool> probe(MemberRecord member);

    size_t openRequests() const { return open_; }
    const RouterCounters &counters() const { return counters_; }
    uint64_t droppedLines() const { return lines_.dropped(); }

    /** @param duration Gets the seconds from each request to its answer. */
    void observeWith(Histogram &duration) { duration_ = &duration; }

    /** Each answer between nodes tells what the answering one has heard of the store. */
    void setRevisionExchange(RevisionExchange &news) { news_ = &news; }

    /** Takes over another budget; what was spent of the old one is forgotten. */
    void setRetryLimits(const FleetRetryLimits &retries);

private:
    /** One caller's request and its attempts. */
    struct Work {
        std::shared_ptr<const RouteTable> routes; ///< Keeps route alive.
        const Route *route = nullptr;
        v1::HopRequest hop;
        std::shared_ptr<DisconnectSignal> caller;
        AttemptHistory history;
        TimePoint startedAt;
        TimePoint deadline;
        TimePoint objective;
        NodeId target; ///< Of the present attempt.
        std::set<NodeId> asked;
        std::optional<RangeEntry> routingSeen; ///< Of its key, when the target was chosen.
        std::optional<KeyOwner> toldOwner;     ///< By a node that holds the key no more.
        milliseconds retryAfter{0};            ///< The shortest that any node gave.
        v1::HopReply earlierAnswer;            ///< Set if history.answered.
    };

    /** What this node has learned of the room for one route's requests. */
    struct RouteRoom {
        AdaptiveThrottle throttle;
        milliseconds retryAfter{0}; ///< That the latest refusal gave.
    };

    HttpResponse refuse(http::status status, std::string_view type, const std::string &detail,
                        milliseconds retryAfter) const;
    std::shared_ptr<Work> makeWork(const HttpRequest &request, const RequestMetadata &terms,
                                   const Route &route, std::shared_ptr<DisconnectSignal> caller);
    asio::awaitable<v1::HopReply> runAttempts(std::shared_ptr<Work> work);
    asio::awaitable<v1::HopReply> attempt(std::shared_ptr<Work> work);
    asio::awaitable<v1::HopReply> forward(MemberRecord member, const v1::HopRequest &hop);
    asio::awaitable<std::string> onHop(std::string body);
    asio::awaitable<std::string> onProbe();
    void tellNews(v1::HopReply &reply) const;
    void hearNews(const v1::HopReply &reply, TimePoint now);
    asio::awaitable<void> awaitRouting(std::shared_ptr<Work> work);
    asio::awaitable<void> sendCancel(NodeId target, uint64_t requestId);
    const RangeEntry *findOwner(const Work &work) const;
    bool learnOwner(Work &work, const v1::HopReply &reply) const;
    void wakeWaiters();
    NodeId chooseTarget(Work &work);
    NodeId chooseAny(Work &work);
    /** @return Those of @p members that the request has not asked and that are not left out. */
    std::vector<NodeId> usableNodes(const std::vector<const MemberRecord *> &members,
                                    const Work &work, TimePoint now) const;
    static v1::HopReply finalReply(Work &work, v1::HopReply reply, const AttemptEnd &end);
    bool takeRepeat(const Work &work, TimePoint now);
    RouteRoom &roomOf(const Work &work);
    bool admit(Work &work);
    void learnRoom(const Work &work, const v1::HopReply &reply);
    HttpResponse makeAnswer(const Work &work, v1::HopReply reply);
    void logEnd(const Work &work, const v1::HopReply &reply, unsigned status);
    double random() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    asio::io_context &context_;
    const Clock &clock_;
    const RequestProtocol &protocol_;
    FleetView &view_;
    PeerLoads &loads_;
    BackendGate &gate_;
    RouterSettings settings_;
    PeerLink &peers_;
    TargetPicker targets_;
    std::map<std::string, FleetRetryBudget> budgets_; ///< By service.
    std::map<std::string, RouteRoom> rooms_;          ///< By route, of one configuration.
    uint64_t roomsVersion_ = 0;                       ///< Of that configuration.
    std::mt19937_64 random_;
    RouterCounters counters_;
    /// Lines of about 300 bytes: 60 KB/s at most. A node of the users' sites answers 30 to 60
    /// requests a second and stays below it.
    RateLimitedEvent lines_{LogEvent::RequestEnded, 200, 400};
    Histogram *duration_ = nullptr;
    RevisionExchange *news_ = nullptr;
    /** A request that waits until its key has another holder. */
    struct Waiter {
        const Work *work = nullptr;
        asio::steady_timer *timer = nullptr;
    };
    std::list<Waiter> waiters_;
    uint64_t lastRequest_ = 0;
    size_t open_ = 0;
};

} // namespace wisteriahoist
