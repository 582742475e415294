/** @file request_router_test.cpp Answers of the ingress node when attempts fail. */

#include "duty/request_router.h"

#include "duty/ingress_message.h"
#include "platform/request_headers.h"
#include "support/no_ownership.h"
#include "support/scripted_backend.h"
#include "support/shifted_clock.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds LongTime{20000}; ///< Far above what a test takes.

/** One node beside one backend server that runs scripts. */
struct Fixture {
    explicit Fixture(std::vector<BackendScript> scripts)
        : backend(std::make_shared<ScriptedBackend>(context, std::move(scripts)))
    {
        backend->start();
        report("b-1", 1);
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

    /** Makes the service sharded; node 2 owns all of its keys. */
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

    /** Requests of the route must not run twice. */
    void forbidRepetition()
    {
        RouteConfig config = *view.routes().config();
        ++config.version;
        config.routes.front().kind = RequestKind::NonIdempotent;
        (void)view.onConfig(std::move(config));
    }

    /** The backend server has reported, and is cold for @p coldTime. */
    void report(const BackendIncarnation &incarnation, uint64_t sequence,
                milliseconds coldTime = milliseconds(0))
    {
        BackendReport report;
        report.backend = incarnation;
        report.service = "one";
        report.slots = 4;
        report.sequence = sequence;
        report.warmUpLeft = coldTime;
        (void)monitor.onReport(report, clock.now());
        (void)monitor.onIdentity(incarnation.id, monitor.question(), clock.now());
        gate.onBackendChange();
    }

    /** The next incarnation of the backend server has reported. */
    void startNextIncarnation()
    {
        report(BackendIncarnation("b-" + std::to_string(++incarnations)), 1);
    }

    HttpResponse ask(const std::string &target = "/x", milliseconds timeLeft = LongTime)
    {
        HttpRequest request(http::verb::get, target, 11);
        request.set("X-Wisteriahoist-Shard-Key", "7");
        request.set(http::field::host, "a.example");
        request.set("X-Wisteriahoist-Attempt-Id", "q");
        request.set("X-Wisteriahoist-Deadline-Ms", std::to_string(timeLeft.count()));
        return runUntil(context,
                        router.onRequest(std::move(request), std::make_shared<DisconnectSignal>()));
    }

    /** Runs a request of another node at the gate. */
    v1::HopReply askGate(BackendGate &asked)
    {
        const v1::HopRequest request = makeHop();
        return runUntil(context, asked.run(request));
    }

    static v1::HopRequest makeHop()
    {
        v1::HopRequest request;
        request.set_service("one");
        request.set_method("GET");
        request.set_target("/x");
        request.set_attempt_id("q");
        request.set_deadline_left_ms(LongTime.count());
        return request;
    }

    int incarnations = 1;
    asio::io_context context;
    std::shared_ptr<ScriptedBackend> backend;
    ShiftedClock clock;
    platform::RequestHeaders protocol;
    NoOwnership keys;
    BackendMonitor monitor{MonitorLimits{}};
    FleetView view;
    PeerLoads loads;
    PeerLink peers{context, "127.0.0.1", 0};
    CrashLedger crashes;
    BackendGate gate{context,         clock,   protocol, "127.0.0.1",
                     backend->port(), monitor, keys,     crashes};
    RequestRouter router{context, clock,   protocol,
                         view,    loads,   gate,
                         peers,   crashes, {NodeId(1), "domain", "one", {}}};
};

/** Another node with a ready backend server; that of the first node is draining. */
struct PeerNode {
    explicit PeerNode(Fixture &fixture, NodeId node = NodeId(2))
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
        if (scripted) {
            reply = *scripted;
        }
        if (newOwner) {
            reply = makeOutcomeReply(RequestStage::Received, RequestEnd::NotOwner);
            reply.set_owner_node(newOwner->node.value());
            reply.set_epoch(newOwner->fence.value());
        }
        co_return reply.SerializeAsString();
    }

    PeerLink peers;
    uint32_t hops = 0;
    std::optional<KeyOwner> newOwner;     ///< If set, the node that owns its keys now.
    std::optional<v1::HopReply> scripted; ///< If set, its reply.
};

