/** @file http_server_test.cpp Malformed input, framing, pipelining and disconnects. */

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

/** Progress of one request whose handler does not respond. */
struct RequestProgress {
    bool handlerStarted = false;
    bool disconnected = false;
};

asio::awaitable<HttpResponse> waitForDisconnect(RequestProgress &progress,
                                                std::shared_ptr<DisconnectSignal> signal)
{
    progress.handlerStarted = true;
    signal->onDisconnect([&progress]() { progress.disconnected = true; });
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

    /** Sends @p bytes. @return All bytes that the server sends until it closes the connection. */
    std::string exchange(const std::string &bytes)
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

size_t countResponses(const std::string &text)
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

// Guards against a request that is never answered, since its handler has ended with an exception.
Test(request_http, handler_that_throws_is_answered)
{
    asio::io_context context;
    const auto server = std::make_shared<HttpServer>(
            context, "127.0.0.1", 0, HttpLimits{},
            HttpHandler([](HttpRequest request) -> asio::awaitable<HttpResponse> {
                if (request.target() == "/throws") {
                    throw std::runtime_error("asked for by the test");
                }
                return echo(std::move(request));
            }));
    server->start();
    HttpClient client(context.get_executor(), "127.0.0.1", server->port());
    const auto ask = [&](const std::string &target) {
        HttpRequest request(http::verb::get, target, 11);
        return runUntil(context, client.exchange(std::move(request), milliseconds(5000)));
    };
    for (const unsigned status : {200U, 500U, 200U}) {
        const Result<HttpResponse> response = ask(status == 500 ? "/throws" : "/x");
        cr_assert(response && response.assume_value().result_int() == status);
    }
    cr_assert_eq(client.connectionsOpened(), 1U);
    cr_assert(runUntilHolds(context, [&]() { return server->openRequests() == 0; }));
}

Test(request_http, malformed_corpus)
{
    // Guards against request smuggling: if two nodes, or a node and a backend server, disagree on
    // where a request ends, the remaining bytes of one caller are parsed as another request. Each
    // of these inputs must get exactly one response, a 400.
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
        const std::string reply = fixture.exchange(input + Smuggled);
        cr_assert(reply.starts_with("HTTP/1.1 400"), "%s -> %s", input.c_str(), reply.c_str());
        cr_assert(countResponses(reply) == 1, "%s", input.c_str());
        cr_assert(reply.find("application/problem+json") != std::string::npos);
    }
}

Test(request_http, limits)
{
    HttpLimits limits;
    limits.headerBytes = 512;
    limits.bodyBytes = 16;
    ServerFixture fixture(limits);
    const std::string big(600, 'x');
    cr_assert(fixture.exchange("GET / HTTP/1.1\r\nHost: h\r\nX: " + big + "\r\n\r\n")
                      .starts_with("HTTP/1.1 431"));
    cr_assert(fixture.exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 17\r\n\r\n")
                      .starts_with("HTTP/1.1 413"));
}

