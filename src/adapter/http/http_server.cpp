/** @file http_server.cpp HTTP/1.1 server over Boost.Beast. */

#include "adapter/http/http_server.h"

#include "adapter/clock/sleep_func.h"
#include "adapter/socket/socket_type.h"
#include "adapter/task/background_task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

HttpServer::HttpServer(asio::io_context &context, const std::string &ip, uint16_t port,
                       HttpLimits limits, HttpHandler handler)
    : HttpServer(
            context, ip, port, limits,
            CancellableHttpHandler([handler = std::move(handler)](
                                           HttpRequest request, std::shared_ptr<DisconnectSignal>) {
                return handler(std::move(request));
            }))
{ }

HttpServer::HttpServer(asio::io_context &context, const std::string &ip, uint16_t port,
                       HttpLimits limits, CancellableHttpHandler handler)
    : acceptor_(context, tcp::endpoint(asio::ip::make_address(ip), port)),
      state_(std::make_shared<HttpServerState>())
{
    state_->limits = limits;
    state_->handler = std::move(handler);
}

void HttpServer::start()
{
    startLoop(acceptor_.get_executor(), "accepting connections",
              [self = shared_from_this()]() { return self->acceptLoop(); });
}

void HttpServer::limitMemory(std::shared_ptr<MemoryBudget> requests,
                             std::shared_ptr<ResponseBudget> responses)
{
    state_->requestMemory = std::move(requests);
    state_->responseMemory = std::move(responses);
}

void HttpServer::stop()
{
    state_->stopping = true;
    beast::error_code ignored;
    acceptor_.close(ignored);
}

void HttpServer::closeIdle()
{
    state_->closingIdle = true;
    acceptQueued();
    stop();
    const std::set<HttpConnection *> connections = state_->connections;
    for (HttpConnection *connection : connections) {
        connection->closeIfIdle();
    }
}

/**
 * Accepts all connections in the listen queue. Under CPU pressure connections wait there; closing
 * the acceptor would reset them and lose the requests already sent. A connection without a request
 * is then closed like any other idle one.
 */
void HttpServer::acceptQueued()
{
    beast::error_code error;
    acceptor_.non_blocking(true, error);
    for (int taken = 0; !error && taken < asio::socket_base::max_listen_connections; ++taken) {
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (!error) {
            serve(std::move(socket));
        }
    }
}

void HttpServer::serve(tcp::socket socket)
{
    MemoryBudget::Reservation memory(state_->requestMemory);
    if (state_->connections.size() < state_->limits.connections
        && memory.resize(HttpConnection::OwnBytes)) {
        std::make_shared<HttpConnection>(state_, std::move(socket), std::move(memory))->start();
    }
}

asio::awaitable<void> HttpServer::acceptLoop()
{
    while (!state_->stopping) {
        beast::error_code error;
        tcp::socket socket
                = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (state_->stopping) {
                co_return;
            }
            co_await sleepFor(AcceptRetryPause);
            continue;
        }
        serve(std::move(socket));
    }
}

} // namespace wisteriahoist