/** @return A reply to a request that a backend server has answered. */
v1::HopReply makeDoneReply(uint32_t status, const std::string &field = "Name",
                           const std::string &value = "value")
{
    v1::HopReply reply;
    reply.set_outcome(v1::HOP_OUTCOME_DONE);
    reply.set_status(status);
    v1::HeaderField *header = reply.add_headers();
    header->set_name(field);
    header->set_value(value);
    reply.set_body("body");
    reply.set_reached_backend(true);
    return reply;
}

const BackendScript LostAnswer{"", milliseconds(0), true};

/** Three incarnations of the only backend server have ended under the same request. */
struct CrashedServers {
    CrashedServers()
    {
        for (int crashes = 0; crashes < 3; ++crashes) {
            cr_assert_eq(fixture.ask().result_int(), 502U);
            fixture.startNextIncarnation();
        }
        reached = reachedNow();
    }

    size_t reachedNow() const { return fixture.backend->requests().size(); }

    Fixture fixture{{LostAnswer}};
    size_t reached = 0;
};

std::string answerWith(const std::string &status, const std::string &fields = "")
{
    return "HTTP/1.1 " + status + "\r\n" + fields
           + "X-Wisteriahoist-Attempt-Id: q\r\nX-Wisteriahoist-Server-Seal: s\r\n"
           + "Content-Length: 4\r\n\r\nbody";
}

} // namespace

Test(request_router, a_response_is_passed_on)
{
    Fixture fixture({{answerWith("200 OK")}});
    const HttpResponse response = fixture.ask();
    cr_assert_eq(response.result_int(), 200U);
    cr_assert(response.body() == "body");
}

// Guards against passing on bytes that are no response: the caller gets the same as if the backend
// server had broken off, and none of them.
Test(request_router, bytes_that_are_no_response_are_not_passed_on)
{
    const std::string whole = answerWith("200 OK");
    for (const std::string &bytes : std::vector<std::string>{
                 answerWith("000 OK"), answerWith("007 OK"), answerWith("099 OK"),
                 answerWith("600 OK"), answerWith("999 OK"), answerWith("20 OK"),
                 answerWith("abc OK"), answerWith("200 OK", "Na me: x\r\n"),
                 answerWith("200 OK", "Na\x01me: x\r\n"), answerWith("200 OK", "Name : x\r\n"),
                 answerWith("200 OK", "Content-Length : 2\r\n"),
                 "HTTP/1.1 099 Early\r\n\r\n" + whole, "HTTP/1.1 000 OK\r\n\r\nbody"}) {
        Fixture fixture({{bytes}, {whole}});
        const HttpResponse response = fixture.ask("/x", milliseconds(2000));
        cr_assert_eq(response.result_int(), 502U, "%s", bytes.c_str());
        cr_assert(response.body().find("body") == std::string::npos);
        cr_assert_eq(response.count("X-Wisteriahoist-Server-Seal"), 0U);
        cr_assert(runUntilHolds(fixture.context,
                                [&]() { return fixture.backend->lostConnections() == 1; }));
        cr_assert_eq(fixture.ask().result_int(), 200U);
        cr_assert_eq(fixture.backend->connections(), 2U);
    }
}

// Guards against a caller that gets an empty or short response as a whole one, since the backend
// server has stopped in the middle of the head and closed.
Test(request_router, heads_that_end_in_their_middle_are_not_passed_on)
{
    const std::string whole = answerWith("200 OK");
    const size_t headSize = whole.size() - std::string_view("body").size();
    for (size_t length = 0; length < headSize; ++length) {
        BackendScript cut{whole.substr(0, length)};
        cut.close = true;
        Fixture fixture({cut, {whole}});
        const HttpResponse response = fixture.ask("/x", milliseconds(2000));
        cr_assert_eq(response.result_int(), 502U, "after %zu bytes", length);
        cr_assert_eq(response.count("X-Wisteriahoist-Server-Seal"), 0U);
        cr_assert_eq(fixture.ask().result_int(), 200U);
    }
}

