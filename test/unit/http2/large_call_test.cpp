/** @file large_call_test.cpp Large messages between nodes, and nodes without memory for them. */

#include "duty/hop_codec.h"
#include "duty/peer_link.h"
#include "support/raw_http_client.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr size_t MiB = 1024 * 1024;
constexpr size_t LargeBytes = 20 * MiB; ///< Less than callers may send.
constexpr milliseconds Timeout{20000};  ///< Far above the duration of a call.

/** Two nodes; one answers each call with its size. */
struct Fixture {
    explicit Fixture(size_t memory)
    {
        answering.identifyAs(NodeId(2));
        answering.serve("/size", [this](std::string body) { return answer(std::move(body)); });
        answering.limitMemory({requests = std::make_shared<MemoryBudget>(memory), nullptr});
        answering.start();
        member.node = NodeId(2);
        member.ip = "127.0.0.1";
        member.peerPort = answering.port();
    }

    asio::awaitable<std::string> answer(std::string body)
    {
        held = requests->held();
        co_return std::to_string(body.size());
    }

    Result<std::string> call(size_t bytes)
    {
        return runUntil(context,
                        caller.callWithBody(
                                member, "/size",
                                PeerBody("x", std::make_shared<std::string>(bytes, 'y')), Timeout));
    }

    asio::io_context context;
    std::shared_ptr<MemoryBudget> requests;
    size_t held = 0; ///< While the last call was answered.
    PeerLink answering{context, "127.0.0.1", 0};
    PeerLink caller{context, "127.0.0.1", 0};
    MemberRecord member;
};

} // namespace

// Guards against a body within the configured limit that ends the connection between two nodes,
// with all other requests on it.
Test(large_call, call_of_many_megabytes_is_answered)
{
    Fixture fixture(2 * LargeBytes);
    const Result<std::string> reply = fixture.call(LargeBytes);
    cr_assert(reply.has_value());
    cr_assert(reply.assume_value() == std::to_string(LargeBytes + 1));
    cr_assert_geq(fixture.held, LargeBytes);
    cr_assert(runUntilHolds(fixture.context, [&]() { return fixture.requests->held() == 0; }));
}

// Guards against a node that is killed because of the calls that it receives.
Test(large_call, call_without_room_is_refused)
{
    Fixture fixture(LargeBytes);
    const Result<std::string> reply = fixture.call(LargeBytes);
    cr_assert(!reply && reply.assume_error().code == FailureCode::Overloaded);
    cr_assert_eq(fixture.held, 0U);

    SECTION("the connection is kept for others")
    {
        const Result<std::string> small = fixture.call(10);
        cr_assert(small.has_value() && small.assume_value() == "11");
        cr_assert_eq(fixture.requests->held(), 0U);
    }
}

// Guards against messages that another build of the program does not understand.
Test(large_call, message_without_copies_is_the_usual_encoding)
{
    const auto check = [](size_t bytes) {
        v1::HopRequest request;
        request.set_attempt_id("q");
        request.set_caller_service("one");
        request.set_body(std::string(bytes, 'b'));
        const std::string encoded = encodeHead(request) + request.body();
        v1::HopRequest usual;
        cr_assert(usual.ParseFromString(encoded));
        cr_assert(usual.SerializeAsString() == request.SerializeAsString());
        v1::HopRequest decoded;
        cr_assert(decodeMessage(request.SerializeAsString(), decoded));
        cr_assert(decoded.SerializeAsString() == request.SerializeAsString());

        v1::HopReply reply;
        reply.set_reason("done");
        reply.set_body(std::string(bytes, 'c'));
        reply.mutable_load()->set_slots(3);
        const std::string expected = reply.SerializeAsString();
        v1::HopReply usualReply;
        cr_assert(usualReply.ParseFromString(encodeReply(reply)));
        cr_assert(usualReply.SerializeAsString() == expected);
        v1::HopReply decodedReply;
        cr_assert(decodeMessage(expected, decodedReply));
        cr_assert(decodedReply.SerializeAsString() == expected);
    };
    SECTION("of small bodies")
    {
        check(0);
        check(100);
    }
    SECTION("of large bodies")
    {
        check(MiB);
    }
    SECTION("a truncated message is rejected")
    {
        v1::HopRequest request;
        request.set_body(std::string(MiB, 'b'));
        std::string encoded = encodeHead(request) + request.body();
        encoded.pop_back();
        v1::HopRequest decoded;
        cr_assert(!decodeMessage(std::move(encoded), decoded));
    }
}
