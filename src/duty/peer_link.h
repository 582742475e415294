/** @file peer_link.h Calls to other nodes by their member record, and who answers theirs. */

#pragma once

#include "adapter/http2/peer_transport.h"
#include "port/peer_calls.h"

#include <map>

namespace wisteriahoist {

/** The connections of one node to the others, in both directions. */
class PeerLink final : public PeerCalls
{
public:
    PeerLink(asio::io_context &context, const std::string &ip, uint16_t port);

    /** @pre Called before start(). */
    void serve(const std::string &path, Answer answer) override;

    /** From now on calls that are meant for another node are not taken. */
    void identifyAs(NodeId self) { self_ = self; }

    void start();

    /** Accepts no more and closes the connections that others have opened. */
    void stop() { listener_->stop(); }

    uint16_t port() const { return listener_->port(); }

    asio::awaitable<Result<std::string>> call(const MemberRecord &member, std::string_view path,
                                              std::string body, milliseconds timeout) override;

private:
    asio::awaitable<std::string> dispatch(std::string path, std::string body);

    PeerCaller caller_;
    NodeId self_; ///< InvalidNode: every call is taken.
    std::shared_ptr<PeerListener> listener_;
    std::map<std::string, Answer, std::less<>> answers_;
};

} // namespace wisteriahoist