Test(request_http, framing)
{
    ServerFixture fixture;
    SECTION("pipelined requests are answered in order")
    {
        const std::string reply = fixture.exchange(
                "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n" + Close
                + "\r\n");
        cr_assert(countResponses(reply) == 2 && reply.find("/1|") < reply.find("/2|"));
    }
    SECTION("a chunked body is read completely")
    {
        const std::string reply = fixture.exchange(
                "POST /c HTTP/1.1\r\nHost: h\r\n" + Close
                + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        cr_assert(reply.find("/c|abcde") != std::string::npos);
    }
    SECTION("the response to HEAD has a length and no body")
    {
        const std::string reply
                = fixture.exchange("HEAD /h HTTP/1.1\r\nHost: h\r\n" + Close + "\r\n");
        cr_assert(reply.find("Content-Length: 3") != std::string::npos);
        cr_assert(reply.ends_with("\r\n\r\n"));
    }
    SECTION("Expect: 100-continue gets an interim response")
    {
        const std::string reply
                = fixture.exchange("POST /e HTTP/1.1\r\nHost: h\r\n" + Close
                                   + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nok");
        cr_assert(reply.starts_with("HTTP/1.1 100") && reply.find("/e|ok") != std::string::npos);
    }
}

Test(request_http, any_bytes)
{
    setenv("RC_PARAMS", "seed=23 max_success=60", 1);
    const bool held = rc::check("server", [](const std::string &bytes) {
        ServerFixture fixture;
        // The blank line ends the header section, so that the server does not wait for more bytes.
        const std::string reply = fixture.exchange(bytes + "\r\n\r\n" + Smuggled);
        RC_ASSERT(reply.empty() || reply.starts_with("HTTP/1.1 "));
    });
    cr_assert(held);
}

Test(request_http, forwarded_fields)
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

Test(request_http, disconnect_is_signalled_to_the_handler)
{
    // Guards against requests that continue after their caller has disconnected: the response
    // cannot be delivered, and the request occupies a slot for which other callers wait.
    asio::io_context context;
    RequestProgress progress;
    const CancellableHttpHandler handler
            = [&progress](HttpRequest, std::shared_ptr<DisconnectSignal> signal) {
                  return waitForDisconnect(progress, std::move(signal));
              };
    auto server = std::make_shared<HttpServer>(context, "127.0.0.1", 0, HttpLimits{}, handler);
    server->start();
    tcp::socket socket(context);
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server->port()));
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    cr_assert(runUntilHolds(context, [&]() { return progress.handlerStarted; }));
    cr_assert(!progress.disconnected);
    socket.close();
    cr_assert(runUntilHolds(context, [&]() { return progress.disconnected; }));
}

namespace {

/** Server whose handler responds to a path only after the test has added it to released. */
struct ControlledServer {
    ControlledServer()
        : server(std::make_shared<HttpServer>(
                context, "127.0.0.1", 0, HttpLimits{},
                CancellableHttpHandler(
                        [this](HttpRequest request, std::shared_ptr<DisconnectSignal> signal) {
                            return handle(std::move(request), std::move(signal));
                        }))),
          socket(context)
    {
        server->start();
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server->port()));
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request,
                                         std::shared_ptr<DisconnectSignal> signal)
    {
        const std::string path(request.target());
        startedPaths.push_back(path);
        signal->onDisconnect([this, path]() { disconnected.insert(path); });
        asio::steady_timer timer(context);
        while (released.count(path) == 0) {
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

    bool waitForRequests(size_t count)
    {
        return runUntilHolds(context, [&]() { return startedPaths.size() == count; });
    }

    /** Runs the event loop for 20 ms, in which nothing more should happen. */
    void runBriefly()
    {
        for (int round = 0; round < 20; ++round) {
            context.restart();
            context.run_for(milliseconds(1));
        }
    }

    asio::io_context context;
    std::shared_ptr<HttpServer> server;
    tcp::socket socket;
    std::vector<std::string> startedPaths;
    std::set<std::string> released; ///< Paths whose handlers may respond.
    std::set<std::string> disconnected;
    std::string received;
    bool ended = false;
};

} // namespace

// Guards against head-of-line blocking: when pipelined requests ran one after the other, one slow
// request delayed all later ones and most of them missed their deadlines. They run concurrently and
// are answered in request order.
Test(request_http, pipelined_requests_run_concurrently)
{
    ControlledServer controlled;
    controlled.send(ControlledServer::get("/a") + ControlledServer::get("/b")
                    + ControlledServer::get("/c"));
    cr_assert(controlled.waitForRequests(3));
    controlled.receiveAll();
    SECTION("no response is sent before the first one")
    {
        controlled.released = {"/b", "/c"};
        controlled.runBriefly();
        cr_assert_eq(countResponses(controlled.received), 0U);
    }
    SECTION("after the first one, all are sent in request order")
    {
        controlled.released.insert("/a");
        cr_assert(runUntilHolds(controlled.context,
                                [&]() { return countResponses(controlled.received) == 3; }));
        const size_t a = controlled.received.find("/a");
        const size_t b = controlled.received.find("/b");
        cr_assert(a < b && b < controlled.received.find("/c"));
    }
}

