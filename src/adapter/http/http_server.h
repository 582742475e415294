/** @file http_server.h An HTTP/1.1 server over Boost.Beast: bounded, keep-alive, whole answers. */

#pragma once

#include "adapter/http/http_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
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

    /** Starts accepting. @pre The object is owned by a shared_ptr. */
    void start();

    /** Stops accepting; open connections finish the request they are at and are then closed. */
    void stop();

    uint16_t port() const { return acceptor_.local_endpoint().port(); }
    size_t openConnections() const { return openConnections_; }

private:
    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> serveConnection(tcp::socket socket);
    asio::awaitable<bool> serveOne(beast::tcp_stream &stream, beast::flat_buffer &buffer);

    tcp::acceptor acceptor_;
    HttpLimits limits_;
    HttpHandler handler_;
    size_t openConnections_ = 0; ///< Invariant: at most limits_.connections.
    bool stopping_ = false;
};

} // namespace wisteriahoist