// Guards against passing on what another node has taken for a response, and against a request that
// is never answered, since such a response can't be made.
Test(request_router, replies_of_nodes_that_hold_no_response_are_not_passed_on)
{
    const std::string tooLong(70000, 'x');
    for (const v1::HopReply &reply :
         {makeDoneReply(0), makeDoneReply(99), makeDoneReply(100), makeDoneReply(199),
          makeDoneReply(600), makeDoneReply(1000), makeDoneReply(UINT32_MAX),
          makeDoneReply(200, "Na me"), makeDoneReply(200, ""), makeDoneReply(200, "Na\x01me"),
          makeDoneReply(200, "Name", "a\r\nb: c"), makeDoneReply(200, "Name", tooLong),
          makeDoneReply(200, tooLong)}) {
        Fixture fixture({{answerWith("200 OK")}});
        PeerNode peer(fixture);
        peer.scripted = reply;
        const HttpResponse response = fixture.ask("/x", milliseconds(2000));
        cr_assert_eq(response.result_int(), 502U, "%u %s", reply.status(),
                     reply.headers(0).name().c_str());
        cr_assert(response.body().find("value") == std::string::npos);
    }
    SECTION("but those that do are")
    {
        Fixture fixture({{answerWith("200 OK")}});
        PeerNode peer(fixture);
        peer.scripted = makeDoneReply(599, "X-Name!", "a\tb");
        const HttpResponse response = fixture.ask();
        cr_assert(response.result_int() == 599U && response["X-Name!"] == "a\tb");
    }
}

// Guards against a false "not run": the backend server ran the request and answered 500, and the
// second attempt was refused because there is no other instance. That refusal concerns only the
// second attempt, so the caller must get the response of the first.
Test(request_router, a_failure_that_was_answered_is_not_turned_into_a_refusal)
{
    Fixture fixture({{answerWith("500 Internal Server Error")}});
    const HttpResponse response = fixture.ask();
    cr_assert_eq(response.result_int(), 500U, "%u", response.result_int());
    cr_assert(response.body() == "body");
    cr_assert_eq(fixture.backend->requests().size(), 1U);
}

// A node that stops while the store is unavailable cannot hand over its keys and serves them until
// its process ends. A request sent in the last second would be cut off, and the caller could
// only be informed that it may have run. Refused before it is sent, it has provably not run.
Test(request_router, a_stopping_node_takes_no_request_that_may_outlive_it)
{
    Fixture fixture({{answerWith("200 OK")}});
    fixture.gate.setShutdownDeadline(fixture.clock.now() + LongTime);
    cr_assert_eq(fixture.ask().result_int(), 200U);
    fixture.gate.setShutdownDeadline(fixture.clock.now() + milliseconds(1000));
    cr_assert_eq(fixture.ask().result_int(), 503U);
    cr_assert_eq(fixture.backend->requests().size(), 1U);
}

// The same for a request that another node would serve: the caller's connection would close with
// the process that waits for the response, while the request runs elsewhere. Refused before it is
// forwarded, it has provably not run.
Test(request_router, a_stopping_node_forwards_no_request_that_may_outlive_it)
{
    Fixture fixture({{answerWith("200 OK")}});
    PeerNode peer(fixture);
    fixture.gate.setShutdownDeadline(fixture.clock.now() + LongTime + LongTime);
    cr_assert_eq(fixture.ask().result_int(), 200U);
    cr_assert_eq(peer.hops, 1U);
    fixture.gate.setShutdownDeadline(fixture.clock.now() + milliseconds(1000));
    cr_assert_eq(fixture.ask().result_int(), 503U);
    cr_assert_eq(peer.hops, 1U);
}

