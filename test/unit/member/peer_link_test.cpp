/** @file peer_link_test.cpp Calls between nodes are answered only by the addressed node. */

#include "duty/peer_link.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds Timeout{5000}; ///< Far above the duration of a call.

asio::awaitable<std::string> answerHello(std::string)
{
    co_return "hello";
}

MemberRecord memberAt(uint64_t node, uint16_t port)
{
    MemberRecord member;
    member.node = NodeId(node);
    member.ip = "127.0.0.1";
    member.peerPort = port;
    return member;
}

} // namespace

// Guards against a sixth of the keys being unavailable for the rest of the day: the VM of their
// owner is lost and its address is reused by a new VM, whose node answers heartbeats and probes.
// The owner would be considered alive, and its keys would never be taken over.
Test(peer_link, call_is_rejected_by_another_node_at_the_address)
{
    asio::io_context context;
    PeerLink present(context, "127.0.0.1", 0);
    present.identifyAs(NodeId(2));
    present.serve("/probe", answerHello);
    present.start();
    PeerLink caller(context, "127.0.0.1", 0);
    const auto ask = [&](uint64_t node) {
        return runUntil(context,
                        caller.call(memberAt(node, present.port()), "/probe", {}, Timeout));
    };
    cr_assert(ask(2).assume_value() == "hello");
    SECTION("the failure is Unavailable, as if the address were unreachable")
    {
        const Result<std::string> answer = ask(1);
        cr_assert(!answer && answer.assume_error().code == FailureCode::Unavailable);
    }
}

// Guards against a call that is answered by its timeout alone, since an exception has ended it at
// the called node.
Test(peer_link, call_that_throws_fails_at_once)
{
    asio::io_context context;
    PeerLink called(context, "127.0.0.1", 0);
    called.serve("/throws", [](std::string) -> asio::awaitable<std::string> {
        throw std::runtime_error("asked for by the test");
    });
    called.serve("/hello", answerHello);
    called.start();
    PeerLink caller(context, "127.0.0.1", 0);
    const auto ask = [&](std::string_view path) {
        return runUntil(context,
                        caller.call(memberAt(2, called.port()), path, {}, milliseconds(60000)));
    };
    const Result<std::string> answer = ask("/throws");
    cr_assert(!answer && answer.assume_error().code == FailureCode::Ambiguous);
    cr_assert(ask("/hello").assume_value() == "hello");
}
