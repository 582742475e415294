/** @file http_client.h HTTP/1.1 client with a connection pool, over Boost.Beast; used for the
 * platform and for backend servers. */

#pragma once

#include "adapter/http/http_type.h"
#include "adapter/http/response_budget.h"
#include "core/failure_type.h"
#include "decision/request/outcome_table.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace wisteriahoist {

/** Tracks the progress of one request/response exchange, configures it and can cancel it. */
class ExchangeControl
{
public:
    /** Closes the exchange's connection; the server may have executed the request. */
    void cancel();

    RequestStage stage() const { return stage_; }
    bool isCancelled() const { return cancelled_; }

    /** @return Whether the connection was refused, that is, nothing listens at the address. */
    bool isRefused() const { return refused_; }

    /** Uses a dedicated connection that is shared with no other exchange, so that no response to
     *  another request can arrive on it. */
    void useOwnConnection() { ownConnection_ = true; }

    /** Uses a connection that has carried no other exchange, so that no earlier response can arrive
     *  on it. Unlike one of useOwnConnection() it is kept for later exchanges. */
    void useNewConnection() { newConnection_ = true; }

    /** @return Whether the request was not sent because the check set by sendOnlyIf() failed. */
    bool isTooLate() const { return tooLate_; }

    /** @param isInTime Called directly before the first byte is sent; if it returns false the
     *  request is not sent. */
    void sendOnlyIf(std::function<bool()> isInTime) { isInTime_ = std::move(isInTime); }

    /** Discards responses for which @p isExpected returns false and waits for the next one. */
    void setResponseFilter(std::function<bool(const HttpResponse &)> isExpected)
    {
        isExpected_ = std::move(isExpected);
    }

private:
    friend class HttpClient;
    beast::tcp_stream *stream_ = nullptr; ///< Connection in use; nullptr if none.
    RequestStage stage_ = RequestStage::Received;
    bool cancelled_ = false;
    bool refused_ = false;
    bool ownConnection_ = false;
    bool newConnection_ = false;
    bool tooLate_ = false;
    std::function<bool()> isInTime_;                       ///< Empty: no check before sending.
    std::function<bool(const HttpResponse &)> isExpected_; ///< Empty: accepts any response.
};

/** Limits of a connection pool. */
struct PoolLimits {
    size_t idle = 128;                 ///< Maximum number of idle connections.
    std::chrono::seconds idleTime{30}; ///< Idle connections are closed after this time.
    /** TCP_USER_TIMEOUT: the connection closes if sent bytes stay unacknowledged for this time. */
    milliseconds userTimeout{2000};
    std::chrono::seconds probeAfter{5};    ///< TCP_KEEPIDLE: idle time before the first probe.
    std::chrono::seconds probeInterval{1}; ///< TCP_KEEPINTVL: time between probes.
    uint32_t probes = 3;     ///< TCP_KEEPCNT: unanswered probes before the connection is closed.
    milliseconds connect{0}; ///< Connect timeout; 0: only the timeout of the exchange applies.
    /** A response that has begun may outlast the timeout of its exchange, until nothing has arrived
     *  for this time; 0: it may not. */
    milliseconds silence{0};
    milliseconds transfer{5000}; ///< Longest time from the beginning of such a response to its end.
    uint64_t responseBytes = 16 * 1024 * 1024; ///< Maximum size of a response's body.
    /** Memory for the bodies of all responses that are being received: a server in trouble may send
     *  bytes until its connection is closed. */
    size_t heldBytes = 16 * 1024 * 1024;
    /** Memory for all responses of the process instead, if set. */
    std::shared_ptr<ResponseBudget> responseMemory{};
    /** Discard all idle connections after a timeout: a fault that silences one of them often
     * silences all, and each would cost another timeout. */
    bool discardAfterTimeout = false;
    bool allowUnframed
            = false; ///< Accept responses that are delimited by the end of the connection.
};

/**
 * Sends requests to one address over pooled connections, one request at a time per connection.
 *
 * Failures: Unavailable if no byte of the request was sent, Ambiguous or DeadlineExceeded if the
 * server may have executed the request. A connection is returned to the pool only after a complete
 * response; a connection that timed out is closed, so that a late response cannot be assigned to
 * another request.
 */
class HttpClient
{
public:
    HttpClient(asio::any_io_executor executor, const std::string &ip, uint16_t port,
               PoolLimits limits = {});

    /**
     * Sends @p request and waits at most @p timeout for the complete response.
     * @param control Optional; tracks the progress of the exchange and can cancel it.
     * @param body Optional; sent instead of the request's own, so that it need not be copied. Must
     *        exist until the exchange has ended.
     */
    asio::awaitable<Result<HttpResponse>> exchange(HttpRequest request, milliseconds timeout,
                                                   std::shared_ptr<ExchangeControl> control = {},
                                                   std::string_view body = {});

    /** Opens connections in advance until @p count are idle. */
    asio::awaitable<void> preconnect(size_t count);

    uint64_t connectionsOpened() const { return connectionsOpened_; }
    size_t idleConnections() const { return idle_.size(); }
    /** @return Bytes held for responses that are being received. */
    size_t heldResponseBytes() const { return budget_->held(); }

private:
    using Connection = std::unique_ptr<beast::tcp_stream>;
    using SteadyTime = std::chrono::steady_clock::time_point;
    struct Idle {
        Connection connection;
        SteadyTime until; ///< The server may close the connection after this time.
    };

    asio::awaitable<Result<Connection>> open(SteadyTime deadline, ExchangeControl &control);
    using ResponseParser = http::response_parser<http::string_body>;

    asio::awaitable<Result<HttpResponse>> read(beast::tcp_stream &stream, bool headOnly,
                                               SteadyTime deadline, ExchangeControl &control);
    /** @return Why the response can't be accepted, as far as its head tells; empty: it can. */
    std::string_view findHeadProblem(const ResponseParser &parser) const;
    /** Reads one response, within the limits of its size and of the memory for all. */
    asio::awaitable<beast::error_code> readOne(beast::tcp_stream &stream,
                                               beast::flat_buffer &buffer, ResponseParser &parser,
                                               SteadyTime deadline);
    void configureSocket(tcp::socket &socket) const;
    Connection acquireIdle();
    void releaseIdle(Connection connection, std::chrono::milliseconds idleTime);
    std::chrono::milliseconds idleTimeOf(const HttpResponse &response) const;

    asio::any_io_executor executor_;
    tcp::endpoint endpoint_;
    PoolLimits limits_;
    std::deque<Idle> idle_; ///< Most recently used last. Invariant: no request is outstanding on
                            ///< any of them.
    std::shared_ptr<ResponseBudget> budget_; ///< Never nullptr.
    uint64_t connectionsOpened_ = 0;
};

} // namespace wisteriahoist
