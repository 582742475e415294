/** @file http_server.h An HTTP/1.1 server over Boost.Beast: bounded, keep-alive, whole answers. */

#pragma once

#include "adapter/http/http_type.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <memory>
#include <set>
#include <string>

namespace wisteriahoist {

/**
 * Accepts connections and answers each request through a handler. Bad input is answered with a
 * typed problem body (400, 413, 431). Runs on one io_context thread.
 */
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    /**
     * @param port TCP port; 0 takes an ephemeral one, see port().
     * @throws boost::system::system_error if the address cannot be bound.
     */
    HttpServer(asio::io_context &context, const std::string &ip, uint16_t port, HttpLimits limits,
               HttpHandler handler);
    HttpServer(asio::io_context &context, const std::string &ip, uint16_t port, HttpLimits limits,
               WatchedHttpHandler handler);

    /** Starts accepting. @pre The object is owned by a shared_ptr. */
    void start();

    /** Stops accepting; open connections finish the request they are at and are then closed. */
    void stop();

    /** From now on each answer is the last one on its connection; new ones are still accepted. */
    void closeAfterAnswers() { closing_ = true; }

    /** Stops accepting, and closes connections on which no request has been begun. */
    void closeIdle();

    /** Takes over new bounds, for requests that are read from now on. */
    void setLimits(const HttpLimits &limits) { limits_ = limits; }

    uint16_t port() const { return acceptor_.local_endpoint().port(); }
    size_t openConnections() const { return openConnections_; }

    /** @return Requests whose head has been read and whose answer has not been written whole. */
    size_t openRequests() const { return openRequests_.load(std::memory_order_relaxed); }

private:
    using Parser = http::request_parser<http::string_body>;

    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> serveConnection(tcp::socket socket);
    asio::awaitable<bool> serveOne(beast::tcp_stream &stream, beast::flat_buffer &buffer);
    asio::awaitable<bool> answer(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                 Parser &parser);
    asio::awaitable<HttpResponse> handleWatched(beast::tcp_stream &stream, HttpRequest request);
    asio::awaitable<bool> refuse(beast::tcp_stream &stream, HttpResponse response);
    asio::awaitable<bool> write(beast::tcp_stream &stream, HttpResponse response, bool headOnly);

    tcp::acceptor acceptor_;
    HttpLimits limits_;
    WatchedHttpHandler handler_;
    std::atomic<size_t> openRequests_{0};
    size_t openConnections_ = 0; ///< Invariant: at most limits_.connections.
    bool stopping_ = false;
    bool closing_ = false;
    bool closed_ = false;
    std::set<beast::tcp_stream *> idle_; ///< Connections that wait for a request's head.
};

} // namespace wisteriahoist