// Guards against cutting off a request that arrives late in a stop and runs for as long as its
// route allows: its connection would close without an answer, also if it must not run twice.
Test(request_router, late_in_a_stop_a_request_must_end_before_the_process)
{
    constexpr milliseconds Stop{6000};
    constexpr milliseconds Late{3600};
    constexpr milliseconds TooLong{4000};
    constexpr milliseconds Short{1000};
    for (const bool mayRepeat : {true, false}) {
        Fixture fixture({{answerWith("200 OK")}});
        if (!mayRepeat) {
            fixture.forbidRepetition();
        }
        fixture.gate.setShutdownDeadline(fixture.clock.now() + Stop);
        SECTION("early in the stop others still rely on this node")
        {
            cr_assert_eq(fixture.ask("/x", LongTime).result_int(), 200U);
        }
        fixture.clock.advance(Late);
        SECTION("late, what may last longer is rejected before it is sent")
        {
            cr_assert_eq(fixture.ask("/x", TooLong).result_int(), 503U);
            cr_assert(fixture.askGate(fixture.gate).outcome() == v1::HOP_OUTCOME_NOT_RUN);
            cr_assert_eq(fixture.backend->requests().size(), 1U);
        }
        SECTION("and what ends before is served")
        {
            cr_assert_eq(fixture.ask("/x", Short).result_int(), 200U);
        }
        SECTION("the same if another node serves it")
        {
            PeerNode peer(fixture);
            cr_assert_eq(fixture.ask("/x", TooLong).result_int(), 503U);
            cr_assert_eq(peer.hops, 0U);
            cr_assert_eq(fixture.ask("/x", Short).result_int(), 200U);
            cr_assert_eq(peer.hops, 1U);
        }
    }
}

// Guards against waiting for a slot until the process ends: the connection would close without an
// answer.
Test(request_router, late_in_a_stop_waiting_requests_are_rejected_at_once)
{
    constexpr milliseconds Stop{6000};
    constexpr milliseconds Late{3600};
    Fixture fixture({{"", milliseconds(0), false, true}});
    size_t notRun = 0;
    size_t ended = 0;
    const auto count = [&notRun, &ended](std::exception_ptr, const v1::HopReply &reply) {
        ++ended;
        notRun += reply.outcome() == v1::HOP_OUTCOME_NOT_RUN ? 1 : 0;
    };
    constexpr uint64_t Slots = 4;
    v1::HopRequest request = Fixture::makeHop();
    request.set_objective_left_ms(LongTime.count());
    for (uint64_t id = 1; id <= Slots + 1; ++id) {
        request.set_request_id(id);
        asio::co_spawn(
                fixture.context, [&fixture, request]() { return fixture.gate.run(request); },
                count);
    }
    cr_assert(runUntilHolds(fixture.context, [&]() {
        return fixture.backend->requests().size() == Slots
               && fixture.gate.admission().waiting() == 1;
    }));
    fixture.gate.setShutdownDeadline(fixture.clock.now() + Stop);
    fixture.gate.rejectOutlasting(fixture.clock.now());
    fixture.context.restart();
    fixture.context.poll();
    cr_assert_eq(notRun, 0U);
    fixture.clock.advance(Late);
    fixture.gate.rejectOutlasting(fixture.clock.now());
    cr_assert(runUntilHolds(fixture.context, [&]() { return notRun == 1; }));
    cr_assert_eq(fixture.backend->requests().size(), Slots);
    for (uint64_t id = 1; id <= Slots + 1; ++id) {
        fixture.gate.cancel(0, id);
    }
    cr_assert(runUntilHolds(fixture.context, [&]() { return ended == Slots + 1; }));
}

// Guards against a request that is never answered, since a member's record names no address.
Test(request_router, a_node_without_an_address_is_unreachable)
{
    Fixture fixture({{answerWith("200 OK")}});
    PeerNode peer(fixture);
    MemberRecord member = *fixture.view.findMember(NodeId(2));
    member.ip = "nowhere";
    fixture.view.onMember(member, StoreRevision(4));
    cr_assert_eq(fixture.ask().result_int(), 503U);
    cr_assert_eq(peer.hops, 0U);
}

