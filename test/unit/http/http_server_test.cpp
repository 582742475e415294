/** @file http_server_test.cpp Malformed input, framing, and callers that go away. */

#include "adapter/http/header_rules.h"
#include "adapter/http/http_client.h"
#include "adapter/http/http_server.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

#include <boost/asio/read.hpp>
#include <rapidcheck.h>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

asio::awaitable<HttpResponse> echo(HttpRequest request)
{
    HttpResponse response(http::status::ok, 11);
    response.body() = std::string(request.target()) + "|" + request.body();
    co_return response;
}

/** What became of one request whose handler does not answer. */
struct Visit {
    bool reached = false;
    bool gone = false;
};

asio::awaitable<HttpResponse> holdOpen(Visit &visit, std::shared_ptr<DisconnectSignal> watch)
{
    visit.reached = true;
    watch->onDisconnect([&visit]() { visit.gone = true; });
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::seconds(30));
    co_await timer.async_wait(asio::use_awaitable);
    co_return HttpResponse();
}

struct ServerFixture {
    explicit ServerFixture(HttpLimits limits = {})
        : server(std::make_shared<HttpServer>(context, "127.0.0.1", 0, limits, HttpHandler(echo)))
    {
        server->start();
    }

    /** @return All that the server sends until it closes the connection. */
    std::string talk(const std::string &bytes)
    {
        tcp::socket socket(context);
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server->port()));
        std::string received;
        bool ended = false;
        asio::write(socket, asio::buffer(bytes));
        asio::async_read(socket, asio::dynamic_buffer(received),
                         [&ended](beast::error_code, size_t) { ended = true; });
        runUntilHolds(context, [&ended]() { return ended; });
        return received;
    }

    asio::io_context context;
    std::shared_ptr<HttpServer> server;
};

size_t countAnswers(const std::string &text)
{
    size_t count = 0;
    for (size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
         at = text.find("HTTP/1.1 ", at + 1)) {
        ++count;
    }
    return count;
}

const std::string Close = "Connection: close\r\n";
const std::string Smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n" + Close + "\r\n";

} // namespace

Test(request_http, malformed_corpus)
{
    // Two nodes, or a node and a backend server, that disagree where a request ends read the rest
    // of one caller's bytes as another request. Each such input gets one 400, and nothing after it.
    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
    const std::vector<std::string> corpus{
            start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            start + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
            start + "Transfer-Encoding: gzip\r\n\r\n",
            start + "Transfer-Encoding: chunked, gzip\r\n\r\n",
            start + "Transfer-Encoding: xchunked\r\n\r\n",
            start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
            start + "Content-Length: +3\r\n\r\nabc",
            start + "Content-Length: -1\r\n\r\n",
            start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            "GET /a HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n",
            "GET /a HTTP/9.9\r\nHost: h\r\n\r\n",
            "GET\r\n\r\n",
            "GET /a HTTP/1.1\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost: h\r\nHost: other\r\n\r\n",
    };
    for (const std::string &input : corpus) {
        ServerFixture fixture;
        const std::string answer = fixture.talk(input + Smuggled);
        cr_assert(answer.starts_with("HTTP/1.1 400"), "%s -> %s", input.c_str(), answer.c_str());
        cr_assert(countAnswers(answer) == 1, "%s", input.c_str());
        cr_assert(answer.find("application/problem+json") != std::string::npos);
    }
}

Test(request_http, limits)
{
    HttpLimits limits;
    limits.headerBytes = 512;
    limits.bodyBytes = 16;
    ServerFixture fixture(limits);
    const std::string big(600, 'x');
    cr_assert(fixture.talk("GET / HTTP/1.1\r\nHost: h\r\nX: " + big + "\r\n\r\n")
                      .starts_with("HTTP/1.1 431"));
    cr_assert(fixture.talk("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 17\r\n\r\n")
                      .starts_with("HTTP/1.1 413"));
}

