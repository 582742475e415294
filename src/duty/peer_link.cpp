/** @file peer_link.cpp Calls to other nodes by their member record. */

#include "duty/peer_link.h"

#include <charconv>

namespace wisteriahoist {

namespace {
/** Nodes are 1 ms apart; one that takes so long to accept a connection is cut off or without power.
 */
constexpr milliseconds ConnectTimeout{300};

/**
 * The address of a VM that has gone may belong to a new one, whose node would answer for the lost
 * one: heartbeats and probes went well, nobody took its keys over, and requests for them were
 * refused for the rest of the day. So each call names the node that it is meant for. The reply of
 * any other is no message of any schema (a field of a type that does not exist).
 */
constexpr std::string_view MisdirectedReply = "\xff\xff";

/** @return The node that @p path names behind its last slash, and the path before it. */
std::pair<std::string, NodeId> splitPath(const std::string &path)
{
    const size_t slash = path.rfind('/');
    uint64_t node = 0;
    const char *const end = path.data() + path.size();
    const auto [stopped, error] = std::from_chars(path.data() + slash + 1, end, node);
    const bool isNumber = slash != std::string::npos && error == std::errc() && stopped == end;
    return isNumber ? std::pair(path.substr(0, slash), NodeId(node)) : std::pair(path, InvalidNode);
}
} // namespace

PeerLink::PeerLink(asio::io_context &context, const std::string &ip, uint16_t port)
    : caller_(context), listener_(std::make_shared<PeerListener>(
                                context, ip, port, [this](std::string path, std::string body) {
                                    return dispatch(std::move(path), std::move(body));
                                }))
{
    caller_.limitConnect(ConnectTimeout);
}

void PeerLink::serve(const std::string &path, Answer answer)
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
    const PeerEndpoint peer{member.ip, member.peerPort};
    std::string named = std::string(path) + "/" + std::to_string(member.node.value());
    Result<std::string> reply
            = co_await caller_.call(peer, std::move(named), std::move(body), timeout);
    if (reply && reply.assume_value() == MisdirectedReply) {
        co_return Failure{FailureCode::Unavailable, "another node has the address"};
    }
    co_return reply;
}

asio::awaitable<std::string> PeerLink::dispatch(std::string path, std::string body)
{
    const auto [call, node] = splitPath(path);
    if (self_ != InvalidNode && node != self_) {
        co_return std::string(MisdirectedReply);
    }
    const auto found = answers_.find(call);
    // An empty body is no valid reply of any call: a newer node learns that this one is older.
    if (found == answers_.end()) {
        co_return std::string();
    }
    co_return co_await found->second(std::move(body));
}

} // namespace wisteriahoist