// Guards against waiting for a table update that the previous owner of the key can provide.
Test(request_router, a_request_follows_a_key_to_the_owner_that_is_named)
{
    Fixture fixture({{answerWith("200 OK")}});
    PeerNode previous(fixture);
    PeerNode current(fixture, NodeId(3));
    fixture.shard();
    SECTION("to an owner with a higher fencing token")
    {
        previous.newOwner = KeyOwner{NodeId(3), Epoch(9)};
        cr_assert_eq(fixture.ask().result_int(), 200U);
        cr_assert_eq(previous.hops, 1U);
        cr_assert_eq(current.hops, 1U);
    }
    SECTION("but not to an owner that is older than the table")
    {
        previous.newOwner = KeyOwner{NodeId(3), Epoch(0)};
        cr_assert_eq(fixture.ask().result_int(), 503U);
        cr_assert_eq(current.hops, 1U);
    }
}

// The same if the response was lost: the request may have run, and no later refusal may hide this.
Test(request_router, a_lost_response_is_not_turned_into_a_refusal)
{
    Fixture fixture({{"", milliseconds(0), true}});
    cr_assert_eq(fixture.ask().result_int(), 502U);
}

// Guards against a request that crashes one backend server after the other: each attempt of its
// callers counted as a new request.
Test(request_router, a_request_that_has_crashed_three_servers_is_refused)
{
    SECTION("at the node that its caller is connected to, with the time until it is allowed again")
    {
        CrashedServers crashed;
        const HttpResponse response = crashed.fixture.ask();
        cr_assert_eq(response.result_int(), 503U);
        cr_assert_gt(std::stod(std::string(response[http::field::retry_after])), 3000);
        cr_assert_eq(crashed.reachedNow(), crashed.reached);
    }
    SECTION("at the node beside the server, for a node that does not know of it")
    {
        CrashedServers crashed;
        v1::HopRequest hop;
        hop.set_service("one");
        hop.set_method("GET");
        hop.set_target("/x");
        hop.set_caller_service("one");
        hop.set_deadline_left_ms(LongTime.count());
        v1::HeaderField *host = hop.add_headers();
        host->set_name("Host");
        host->set_value("a.example");
        const v1::HopReply reply = runUntil(crashed.fixture.context, crashed.fixture.gate.run(hop));
        cr_assert(reply.outcome() == v1::HOP_OUTCOME_NOT_RUN);
        cr_assert(reply.reason() == "crashes-backend");
        cr_assert_eq(crashed.reachedNow(), crashed.reached);
    }
    SECTION("but not another one, and this one not once it was answered elsewhere")
    {
        CrashedServers crashed;
        cr_assert_eq(crashed.fixture.ask("/y").result_int(), 502U);
        CrashLedger &ledger = crashed.fixture.crashes;
        std::vector<CrashReport> answered = ledger.published(crashed.fixture.clock.now());
        for (CrashReport &report : answered) {
            report.refuted = true;
        }
        (void)ledger.onReports(answered, crashed.fixture.clock.now());
        cr_assert_eq(crashed.fixture.ask().result_int(), 502U);
    }
}

// Guards against blame for requests whose backend server was lost by plan, or not at all.
Test(request_router, a_lost_connection_alone_is_no_crash)
{
    SECTION("as long as the incarnation goes on")
    {
        Fixture fixture({LostAnswer});
        (void)fixture.ask();
        cr_assert(fixture.crashes.empty());
    }
    SECTION("nor at a server that has deregistered meanwhile")
    {
        Fixture fixture({{"", milliseconds(50), true}});
        asio::steady_timer timer(fixture.context, milliseconds(20));
        timer.async_wait([&](boost::system::error_code) {
            fixture.monitor.onDeregister("b-1", fixture.clock.now());
        });
        (void)fixture.ask();
        cr_assert_eq(fixture.backend->requests().size(), 1U);
        fixture.startNextIncarnation();
        cr_assert(fixture.crashes.empty());
    }
    SECTION("nor a request whose time ends at a server that goes on")
    {
        Fixture fixture({{"", milliseconds(0), false, true}});
        (void)fixture.ask("/x", milliseconds(50));
        cr_assert(fixture.crashes.empty());
    }
    SECTION("but that one is a suspect if the server ends right afterwards")
    {
        Fixture fixture({{"", milliseconds(0), false, true}});
        (void)fixture.ask("/x", milliseconds(50));
        fixture.startNextIncarnation();
        cr_assert(!fixture.crashes.empty());
    }
    SECTION("but if its next incarnation reports")
    {
        Fixture fixture({LostAnswer});
        (void)fixture.ask();
        fixture.startNextIncarnation();
        cr_assert(!fixture.crashes.empty());
    }
}

