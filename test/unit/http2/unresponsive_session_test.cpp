/** @file unresponsive_session_test.cpp Detection of unresponsive connections between nodes. */

#include "adapter/http2/peer_transport.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

asio::awaitable<std::string> replySlowly(std::string, std::string body)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, milliseconds(300));
    co_await timer.async_wait(asio::use_awaitable);
    co_return body;
}

/** Client session whose responsiveness is checked every interval. */
struct MonitoredSession {
    MonitoredSession(asio::io_context &context, const tcp::endpoint &server, milliseconds interval)
    {
        tcp::socket socket(context);
        socket.connect(server);
        KeepaliveLimits limits;
        limits.interval = interval;
        monitor = std::make_shared<KeepaliveMonitor>(context.get_executor(), limits);
        session = std::make_shared<Http2Session>(std::move(socket), Http2Session::Role::Client,
                                                 nullptr, monitor);
        session->start();
    }

    std::shared_ptr<KeepaliveMonitor> monitor;
    std::shared_ptr<Http2Session> session;
};

} // namespace

// Guards against calls that wait for their deadline on a dead connection: a device between two
// nodes has dropped the connection's state, so that nothing arrives and no error is reported. With
// a deadline of a minute the caller would wait that long.
Test(request_http2, unresponsive_connection_fails_its_calls)
{
    asio::io_context context;
    tcp::acceptor unresponsive(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const MonitoredSession monitored(context, unresponsive.local_endpoint(), milliseconds(5));
    const auto &session = monitored.session;
    std::optional<Result<std::string>> result;
    session->call("/hop", "x", [&result](Result<std::string> value) { result = value; });
    cr_assert(runUntilHolds(context, [&]() { return result.has_value(); }));
    cr_assert(result->assume_error().code == FailureCode::Ambiguous);
    cr_assert(!session->isOpen());
}

Test(request_http2, slow_reply_does_not_close_the_connection)
{
    asio::io_context context;
    auto listener = std::make_shared<PeerListener>(context, "127.0.0.1", 0, replySlowly);
    listener->start();
    const tcp::endpoint server(asio::ip::make_address("127.0.0.1"), listener->port());
    const MonitoredSession monitored(context, server, milliseconds(20));
    const auto &session = monitored.session;
    std::optional<Result<std::string>> result;
    session->call("/hop", "x", [&result](Result<std::string> value) { result = value; });
    cr_assert(runUntilHolds(context, [&]() { return result.has_value(); }));
    cr_assert(result->has_value() && result->assume_value() == "x");
    listener->stop();
    session->close();
}
