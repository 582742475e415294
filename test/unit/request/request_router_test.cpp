/** @file request_router_test.cpp What callers of the first node are told when attempts fail. */

#include "duty/request_router.h"

#include "adapter/clock/boot_clock_adapter.h"
#include "duty/ingress_message.h"
#include "platform/request_headers.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds LongTime{20000}; ///< Far above what a test takes.

/** Keys play no part here. */
class NoKeys final : public KeyOwnership
{
public:
    RequestEnd check(ShardKey, TimePoint) const override { return RequestEnd::NoLease; }
    std::optional<KeyOwner> ownerOf(ShardKey) const override { return std::nullopt; }
    void recordBusyTime(ShardKey, Duration, TimePoint) override { }
    double demand(TimePoint) override { return 0; }
    bool isLeaving() const override { return false; }
};

/** One node beside one backend server that plays a script. */
struct Fixture {
    explicit Fixture(std::vector<BackendScript> scripts)
        : backend(std::make_shared<ScriptedBackend>(context, std::move(scripts)))
    {
        backend->start();
        BackendReport report;
        report.backend = "b-1";
        report.service = "one";
        report.slots = 4;
        report.sequence = 1;
        (void)monitor.onReport(report, clock.now());
        gate.onBackendChange();
        MemberRecord self;
        self.node = NodeId(1);
        self.service = "one";
        self.backend = "b-1";
        self.slots = 4;
        self.state = BackendState::Ready;
        view.onMember(self, StoreRevision(1));
        Route route;
        route.name = "r";
        route.host = "a.example";
        route.pathPrefix = "/";
        route.targets = {{"one", 1}};
        route.kind = RequestKind::Idempotent;
        route.timeout = LongTime;
        route.maxAttempts = 2;
        RouteConfig config;
        config.version = 1;
        config.routes = {route};
        config.services["one"] = {"one", 0, false};
        (void)view.onConfig(std::move(config));
    }

    /** Makes the service one of keys; node 2 holds all of them. */
    void shard()
    {
        RouteConfig config = *view.routes().config();
        ++config.version;
        config.services["one"].sharded = true;
        (void)view.onConfig(std::move(config));
        RangeRecord record;
        record.table = makeRangeTable({{{NodeId(2), Incarnation(1), "b-2"}, 1}});
        view.onRanges("one", std::move(record), StoreRevision(1));
    }

    HttpResponse ask()
    {
        HttpRequest request(http::verb::get, "/x", 11);
        request.set("X-Wisteriahoist-Shard-Key", "7");
        request.set(http::field::host, "a.example");
        request.set("X-Wisteriahoist-Attempt-Id", "q");
        return runUntil(context,
                        router.onRequest(std::move(request), std::make_shared<DisconnectSignal>()));
    }

    asio::io_context context;
    std::shared_ptr<ScriptedBackend> backend;
    BootClockAdapter clock;
    platform::RequestHeaders protocol;
    NoKeys keys;
    BackendMonitor monitor{MonitorLimits{}};
    FleetView view;
    PeerLoads loads;
    PeerLink peers{context, "127.0.0.1", 0};
    BackendGate gate{context, clock, protocol, "127.0.0.1", backend->port(), monitor, keys};
    RequestRouter router{context, clock, protocol, view,
                         loads,   gate,  peers,    {NodeId(1), "domain", "one", {}}};
};

/** Another node; the first one's backend server leaves. */
struct Neighbour {
    explicit Neighbour(Fixture &fixture, NodeId node = NodeId(2))
        : peers(fixture.context, "127.0.0.1", 0)
    {
        peers.serve("/hop", [this](std::string body) { return onHop(std::move(body)); });
        peers.start();
        MemberRecord first;
        first.node = NodeId(1);
        first.service = "one";
        first.state = BackendState::Draining;
        fixture.view.onMember(first, StoreRevision(2));
        MemberRecord second = first;
        second.node = node;
        second.ip = "127.0.0.1";
        second.peerPort = peers.port();
        second.backend = "b-2";
        second.slots = 4;
        second.state = BackendState::Ready;
        fixture.view.onMember(second, StoreRevision(3));
    }