// Guards against more requests at a backend server than it takes: the limit in its answers was not
// read.
Test(request_router, a_server_gets_no_more_requests_than_the_limit_that_it_names)
{
    SECTION("those beyond it are refused at once, with the time at which they can be served")
    {
        Fixture fixture({{answerWith("200 OK", "Server-Limit: 0.5\r\n")}});
        cr_assert_eq(fixture.ask().result_int(), 200U);
        cr_assert_eq(fixture.ask().result_int(), 200U);
        const HttpResponse refused = fixture.ask();
        cr_assert_eq(refused.result_int(), 503U);
        cr_assert_geq(std::stod(std::string(refused[http::field::retry_after])), 2.0);
        cr_assert_eq(fixture.backend->requests().size(), 2U);
        cr_assert_eq(fixture.gate.load(fixture.clock.now()).waiting(), 4U, "others go elsewhere");
    }
    SECTION("until it names none any more, or another incarnation is there")
    {
        Fixture fixture({{answerWith("200 OK", "Server-Limit: 1000\r\n")},
                         {answerWith("200 OK")},
                         {answerWith("200 OK", "Server-Limit: 0.01\r\n")}});
        (void)fixture.ask();
        cr_assert(fixture.gate.publishedLimit().has_value());
        (void)fixture.ask();
        cr_assert(!fixture.gate.publishedLimit().has_value());
        (void)fixture.ask();
        cr_assert(fixture.gate.publishedLimit().has_value());
        fixture.startNextIncarnation();
        cr_assert(!fixture.gate.publishedLimit().has_value());
    }
    SECTION("a limit that is no number changes nothing")
    {
        for (const char *value : {"x", "-1", "1e3", "inf", "nan", "", "1 2"}) {
            Fixture fixture(
                    {{answerWith("200 OK", "Server-Limit: 7\r\n")},
                     {answerWith("200 OK", std::string("Server-Limit: ") + value + "\r\n")}});
            (void)fixture.ask();
            (void)fixture.ask();
            cr_assert(fixture.gate.publishedLimit().has_value(), "%s", value);
            cr_assert_eq(fixture.gate.malformedLimits(), 1U, "%s", value);
        }
    }
    SECTION("the limit outlives the process that was told it")
    {
        Fixture fixture({{answerWith("200 OK", "Server-Limit: 1\r\n")}});
        fixture.gate.adoptLimit("b-2", 1);
        cr_assert(!fixture.gate.publishedLimit().has_value());
        fixture.startNextIncarnation();
        cr_assert(fixture.gate.publishedLimit().has_value());
    }
}

// Guards against requests at a backend server that has said in an answer that it leaves, but not
// yet in a heartbeat.
Test(request_router, a_server_that_says_that_it_leaves_gets_no_more_requests)
{
    SECTION("from its first answer that says so")
    {
        for (const char *field : {"Server-Leaving", "X-Wisteriahoist-Server-Leaving"}) {
            Fixture fixture({{answerWith("200 OK", std::string(field) + ": 1\r\n")}});
            cr_assert_eq(fixture.ask().result_int(), 200U);
            cr_assert(fixture.monitor.state() == BackendState::Draining);
            cr_assert_eq(fixture.ask().result_int(), 503U);
            cr_assert_eq(fixture.backend->requests().size(), 1U);
        }
    }
    SECTION("also when a late heartbeat says that it is ready")
    {
        Fixture fixture({{answerWith("200 OK", "Server-Leaving: 1\r\n")}});
        (void)fixture.ask();
        BackendReport report;
        report.backend = "b-1";
        report.service = "one";
        report.slots = 4;
        report.sequence = 2;
        (void)fixture.monitor.onReport(report, fixture.clock.now());
        cr_assert(fixture.monitor.state() == BackendState::Draining);
    }
    SECTION("but the next incarnation does")
    {
        Fixture fixture({{answerWith("200 OK", "Server-Leaving: 1\r\n")}, {answerWith("200 OK")}});
        (void)fixture.ask();
        fixture.startNextIncarnation();
        cr_assert_eq(fixture.ask().result_int(), 200U);
    }
    SECTION("and 0 says nothing")
    {
        Fixture fixture({{answerWith("200 OK", "Server-Leaving: 0\r\n")}});
        (void)fixture.ask();
        cr_assert(fixture.monitor.state() == BackendState::Ready);
    }
}

