/** @file http_client_test.cpp Misplaced and allowUnframed responses, Keep-Alive timeouts, refused
 * connections. */

#include "adapter/http/http_client.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

struct Fixture {
    explicit Fixture(std::vector<BackendScript> scripts, PoolLimits limits = {})
        : backend(std::make_shared<ScriptedBackend>(context, std::move(scripts))),
          client(context.get_executor(), "127.0.0.1", backend->port(), limits)
    {
        backend->start();
    }

    Result<HttpResponse> get(std::shared_ptr<ExchangeControl> control = {})
    {
        HttpRequest request(http::verb::get, "/", 11);
        return runUntil(context, client.exchange(std::move(request), milliseconds(2000), control));
    }

    asio::io_context context;
    std::shared_ptr<ScriptedBackend> backend;
    HttpClient client;
};

asio::awaitable<bool> preconnect(HttpClient &client, size_t count)
{
    co_await client.preconnect(count);
    co_return true;
}

asio::awaitable<void> getFrom(HttpClient &client)
{
    (void)co_await client.exchange(HttpRequest(http::verb::get, "/", 11), milliseconds(2000));
}

std::string makeMarkedResponse(const std::string &mark)
{
    return "HTTP/1.1 200 OK\r\nMark: " + mark + "\r\nContent-Length: 2\r\n\r\n" + mark;
}

} // namespace

// Guards against delivering another caller's response: the backend server sends a second response
// to an earlier request, which arrives before the expected one. The client must discard it, wait
// for the next response, and not reuse the connection.
Test(http_client, response_to_another_request_is_skipped)
{
    Fixture fixture(
            {{makeMarkedResponse("aa") + makeMarkedResponse("bb"), {}, false, false, false}});
    auto control = std::make_shared<ExchangeControl>();
    control->setResponseFilter(
            [](const HttpResponse &response) { return response["Mark"] == "bb"; });
    const auto result = fixture.get(control);
    cr_assert(result.has_value() && result.assume_value().body() == "bb");
    cr_assert(fixture.client.idleConnections() == 0);
}

// Guards against requests on an idle connection that cross the server's close: such a request is
// lost, and it is unknown whether it was executed. The Keep-Alive timeout states when the server
// may close the connection.
Test(http_client, keep_alive_timeout_of_the_server_is_respected)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
    SECTION("a connection with a timeout of one second is not reused")
    {
        Fixture fixture({{head + "Keep-Alive: timeout=1\r\n\r\n", {}, false, false, false}});
        cr_assert(fixture.get().has_value());
        cr_assert(fixture.get().has_value());
        cr_assert(fixture.client.connectionsOpened() == 2);
    }
    SECTION("a connection with a longer timeout is reused")
    {
        Fixture fixture({{head + "Keep-Alive: timeout=10\r\n\r\n", {}, false, false, false}});
        cr_assert(fixture.get().has_value());
        cr_assert(fixture.get().has_value());
        cr_assert(fixture.client.connectionsOpened() == 1);
    }
}

Test(http_client, response_delimited_by_the_end_of_the_connection)
{
    const BackendScript allowUnframed{"HTTP/1.1 200 OK\r\n\r\nwhole", {}, true, false, false};
    SECTION("is rejected by default")
    {
        Fixture fixture({allowUnframed});
        cr_assert(!fixture.get());
    }
    SECTION("is accepted if the pool limits allow it")
    {
        PoolLimits limits;
        limits.allowUnframed = true;
        Fixture fixture({allowUnframed}, limits);
        const auto result = fixture.get();
        cr_assert(result.has_value() && result.assume_value().body() == "whole");
    }
}

Test(http_client, refused_connection_is_reported)
{
    Fixture fixture({});
    HttpClient unreachable(fixture.context.get_executor(), "127.0.0.1", 1);
    auto control = std::make_shared<ExchangeControl>();
    HttpRequest request(http::verb::get, "/", 11);
    const auto result = runUntil(
            fixture.context, unreachable.exchange(std::move(request), milliseconds(2000), control));
    cr_assert(!result && control->isRefused());
}

// Guards against timeouts in series: when connections fall silent, often all of the pool do, and
// each call would wait on another one of them.
Test(http_client, idle_connections_are_discarded_after_a_timeout)
{
    const BackendScript answering{makeMarkedResponse("aa"), milliseconds(20)};
    const BackendScript silent{"", {}, false, true, false};
    const auto idleAfterTimeout = [&](bool discards) {
        PoolLimits limits;
        limits.discardAfterTimeout = discards;
        Fixture fixture({answering, answering, silent}, limits);
        (void)runUntil(fixture.context, preconnect(fixture.client, 2));
        cr_assert_eq(fixture.client.idleConnections(), 2U);
        cr_assert(fixture.get().has_value());
        cr_assert(fixture.get().has_value());
        HttpRequest request(http::verb::get, "/", 11);
        const auto lost = runUntil(fixture.context,
                                   fixture.client.exchange(std::move(request), milliseconds(50)));
        cr_assert(!lost && lost.assume_error().code == FailureCode::DeadlineExceeded);
        return fixture.client.idleConnections();
    };
    SECTION("if the platform's connections fail together")
    {
        cr_assert_eq(idleAfterTimeout(true), 0U);
    }
    SECTION("but not those to a server that is only slow")
    {
        cr_assert_eq(idleAfterTimeout(false), 1U);
    }
}

// Guards against use of freed memory when a process ends: its event loop, and with it what has not
// been answered, is destroyed after the client.
Test(http_client, client_may_end_before_its_exchanges)
{
    asio::io_context context;
    const auto server = std::make_shared<ScriptedBackend>(
            context, std::vector<BackendScript>{{"", {}, false, true}});
    server->start();
    auto client = std::make_unique<HttpClient>(context.get_executor(), "127.0.0.1", server->port());
    asio::co_spawn(context, getFrom(*client), asio::detached);
    cr_assert(runUntilHolds(context, [&]() { return server->requests().size() == 1; }));
    client.reset();
}
