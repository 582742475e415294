/** @file ingress_test.cpp A caller's request, from the ingress to the backend server and back. */

#include "core/hash_func.h"
#include "standin/node_duties.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr NodeId First{1};
constexpr NodeId Second{2};
constexpr uint32_t Slots = 12;
constexpr size_t RingLength = 8;

/** Two nodes; the second owns every key and has the backend server. */
struct TwoNodes {
    explicit TwoNodes(std::vector<BackendScript> scripts, Misrouted misrouted = Misrouted::Forward)
        : backend(std::make_shared<ScriptedBackend>(context, std::move(scripts))),
          first(context, First, RingLength), second(context, Second, RingLength)
    {
        backend->start();
        RouteRule read;
        read.method = "GET";
        read.repetition = Repetition::Idempotent;
        RouteRule book;
        book.method = "POST";
        ServiceDeclaration service;
        service.name = "s";
        service.host = "s.example";
        service.routes = {read, book};
        service.misrouted = misrouted;
        routing->declarations.services = {service};
        routing->tables["s"] = SliceTable({{KeyHash(0), Second, Epoch(4)}});
        routing->members[First] = first.describe("s", Slots);
        routing->members[Second] = second.describe("s", Slots);
        publish();
    }

    void publish()
    {
        runUntil(context, first.ingress.onRouting(routing));
        runUntil(context, second.ingress.onRouting(routing));
        GateGrant grant;
        grant.routing = routing;
        grant.leaseUntil = second.clock.now() + std::chrono::seconds(60);
        grant.backend = {"127.0.0.1", backend->port(), "s", Slots, GrantMode::Fenced, false};
        runUntil(context, second.gate.onGrant(grant));
    }

    HttpResponse ask(HttpRequest request)
    {
        request.set(http::field::host, "s.example");
        HttpClient client(context.get_executor(), "127.0.0.1", first.ingress.port());
        return runUntil(context, client.exchange(std::move(request), std::chrono::seconds(10)))
                .assume_value();
    }

    asio::io_context context;
    std::shared_ptr<RoutingSnapshot> routing = std::make_shared<RoutingSnapshot>();
    std::shared_ptr<ScriptedBackend> backend;
    NodeDuties first;
    NodeDuties second;
};

HttpRequest makeGet()
{
    return HttpRequest(http::verb::get, "/kari", 11);
}

HttpRequest makePost(const std::string &key)
{
    HttpRequest request(http::verb::post, "/kari", 11);
    if (!key.empty()) {
        request.set("Idempotency-Key", key);
    }
    return request;
}

BackendScript makeScript(const std::string &answer)
{
    BackendScript script;
    script.answer = answer;
    return script;
}

std::string makeChecked(const std::string &target, const std::string &body)
{
    const std::string content = target + "|" + body;
    return content + "|" + std::to_string(hashKey(content, 0).value());
}

asio::awaitable<HttpResponse> echoWithChecksum(HttpRequest request)
{
    const std::string target(request.target());
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             milliseconds(target.size() % 3 * 5));
    co_await timer.async_wait(asio::use_awaitable);
    HttpResponse response(http::status::ok, 11);
    response.body() = makeChecked(target, request.body());
    co_return response;
}

/** Increments @p right for each refusal and each complete response to the caller's own request. */
asio::awaitable<void> askForOwnBytes(TwoNodes &nodes, std::string target, size_t &right)
{
    HttpClient client(nodes.context.get_executor(), "127.0.0.1", nodes.first.ingress.port());
    HttpRequest request(http::verb::get, target, 11);
    request.set(http::field::host, "s.example");
    request.body() = std::string(target.size() * 100, 'b');
    const std::string expected = makeChecked(target, request.body());
    Result<HttpResponse> answer
            = co_await client.exchange(std::move(request), std::chrono::seconds(10));
    const bool own = answer && answer.assume_value().body() == expected;
    const bool refused = answer && answer.assume_value().result_int() == 503;
    right += own || refused ? 1 : 0;
}

const BackendScript Lost{"", milliseconds(0), true, false, false};
const std::string Shed = "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

Test(request_ingress, forwarded_response_with_a_hint)
{
    TwoNodes nodes({makeScript(makeAnswer("kari's profile"))});
    const HttpResponse response = nodes.ask(makeGet());
    cr_assert(response.body() == "kari's profile");
    cr_assert(response["Wisteriahoist-Outcome"] == "done");
    const std::string hint(response["Wisteriahoist-Hint"]);
    cr_assert(hint.starts_with("127.0.0.1:" + std::to_string(nodes.second.ingress.port())));
    cr_assert(hint.find(";first=0;last=18446744073709551615;epoch=4;ttl=") != std::string::npos);
}

Test(request_ingress, retries)
{
    SECTION("an idempotent request whose response was lost is retried")
    {
        TwoNodes nodes({Lost, makeScript(makeAnswer("again"))});
        cr_assert(nodes.ask(makeGet()).body() == "again");
        cr_assert(nodes.backend->requests().size() == 2);
    }
    SECTION("a request that must not be repeated is not retried; its outcome is unknown")
    {
        TwoNodes nodes({Lost, makeScript(makeAnswer("again"))});
        const HttpResponse response = nodes.ask(makePost("\"k\";age=0"));
        cr_assert(response["Wisteriahoist-Outcome"] == "unknown");
        cr_assert(nodes.backend->requests().size() == 1);
    }
    SECTION("a shed request is retried, since it provably did not run")
    {
        TwoNodes nodes({makeScript(Shed), makeScript(makeAnswer("booked"))});
        cr_assert(nodes.ask(makePost("\"k\";age=0")).body() == "booked");
    }
    SECTION("the attempts of one request are limited, independent of the number of hops")
    {
        TwoNodes nodes({Lost});
        cr_assert(nodes.ask(makeGet())["Wisteriahoist-Outcome"] == "unknown");
        cr_assert(nodes.backend->requests().size() == RetryLimits{}.attempts);
    }
}

