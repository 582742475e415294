/** @file peer_link.cpp Calls to other nodes by their member record. */

#include "duty/peer_link.h"

#include <charconv>

namespace wisteriahoist {

namespace {
/** Latency between nodes is 1 ms; a node that does not accept a connection within this time is
 *  partitioned or has no power. */
constexpr milliseconds ConnectTimeout{300};

/**
 * Reply to a call that is addressed to another node: no valid message of any schema (a field with a
 * type that does not exist). The address of a lost VM may be reused by a new one, whose node would
 * answer for the lost node: heartbeats and probes succeeded, no node took over the keys, and
 * requests for them were refused for the rest of the day. Each call therefore names its addressee.
 */
constexpr std::string_view MisdirectedReply = "\xff\xff";

/** @return The path before the last slash of @p path, and the node id after it. */
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

void PeerLink::serve(const std::string &path, Handler answer)
{
    answers_[path] = std::move(answer);
}

void PeerLink::start()
{
    listener_->start();
}

void PeerLink::limitMemory(const PeerMemory &memory)
{
    caller_.limitMemory(memory);
    listener_->limitMemory(memory);
}

asio::awaitable<Result<std::string>>
PeerLink::call(const MemberRecord &member, std::string_view path, std::string body, CallTimes times)
{
    return callWithBody(member, path, PeerBody(std::move(body)), times);
}

asio::awaitable<Result<std::string>> PeerLink::callWithBody(const MemberRecord &member,
                                                            std::string_view path, PeerBody body,
                                                            CallTimes times)
{
    const PeerEndpoint peer{member.ip, member.peerPort};
    std::string addressed = std::string(path) + "/" + std::to_string(member.node.value());
    Result<std::string> reply
            = co_await caller_.call(peer, std::move(addressed), std::move(body), times);
    if (reply && reply.assume_value() == MisdirectedReply) {
        co_return Failure{FailureCode::Unavailable, "the address is used by another node"};
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
    // An empty body is not a valid reply of any call: it shows a newer node that this one is older.
    if (found == answers_.end()) {
        co_return std::string();
    }
    co_return co_await found->second(std::move(body));
}

} // namespace wisteriahoist
