/** @file http_client.cpp A pooled HTTP/1.1 client over Boost.Beast. */

#include "adapter/http/http_client.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace {
constexpr uint64_t MaxAnswerBytes = 16 * 1024 * 1024;
}

HttpClient::HttpClient(asio::any_io_executor executor, const std::string &ip, uint16_t port)
    : executor_(std::move(executor)), endpoint_(asio::ip::make_address(ip), port)
{ }

asio::awaitable<Result<HttpClient::Connection>> HttpClient::open(milliseconds timeout)
{
    auto stream = std::make_unique<beast::tcp_stream>(executor_);
    stream->expires_after(timeout);
    beast::error_code error;
    co_await stream->async_connect(endpoint_, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return Failure{FailureCode::Unavailable, "connect: " + error.message()};
    }
    stream->socket().set_option(tcp::no_delay(true), error);
    ++connectionsOpened_;
    co_return std::move(stream);
}

HttpClient::Connection HttpClient::takeIdle()
{
    while (!idle_.empty()) {
        Connection connection = std::move(idle_.back());
        idle_.pop_back();
        // A connection that the other side closed while idle is readable (end of file): leave it.
        beast::error_code error;
        connection->socket().non_blocking(true, error);
        char probe = 0;
        connection->socket().receive(asio::buffer(&probe, 1), tcp::socket::message_peek, error);
        if (error == asio::error::would_block) {
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<void> HttpClient::warm(size_t count)
{
    constexpr milliseconds ConnectTimeout{1000};
    while (idle_.size() < count) {
        Result<Connection> connection = co_await open(ConnectTimeout);
        if (!connection) {
            co_return;
        }
        idle_.push_back(std::move(connection.assume_value()));
    }
}

asio::awaitable<Result<HttpResponse>> HttpClient::exchange(HttpRequest request,
                                                           milliseconds timeout)
{
    Connection connection = takeIdle();
    if (!connection) {
        Result<Connection> opened = co_await open(timeout);
        if (!opened) {
            co_return std::move(opened).as_failure();
        }
        connection = std::move(opened.assume_value());
    }
    request.version(11);
    if (request.find(http::field::host) == request.end()) {
        request.set(http::field::host, endpoint_.address().to_string());
    }
    request.prepare_payload();
    connection->expires_after(timeout);
    beast::error_code error;
    co_await http::async_write(*connection, request,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return Failure{FailureCode::Ambiguous, "write: " + error.message()};
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    parser.skip(request.method() == http::verb::head);
    beast::flat_buffer buffer;
    co_await http::async_read(*connection, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error == beast::error::timeout) {
        co_return Failure{FailureCode::DeadlineExceeded, "no whole answer in time"};
    }
    if (error) {
        co_return Failure{FailureCode::Ambiguous, "read: " + error.message()};
    }
    HttpResponse response = parser.release();
    // Left-over bytes belong to no request of ours: the connection is out of step and is closed.
    if (response.keep_alive() && buffer.size() == 0) {
        connection->expires_never();
        idle_.push_back(std::move(connection));
    }
    co_return response;
}

} // namespace wisteriahoist
