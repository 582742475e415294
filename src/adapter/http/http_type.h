/** @file http_type.h HTTP/1.1 message types and the problem body (RFC 9457) of error responses. */

#pragma once

#include "core/memory_budget.h"
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

/** @return Whether @p number is a status of HTTP (RFC 9110), of an interim response or a final one.
 */
constexpr bool isStatus(unsigned number)
{
    constexpr unsigned Lowest = 100;
    constexpr unsigned Highest = 599;
    return number >= Lowest && number <= Highest;
}

/** @return Whether @p number is a status of a final response. */
constexpr bool isFinalStatus(unsigned number)
{
    constexpr unsigned LowestFinal = 200;
    return isStatus(number) && number >= LowestFinal;
}

/** Limits of an HTTP/1.1 server. */
struct HttpLimits {
    uint32_t headerBytes = 16 * 1024; ///< Maximum size of the header section; larger: 431.
    uint64_t bodyBytes = 1024 * 1024; ///< Maximum size of the body; larger: 413.
    milliseconds idle{60000};         ///< Idle time after which a connection is closed.
    size_t connections = 4096;        ///< Maximum number of connections; further ones are closed.
};

/** Handles one request; runs on the server's executor. */
using HttpHandler = std::function<asio::awaitable<HttpResponse>(HttpRequest)>;

/**
 * Notifies a request handler that the caller has closed the connection before the response. A
 * caller that has closed only its sending side also counts as disconnected, because the two cases
 * cannot be distinguished. Whoever keeps the request's body also keeps this object, which holds the
 * memory that is reserved for it.
 */
class DisconnectSignal
{
public:
    /** @return Time from the request's head to its dispatch: its caller waits since then. */
    milliseconds arrivalTime() const { return arrivalTime_; }
    void setArrivalTime(milliseconds time) { arrivalTime_ = time; }

    /** Keeps @p memory, reserved for the body, as long as this object exists. */
    void holdMemory(MemoryBudget::Reservation memory) { memory_ = std::move(memory); }

    bool isDisconnected() const { return disconnected_; }

    /** Sets the action to run on disconnect; called at most once, on the server's thread. */
    void onDisconnect(std::function<void()> action) { action_ = std::move(action); }

    void markDisconnected()
    {
        disconnected_ = true;
        if (action_) {
            std::exchange(action_, nullptr)();
        }
    }

private:
    std::function<void()> action_;
    MemoryBudget::Reservation memory_;
    milliseconds arrivalTime_{0};
    bool disconnected_ = false;
};

/** Handles one request and can react to a disconnect of the caller. */
using CancellableHttpHandler = std::function<asio::awaitable<HttpResponse>(
        HttpRequest, std::shared_ptr<DisconnectSignal>)>;

/** Problem details of an error response (RFC 9457). */
struct Problem {
    http::status status = http::status::bad_request;
    std::string_view type;      ///< Stable name; the last part of the type URN.
    std::string detail;         ///< Human-readable description.
    milliseconds retryAfter{0}; ///< Time to wait before a retry; 0: not stated.
};

/** @return A response with a JSON problem body. Retry-After is rounded up to whole seconds. */
HttpResponse makeProblemResponse(const Problem &problem);

} // namespace wisteriahoist
