/** @file http_server.cpp An HTTP/1.1 server over Boost.Beast. */

#include "adapter/http/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

namespace wisteriahoist {

namespace {

/** @return The answer to input that the parser refused. */
HttpResponse makeParserProblem(beast::error_code error)
{
    if (error == http::error::header_limit) {
        return makeProblemResponse({http::status::request_header_fields_too_large,
                                    "header-too-large", "The header section is over its bound."});
    }
    if (error == http::error::body_limit) {
        return makeProblemResponse(
                {http::status::payload_too_large, "body-too-large", "The body is over its bound."});
    }
    return makeProblemResponse({http::status::bad_request, "malformed-request", error.message()});
}

bool isConnectionEnd(beast::error_code error)
{
    return error == http::error::end_of_stream || error == asio::error::eof
           || error == asio::error::connection_reset || error == asio::error::operation_aborted
           || error == beast::error::timeout || error == http::error::partial_message;
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, const std::string &ip, uint16_t port,
                       HttpLimits limits, HttpHandler handler)
    : acceptor_(context, tcp::endpoint(asio::ip::make_address(ip), port)), limits_(limits),
      handler_(std::move(handler))
{ }

void HttpServer::start()
{
    asio::co_spawn(
            acceptor_.get_executor(), [self = shared_from_this()]() { return self->acceptLoop(); },
            asio::detached);
}

void HttpServer::stop()
{
    stopping_ = true;
    beast::error_code ignored;
    acceptor_.close(ignored);
}

asio::awaitable<void> HttpServer::acceptLoop()
{
    while (!stopping_) {
        beast::error_code error;
        tcp::socket socket
                = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (stopping_) {
                co_return;
            }
            continue;
        }
        if (openConnections_ >= limits_.connections) {
            socket.close(error);
            continue;
        }
        ++openConnections_;
        asio::co_spawn(
                acceptor_.get_executor(),
                [self = shared_from_this(), socket = std::move(socket)]() mutable {
                    return self->serveConnection(std::move(socket));
                },
                asio::detached);
    }
}

asio::awaitable<void> HttpServer::serveConnection(tcp::socket socket)
{
    auto self = shared_from_this();
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool keepAlive = true;
    while (keepAlive) {
        keepAlive = co_await serveOne(stream, buffer);
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    --openConnections_;
}

asio::awaitable<bool> HttpServer::serveOne(beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits_.headerBytes);
    parser.body_limit(limits_.bodyBytes);
    stream.expires_after(limits_.idle);
    beast::error_code error;
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (isConnectionEnd(error)) {
        co_return false;
    }
    HttpResponse response;
    bool keepAlive = false;
    bool headOnly = false;
    if (error) {
        response = makeParserProblem(error);
    } else {
        HttpRequest request = parser.release();
        keepAlive = request.keep_alive() && !stopping_;
        headOnly = request.method() == http::verb::head;
        stream.expires_never();
        response = co_await handler_(std::move(request));
    }
    response.version(11);
    response.keep_alive(keepAlive);
    stream.expires_after(limits_.idle);
    if (headOnly) {
        // The serializer would send the body; a HEAD answer has the length but no body.
        http::response<http::empty_body> head(response.base());
        head.content_length(response.body().size());
        co_await http::async_write(stream, head, asio::redirect_error(asio::use_awaitable, error));
    } else {
        response.prepare_payload();
        co_await http::async_write(stream, response,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    co_return keepAlive && !error;
}

} // namespace wisteriahoist