Test(request_http, framing)
{
    ServerFixture fixture;
    SECTION("pipelined requests are answered in order")
    {
        const std::string answer
                = fixture.talk("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n"
                               + Close + "\r\n");
        cr_assert(countAnswers(answer) == 2 && answer.find("/1|") < answer.find("/2|"));
    }
    SECTION("a chunked body is read whole")
    {
        const std::string answer = fixture.talk(
                "POST /c HTTP/1.1\r\nHost: h\r\n" + Close
                + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        cr_assert(answer.find("/c|abcde") != std::string::npos);
    }
    SECTION("HEAD has the length and no body")
    {
        const std::string answer = fixture.talk("HEAD /h HTTP/1.1\r\nHost: h\r\n" + Close + "\r\n");
        cr_assert(answer.find("Content-Length: 3") != std::string::npos);
        cr_assert(answer.ends_with("\r\n\r\n"));
    }
    SECTION("a body that waits for leave gets it")
    {
        const std::string answer
                = fixture.talk("POST /e HTTP/1.1\r\nHost: h\r\n" + Close
                               + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nok");
        cr_assert(answer.starts_with("HTTP/1.1 100") && answer.find("/e|ok") != std::string::npos);
    }
}

Test(request_http, any_bytes)
{
    setenv("RC_PARAMS", "seed=23 max_success=60", 1);
    const bool held = rc::check("server", [](const std::string &bytes) {
        ServerFixture fixture;
        // The two line ends close the head, so that the server never waits for more.
        const std::string answer = fixture.talk(bytes + "\r\n\r\n" + Smuggled);
        RC_ASSERT(answer.empty() || answer.starts_with("HTTP/1.1 "));
    });
    cr_assert(held);
}

Test(request_http, passed_fields)
{
    HttpRequest request(http::verb::get, "/", 11);
    request.set(http::field::connection, "close, X-Secret");
    request.set("X-Secret", "1");
    request.set(http::field::te, "trailers");
    request.set("Wisteriahoist-Epoch", "99");
    request.set("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    const std::vector<ForwardedField> passed = forwardableFields(request);
    cr_assert(passed.size() == 1 && passed.front().name == "traceparent");
}

Test(request_http, caller_goes_away)
{
    // The caller closes while its request runs. Nobody reads the answer any more; a run that goes
    // on holds a slot that other callers wait for.
    asio::io_context context;
    Visit visit;
    const CancellableHttpHandler handler
            = [&visit](HttpRequest, std::shared_ptr<DisconnectSignal> watch) {
                  return holdOpen(visit, std::move(watch));
              };
    auto server = std::make_shared<HttpServer>(context, "127.0.0.1", 0, HttpLimits{}, handler);
    server->start();
    tcp::socket socket(context);
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server->port()));
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    cr_assert(runUntilHolds(context, [&]() { return visit.reached; }));
    cr_assert(!visit.gone);
    socket.close();
    cr_assert(runUntilHolds(context, [&]() { return visit.gone; }));
}

namespace {

/** Answers each request when the test says so, by its path. */
struct PacedServer {
    PacedServer()
        : server(std::make_shared<HttpServer>(
                context, "127.0.0.1", 0, HttpLimits{},
                CancellableHttpHandler(
                        [this](HttpRequest request, std::shared_ptr<DisconnectSignal> watch) {
                            return handle(std::move(request), std::move(watch));
                        }))),
          socket(context)
    {
        server->start();
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server->port()));
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request,
                                         std::shared_ptr<DisconnectSignal> watch)
    {
        const std::string path(request.target());
        begun.push_back(path);
        watch->onDisconnect([this, path]() { gone.insert(path); });
        asio::steady_timer timer(context);
        while (answered.count(path) == 0) {
            timer.expires_after(milliseconds(1));
            co_await timer.async_wait(asio::use_awaitable);
        }
        HttpResponse response(http::status::ok, 11);
        response.body() = path;
        co_return response;
    }

    void send(const std::string &bytes) { asio::write(socket, asio::buffer(bytes)); }

    static std::string get(const std::string &path)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    static std::string post(const std::string &path)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
    }

    void receiveAll()
    {
        asio::async_read(socket, asio::dynamic_buffer(received),
                         [this](beast::error_code, size_t) { ended = true; });
    }

    bool hasBegun(size_t count)
    {
        return runUntilHolds(context, [&]() { return begun.size() == count; });
    }

    /** Runs for a while in which nothing more should happen. */
    void settle()
    {
        for (int round = 0; round < 20; ++round) {
            context.restart();
            context.run_for(milliseconds(1));
        }
    }

    asio::io_context context;
    std::shared_ptr<HttpServer> server;
    tcp::socket socket;
    std::vector<std::string> begun;
    std::set<std::string> answered; ///< Paths whose handlers may answer.
    std::set<std::string> gone;
    std::string received;
    bool ended = false;
};

} // namespace

