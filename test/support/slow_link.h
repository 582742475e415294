/** @file slow_link.h A link of limited bandwidth in front of a server, for one test. */

#pragma once

#include "adapter/http/http_type.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>

namespace wisteriahoist::testing {

/** Forwards connections to a server; what the server sends arrives in small parts, one in each
 *  interval, until the link falls silent. */
class SlowLink : public std::enable_shared_from_this<SlowLink>
{
public:
    SlowLink(asio::io_context &context, uint16_t serverPort, size_t partBytes,
             milliseconds interval)
        : context_(context),
          acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          server_(asio::ip::make_address("127.0.0.1"), serverPort), partBytes_(partBytes),
          interval_(interval)
    { }

    void start()
    {
        asio::co_spawn(
                context_, [self = shared_from_this()]() { return self->acceptLoop(); },
                asio::detached);
    }

    uint16_t port() const { return acceptor_.local_endpoint().port(); }

    /** Delivers nothing more after @p bytes of the server. */
    void fallSilentAfter(size_t bytes) { silentAfter_ = bytes; }

    /** @return Bytes of the server that have been delivered. */
    size_t delivered() const { return delivered_; }

private:
    struct Pair {
        explicit Pair(asio::io_context &context) : client(context), server(context) { }
        tcp::socket client;
        tcp::socket server;
    };

    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            auto pair = std::make_shared<Pair>(context_);
            co_await acceptor_.async_accept(pair->client, asio::use_awaitable);
            pair->server.open(server_.protocol());
            pair->server.set_option(
                    asio::socket_base::receive_buffer_size(static_cast<int>(partBytes_)));
            co_await pair->server.async_connect(server_, asio::use_awaitable);
            asio::co_spawn(
                    context_,
                    [self = shared_from_this(), pair]() { return self->forwardRequests(pair); },
                    asio::detached);
            asio::co_spawn(
                    context_,
                    [self = shared_from_this(), pair]() { return self->forwardReplies(pair); },
                    asio::detached);
        }
    }

    asio::awaitable<void> forwardRequests(std::shared_ptr<Pair> pair)
    {
        std::array<char, 4096> part{};
        beast::error_code error;
        while (!error) {
            const size_t count = co_await pair->client.async_read_some(
                    asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
            if (!error) {
                co_await asio::async_write(pair->server, asio::buffer(part.data(), count),
                                           asio::redirect_error(asio::use_awaitable, error));
            }
        }
        pair->server.close(error);
    }

    asio::awaitable<void> forwardReplies(std::shared_ptr<Pair> pair)
    {
        std::string part(partBytes_, '\0');
        beast::error_code error;
        asio::steady_timer timer(context_);
        while (!error) {
            const size_t count = co_await pair->server.async_read_some(
                    asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
            timer.expires_after(interval_);
            co_await timer.async_wait(asio::use_awaitable);
            if (delivered_ >= silentAfter_) {
                co_return;
            }
            if (!error) {
                delivered_ += count;
                co_await asio::async_write(pair->client, asio::buffer(part.data(), count),
                                           asio::redirect_error(asio::use_awaitable, error));
            }
        }
    }

    asio::io_context &context_;
    tcp::acceptor acceptor_;
    tcp::endpoint server_;
    size_t partBytes_;
    milliseconds interval_;
    size_t silentAfter_ = SIZE_MAX;
    size_t delivered_ = 0;
};

} // namespace wisteriahoist::testing
