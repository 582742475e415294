/** @file http_server.h An HTTP/1.1 server over Boost.Beast: bounded, keep-alive, whole answers. */

#pragma once

#include "adapter/http/http_connection.h"

#include <boost/asio/io_context.hpp>
#include <memory>
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
               CancellableHttpHandler handler);

    /** Starts accepting. @pre The object is owned by a shared_ptr. */
    void start();

    /** Stops accepting; open connections finish the requests they are at and are then closed. */
    void stop();

    /** From now on each connection ends with the answers that are due; new ones are still accepted.
     */
    void closeAfterResponses() { state_->closing = true; }

    /**
     * Stops accepting, and closes connections on which no request has begun to arrive; whoever has
     * connected by then is accepted first.
     */
    void closeIdle();

    /** Takes over new bounds, for requests that are read from now on. */
    void setLimits(const HttpLimits &limits) { state_->limits = limits; }

    uint16_t port() const { return acceptor_.local_endpoint().port(); }
    size_t openConnections() const { return state_->connections.size(); }

    /** @return Whether it accepts nobody any more and its last connection has ended. */
    bool hasEnded() const { return state_->stopping && state_->connections.empty(); }

    /** @return Requests that have begun to arrive and whose answer has not been written whole. */
    size_t openRequests() const { return state_->openRequests.load(std::memory_order_relaxed); }

private:
    asio::awaitable<void> acceptLoop();
    void acceptWaiting();
    void serve(tcp::socket socket);

    tcp::acceptor acceptor_;
    std::shared_ptr<HttpServerState> state_;
};

} // namespace wisteriahoist
