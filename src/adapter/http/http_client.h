/** @file http_client.h A pooled HTTP/1.1 client over Boost.Beast, for the platform and backend
 * servers. */

#pragma once

#include "adapter/http/http_type.h"
#include "core/failure_type.h"
#include "decision/request/outcome_table.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace wisteriahoist {

/** How far one exchange has come, and the way to end it early. */
class ExchangeControl
{
public:
    /** Closes the exchange's connection; the other side may have acted. */
    void cancel();

    RequestStage stage() const { return stage_; }
    bool isCancelled() const { return cancelled_; }

    /** @return Whether the address refused the connection: nothing listens there. */
    bool isRefused() const { return refused_; }

    /** The exchange gets a connection that no other one has used or will use, so that no answer of
     *  another request can be read there. */
    void useOwnConnection() { ownConnection_ = true; }

    /** @return Whether nothing was sent since it was too late for that. */
    bool isTooLate() const { return tooLate_; }

    /** @param isInTime Asked right before the first byte is sent; if not, nothing is sent. */
    void sendOnlyIf(std::function<bool()> isInTime) { isInTime_ = std::move(isInTime); }

    /** Answers for which @p belongs is false are dropped, and the next one is waited for. */
    void setResponseFilter(std::function<bool(const HttpResponse &)> belongs)
    {
        belongs_ = std::move(belongs);
    }

private:
    friend class HttpClient;
    beast::tcp_stream *stream_ = nullptr; ///< Set while a connection is in use.
    RequestStage stage_ = RequestStage::Received;
    bool cancelled_ = false;
    bool refused_ = false;
    bool ownConnection_ = false;
    bool tooLate_ = false;
    std::function<bool()> isInTime_;                    ///< Empty: it is sent whenever that may be.
    std::function<bool(const HttpResponse &)> belongs_; ///< Empty: any answer belongs.
};

/** Bounds of a client's pool. */
struct PoolLimits {
    size_t idle = 128;                     ///< Connections kept without a request.
    std::chrono::seconds idleTime{30};     ///< An older one is closed.
    milliseconds silence{2000};            ///< Unacknowledged bytes for so long end a connection.
    std::chrono::seconds probeAfter{5};    ///< A connection without any bytes is probed then.
    std::chrono::seconds probeInterval{1}; ///< Between two probes.
    uint32_t probes = 3;                   ///< Unanswered ones that end it.
    milliseconds connect{0};               ///< For a new connection; 0: the exchange's timeout.
    bool unframed = false; ///< Answers that end with their connection are taken for whole.
};

/**
 * Sends requests to one address over pooled connections, one request at a time on each.
 *
 * Failures: Unavailable if no byte of the request was sent, Ambiguous or DeadlineExceeded if the
 * other side may have acted. A connection is returned to the pool only after a whole answer: a
 * connection that timed out is closed, so that a late answer can never reach another request.
 */
class HttpClient
{
public:
    HttpClient(asio::any_io_executor executor, const std::string &ip, uint16_t port,
               PoolLimits limits = {});

    /**
     * Sends @p request and waits at most @p timeout for the whole answer.
     * @param control Optional; tells how far the exchange has come, and can end it.
     */
    asio::awaitable<Result<HttpResponse>> exchange(HttpRequest request, milliseconds timeout,
                                                   std::shared_ptr<ExchangeControl> control = {});

    /** Opens connections ahead of need until @p count are idle. */
    asio::awaitable<void> preconnect(size_t count);

    uint64_t connectionsOpened() const { return connectionsOpened_; }
    size_t idleConnections() const { return idle_.size(); }

private:
    using Connection = std::unique_ptr<beast::tcp_stream>;
    using SteadyTime = std::chrono::steady_clock::time_point;
    struct Idle {
        Connection connection;
        SteadyTime until; ///< The other side may close it after that.
    };

    asio::awaitable<Result<Connection>> open(SteadyTime deadline, ExchangeControl &control);
    asio::awaitable<Result<HttpResponse>> read(beast::tcp_stream &stream, bool headOnly,
                                               ExchangeControl &control);
    void limitSilence(tcp::socket &socket) const;
    Connection takeIdle();
    void putIdle(Connection connection, std::chrono::milliseconds idleTime);
    std::chrono::milliseconds idleTimeOf(const HttpResponse &response) const;

    asio::any_io_executor executor_;
    tcp::endpoint endpoint_;
    PoolLimits limits_;
    std::deque<Idle> idle_; ///< The last one was used last. Invariant: no request is outstanding on
                            ///< any of them.
    uint64_t connectionsOpened_ = 0;
};

} // namespace wisteriahoist
