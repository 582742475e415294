/** @file http_server.h HTTP/1.1 server over Boost.Beast, with limits, keep-alive and draining. */

#pragma once

#include "adapter/http/http_connection.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace wisteriahoist {

/**
 * Accepts connections and calls a handler for each request. Responds to malformed or too large
 * requests with a problem body (400, 413, 431). Runs on one io_context thread.
 */
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    /**
     * @param port TCP port; 0 selects an ephemeral one, see port().
     * @throws boost::system::system_error if the address cannot be bound.
     */
    HttpServer(asio::io_context &context, const std::string &ip, uint16_t port, HttpLimits limits,
               HttpHandler handler);
    HttpServer(asio::io_context &context, const std::string &ip, uint16_t port, HttpLimits limits,
               CancellableHttpHandler handler);

    /** Starts accepting. @pre The object is owned by a shared_ptr. */
    void start();

    /** Stops accepting; open connections finish their current requests and are then closed. */
    void stop();

    /** Closes each connection after its pending responses; new connections are still accepted. */
    void closeAfterResponses() { state_->closingAfterResponses = true; }

    /**
     * Stops accepting and closes connections on which no request has begun to arrive. Connections
     * that wait in the listen queue are accepted first.
     */
    void closeIdle();

    /** Sets new limits, which apply to requests read from now on. */
    void setLimits(const HttpLimits &limits) { state_->limits = limits; }

    /** Bounds the memory of requests and responses; connections for which there is none are not
     *  accepted. @pre Called before start(). */
    void limitMemory(std::shared_ptr<MemoryBudget> requests,
                     std::shared_ptr<ResponseBudget> responses);

    /** @return Number of requests that were rejected since there was no memory for them. */
    uint64_t rejectedForMemory() const { return state_->rejectedForMemory; }

    uint16_t port() const { return acceptor_.local_endpoint().port(); }
    size_t openConnections() const { return state_->connections.size(); }

    /** @return Whether the server has stopped accepting and its last connection has closed. */
    bool hasEnded() const { return state_->stopping && state_->connections.empty(); }

    /** @return Requests that have begun to arrive and whose response is not completely written. */
    size_t openRequests() const { return state_->openRequests.load(std::memory_order_relaxed); }

private:
    asio::awaitable<void> acceptLoop();
    void acceptQueued();
    void serve(tcp::socket socket);

    tcp::acceptor acceptor_;
    std::shared_ptr<HttpServerState> state_;
};

} // namespace wisteriahoist
