/** @file admin_duty.h Operators' calls and backend servers' announcements, over HTTP/1.1. */

#pragma once

#include "adapter/http/http_server.h"
#include "duty/duty_message.h"
#include "duty/node_signals.h"

namespace wisteriahoist {

/** Serves the admin address on its own thread. */
class AdminDuty
{
public:
    AdminDuty(asio::io_context &context, const std::string &ip, uint16_t port, AdminLink &control,
              const NodeSignals &signals);

    void start();
    void stop();
    uint16_t port() const { return server_->port(); }

private:
    asio::awaitable<HttpResponse> onRequest(HttpRequest request);
    asio::awaitable<HttpResponse> onAnnounce(const HttpRequest &request);
    HttpResponse onGet(const std::string &target) const;
    asio::awaitable<HttpResponse> passOn(AdminCall call);

    AdminLink &control_;
    const NodeSignals &signals_;
    std::shared_ptr<HttpServer> server_;
};

} // namespace wisteriahoist
