/** @file http_server.cpp An HTTP/1.1 server over Boost.Beast. */

#include "adapter/http/http_server.h"

#include "adapter/http/header_rules.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
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
    : HttpServer(context, ip, port, limits,
                 WatchedHttpHandler([handler = std::move(handler)](HttpRequest request,
                                                                   std::shared_ptr<CallerWatch>) {
                     return handler(std::move(request));
                 }))
{ }

HttpServer::HttpServer(asio::io_context &context, const std::string &ip, uint16_t port,
                       HttpLimits limits, WatchedHttpHandler handler)
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

void HttpServer::closeIdle()
{
    closed_ = true;
    stop();
    for (beast::tcp_stream *stream : std::set<beast::tcp_stream *>(idle_)) {
        stream->cancel();
    }
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
    while (keepAlive && !(closed_ && buffer.size() == 0)) {
        idle_.insert(&stream);
        keepAlive = co_await serveOne(stream, buffer);
        idle_.erase(&stream);
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    --openConnections_;
}

asio::awaitable<bool> HttpServer::serveOne(beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    Parser parser;
    parser.header_limit(limits_.headerBytes);
    parser.body_limit(limits_.bodyBytes);
    stream.expires_after(limits_.idle);
    beast::error_code error;
    co_await http::async_read_header(stream, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (isConnectionEnd(error)) {
        co_return false;
    }
    if (error) {
        co_return co_await refuse(stream, makeParserProblem(error));
    }
    idle_.erase(&stream);
    openRequests_.fetch_add(1, std::memory_order_relaxed);
    const bool keepAlive = co_await answer(stream, buffer, parser);
    openRequests_.fetch_sub(1, std::memory_order_relaxed);
    co_return keepAlive;
}

asio::awaitable<bool> HttpServer::answer(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                         Parser &parser)
{
    // Two framings of one message let the two ends of a connection disagree where it ends; the
    // rest of the first caller's bytes would then be read as another caller's request.
    if (hasAmbiguousFraming(parser.get())) {
        const Problem problem{http::status::bad_request, "malformed-request",
                              "The length of the body is ambiguous.", milliseconds(0)};
        co_return co_await refuse(stream, makeProblemResponse(problem));
    }
    beast::error_code error;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const http::response<http::empty_body> goOn(http::status::continue_, 11);
        co_await http::async_write(stream, goOn, asio::redirect_error(asio::use_awaitable, error));
    }
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (isConnectionEnd(error)) {
        co_return false;
    }
    if (error) {
        co_return co_await refuse(stream, makeParserProblem(error));
    }
    HttpRequest request = parser.release();
    const bool keepAlive = request.keep_alive();
    const bool headOnly = request.method() == http::verb::head;
    if (request.count(http::field::host) != 1) {
        const Problem problem{http::status::bad_request, "malformed-request",
                              "Exactly one Host field is needed.", milliseconds(0)};
        co_return co_await refuse(stream, makeProblemResponse(problem));
    }
    stream.expires_never();
    HttpResponse response = co_await handleWatched(stream, std::move(request));
    response.version(11);
    response.keep_alive(keepAlive && !stopping_ && !closing_);
    co_return co_await write(stream, std::move(response), headOnly);
}

asio::awaitable<HttpResponse> HttpServer::handleWatched(beast::tcp_stream &stream,
                                                        HttpRequest request)
{
    auto watch = std::make_shared<CallerWatch>();
    auto active = std::make_shared<bool>(true);
    asio::cancellation_signal ended;
    const auto onReadable = [watch, active, &stream](beast::error_code error) {
        if (error || !*active) {
            return;
        }
        char probe = 0;
        stream.socket().non_blocking(true, error);
        const size_t count = stream.socket().receive(asio::buffer(&probe, 1),
                                                     tcp::socket::message_peek, error);
        // Readable with bytes is a pipelined request; a caller that goes after it is not seen.
        if (count == 0 && error != asio::error::would_block) {
            watch->markGone();
        }
    };
    stream.socket().async_wait(tcp::socket::wait_read,
                               asio::bind_cancellation_slot(ended.slot(), onReadable));
    HttpResponse response = co_await handler_(std::move(request), watch);
    *active = false;
    ended.emit(asio::cancellation_type::all);
    co_return response;
}

asio::awaitable<bool> HttpServer::refuse(beast::tcp_stream &stream, HttpResponse response)
{
    // After malformed input nobody knows where the next request begins: the connection ends.
    response.keep_alive(false);
    co_await write(stream, std::move(response), false);
    co_return false;
}

asio::awaitable<bool> HttpServer::write(beast::tcp_stream &stream, HttpResponse response,
                                        bool headOnly)
{
    response.version(11);
    const bool keepAlive = response.keep_alive();
    stream.expires_after(limits_.idle);
    beast::error_code error;
    if (headOnly) {
        // The serializer would send the body; a HEAD answer has the length but no body.
        http::response<http::empty_body> head(response.base());
        if (head.find(http::field::content_length) == head.end()) {
            head.content_length(response.body().size());
        }
        co_await http::async_write(stream, head, asio::redirect_error(asio::use_awaitable, error));
    } else {
        response.prepare_payload();
        co_await http::async_write(stream, response,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    co_return keepAlive && !error;
}

} // namespace wisteriahoist
