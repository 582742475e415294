/** @file peer_transport.h Calls between nodes: a listener, and one HTTP/2 connection per peer. */

#pragma once

#include "adapter/auth/peer_hello.h"
#include "adapter/http2/keepalive_monitor.h"
#include "port/peer_calls.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace wisteriahoist {

/** Listen address of a peer. */
struct PeerEndpoint {
    std::string ip;
    uint16_t port = 0;
    auto operator<=>(const PeerEndpoint &) const = default;
};

/** Number of sessions below which closed ones are not pruned. */
inline constexpr size_t MinPruneCount = 16;

/** Accepts connections from other nodes and handles their calls. */
class PeerListener : public std::enable_shared_from_this<PeerListener>
{
public:
    PeerListener(asio::io_context &context, const std::string &ip, uint16_t port,
                 PeerHandler handler);
    void start();
    void stop();

    /** Bounds the memory for calls and their replies. @pre Called before start(). */
    void limitMemory(PeerMemory memory) { memory_ = std::move(memory); }

    /** Requires a successful hello handshake on each new connection before its calls are handled.
     */
    void requireHello(FleetKeys keys) { guard_ = std::make_shared<PeerGuard>(std::move(keys)); }

    /** @return Counters of rejected peers; nullptr if no hello is required. */
    const AuthCounters *refusals() const { return guard_ ? &guard_->counters() : nullptr; }

    uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    asio::awaitable<void> acceptLoop();

    tcp::acceptor acceptor_;
    PeerHandler handler_;
    PeerMemory memory_;
    std::shared_ptr<PeerGuard> guard_; ///< nullptr: peers are not authenticated.
    std::vector<std::weak_ptr<Http2Session>> sessions_;
    size_t pruneAt_ = MinPruneCount; ///< Number of sessions at which closed ones are removed.
    bool stopping_ = false;
};

/** Sends calls to other nodes. Opens connections on demand and replaces lost ones. */
class PeerCaller
{
public:
    explicit PeerCaller(asio::io_context &context);

    /**
     * Calls @p path at @p peer and waits for the reply within the limits of @p times.
     * @return The reply body; Unavailable if the peer has not processed the call, Overloaded if it
     *         refused to; Ambiguous or DeadlineExceeded if it may have.
     */
    asio::awaitable<Result<std::string>> call(PeerEndpoint peer, std::string path, PeerBody body,
                                              CallTimes times);

    /** Bounds the memory for replies. */
    void limitMemory(PeerMemory memory) { memory_ = std::move(memory); }

    /** Closes all connections. */
    void closeAll();

    /** Sets the keys for the hello handshake at the start of each new connection. */
    void authenticateWith(FleetKeys keys) { keys_ = std::move(keys); }

    /** Sets the connect timeout; without it, only the timeout of the call applies. */
    void limitConnect(milliseconds timeout) { connectTimeout_ = timeout; }

    /** @return Number of connections that failed in the hello handshake. */
    uint64_t helloFailures() const { return helloFailures_; }

private:
    asio::awaitable<Result<std::string>> callSession(std::shared_ptr<Http2Session> session,
                                                     std::string path, PeerBody body,
                                                     CallTimes times);
    asio::awaitable<Result<void>> performHello(std::shared_ptr<Http2Session> session,
                                               milliseconds timeout);
    /** A connection attempt in progress; all calls to the same peer wait for it. */
    struct ConnectAttempt {
        explicit ConnectAttempt(asio::io_context &context) : ended(context) { }
        asio::steady_timer ended; ///< Cancelled when the attempt completes.
    };

    asio::awaitable<Result<std::shared_ptr<Http2Session>>> connect(const PeerEndpoint &peer,
                                                                   milliseconds timeout);
    asio::awaitable<Result<std::shared_ptr<Http2Session>>> open(const PeerEndpoint &peer,
                                                                milliseconds timeout);

    asio::io_context &context_;
    std::shared_ptr<KeepaliveMonitor> monitor_;
    PeerMemory memory_;
    std::map<PeerEndpoint, std::shared_ptr<Http2Session>>
            sessions_;               ///< If keys_ is set, all have completed the hello handshake.
    size_t pruneAt_ = MinPruneCount; ///< Number of sessions at which closed ones are removed.
    std::map<PeerEndpoint, std::shared_ptr<ConnectAttempt>> attempts_;
    FleetKeys keys_;                 ///< The first key signs; empty: no handshake.
    milliseconds connectTimeout_{0}; ///< 0: only the timeout of the call applies.
    uint64_t helloFailures_ = 0;
};

} // namespace wisteriahoist