Test(request_ingress, a_later_refusal_does_not_hide_an_earlier_run)
{
    // The response to the first attempt is lost, so it may have run. The second attempt is shed. If
    // the caller got "not run", it would conclude that nothing happened.
    TwoNodes nodes({Lost, makeScript(Shed)});
    const HttpResponse response = nodes.ask(makeGet());
    cr_assert(response["Wisteriahoist-Outcome"] == "unknown");
}

Test(request_ingress, idempotency_key)
{
    TwoNodes nodes({makeScript(makeAnswer("booked"))});
    SECTION("without a key: 400, not run")
    {
        const HttpResponse response = nodes.ask(makePost(""));
        cr_assert(response.result_int() == 400);
        cr_assert(response["Wisteriahoist-Outcome"] == "not-run");
    }
    SECTION("malformed key: 400, not run")
    {
        cr_assert(nodes.ask(makePost("\"k")).result_int() == 400);
    }
    SECTION("same key twice: run once, the same response")
    {
        cr_assert(nodes.ask(makePost("\"k\";age=0")).body() == "booked");
        const HttpResponse again = nodes.ask(makePost("\"k\";age=40"));
        cr_assert(again.body() == "booked" && again["Wisteriahoist-Replayed"] == "1");
        cr_assert(nodes.backend->requests().size() == 1);
    }
}

Test(request_ingress, caller_sets_a_shorter_deadline)
{
    BackendScript silent;
    silent.silent = true;
    TwoNodes nodes({silent});
    HttpRequest request = makePost("\"k\";age=0");
    request.set("Request-Timeout-Ms", "60");
    const HttpResponse response = nodes.ask(std::move(request));
    cr_assert(response.result_int() == 504 && response["Wisteriahoist-Outcome"] == "unknown");
    const std::string &head = nodes.backend->requests().front();
    cr_assert(std::stoi(head.substr(head.find("Deadline-Ms: ") + 13)) <= 60);
}

Test(request_ingress, redirect_if_declared)
{
    TwoNodes nodes({makeScript(makeAnswer("x"))}, Misrouted::Redirect);
    const HttpResponse response = nodes.ask(makeGet());
    cr_assert(response.result_int() == 307);
    cr_assert(response[http::field::location]
              == "http://127.0.0.1:" + std::to_string(nodes.second.ingress.port()) + "/kari");
}

Test(request_ingress, caller_that_disconnects_frees_the_backend)
{
    // The caller closes its connection to one node while the request runs beside another. Without
    // the cancellation over the hop, the request would occupy a slot there until its deadline.
    BackendScript silent;
    silent.silent = true;
    TwoNodes nodes({silent});
    tcp::socket caller(nodes.context);
    caller.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), nodes.first.ingress.port()));
    asio::write(caller, asio::buffer(std::string("GET /kari HTTP/1.1\r\nHost: s.example\r\n\r\n")));
    cr_assert(
            runUntilHolds(nodes.context, [&]() { return nodes.backend->requests().size() == 1; }));
    cr_assert(nodes.second.gate.openRequests() == 1);
    const size_t before = nodes.backend->lostConnections();
    caller.close();
    cr_assert(runUntilHolds(nodes.context, [&]() {
        return nodes.second.gate.openRequests() == 0
               && nodes.backend->lostConnections() == before + 1;
    }));
    cr_assert(nodes.backend->requests().size() == 1);
}

Test(request_ingress, each_caller_gets_its_own_response)
{
    // Many callers share the one connection between the two nodes, and the responses arrive in any
    // order. Each caller must get the complete response to its own request.
    TwoNodes nodes({makeScript(makeAnswer("unused"))});
    size_t right = 0;
    size_t ended = 0;
    constexpr size_t Callers = 40;
    auto echo = std::make_shared<HttpServer>(nodes.context, "127.0.0.1", 0, HttpLimits{},
                                             HttpHandler(echoWithChecksum));
    echo->start();
    GateGrant grant;
    grant.routing = nodes.routing;
    grant.leaseUntil = nodes.second.clock.now() + std::chrono::seconds(60);
    grant.backend = {"127.0.0.1", echo->port(), "s", Slots, GrantMode::Fenced, false};
    runUntil(nodes.context, nodes.second.gate.onGrant(grant));
    for (size_t index = 0; index < Callers; ++index) {
        const std::string target = "/" + std::string(index % 5 + 1, 'k') + std::to_string(index);
        asio::co_spawn(nodes.context, askForOwnBytes(nodes, target, right),
                       [&ended](std::exception_ptr) { ++ended; });
    }
    cr_assert(runUntilHolds(nodes.context, [&]() { return ended == Callers; }));
    cr_assert(right == Callers, "%zu", right);
}
