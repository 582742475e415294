/** @file ingress_duty.h Callers' HTTP/1.1: finds the owner, runs or forwards, answers whole. */

#pragma once

#include "adapter/http/http_server.h"
#include "adapter/http2/peer_transport.h"
#include "decision/request/keyless_balancer.h"
#include "decision/request/outlier_detector.h"
#include "decision/request/retry_policy.h"
#include "duty/duty_message.h"
#include "duty/ingress_message.h"
#include "duty/node_telemetry.h"
#include "port/clock.h"

#include <random>

namespace wisteriahoist {

/** Serves callers on its own thread; the only place that retries. */
class IngressDuty
{
public:
    IngressDuty(asio::io_context &context, const Clock &clock, NodeId self, const std::string &ip,
                uint16_t port, GateLink &gate, RetryLimits retries = {});

    void start();

    /** Stops accepting connections; what is open is served to its end. */
    void stop();

    /** Says hello with @p keys to other nodes. @pre Called before start(). */
    void authenticateWith(FleetKeys keys) { peers_.authenticateWith(std::move(keys)); }

    /** Sets where requests are counted and traced. @pre Called before start(). */
    void observeWith(NodeTelemetry &telemetry) { telemetry_ = &telemetry; }
    uint16_t port() const { return server_->port(); }

    /** @return Requests that callers wait for; readable from any thread. */
    size_t openRequests() const { return server_->openRequests(); }

    /** Takes a new routing snapshot over. */
    asio::awaitable<Accepted> onRouting(RoutingSnapshotPtr routing);

private:
    /** One caller's request while it is tried. */
    struct Try {
        v1::HopRequest hop;
        RoutingSnapshotPtr routing;
        std::shared_ptr<DisconnectSignal> caller;
        TimePoint deadline;
        TimePoint queueDeadline;
        bool idempotent = false;
        bool mayHaveRun = false; ///< An earlier try ended as unknown.
        NodeId target;           ///< Of the present try.
    };

    asio::awaitable<HttpResponse> serve(HttpRequest request,
                                        std::shared_ptr<DisconnectSignal> caller);
    asio::awaitable<HttpResponse> onRequest(HttpRequest request,
                                            std::shared_ptr<DisconnectSignal> caller);
    asio::awaitable<v1::HopReply> runWithRetries(std::shared_ptr<Try> current);
    asio::awaitable<v1::HopReply> attempt(Try &current);
    asio::awaitable<v1::HopReply> callLocal(v1::HopRequest hop);
    asio::awaitable<v1::HopReply> forwardObserved(NodeAddress address, v1::HopRequest hop);
    asio::awaitable<v1::HopReply> forward(NodeAddress address, v1::HopRequest hop);
    asio::awaitable<void> sendCancel(std::shared_ptr<Try> current);
    asio::awaitable<void> pauseBeforeRetry(const Try &current, milliseconds pause);
    RetryDecision decide(const Try &current, const v1::HopReply &reply);
    NodeId chooseTarget(const Try &current);
    NodeId chooseAny(const RoutingSnapshot &routing, const std::string &service);
    void observe(NodeId instance, const v1::HopReply &reply);
    double random() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    asio::io_context &context_;
    const Clock &clock_;
    NodeId self_;
    GateLink &gate_;
    PeerCaller peers_;
    RoutingSnapshotPtr routing_;
    std::shared_ptr<HttpServer> server_;
    RetryLimits retries_;
    std::map<std::string, RetryBudget> budgets_; ///< By service.
    std::map<NodeId, uint32_t> outstanding_;     ///< Own requests at each instance.
    OutlierDetector outliers_{OutlierLimits{}};
    std::mt19937_64 random_;
    uint64_t lastRequestId_ = 0;
    NodeTelemetry *telemetry_ = nullptr; ///< Null: nothing is counted or traced.
};

} // namespace wisteriahoist
