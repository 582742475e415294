/** @file peer_link_test.cpp Calls between nodes reach the node that they are meant for. */

#include "duty/peer_link.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds Timeout{5000}; ///< Far above what a call takes.

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

// Callers of a sixth of the keys are refused for the rest of the day: the VM of their holder is
// gone and its address belongs to a new one, whose node answers heartbeats and probes. So the
// holder counts as alive and nobody takes its keys over.
Test(peer_link, another_node_at_the_address_does_not_answer_for_the_lost_one)
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
    SECTION("as if there were no node at all: the call has not been taken")
    {
        const Result<std::string> answer = ask(1);
        cr_assert(!answer && answer.assume_error().code == FailureCode::Unavailable);
    }
}
