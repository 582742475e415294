/** @file peer_transport.h Calls between nodes: a listener, and one HTTP/2 connection to each peer
 * used. */

#pragma once

#include "adapter/auth/peer_hello.h"
#include "adapter/http2/silence_watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace wisteriahoist {

/** Where a peer listens. */
struct PeerEndpoint {
    std::string ip;
    uint16_t port = 0;
    auto operator<=>(const PeerEndpoint &) const = default;
};

/** Fewer sessions than this are not searched for those that have ended. */
inline constexpr size_t LeastPruned = 16;

/** Accepts connections from other nodes and answers their calls. */
class PeerListener : public std::enable_shared_from_this<PeerListener>
{
public:
    PeerListener(asio::io_context &context, const std::string &ip, uint16_t port,
                 PeerHandler handler);
    void start();
    void stop();

    /** From now on a connection's calls are handled only after a hello. */
    void requireHello(FleetKeys keys) { guard_ = std::make_shared<PeerGuard>(std::move(keys)); }

    /** @return The refusals; nullptr if no hello is required. */
    const AuthCounters *refusals() const { return guard_ ? &guard_->counters() : nullptr; }

    uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    asio::awaitable<void> acceptLoop();

    tcp::acceptor acceptor_;
    PeerHandler handler_;
    std::shared_ptr<PeerGuard> guard_; ///< Absent: peers need no key.
    std::vector<std::weak_ptr<Http2Session>> sessions_;
    size_t pruneAt_ = LeastPruned; ///< Number of sessions at which ended ones are dropped.
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

    /** From now on each connection begins with a hello. */
    void authenticateWith(FleetKeys keys) { keys_ = std::move(keys); }

    /** Bounds the opening of a connection; without it, a call's own timeout does. */
    void limitConnect(milliseconds timeout) { connectTimeout_ = timeout; }

    /** @return Connections that were given up at the hello, by either side. */
    uint64_t helloFailures() const { return helloFailures_; }

private:
    asio::awaitable<Result<std::string>> callSession(std::shared_ptr<Http2Session> session,
                                                     std::string path, std::string body,
                                                     milliseconds timeout);
    asio::awaitable<Result<void>> sayHello(std::shared_ptr<Http2Session> session,
                                           milliseconds timeout);
    /** A connection that is being opened; everyone who needs it waits for the same one. */
    struct Opening {
        explicit Opening(asio::io_context &context) : ended(context) { }
        asio::steady_timer ended; ///< Cancelled when the attempt has ended.
    };

    asio::awaitable<Result<std::shared_ptr<Http2Session>>> connect(const PeerEndpoint &peer,
                                                                   milliseconds timeout);
    asio::awaitable<Result<std::shared_ptr<Http2Session>>> open(const PeerEndpoint &peer,
                                                                milliseconds timeout);

    asio::io_context &context_;
    std::shared_ptr<SilenceWatch> silence_;
    std::map<PeerEndpoint, std::shared_ptr<Http2Session>>
            sessions_;             ///< With keys_: each has said its hello.
    size_t pruneAt_ = LeastPruned; ///< Number of sessions at which closed ones are dropped.
    std::map<PeerEndpoint, std::shared_ptr<Opening>> opening_;
    FleetKeys keys_;                 ///< The first signs; empty: no hello is said.
    milliseconds connectTimeout_{0}; ///< 0: none of its own.
    uint64_t helloFailures_ = 0;
};

} // namespace wisteriahoist