Test(request_http, unsafe_request_runs_alone)
{
    ControlledServer controlled;
    controlled.send(ControlledServer::get("/a") + ControlledServer::post("/book")
                    + ControlledServer::get("/b"));
    cr_assert(controlled.waitForRequests(1));
    controlled.runBriefly();
    cr_assert_eq(controlled.startedPaths.size(), 1U);
    controlled.released.insert("/a");
    cr_assert(controlled.waitForRequests(2));
    controlled.runBriefly();
    cr_assert(controlled.startedPaths.back() == "/book" && controlled.startedPaths.size() == 2);
    controlled.released.insert("/book");
    cr_assert(controlled.waitForRequests(3));
}

// Guards against work whose result cannot be delivered: a caller disconnects while pipelined
// requests run and others wait behind them. All running requests must be notified.
Test(request_http, disconnect_is_signalled_to_all_running_requests)
{
    ControlledServer controlled;
    controlled.send(ControlledServer::get("/a") + ControlledServer::get("/b")
                    + ControlledServer::post("/c"));
    cr_assert(controlled.waitForRequests(2));
    controlled.socket.close();
    cr_assert(runUntilHolds(controlled.context,
                            [&]() { return controlled.disconnected.size() == 2; }));
    controlled.released = {"/a", "/b", "/c"};
    controlled.runBriefly();
    cr_assert_eq(controlled.startedPaths.size(), 2U,
                 "waiting requests are not started after the disconnect");
}

// A node stops while pipelined requests run. Dispatched requests are answered, and the last
// response contains "Connection: close". Later requests are not dispatched, so the caller may
// resend them.
Test(request_http, stop_during_pipelined_requests)
{
    ControlledServer controlled;
    controlled.send(ControlledServer::get("/a") + ControlledServer::get("/b")
                    + ControlledServer::post("/c") + ControlledServer::get("/d"));
    cr_assert(controlled.waitForRequests(2));
    controlled.receiveAll();
    controlled.server->closeAfterResponses();
    controlled.released = {"/a", "/b", "/c", "/d"};
    cr_assert(runUntilHolds(controlled.context, [&]() { return controlled.ended; }));
    cr_assert_eq(controlled.startedPaths.size(), 2U);
    cr_assert_eq(countResponses(controlled.received), 2U);
    const size_t close = controlled.received.find("Connection: close");
    cr_assert(close != std::string::npos && close > controlled.received.find("\r\n\r\n/a"));
    cr_assert(runUntilHolds(controlled.context,
                            [&]() { return controlled.server->openRequests() == 0; }));
}

// Malformed bytes follow valid pipelined requests. The valid ones are answered, then the connection
// closes; nothing after the malformed bytes is parsed as a request.
Test(request_http, malformed_bytes_after_pipelined_requests)
{
    ControlledServer controlled;
    controlled.send(ControlledServer::get("/a") + "BAD\r\n\r\n"
                    + ControlledServer::get("/smuggled"));
    cr_assert(controlled.waitForRequests(1));
    controlled.receiveAll();
    controlled.released = {"/a", "/smuggled"};
    cr_assert(runUntilHolds(controlled.context, [&]() { return controlled.ended; }));
    cr_assert_eq(controlled.startedPaths.size(), 1U);
    cr_assert_eq(countResponses(controlled.received), 2U);
    cr_assert(controlled.received.find("HTTP/1.1 400") != std::string::npos);
}

Test(request_http, number_of_concurrent_pipelined_requests_is_limited)
{
    ControlledServer controlled;
    std::string many;
    for (int number = 0; number < 40; ++number) {
        many += ControlledServer::get("/" + std::to_string(number));
        controlled.released.insert("/" + std::to_string(number));
    }
    controlled.released.erase("/0");
    controlled.send(many);
    controlled.runBriefly();
    const size_t atOnce = controlled.startedPaths.size();
    cr_assert(atOnce > 1 && atOnce < 40);
    controlled.receiveAll();
    controlled.released.insert("/0");
    cr_assert(runUntilHolds(controlled.context,
                            [&]() { return countResponses(controlled.received) == 40; }));
}
