/** @file admin_duty.h Operators' calls and backend servers' announcements, over HTTP/1.1. */

#pragma once

#include "adapter/auth/fleet_authenticator.h"
#include "adapter/http/http_server.h"
#include "duty/duty_message.h"
#include "duty/node_telemetry.h"

namespace wisteriahoist {

/** Serves the admin address on its own thread. */
class AdminDuty
{
public:
    /** @param keys The fleet's keys; empty: operators' calls need no signature. */
    AdminDuty(asio::io_context &context, const std::string &ip, uint16_t port, FleetKeys keys,
              AdminLink &control, const NodeTelemetry &telemetry);

    void start();
    void stop();
    uint16_t port() const { return server_->port(); }

    /** Operators' calls that were refused; read by any thread. */
    const AuthCounters &refusals() const { return verifier_.counters(); }

private:
    asio::awaitable<HttpResponse> onRequest(HttpRequest request);
    asio::awaitable<HttpResponse> onAnnounce(const HttpRequest &request);
    asio::awaitable<HttpResponse> onOperator(std::string method, const HttpRequest &request);
    HttpResponse onGet(const std::string &target) const;
    asio::awaitable<HttpResponse> passOn(AdminCall call);
    Result<void> authenticate(const HttpRequest &request);

    AdminLink &control_;
    const NodeTelemetry &telemetry_;
    std::string ip_;        ///< This node's; part of what a signature covers.
    CallVerifier verifier_; ///< Admin thread only.
    std::shared_ptr<HttpServer> server_;
};

} // namespace wisteriahoist