namespace {

/** Another node may have named a newer configuration. */
class NamedConfig final : public RevisionExchange
{
public:
    KnownRevisions news() const override { return {}; }
    void onPeerRevisions(NodeId, const KnownRevisions &, TimePoint) override { }
    ConfigStatus configStatus(TimePoint) const override
    {
        ConfigStatus status;
        status.behind = behind;
        return status;
    }

    bool behind = true;
};

} // namespace

// Guards against callers that give up, since a route is refused for good by a node that knows of a
// newer configuration and does not have it yet.
Test(request_router, a_route_may_be_in_a_newer_configuration)
{
    Fixture fixture({{answerWith("200 OK")}});
    RouteConfig config = *fixture.view.routes().config();
    ++config.version;
    config.routes[0].pathPrefix = "/known/";
    (void)fixture.view.onConfig(std::move(config));
    NamedConfig revisions;
    fixture.router.setRevisionExchange(revisions);
    const HttpResponse refused = fixture.ask("/added/1");
    cr_assert_eq(refused.result_int(), 503U);
    cr_assert(refused.count(http::field::retry_after) == 1);
    SECTION("routes that it has are served")
    {
        cr_assert_eq(fixture.ask("/known/1").result_int(), 200U);
    }
    SECTION("once it has the newest configuration, there is no such route")
    {
        revisions.behind = false;
        cr_assert_eq(fixture.ask("/added/1").result_int(), 404U);
    }
}

// Guards against a cold backend server that crashes: it gets no more requests in a second than it
// tolerates, whoever sends them.
Test(request_router, a_cold_server_gets_no_more_requests_than_it_tolerates)
{
    Fixture fixture({{answerWith("200 OK")}});
    fixture.gate.setColdLimits({2, 1, 1});
    BackendReport report;
    report.backend = "b-1";
    report.service = "one";
    report.slots = 4;
    report.sequence = 2;
    report.warmUpLeft = LongTime;
    (void)fixture.monitor.onReport(report, fixture.clock.now());
    for (int request = 0; request < 3; ++request) {
        cr_assert_eq(fixture.ask().result_int(), 200U);
    }
    const HttpResponse refused = fixture.ask();
    cr_assert_eq(refused.result_int(), 503U);
    cr_assert(refused.count(http::field::retry_after) == 1);
    cr_assert_eq(fixture.backend->requests().size(), 3U);
    cr_assert_eq(fixture.gate.coldRefused(), 1U);

    SECTION("until it is warm")
    {
        report.sequence = 3;
        report.warmUpLeft = milliseconds(0);
        (void)fixture.monitor.onReport(report, fixture.clock.now());
        cr_assert_eq(fixture.ask().result_int(), 200U);
    }
}

