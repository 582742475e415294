/** @file peer_duty.h Serves calls from other nodes: forwarded requests and renewals. */

#pragma once

#include "adapter/http2/peer_transport.h"
#include "duty/duty_message.h"

namespace wisteriahoist {

/** Listens for other nodes on its own thread. */
class PeerDuty
{
public:
    PeerDuty(asio::io_context &context, const std::string &ip, uint16_t port, GateLink &gate,
             RenewLink &renew);

    void start();
    void stop();

    /** Serves calls only after a hello authenticated with one of @p keys. @pre Before start(). */
    void requireHello(FleetKeys keys) { listener_->requireHello(std::move(keys)); }
    uint16_t port() const { return listener_->port(); }

    /** @return Counters of refused hellos and calls; nullptr if no hello is required. */
    const AuthCounters *refusals() const { return listener_->refusals(); }

private:
    asio::awaitable<std::string> onCall(std::string path, std::string body);
    asio::awaitable<std::string> onHop(std::string body);

    GateLink &gate_;
    RenewLink &renew_;
    std::shared_ptr<PeerListener> listener_;
};

} // namespace wisteriahoist
