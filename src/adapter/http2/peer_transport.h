/** @file peer_transport.h Calls between nodes: a listener, and one HTTP/2 connection to each peer
 * used. */

#pragma once

#include "adapter/http2/http2_session.h"

#include <boost/asio/io_context.hpp>
#include <map>

namespace wisteriahoist {

/** Where a peer listens. */
struct PeerEndpoint {
    std::string ip;
    uint16_t port = 0;
    auto operator<=>(const PeerEndpoint &) const = default;
};

/** Accepts connections from other nodes and answers their calls. */
class PeerListener : public std::enable_shared_from_this<PeerListener>
{
public:
    PeerListener(asio::io_context &context, const std::string &ip, uint16_t port,
                 PeerHandler handler);
    void start();
    void stop();
    uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    asio::awaitable<void> acceptLoop();

    tcp::acceptor acceptor_;
    PeerHandler handler_;
    std::vector<std::weak_ptr<Http2Session>> sessions_;
    bool stopping_ = false;
};

/** Makes calls to other nodes; opens connections when first needed and replaces lost ones. */
class PeerCaller
{
public:
    explicit PeerCaller(asio::io_context &context);

    /**
     * Calls @p path at @p peer and waits at most @p timeout for the reply.
     * @return The reply's body; Unavailable if the peer never processed the call; Ambiguous or
     *         DeadlineExceeded if it may have.
     */
    asio::awaitable<Result<std::string>> call(PeerEndpoint peer, std::string path, std::string body,
                                              milliseconds timeout);

    /** Closes every connection. */
    void closeAll();

private:
    asio::awaitable<Result<std::shared_ptr<Http2Session>>> connect(const PeerEndpoint &peer,
                                                                   milliseconds timeout);

    asio::io_context &context_;
    std::map<PeerEndpoint, std::shared_ptr<Http2Session>> sessions_;
};

} // namespace wisteriahoist
