/** @file peer_duty.cpp Serves calls from other nodes: forwarded requests and renewals. */

#include "duty/peer_duty.h"

namespace wisteriahoist {

PeerDuty::PeerDuty(asio::io_context &context, const std::string &ip, uint16_t port, GateLink &gate,
                   RenewLink &renew)
    : gate_(gate), renew_(renew),
      listener_(std::make_shared<PeerListener>(context, ip, port,
                                               [this](std::string path, std::string body) {
                                                   return onCall(std::move(path), std::move(body));
                                               }))
{ }

void PeerDuty::start()
{
    listener_->start();
}

void PeerDuty::stop()
{
    listener_->stop();
}

asio::awaitable<std::string> PeerDuty::onCall(std::string path, std::string body)
{
    if (path == "/hop") {
        co_return co_await onHop(std::move(body));
    }
    if (path == "/renew") {
        Result<std::string> reply = co_await renew_.call(std::move(body));
        co_return reply ? std::move(reply.assume_value()) : std::string();
    }
    co_return std::string();
}

asio::awaitable<std::string> PeerDuty::onHop(std::string body)
{
    v1::HopReply reply;
    v1::HopRequest request;
    reply.set_outcome(v1::HOP_OUTCOME_NOT_RUN);
    if (!request.ParseFromString(body)) {
        reply.set_status(400);
        reply.set_reason("malformed-hop");
        co_return reply.SerializeAsString();
    }
    Result<v1::HopReply> answer = co_await gate_.call(std::move(request));
    if (answer) {
        co_return answer.assume_value().SerializeAsString();
    }
    reply.set_status(503);
    reply.set_reason("overloaded");
    reply.set_retry_after_ms(200);
    co_return reply.SerializeAsString();
}

} // namespace wisteriahoist