// Guards against a limiter that loses count of requests that never reached the backend server.
Test(request_router, requests_that_were_not_sent_do_not_count_at_a_cold_server)
{
    Fixture fixture({{answerWith("200 OK")}});
    asio::io_context unused;
    tcp::acceptor closed(unused, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const uint16_t port = closed.local_endpoint().port();
    closed.close();
    BackendGate gate(fixture.context, fixture.clock, fixture.protocol, "127.0.0.1", port,
                     fixture.monitor, fixture.keys, fixture.crashes);
    gate.setColdLimits({2, 1, 0});
    gate.onBackendChange();
    for (uint64_t attempt = 2; attempt < 12; ++attempt) {
        fixture.report("b-1", attempt, LongTime);
        (void)fixture.askGate(gate);
    }
    cr_assert_eq(gate.coldRefused(), 0U);
}

// Guards against twice the requests in one second: a node starts again while its cold backend
// server runs on, and has no count of what the process before has sent to it.
Test(request_router, a_cold_server_may_have_been_sent_requests_by_an_earlier_process)
{
    Fixture fixture({{answerWith("200 OK")}});
    const auto askAfterReport = [&](uint64_t sequence) {
        fixture.report(BackendIncarnation("b-" + std::to_string(++fixture.incarnations)), sequence,
                       LongTime);
        return fixture.ask().result_int();
    };
    fixture.gate.setColdLimits({20, 1, 0});
    SECTION("no process can have sent anything before its first report")
    {
        cr_assert_eq(askAfterReport(1), 200U);
    }
    SECTION("one that has reported before is full until a second after the start")
    {
        cr_assert_eq(askAfterReport(2), 503U);
    }
}

// Guards against a cold backend server that is flooded by nodes which have the configuration while
// the one beside it has not yet read it.
Test(request_router, a_cold_server_gets_few_requests_before_its_rate_is_known)
{
    Fixture fixture({{answerWith("200 OK")}});
    fixture.gate.setColdLimits({std::nullopt, 1.5, 3});
    fixture.report("b-1", 2, LongTime);
    for (int request = 0; request < 10; ++request) {
        (void)fixture.askGate(fixture.gate);
    }
    cr_assert_eq(fixture.backend->requests().size(), 3U);
    SECTION("what it got then counts when the rate is known")
    {
        fixture.gate.setColdLimits({2, 1, 3});
        for (int request = 0; request < 10; ++request) {
            (void)fixture.askGate(fixture.gate);
        }
        cr_assert_eq(fixture.backend->requests().size(), 5U);
    }
}

// Guards against requests that reach the backend servers of an evacuated failure domain from nodes
// that have not heard of it.
Test(request_router, an_evacuated_server_gets_no_requests)
{
    Fixture fixture({{answerWith("200 OK")}});
    EvacuationPhase phase = EvacuationPhase::None;
    fixture.gate.setEvacuationPhase([&](TimePoint) { return phase; });
    cr_assert_eq(fixture.ask().result_int(), 200U);
    for (const EvacuationPhase closed : {EvacuationPhase::Leaving, EvacuationPhase::Closed}) {
        phase = closed;
        cr_assert_eq(fixture.ask().result_int(), 503U);
    }
    cr_assert_eq(fixture.backend->requests().size(), 1U);
    phase = EvacuationPhase::None;
    cr_assert_eq(fixture.ask().result_int(), 200U);
}

// Guards against time that is counted twice: a body takes long to arrive, and its caller waits
// since it sent the head.
Test(request_router, time_in_which_a_body_arrives_is_not_left_to_the_backend_server)
{
    const auto ask = [](Fixture &fixture, milliseconds arrival) {
        HttpRequest request(http::verb::post, "/x", 11);
        request.set(http::field::host, "a.example");
        request.set("X-Wisteriahoist-Attempt-Id", "q");
        request.set("X-Wisteriahoist-Deadline-Ms", "3000");
        auto caller = std::make_shared<DisconnectSignal>();
        caller->setArrivalTime(arrival);
        return runUntil(fixture.context, fixture.router.onRequest(std::move(request), caller));
    };
    SECTION("what is left is passed on")
    {
        Fixture fixture({{answerWith("200 OK")}});
        cr_assert_eq(ask(fixture, milliseconds(2000)).result_int(), 200U);
        const std::string &head = fixture.backend->requests().front();
        constexpr std::string_view Field = "X-Wisteriahoist-Deadline-Ms: ";
        const int left = std::stoi(head.substr(head.find(Field) + Field.size()));
        cr_assert(left > 0 && left <= 1000, "%d", left);
    }
    SECTION("a request without any is rejected at once")
    {
        Fixture fixture({{answerWith("200 OK")}});
        cr_assert_eq(ask(fixture, milliseconds(3000)).result_int(), 503U);
        cr_assert(fixture.backend->requests().empty());
    }
}
