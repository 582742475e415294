/** @file reply_status_test.cpp Replies over HTTP/2 whose status none of our nodes sends. */

#include "adapter/http2/peer_transport.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds Timeout{2000};

std::string makeFrame(char type, char flags, char stream, const std::string &payload)
{
    return std::string{'\0', '\0', static_cast<char>(payload.size()), type, flags}
           + std::string{'\0', '\0', '\0', stream} + payload;
}

/** @return Settings, and a reply of @p body to the first call. */
std::string makeReply(const std::string &status, const std::string &body)
{
    constexpr char Data = 0;
    constexpr char Headers = 1;
    constexpr char Settings = 4;
    constexpr char EndStream = 1;
    constexpr char EndHeaders = 4;
    constexpr char LiteralStatus = 8; // RFC 7541: without indexing, name of the static table.
    const std::string head = std::string{LiteralStatus, static_cast<char>(status.size())} + status;
    return makeFrame(Settings, 0, 0, "") + makeFrame(Headers, EndHeaders, 1, head)
           + makeFrame(Data, EndStream, 1, body);
}

/** A server that sends one reply, whatever it is asked, and notes the end of the connection. */
struct Fixture {
    explicit Fixture(std::string reply)
        : acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(
                context, [this, reply = std::move(reply)]() { return serve(reply); },
                asio::detached);
    }

    asio::awaitable<void> serve(std::string reply)
    {
        tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        beast::error_code error;
        std::array<char, 1024> received{};
        co_await socket.async_read_some(asio::buffer(received), asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(reply), asio::use_awaitable);
        while (!error) {
            co_await socket.async_read_some(asio::buffer(received),
                                            asio::redirect_error(asio::use_awaitable, error));
        }
        closed = true;
    }

    Result<std::string> call()
    {
        return runUntil(context, caller.call({"127.0.0.1", acceptor.local_endpoint().port()},
                                             "/hop", std::string("request"), CallTimes(Timeout)));
    }

    asio::io_context context;
    tcp::acceptor acceptor;
    bool closed = false;
    PeerCaller caller{context};
};

} // namespace

// Guards against taking for a node's reply what another server sends at the node's address.
Test(reply_status, replies_that_no_node_sends_are_rejected)
{
    for (const std::string status : {"000", "099", "204", "404", "503", "600", "20", "abc"}) {
        Fixture fixture(makeReply(status, "body"));
        const Result<std::string> reply = fixture.call();
        cr_assert(!reply && reply.assume_error().code == FailureCode::Ambiguous, "%s",
                  status.c_str());
    }
    SECTION("and the connection to that server ends")
    {
        Fixture fixture(makeReply("000", "body"));
        cr_assert(!fixture.call());
        cr_assert(runUntilHolds(fixture.context, [&]() { return fixture.closed; }));
    }
    SECTION("those of nodes are read")
    {
        Fixture fixture(makeReply("200", "body"));
        const Result<std::string> reply = fixture.call();
        cr_assert(reply && reply.assume_value() == "body");
    }
}
