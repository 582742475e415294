/** @file gate_fault_test.cpp Faults at each step between the gate and the backend server. */

#include "adapter/clock/boot_clock_adapter.h"
#include "duty/gate_duty.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr NodeId Self{1};
constexpr NodeId Other{2};

struct GateFixture {
    explicit GateFixture(std::vector<BackendScript> scripts)
        : backend(std::make_shared<ScriptedBackend>(context, std::move(scripts))),
          gate(context, clock, Self)
    {
        backend->start();
        grant(Self, Epoch(1), std::chrono::seconds(60), GrantMode::Fenced);
    }

    GateGrant makeGrant(NodeId owner, Epoch epoch, milliseconds lease, GrantMode mode)
    {
        auto routing = std::make_shared<RoutingSnapshot>();
        routing->tables["s"] = SliceTable({{KeyHash(0), owner, epoch}});
        GateGrant grant;
        grant.routing = routing;
        grant.leaseUntil = clock.now() + lease;
        grant.backend = {"127.0.0.1", backend->port(), "s", 12, mode, false};
        return grant;
    }

    void grant(NodeId owner, Epoch epoch, milliseconds lease, GrantMode mode)
    {
        runUntil(context, gate.onGrant(makeGrant(owner, epoch, lease, mode)));
    }

    static v1::HopRequest makeRequest()
    {
        v1::HopRequest request;
        request.set_service("s");
        request.set_method("POST");
        request.set_target("/bookings/1");
        request.set_keyed(true);
        request.set_key("1");
        request.set_key_hash(7);
        request.set_deadline_left_ms(150);
        request.set_patience_left_ms(5000);
        request.set_origin_node(Self.value());
        request.set_request_id(1);
        return request;
    }

    static v1::HopRequest makeIdempotencyKeyed(const std::string &key)
    {
        v1::HopRequest request = makeRequest();
        request.set_must_not_repeat(true);
        request.set_idempotency_key(key);
        request.set_has_idempotency_age(true);
        request.set_refuse_unknown_age(true);
        return request;
    }

    v1::HopReply ask(const v1::HopRequest &request)
    {
        return runUntil(context, gate.onRequest(request));
    }

    asio::io_context context;
    BootClockAdapter clock;
    std::shared_ptr<ScriptedBackend> backend;
    GateDuty gate;
};

/** @return The reply to one request against @p script. */
v1::HopReply askOnce(BackendScript script)
{
    GateFixture fixture({std::move(script)});
    return fixture.ask(GateFixture::makeRequest());
}

const std::string Shed = "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

