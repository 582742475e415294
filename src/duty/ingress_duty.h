/** @file ingress_duty.h Callers' HTTP/1.1: finds the owner, runs or forwards, answers whole. */

#pragma once

#include "adapter/http/http_server.h"
#include "adapter/http2/peer_transport.h"
#include "decision/request/route_resolver.h"
#include "duty/duty_message.h"

namespace wisteriahoist {

/** Serves callers on its own thread. */
class IngressDuty
{
public:
    IngressDuty(asio::io_context &context, NodeId self, const std::string &ip, uint16_t port,
                GateLink &gate);

    void start();
    void stop();

    /** Says hello with @p keys to other nodes. @pre Called before start(). */
    void introduceWith(FleetKeys keys) { peers_.introduceWith(std::move(keys)); }
    uint16_t port() const { return server_->port(); }

    /** Takes a new routing snapshot over. */
    asio::awaitable<Accepted> onRouting(RoutingSnapshotPtr routing);

private:
    asio::awaitable<HttpResponse> onRequest(HttpRequest request);
    asio::awaitable<v1::HopReply> dispatch(const RoutingSnapshot &routing,
                                           const ResolvedRequest &resolved, v1::HopRequest hop);
    asio::awaitable<v1::HopReply> forward(const MemberInfo &owner, v1::HopRequest hop);
    const MemberInfo *chooseInstance(const RoutingSnapshot &routing, const std::string &service);
    v1::HopRequest makeHop(const HttpRequest &request, const ResolvedRequest &resolved);

    NodeId self_;
    GateLink &gate_;
    PeerCaller peers_;
    RoutingSnapshotPtr routing_;
    std::shared_ptr<HttpServer> server_;
    uint64_t lastRequestId_ = 0;
    size_t nextInstance_ = 0;
};

} // namespace wisteriahoist