    asio::awaitable<std::string> onHop(std::string)
    {
        ++hops;
        v1::HopReply reply;
        reply.set_outcome(v1::HOP_OUTCOME_DONE);
        reply.set_status(200);
        reply.set_reached_backend(true);
        if (givenTo) {
            reply = makeOutcomeReply(RequestStage::Received, RequestEnd::NotOwner);
            reply.set_owner_node(givenTo->node.value());
            reply.set_epoch(givenTo->fence.value());
        }
        co_return reply.SerializeAsString();
    }

    PeerLink peers;
    uint32_t hops = 0;
    std::optional<KeyOwner> givenTo; ///< Who holds its keys now.
};

std::string answerWith(const std::string &status)
{
    return "HTTP/1.1 " + status
           + "\r\nX-Wisteriahoist-Attempt-Id: q\r\nX-Wisteriahoist-Server-Seal: s\r\n"
           + "Content-Length: 4\r\n\r\nbody";
}

} // namespace

Test(request_router, an_answer_is_passed_on)
{
    Fixture fixture({{answerWith("200 OK")}});
    const HttpResponse response = fixture.ask();
    cr_assert_eq(response.result_int(), 200U);
    cr_assert(response.body() == "body");
}

// A caller is told that its request has not run, though it has: the backend server ran it and
// answered 500, and nobody else was there to be asked a second time. That second attempt's refusal
// is true of itself only; the answer that is there is given instead.
Test(request_router, a_failure_that_was_answered_is_not_turned_into_a_refusal)
{
    Fixture fixture({{answerWith("500 Internal Server Error")}});
    const HttpResponse response = fixture.ask();
    cr_assert_eq(response.result_int(), 500U, "%u", response.result_int());
    cr_assert(response.body() == "body");
    cr_assert_eq(fixture.backend->requests().size(), 1U);
}

// A node has to stop while the store is away, so nobody can take its keys and it serves them to its
// end. A request that it hands over in its last second is cut off with the process, and its caller
// is told that it may have run; turned away before it is handed over, it has provably not.
Test(request_router, a_node_that_ends_takes_no_request_that_may_outlive_it)
{
    Fixture fixture({{answerWith("200 OK")}});
    fixture.gate.setShutdownDeadline(fixture.clock.now() + LongTime);
    cr_assert_eq(fixture.ask().result_int(), 200U);
    fixture.gate.setShutdownDeadline(fixture.clock.now() + milliseconds(1000));
    cr_assert_eq(fixture.ask().result_int(), 503U);
    cr_assert_eq(fixture.backend->requests().size(), 1U);
}

// The same for a request that another node would serve: the caller's connection is cut with the
// process that waits for the answer, while the request runs there. Turned away before it is passed
// on, it has provably not.
Test(request_router, a_node_that_ends_passes_nothing_on_that_may_outlive_it)
{
    Fixture fixture({{answerWith("200 OK")}});
    Neighbour neighbour(fixture);
    fixture.gate.setShutdownDeadline(fixture.clock.now() + LongTime + LongTime);
    cr_assert_eq(fixture.ask().result_int(), 200U);
    cr_assert_eq(neighbour.hops, 1U);
    fixture.gate.setShutdownDeadline(fixture.clock.now() + milliseconds(1000));
    cr_assert_eq(fixture.ask().result_int(), 503U);
    cr_assert_eq(neighbour.hops, 1U);
}

// Guards against a wait for the news of a move that the earlier holder of the key can tell of.
Test(request_router, a_request_follows_a_key_to_the_holder_that_is_named)
{
    Fixture fixture({{answerWith("200 OK")}});
    Neighbour earlier(fixture);
    Neighbour present(fixture, NodeId(3));
    fixture.shard();
    SECTION("to the holder under a higher fence")
    {
        earlier.givenTo = KeyOwner{NodeId(3), Epoch(9)};
        cr_assert_eq(fixture.ask().result_int(), 200U);
        cr_assert_eq(earlier.hops, 1U);
        cr_assert_eq(present.hops, 1U);
    }
    SECTION("but not on word that is older than the table")
    {
        earlier.givenTo = KeyOwner{NodeId(3), Epoch(0)};
        cr_assert_eq(fixture.ask().result_int(), 503U);
        cr_assert_eq(present.hops, 1U);
    }
}

// The same where the answer was lost: the request may have run, and no refusal may hide that.
Test(request_router, a_lost_answer_is_not_turned_into_a_refusal)
{
    Fixture fixture({{"", milliseconds(0), true}});
    cr_assert_eq(fixture.ask().result_int(), 502U);
}
