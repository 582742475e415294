/** @file peer_link.h Calls to other nodes by their member record, and serving of their calls. */

#pragma once

#include "adapter/http2/peer_transport.h"
#include "port/peer_calls.h"

#include <map>

namespace wisteriahoist {

/** The connections between this node and the others, in both directions. */
class PeerLink final : public PeerCalls
{
public:
    PeerLink(asio::io_context &context, const std::string &ip, uint16_t port);

    /** Registers the handler of @p path. @pre Called before start(). */
    void serve(const std::string &path, Handler answer) override;

    /** Rejects calls that are addressed to a node other than @p self from now on. */
    void identifyAs(NodeId self) { self_ = self; }

    void start();

    /** Stops accepting connections and closes those opened by other nodes. */
    void stop() { listener_->stop(); }

    uint16_t port() const { return listener_->port(); }

    asio::awaitable<Result<std::string>> call(const MemberRecord &member, std::string_view path,
                                              std::string body, CallTimes times) override;

    /** The same with a body of which a part need not be copied. */
    asio::awaitable<Result<std::string>>
    callWithBody(const MemberRecord &member, std::string_view path, PeerBody body, CallTimes times);

    /** Bounds the memory for calls and their replies. @pre Called before start(). */
    void limitMemory(const PeerMemory &memory);

private:
    asio::awaitable<std::string> dispatch(std::string path, std::string body);

    PeerCaller caller_;
    NodeId self_; ///< InvalidNode: all calls are accepted.
    std::shared_ptr<PeerListener> listener_;
    std::map<std::string, Handler, std::less<>> answers_;
};

} // namespace wisteriahoist
