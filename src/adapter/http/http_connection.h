/** @file http_connection.h One connection of a caller: requests in, answers out in their order. */

#pragma once

#include "adapter/http/http_type.h"

#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <optional>
#include <set>

namespace wisteriahoist {

class HttpConnection;

/** What a server and its connections share. Used by one thread, but for openRequests. */
struct HttpServerState {
    HttpLimits limits;
    CancellableHttpHandler handler;
    std::atomic<size_t> openRequests{0};
    std::set<HttpConnection *> connections; ///< Invariant: at most limits.connections.
    bool stopping = false;                  ///< Nothing is accepted any more.
    bool closing = false;                   ///< Each connection ends with the answers that are due.
    bool closed = false;                    ///< Idle connections end.
};

/**
 * Reads requests while earlier ones run, and answers them in the order in which they came. Requests
 * without effect (GET, HEAD) and without a body run at the same time, up to a bound; any other one
 * runs when all before it have been answered and nothing runs beside it.
 *
 * Invariants: what was passed on is answered before the connection is closed from here; behind an
 * answer that announces the close nothing has been passed on, so a caller may send it again; when
 * a server stops, idle connections are ended by their read loops, which alone know that nothing has
 * arrived.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(std::shared_ptr<HttpServerState> server, tcp::socket socket);
    ~HttpConnection();

    void start();

    /** Closes the connection unless a request has begun to arrive on it, which is then answered. */
    void closeIfIdle();

private:
    using Parser = http::request_parser<http::string_body>;

    /** One request whose answer is due. */
    struct Exchange {
        std::shared_ptr<DisconnectSignal> caller = std::make_shared<DisconnectSignal>();
        std::optional<HttpResponse> response;
        bool headOnly = false;
        bool keepAlive = true;
        bool runsAlone = false; ///< Nothing may run beside it.
        bool isInterim = false; ///< 100 Continue; its request's answer follows.
    };
    using ExchangePtr = std::shared_ptr<Exchange>;

    asio::awaitable<void> readLoop();
    asio::awaitable<void> runHandler(ExchangePtr exchange, HttpRequest request);
    asio::awaitable<void> writeAnswers();
    asio::awaitable<bool> write(Exchange &exchange, bool last);
    void parse();
    bool parseOne();
    bool checkHead();
    void take(HttpRequest request);
    bool mayRun(const HttpRequest &request) const;
    void dispatch(HttpRequest request);
    void dispatchParked();
    void refuse(HttpResponse response);
    void answerNow(const ExchangePtr &exchange);
    void readNoMore();
    void onCallerGone();
    void endAnswers();
    void close();
    void watchSilence(milliseconds after);
    void noteActive();
    bool isIdle() const;
    bool mayEndIdle() const;

    std::shared_ptr<HttpServerState> server_;
    tcp::socket socket_;
    asio::steady_timer silenceTimer_;
    std::array<char, 8192> chunk_; ///< Of the read that is under way.
    beast::flat_buffer buffer_;    ///< Read but not parsed.
    std::optional<Parser> parser_;
    std::optional<HttpRequest> parked_; ///< Read whole; waits until it may run.
    std::deque<ExchangePtr> due_;       ///< In the order of their requests.
    std::chrono::steady_clock::time_point activeAt_;
    bool counted_ = false;  ///< The request that is being read counts as open.
    bool reading_ = true;   ///< False: what comes is dropped.
    bool writing_ = false;  ///< Invariant: at most one writer.
    bool shutDown_ = false; ///< All answers are written; bytes are only drained.
    bool closed_ = false;
};

} // namespace wisteriahoist
