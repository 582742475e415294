/** @file http_connection.h Server side of one HTTP/1.1 connection, with pipelining. */

#pragma once

#include "adapter/http/http_type.h"
#include "adapter/http/response_budget.h"

#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <optional>
#include <set>

namespace wisteriahoist {

class HttpConnection;

/** State shared by a server and its connections. Used by one thread, except openRequests. */
struct HttpServerState {
    HttpLimits limits;
    CancellableHttpHandler handler;
    std::atomic<size_t> openRequests{0};
    std::shared_ptr<MemoryBudget> requestMemory;    ///< nullptr: not limited.
    std::shared_ptr<ResponseBudget> responseMemory; ///< nullptr: not limited.
    uint64_t rejectedForMemory = 0;         ///< Requests rejected since there was no memory.
    std::set<HttpConnection *> connections; ///< Invariant: at most limits.connections.
    bool stopping = false;                  ///< No new connections are accepted.
    bool closingAfterResponses = false;     ///< Connections close after their pending responses.
    bool closingIdle = false;               ///< Idle connections are closed.
};

/**
 * Reads requests while earlier ones run, and sends the responses in request order. Safe requests
 * (GET, HEAD) without a body run concurrently, up to a limit. Any other request runs only after all
 * earlier ones have been answered, and no other request runs concurrently with it.
 *
 * Invariants: the server does not close a connection before all dispatched requests have been
 * answered. No request after a response with "Connection: close" is dispatched, so the caller may
 * resend it. When the server stops, the read loops close idle connections, because only they know
 * that no bytes have arrived.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    /** @param memory What the connection itself needs, see OwnBytes. */
    HttpConnection(std::shared_ptr<HttpServerState> server, tcp::socket socket,
                   MemoryBudget::Reservation memory);
    ~HttpConnection();

    /** Memory of a connection without a body, in bytes: its buffers and coroutines, and a head that
     *  is being received. */
    static constexpr size_t OwnBytes = 16 * 1024;

    void start();

    /** Closes the connection unless a request has begun to arrive; such a request is answered. */
    void closeIfIdle();

private:
    using Parser = http::request_parser<http::string_body>;

    /** A dispatched request whose response has not been sent completely. */
    struct Exchange {
        std::shared_ptr<DisconnectSignal> disconnect = std::make_shared<DisconnectSignal>();
        std::optional<HttpResponse> response;
        std::optional<ResponseBudget::Delivery> delivery; ///< Memory of the response.
        bool headOnly = false;
        bool keepAlive = true;
        bool runsExclusively = false; ///< No other request may run concurrently.
        bool isInterim = false;       ///< 100 Continue; the final response follows.
    };
    using ExchangePtr = std::shared_ptr<Exchange>;

    asio::awaitable<void> readLoop();
    asio::awaitable<void> runHandler(ExchangePtr exchange, HttpRequest request);
    asio::awaitable<void> writeResponses();
    asio::awaitable<bool> write(Exchange &exchange, bool last);
    void parse();
    bool parseOne();
    bool checkHead();
    /** Takes memory for the body as far as it is known. @return Whether there is room. */
    bool reserveBody();
    void rejectForMemory();
    void onRequest(HttpRequest request);
    bool canRun(const HttpRequest &request) const;
    void dispatch(HttpRequest request);
    void dispatchWaiting();
    void reject(HttpResponse response);
    void startWriting(const ExchangePtr &exchange);
    void stopReading();
    void onCallerDisconnected();
    void shutdownSending();
    void close();
    void startIdleTimer(milliseconds after);
    void recordActivity();
    bool isIdle() const;
    bool canCloseIdle() const;

    std::shared_ptr<HttpServerState> server_;
    tcp::socket socket_;
    asio::steady_timer idleTimer_;
    std::array<char, 8192> chunk_; ///< Buffer of the current read.
    beast::flat_buffer buffer_;    ///< Received but not parsed.
    std::optional<Parser> parser_;
    MemoryBudget::Reservation memory_;             ///< Of the connection itself.
    MemoryBudget::Reservation bodyMemory_;         ///< Of the request being read or waiting.
    std::optional<HttpRequest> waitingRequest_;    ///< Complete; waits until it may run.
    std::deque<ExchangePtr> pending_;              ///< In request order.
    std::chrono::steady_clock::time_point headAt_; ///< Of the request being read or waiting.
    std::chrono::steady_clock::time_point lastActivity_;
    std::chrono::steady_clock::time_point lingerEnd_; ///< Latest end of a connection that lingers.
    bool countedAsOpen_ = false;   ///< Whether the request being read is counted in openRequests.
    bool reading_ = true;          ///< False: received bytes are discarded.
    bool writing_ = false;         ///< Invariant: at most one coroutine writes.
    bool sendingShutDown_ = false; ///< All responses are sent; received bytes are discarded.
    bool closed_ = false;
};

} // namespace wisteriahoist
