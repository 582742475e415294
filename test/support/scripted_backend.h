/** @file scripted_backend.h A raw-socket server that fails at a chosen step; helpers for loops. */

#pragma once

#include "adapter/http/http_type.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <vector>

namespace wisteriahoist::testing {

/** How the server handles one request. */
struct BackendScript {
    std::string answer;       ///< Written unchanged.
    milliseconds delay{0};    ///< Before the response.
    bool close = false;       ///< Closes after the response, or instead of it if it is empty.
    bool silent = false;      ///< Neither answers nor closes.
    bool closeUnread = false; ///< Closes at once, without reading.
    /** Second response to an earlier request: written first, unless the connection is new. */
    std::string stray{};
    bool reset = false; ///< Closing resets the connection.
};

inline std::string makeAnswer(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Runs one script per request, in order, and repeats the last one. */
class ScriptedBackend : public std::enable_shared_from_this<ScriptedBackend>
{
public:
    ScriptedBackend(asio::io_context &context, std::vector<BackendScript> scripts)
        : context_(context),
          acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          scripts_(std::move(scripts))
    { }

    void start()
    {
        asio::co_spawn(
                context_, [self = shared_from_this()]() { return self->acceptLoop(); },
                asio::detached);
    }
    uint16_t port() const { return acceptor_.local_endpoint().port(); }
    const std::vector<std::string> &requests() const { return requests_; }
    size_t connections() const { return connections_; }
    size_t lostConnections() const { return lostConnections_; }

private:
    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
            ++connections_;
            asio::co_spawn(
                    context_,
                    [self = shared_from_this(), socket = std::move(socket)]() mutable {
                        return self->serve(std::move(socket));
                    },
                    asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string buffer;
        for (bool isNew = true;; isNew = false) {
            if (nextScript().closeUnread) {
                ++next_;
                co_return;
            }
            beast::error_code error;
            const size_t length = co_await asio::async_read_until(
                    socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
                    asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                ++lostConnections_;
                co_return;
            }
            const BackendScript script = nextScript();
            ++next_;
            requests_.push_back(buffer.substr(0, length));
            buffer.clear();
            if (!isNew && !script.stray.empty()) {
                co_await asio::async_write(socket, asio::buffer(script.stray),
                                           asio::redirect_error(asio::use_awaitable, error));
            }
            asio::steady_timer timer(context_, script.delay);
            co_await timer.async_wait(asio::use_awaitable);
            if (!script.silent) {
                co_await asio::async_write(socket, asio::buffer(script.answer),
                                           asio::redirect_error(asio::use_awaitable, error));
            }
            if (script.reset) {
                socket.set_option(asio::socket_base::linger(true, 0), error);
            }
            if (script.close) {
                co_return;
            }
        }
    }

    const BackendScript &nextScript() const
    {
        return scripts_[std::min(next_, scripts_.size() - 1)];
    }

    asio::io_context &context_;
    tcp::acceptor acceptor_;
    std::vector<BackendScript> scripts_;
    std::vector<std::string> requests_; ///< Heads of the requests, as read.
    size_t next_ = 0;
    size_t connections_ = 0;
    size_t lostConnections_ = 0; ///< Closed by the client.
};

/** Runs @p context until @p work has ended. @return The result of @p work. */
template <typename T>
T runUntil(asio::io_context &context, asio::awaitable<T> work)
{
    std::optional<T> result;
    const auto store = [&]() -> asio::awaitable<void> {
        result.emplace(co_await std::move(work));
        context.stop();
    };
    asio::co_spawn(context, store, asio::detached);
    context.restart();
    context.run();
    return std::move(*result);
}

/** Runs @p context until @p holds returns true, for at most ten seconds. @return Whether it did. */
inline bool runUntilHolds(asio::io_context &context, const std::function<bool()> &holds)
{
    context.restart();
    for (int step = 0; step < 10000 && !holds(); ++step) {
        context.run_for(std::chrono::milliseconds(1));
        context.restart();
    }
    return holds();
}

} // namespace wisteriahoist::testing
