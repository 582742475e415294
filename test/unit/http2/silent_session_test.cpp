/** @file silent_session_test.cpp A connection between nodes that goes silent is ended and replaced.
 */

#include "adapter/http2/peer_transport.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

asio::awaitable<std::string> answerSlowly(std::string, std::string body)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, milliseconds(300));
    co_await timer.async_wait(asio::use_awaitable);
    co_return body;
}

/** A session as client to a server that it asks every interval whether it is there. */
struct WatchedSession {
    WatchedSession(asio::io_context &context, const tcp::endpoint &server, milliseconds interval)
    {
        tcp::socket socket(context);
        socket.connect(server);
        SilenceLimits limits;
        limits.interval = interval;
        watch = std::make_shared<SilenceWatch>(context.get_executor(), limits);
        session = std::make_shared<Http2Session>(std::move(socket), Http2Session::Role::Client,
                                                 nullptr, watch);
        session->start();
    }

    std::shared_ptr<SilenceWatch> watch;
    std::shared_ptr<Http2Session> session;
};

} // namespace

Test(request_http2, silent_connection_ends_its_calls)
{
    // Something between two nodes has lost track of their connection: nothing arrives any more and
    // nobody says so. The caller's request has a minute to go, but need not wait for it.
    asio::io_context context;
    tcp::acceptor silent(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const WatchedSession watched(context, silent.local_endpoint(), milliseconds(5));
    const auto &session = watched.session;
    std::optional<Result<std::string>> result;
    session->call("/hop", "x", [&result](Result<std::string> value) { result = value; });
    cr_assert(runUntilHolds(context, [&]() { return result.has_value(); }));
    cr_assert(result->assume_error().code == FailureCode::Ambiguous);
    cr_assert(!session->isOpen());
}

Test(request_http2, slow_answer_is_not_silence)
{
    asio::io_context context;
    auto listener = std::make_shared<PeerListener>(context, "127.0.0.1", 0, answerSlowly);
    listener->start();
    const tcp::endpoint server(asio::ip::make_address("127.0.0.1"), listener->port());
    const WatchedSession watched(context, server, milliseconds(20));
    const auto &session = watched.session;
    std::optional<Result<std::string>> result;
    session->call("/hop", "x", [&result](Result<std::string> value) { result = value; });
    cr_assert(runUntilHolds(context, [&]() { return result.has_value(); }));
    cr_assert(result->has_value() && result->assume_value() == "x");
    listener->stop();
    session->close();
}
