/** @file http_type.h HTTP/1.1 message types and the problem body (RFC 9457) of every refusal. */

#pragma once

#include "core/time_type.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace wisteriahoist {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/** Bounds of an HTTP/1.1 server. */
struct HttpLimits {
    uint32_t headerBytes = 16 * 1024; ///< Beyond: 431.
    uint64_t bodyBytes = 1024 * 1024; ///< Beyond: 413.
    milliseconds idle{60000};         ///< A kept-alive connection without a request is closed.
    size_t connections = 4096;        ///< Beyond: 503 and close.
};

/** Answers one request; runs on the server's executor. */
using HttpHandler = std::function<asio::awaitable<HttpResponse>(HttpRequest)>;

/**
 * Tells a handler that its caller has closed the connection while it waits for the answer.
 * A caller that closes only its sending side counts as gone too: the two cannot be told apart.
 */
class DisconnectSignal
{
public:
    bool isDisconnected() const { return gone_; }

    /** Sets what to do when the caller goes; called at most once, on the server's thread. */
    void onDisconnect(std::function<void()> action) { action_ = std::move(action); }

    void markDisconnected()
    {
        gone_ = true;
        if (action_) {
            std::exchange(action_, nullptr)();
        }
    }

private:
    std::function<void()> action_;
    bool gone_ = false;
};

/** Answers one request whose caller may go away meanwhile. */
using CancellableHttpHandler = std::function<asio::awaitable<HttpResponse>(
        HttpRequest, std::shared_ptr<DisconnectSignal>)>;

/** One refusal in the words of RFC 9457. */
struct Problem {
    http::status status = http::status::bad_request;
    std::string_view type;      ///< Stable name; becomes the last part of the type URN.
    std::string detail;         ///< For people.
    milliseconds retryAfter{0}; ///< When to come back; 0: not said.
};

/** @return A response with a JSON problem body; Retry-After is rounded up to whole seconds. */
HttpResponse makeProblemResponse(const Problem &problem);

} // namespace wisteriahoist
