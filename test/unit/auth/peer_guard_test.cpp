/** @file peer_guard_test.cpp The handshake over real connections between two nodes. */

#include "adapter/http2/peer_transport.h"
#include "support/test_section.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace wisteriahoist;

namespace {

constexpr milliseconds CallTimeout{20000}; ///< Reached only if the call hangs.

FleetKey makeKey(const std::string &id, char letter)
{
    return {id, std::string(FleetSecretBytes, letter)};
}

asio::awaitable<std::string> echo(std::string path, std::string body)
{
    co_return path + " " + body;
}

/**
 * Result of one call from a node with @p callerKeys to a listener that requires @p listenerKeys.
 */
struct Exchange {
    Result<std::string> answer = Failure{FailureCode::Unavailable, "not sent"};
    uint64_t missing = 0;
    uint64_t unknown = 0;
    uint64_t helloFailures = 0;
};

Exchange callBetween(const FleetKeys &callerKeys, const FleetKeys &listenerKeys)
{
    asio::io_context context;
    auto listener = std::make_shared<PeerListener>(context, "127.0.0.1", 0, echo);
    listener->requireHello(listenerKeys);
    listener->start();
    PeerCaller caller(context);
    caller.authenticateWith(callerKeys);
    Exchange exchange;
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                PeerEndpoint peer{"127.0.0.1", listener->port()};
                exchange.answer = co_await caller.call(peer, "/hop", "body", CallTimeout);
                caller.closeAll();
                listener->stop();
            },
            asio::detached);
    context.run();
    exchange.missing = listener->refusals()->countOf(AuthRefusal::Missing);
    exchange.unknown = listener->refusals()->countOf(AuthRefusal::UnknownKey);
    exchange.helloFailures = caller.helloFailures();
    return exchange;
}

} // namespace

// Covers calls between two nodes of a fleet, from a process without a key, from one with a
// withdrawn key, and to a listener that does not hold the caller's key. No call reaches a handler
// after a failed handshake, and the caller learns that its request was not sent.
Test(auth_peer, connections)
{
    const FleetKeys keys{{makeKey("k2", 'b')}};
    SECTION("calls between nodes of the fleet are handled")
    {
        const Exchange exchange = callBetween(keys, keys);
        cr_assert(exchange.answer.assume_value() == "/hop body");
        cr_assert(exchange.helloFailures == 0);
    }
    SECTION("a call from a process without a key is not handled")
    {
        const Exchange exchange = callBetween({}, keys);
        cr_assert(exchange.answer.assume_value().empty());
        cr_assert(exchange.missing == 1);
    }
    SECTION("a call with a withdrawn key is not handled")
    {
        const Exchange exchange = callBetween({{makeKey("k1", 'a')}}, keys);
        cr_assert(exchange.answer.assume_error().code == FailureCode::Unavailable);
        cr_assert(exchange.unknown == 1);
        cr_assert(exchange.helloFailures == 1);
    }
    SECTION("a listener with another secret is rejected")
    {
        const Exchange exchange = callBetween({{makeKey("k2", 'x')}}, keys);
        cr_assert(exchange.answer.assume_error().code == FailureCode::Unavailable);
        cr_assert(exchange.helloFailures == 1);
    }
}
