/** @file slow_reply_test.cpp Large replies between nodes on slow links. */

#include "adapter/http2/peer_transport.h"
#include "support/scripted_backend.h"
#include "support/slow_link.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr size_t LargeBytes = 400 * 1024;
constexpr size_t PartBytes = 16 * 1024;
constexpr milliseconds PartInterval{20};
constexpr int SendBufferBytes = 16 * 1024;

/** Replies with as many bytes as the path says after its slash. */
asio::awaitable<std::string> replyOfSize(std::string path, std::string)
{
    co_return std::string(std::stoul(path.substr(1)), 'x');
}

/** A server whose system holds few unsent bytes, behind a slow link; a client that calls it. */
struct Fixture {
    Fixture()
    {
        link->start();
        asio::co_spawn(context, serve(), asio::detached);
        tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), link->port()});
        client = std::make_shared<Http2Session>(std::move(socket), Http2Session::Role::Client,
                                                nullptr);
        client->start();
    }

    asio::awaitable<void> serve()
    {
        tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        socket.set_option(asio::socket_base::send_buffer_size(SendBufferBytes));
        server = std::make_shared<Http2Session>(std::move(socket), Http2Session::Role::Server,
                                                replyOfSize);
        server->start();
    }

    /** Calls for a reply of @p bytes. @return The number of the stream. */
    int32_t call(size_t bytes, std::optional<size_t> &received)
    {
        return client->call("/" + std::to_string(bytes), "", [&](Result<std::string> reply) {
            received = reply ? reply.assume_value().size() : 0;
        });
    }

    asio::io_context context;
    tcp::acceptor acceptor{context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::shared_ptr<SlowLink> link = std::make_shared<SlowLink>(
            context, acceptor.local_endpoint().port(), PartBytes, PartInterval);
    std::shared_ptr<Http2Session> server;
    std::shared_ptr<Http2Session> client;
};

} // namespace

// Guards against requests that wait behind a large configuration on the connection between two
// nodes.
Test(slow_reply, small_reply_overtakes_a_large_one)
{
    Fixture fixture;
    std::optional<size_t> large;
    std::optional<size_t> small;
    (void)fixture.call(LargeBytes, large);
    cr_assert(runUntilHolds(fixture.context, [&]() { return fixture.link->delivered() > 0; }));
    (void)fixture.call(1, small);
    cr_assert(runUntilHolds(fixture.context, [&]() { return small.has_value(); }));
    cr_assert(!large.has_value());
    cr_assert_lt(fixture.link->delivered(), LargeBytes / 2);
    cr_assert(runUntilHolds(fixture.context, [&]() { return large.has_value(); }));
    cr_assert_eq(*large, LargeBytes);
}

// Guards against a link that is filled by replies which nobody waits for any more.
Test(slow_reply, reply_of_a_cancelled_call_is_not_sent)
{
    Fixture fixture;
    std::optional<size_t> large;
    std::optional<size_t> small;
    const int32_t stream = fixture.call(LargeBytes, large);
    cr_assert(runUntilHolds(fixture.context, [&]() { return fixture.link->delivered() > 0; }));
    fixture.client->cancel(stream);
    (void)fixture.call(1, small);
    cr_assert(runUntilHolds(fixture.context, [&]() { return small.has_value(); }));
    cr_assert_lt(fixture.link->delivered(), LargeBytes / 2);
}