Test(request_gate, fault_at_each_step)
{
    SECTION("before sending: connection refused; provably not run")
    {
        GateFixture fixture(std::vector<BackendScript>(1));
        GateGrant grant = fixture.makeGrant(Self, Epoch(1), milliseconds(60000), GrantMode::Fenced);
        asio::io_context unused;
        tcp::acceptor closed(unused, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        grant.backend.port = closed.local_endpoint().port();
        closed.close();
        runUntil(fixture.context, fixture.gate.onGrant(grant));
        const v1::HopReply reply = fixture.ask(GateFixture::makeRequest());
        cr_assert(reply.outcome() == v1::HOP_OUTCOME_NOT_RUN && reply.retry_after_ms() > 0);
    }
    SECTION("sent, closed without reading: the request may have been read")
    {
        BackendScript script;
        script.closeUnread = true;
        cr_assert(askOnce(script).outcome() == v1::HOP_OUTCOME_UNKNOWN);
    }
    SECTION("sent, closed without a response")
    {
        BackendScript script;
        script.close = true;
        cr_assert(askOnce(script).outcome() == v1::HOP_OUTCOME_UNKNOWN);
    }
    SECTION("sent, no response: unknown at the deadline")
    {
        BackendScript script;
        script.silent = true;
        const v1::HopReply reply = askOnce(script);
        cr_assert(reply.outcome() == v1::HOP_OUTCOME_UNKNOWN && reply.reason() == "deadline-over");
    }
    SECTION("response partly sent")
    {
        BackendScript script;
        script.answer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf";
        script.close = true;
        cr_assert(askOnce(script).outcome() == v1::HOP_OUTCOME_UNKNOWN);
    }
    SECTION("a partly read refusal does not prove that the request has not run")
    {
        BackendScript script;
        script.answer = "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 10\r\n\r\nhalf";
        script.close = true;
        cr_assert(askOnce(script).outcome() == v1::HOP_OUTCOME_UNKNOWN);
    }
    SECTION("a response without a length cannot be known to be complete")
    {
        BackendScript script;
        script.answer = "HTTP/1.1 200 OK\r\n\r\nperhaps cut off";
        script.close = true;
        const v1::HopReply reply = askOnce(script);
        cr_assert(reply.outcome() == v1::HOP_OUTCOME_UNKNOWN && reply.reason() == "bad-answer");
    }
    SECTION("bytes that are no response")
    {
        for (const std::string status : {"000", "099", "600", "20", "abc"}) {
            BackendScript script;
            script.answer = "HTTP/1.1 " + status + " OK\r\nContent-Length: 4\r\n\r\nbody";
            const v1::HopReply reply = askOnce(script);
            cr_assert(reply.outcome() == v1::HOP_OUTCOME_UNKNOWN && reply.status() == 502, "%s",
                      status.c_str());
            cr_assert(reply.body().empty());
        }
    }
    SECTION("refused in a complete response: not run")
    {
        BackendScript script;
        script.answer = Shed;
        const v1::HopReply reply = askOnce(script);
        cr_assert(reply.outcome() == v1::HOP_OUTCOME_NOT_RUN && reply.reason() == "shed");
    }
    SECTION("complete response")
    {
        BackendScript script;
        script.answer = makeAnswer("whole");
        const v1::HopReply reply = askOnce(script);
        cr_assert(reply.outcome() == v1::HOP_OUTCOME_DONE && reply.body() == "whole");
    }
}

Test(request_gate, late_response_reaches_no_other_request)
{
    // The first request exceeds its deadline, and its response arrives while the second request
    // waits. If the connection were returned to the pool, the second caller would get that
    // response.
    BackendScript late;
    late.answer = makeAnswer("first");
    late.delay = milliseconds(250);
    BackendScript prompt;
    prompt.answer = makeAnswer("second");
    prompt.delay = milliseconds(130);
    GateFixture fixture({late, prompt});
    v1::HopRequest request = GateFixture::makeRequest();
    cr_assert(fixture.ask(request).outcome() == v1::HOP_OUTCOME_UNKNOWN);
    request.set_request_id(2);
    request.set_deadline_left_ms(5000);
    cr_assert(fixture.ask(request).body() == "second");
}

Test(request_gate, surplus_bytes_end_the_connection)
{
    // The backend server sends more bytes than the stated length. On a reused connection the
    // surplus would be read as the response to the next request.
    BackendScript surplus;
    surplus.answer = makeAnswer("one") + makeAnswer("stray");
    BackendScript plain;
    plain.answer = makeAnswer("two");
    GateFixture fixture({surplus, plain});
    cr_assert(fixture.ask(GateFixture::makeRequest()).body() == "one");
    cr_assert(fixture.ask(GateFixture::makeRequest()).body() == "two");
}

Test(request_gate, admission_is_checked_again_before_sending)
{
    BackendScript script;
    script.answer = makeAnswer("x");
    script.delay = milliseconds(60);
    GateFixture fixture({script});
    v1::HopRequest request = GateFixture::makeRequest();
    request.set_deadline_left_ms(5000);
    SECTION("the lease has expired")
    {
        fixture.grant(Self, Epoch(1), milliseconds(0), GrantMode::Fenced);
        cr_assert(fixture.ask(request).reason() == "no-lease");
    }
    SECTION("another node is the owner")
    {
        fixture.grant(Other, Epoch(2), milliseconds(60000), GrantMode::Fenced);
        const v1::HopReply reply = fixture.ask(request);
        cr_assert(reply.status() == 421 && reply.outcome() == v1::HOP_OUTCOME_NOT_RUN);
    }
    SECTION("another node became the owner while the request was queued")
    {
        // A cold backend server has one slot, and the second request waits for it while the range
        // moves. Checked only on arrival, it would run at the same time as the new owner's
        // requests.
        GateFixture cold({script});
        std::optional<v1::HopReply> queued;
        asio::co_spawn(cold.context, cold.gate.onRequest(request), asio::detached);
        v1::HopRequest second = request;
        second.set_request_id(2);
        asio::co_spawn(cold.context, cold.gate.onRequest(second),
                       [&queued](std::exception_ptr, v1::HopReply reply) { queued = reply; });
        cr_assert(runUntilHolds(cold.context,
                                [&]() { return cold.backend->requests().size() == 1; }));
        cold.grant(Other, Epoch(2), milliseconds(60000), GrantMode::Fenced);
        cr_assert(runUntilHolds(cold.context, [&]() { return queued.has_value(); }));
        cr_assert(queued->status() == 421 && cold.backend->requests().size() == 1);
    }
}

Test(request_gate, grant_is_confirmed_after_the_lost_range_drained)
{
    // The coordinator assigns the range to another node once this one confirms the grant. If it
    // confirmed while a request of the range is running, two nodes would run the key at once.
    BackendScript script;
    script.answer = makeAnswer("x");
    script.delay = milliseconds(100);
    GateFixture fixture({script});
    v1::HopRequest request = GateFixture::makeRequest();
    request.set_deadline_left_ms(5000);
    std::optional<v1::HopReply> answered;
    asio::co_spawn(fixture.context, fixture.gate.onRequest(request),
                   [&answered](std::exception_ptr, v1::HopReply reply) { answered = reply; });
    cr_assert(runUntilHolds(fixture.context,
                            [&]() { return fixture.backend->requests().size() == 1; }));
    fixture.grant(Other, Epoch(2), milliseconds(60000), GrantMode::Fenced);
    cr_assert(answered.has_value() && answered->outcome() == v1::HOP_OUTCOME_DONE);
}

Test(request_gate, unchecked_backend_gets_a_deadline_inside_the_lease)
{
    BackendScript script;
    script.silent = true;
    GateFixture fixture({script});
    fixture.grant(Self, Epoch(1), milliseconds(80), GrantMode::Unchecked);
    v1::HopRequest request = GateFixture::makeRequest();
    request.set_deadline_left_ms(60000);
    cr_assert(fixture.ask(request).outcome() == v1::HOP_OUTCOME_UNKNOWN);
    const std::string &head = fixture.backend->requests().front();
    const auto at = head.find("Wisteriahoist-Deadline-Ms: ");
    cr_assert(at != std::string::npos && std::stoi(head.substr(at + 27)) <= 80);
    cr_assert(head.find("Wisteriahoist-Grant-Expires-Ms: ") != std::string::npos);
    cr_assert(head.find("Wisteriahoist-Epoch: 1\r\n") != std::string::npos);
}

Test(request_gate, must_not_repeat)
{
    SECTION("a retry gets the stored response; the backend server ran the request once")
    {
        BackendScript script;
        script.answer = makeAnswer("booked");
        GateFixture fixture({script});
        cr_assert(fixture.ask(GateFixture::makeIdempotencyKeyed("k")).body() == "booked");
        const v1::HopReply again = fixture.ask(GateFixture::makeIdempotencyKeyed("k"));
        cr_assert(again.body() == "booked" && again.replayed());
        cr_assert(fixture.backend->requests().size() == 1);
    }
    SECTION("a request whose response was lost stays unknown and is not run again")
    {
        BackendScript script;
        script.close = true;
        GateFixture fixture({script});
        cr_assert(fixture.ask(GateFixture::makeIdempotencyKeyed("k")).outcome()
                  == v1::HOP_OUTCOME_UNKNOWN);
        const v1::HopReply again = fixture.ask(GateFixture::makeIdempotencyKeyed("k"));
        cr_assert(again.reason() == "idempotency-key-outcome-lost");
        cr_assert(fixture.backend->requests().size() == 1);
    }
    SECTION("a shed request may be sent again")
    {
        BackendScript shed;
        shed.answer = Shed;
        BackendScript good;
        good.answer = makeAnswer("booked");
        GateFixture fixture({shed, good});
        v1::HopRequest request = GateFixture::makeIdempotencyKeyed("k");
        request.set_deadline_left_ms(5000);
        cr_assert(fixture.ask(request).outcome() == v1::HOP_OUTCOME_NOT_RUN);
        cr_assert(fixture.ask(request).body() == "booked");
    }
    SECTION("a retry at a new owner is refused as unknown")
    {
        BackendScript script;
        script.answer = makeAnswer("booked");
        GateFixture fixture({script});
        v1::HopRequest retry = GateFixture::makeIdempotencyKeyed("k");
        retry.set_idempotency_age_ms(1500);
        const v1::HopReply reply = fixture.ask(retry);
        cr_assert(reply.outcome() == v1::HOP_OUTCOME_UNKNOWN && reply.status() == 409);
        cr_assert(fixture.backend->requests().empty());
    }
}

Test(request_gate, caller_disconnects)
{
    BackendScript script;
    script.silent = true;
    GateFixture fixture({script});
    v1::HopRequest cancel;
    cancel.set_cancel(true);
    cancel.set_origin_node(Self.value());
    cancel.set_request_id(1);
    std::optional<v1::HopReply> reply;
    const auto store = [&reply](std::exception_ptr, v1::HopReply value) { reply = value; };
    SECTION("its request is cancelled and the connection closed")
    {
        v1::HopRequest request = GateFixture::makeRequest();
        request.set_deadline_left_ms(60000);
        asio::co_spawn(fixture.context, fixture.gate.onRequest(request), store);
        cr_assert(runUntilHolds(fixture.context,
                                [&]() { return fixture.backend->requests().size() == 1; }));
        fixture.ask(cancel);
        cr_assert(runUntilHolds(fixture.context, [&]() { return reply.has_value(); }));
        cr_assert(reply->reason() == "caller-gone");
        cr_assert(reply->outcome() == v1::HOP_OUTCOME_UNKNOWN);
    }
}
