/** @file http_client.h A pooled HTTP/1.1 client over Boost.Beast, for the platform and backend
 * servers. */

#pragma once

#include "adapter/http/http_type.h"
#include "core/failure_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core.hpp>
#include <deque>
#include <memory>
#include <string>

namespace wisteriahoist {

/**
 * Sends requests to one address over pooled connections, one request at a time on each.
 *
 * Failures: Unavailable if no byte of the request was sent, Ambiguous or DeadlineExceeded if the
 * other side may have acted. A connection is returned to the pool only after a whole answer: a
 * connection that timed out is closed, so that a late answer can never reach another request.
 */
class HttpClient
{
public:
    HttpClient(asio::any_io_executor executor, const std::string &ip, uint16_t port);

    /** Sends @p request and waits at most @p timeout for the whole answer. */
    asio::awaitable<Result<HttpResponse>> exchange(HttpRequest request, milliseconds timeout);

    /** Opens connections ahead of need until @p count are idle. */
    asio::awaitable<void> warm(size_t count);

    uint64_t connectionsOpened() const { return connectionsOpened_; }
    size_t idleConnections() const { return idle_.size(); }

private:
    using Connection = std::unique_ptr<beast::tcp_stream>;

    asio::awaitable<Result<Connection>> open(milliseconds timeout);
    Connection takeIdle();

    asio::any_io_executor executor_;
    tcp::endpoint endpoint_;
    std::deque<Connection> idle_; ///< Invariant: no request is outstanding on any of them.
    uint64_t connectionsOpened_ = 0;
};

} // namespace wisteriahoist
