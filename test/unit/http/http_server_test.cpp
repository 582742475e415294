/** @file http_server_test.cpp Malformed input, framing, and callers that go away. */

#include "adapter/http/header_rules.h"
#include "adapter/http/http_client.h"
#include "adapter/http/http_server.h"
#include "support/scripted_backend.h"
#include "support/story.h"

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

asio::awaitable<HttpResponse> holdOpen(Visit &visit, std::shared_ptr<CallerWatch> watch)
{
    visit.reached = true;
    watch->onGone([&visit]() { visit.gone = true; });
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
    const std::vector<PassedField> passed = passedFields(request);
    cr_assert(passed.size() == 1 && passed.front().name == "traceparent");
}

Test(request_http, caller_goes_away)
{
    // The caller closes while its request runs. Nobody reads the answer any more; a run that goes
    // on holds a slot that other callers wait for.
    asio::io_context context;
    Visit visit;
    const WatchedHttpHandler handler = [&visit](HttpRequest, std::shared_ptr<CallerWatch> watch) {
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