// Callers that send ahead waited for all that they had sent before, and most of it was late: one
// slow request held the rest up. They run at the same time now, and are answered in their order.
Test(request_http, requests_that_are_sent_ahead_run_at_the_same_time)
{
    PacedServer paced;
    paced.send(PacedServer::get("/a") + PacedServer::get("/b") + PacedServer::get("/c"));
    cr_assert(paced.hasBegun(3));
    paced.receiveAll();
    SECTION("nothing is answered before the first")
    {
        paced.answered = {"/b", "/c"};
        paced.settle();
        cr_assert_eq(countAnswers(paced.received), 0U);
    }
    SECTION("then all are, in the order in which they came")
    {
        paced.answered.insert("/a");
        cr_assert(
                runUntilHolds(paced.context, [&]() { return countAnswers(paced.received) == 3; }));
        const size_t a = paced.received.find("/a");
        const size_t b = paced.received.find("/b");
        cr_assert(a < b && b < paced.received.find("/c"));
    }
}

Test(request_http, a_request_with_effect_runs_alone)
{
    PacedServer paced;
    paced.send(PacedServer::get("/a") + PacedServer::post("/book") + PacedServer::get("/b"));
    cr_assert(paced.hasBegun(1));
    paced.settle();
    cr_assert_eq(paced.begun.size(), 1U);
    paced.answered.insert("/a");
    cr_assert(paced.hasBegun(2));
    paced.settle();
    cr_assert(paced.begun.back() == "/book" && paced.begun.size() == 2);
    paced.answered.insert("/book");
    cr_assert(paced.hasBegun(3));
}

// A caller leaves while its first request runs and others wait behind it. Each of them learns so:
// their work at the backend server would be for nobody.
Test(request_http, a_caller_that_leaves_is_seen_by_all_its_requests)
{
    PacedServer paced;
    paced.send(PacedServer::get("/a") + PacedServer::get("/b") + PacedServer::post("/c"));
    cr_assert(paced.hasBegun(2));
    paced.socket.close();
    cr_assert(runUntilHolds(paced.context, [&]() { return paced.gone.size() == 2; }));
    paced.answered = {"/a", "/b", "/c"};
    paced.settle();
    cr_assert_eq(paced.begun.size(), 2U, "what waited is not begun for nobody");
}

// A node stops amid a pipeline. What was passed on is answered; the last answer announces the
// close; what stands behind it has not been passed on, so the caller may send it again.
Test(request_http, a_stop_amid_a_pipeline)
{
    PacedServer paced;
    paced.send(PacedServer::get("/a") + PacedServer::get("/b") + PacedServer::post("/c")
               + PacedServer::get("/d"));
    cr_assert(paced.hasBegun(2));
    paced.receiveAll();
    paced.server->closeAfterResponses();
    paced.answered = {"/a", "/b", "/c", "/d"};
    cr_assert(runUntilHolds(paced.context, [&]() { return paced.ended; }));
    cr_assert_eq(paced.begun.size(), 2U);
    cr_assert_eq(countAnswers(paced.received), 2U);
    const size_t close = paced.received.find("Connection: close");
    cr_assert(close != std::string::npos && close > paced.received.find("\r\n\r\n/a"));
    cr_assert(runUntilHolds(paced.context, [&]() { return paced.server->openRequests() == 0; }));
}

// Bytes that are no request stand behind good ones. The good ones are answered, then the connection
// ends; nothing of the rest is taken for a request.
Test(request_http, malformed_bytes_behind_a_pipeline)
{
    PacedServer paced;
    paced.send(PacedServer::get("/a") + "BAD\r\n\r\n" + PacedServer::get("/smuggled"));
    cr_assert(paced.hasBegun(1));
    paced.receiveAll();
    paced.answered = {"/a", "/smuggled"};
    cr_assert(runUntilHolds(paced.context, [&]() { return paced.ended; }));
    cr_assert_eq(paced.begun.size(), 1U);
    cr_assert_eq(countAnswers(paced.received), 2U);
    cr_assert(paced.received.find("HTTP/1.1 400") != std::string::npos);
}

Test(request_http, a_pipeline_is_bounded)
{
    PacedServer paced;
    std::string many;
    for (int number = 0; number < 40; ++number) {
        many += PacedServer::get("/" + std::to_string(number));
        paced.answered.insert("/" + std::to_string(number));
    }
    paced.answered.erase("/0");
    paced.send(many);
    paced.settle();
    const size_t atOnce = paced.begun.size();
    cr_assert(atOnce > 1 && atOnce < 40);
    paced.receiveAll();
    paced.answered.insert("/0");
    cr_assert(runUntilHolds(paced.context, [&]() { return countAnswers(paced.received) == 40; }));
}
