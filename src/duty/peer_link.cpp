/** @file peer_link.cpp Calls to other nodes by their member record. */

#include "duty/peer_link.h"

namespace wisteriahoist {

namespace {
/** Nodes are 1 ms apart; one that takes so long to accept a connection is cut off or without power.
 */
constexpr milliseconds ConnectTimeout{300};
} // namespace

PeerLink::PeerLink(asio::io_context &context, const std::string &ip, uint16_t port)
    : caller_(context), listener_(std::make_shared<PeerListener>(
                                context, ip, port, [this](std::string path, std::string body) {
                                    return dispatch(std::move(path), std::move(body));
                                }))
{
    caller_.limitConnect(ConnectTimeout);
}

void PeerLink::serve(const std::string &path,
                     std::function<asio::awaitable<std::string>(std::string)> answer)
{
    answers_[path] = std::move(answer);
}

void PeerLink::start()
{
    listener_->start();
}

asio::awaitable<Result<std::string>> PeerLink::call(const MemberRecord &member,
                                                    std::string_view path, std::string body,
                                                    milliseconds timeout)
{
    return caller_.call(PeerEndpoint{member.ip, member.peerPort}, std::string(path),
                        std::move(body), timeout);
}

asio::awaitable<std::string> PeerLink::dispatch(std::string path, std::string body)
{
    const auto found = answers_.find(path);
    // An empty body is no valid reply of any call: a newer node learns that this one is older.
    if (found == answers_.end()) {
        co_return std::string();
    }
    co_return co_await found->second(std::move(body));
}

} // namespace wisteriahoist
