/** @file http_client_test.cpp Answers that belong to others, stated idle times, unframed answers.
 */

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

std::string makeMarked(const std::string &mark)
{
    return "HTTP/1.1 200 OK\r\nMark: " + mark + "\r\nContent-Length: 2\r\n\r\n" + mark;
}

} // namespace

// A caller would get another caller's bytes: the backend server has sent a second answer to an
// earlier request, and it lies where the next answer is due. It is dropped and the next one waited
// for; the connection, whose sender has lost count, is not used again.
Test(http_client, an_answer_to_another_request_is_skipped)
{
    Fixture fixture({{makeMarked("aa") + makeMarked("bb"), {}, false, false, false}});
    auto control = std::make_shared<ExchangeControl>();
    control->setResponseFilter(
            [](const HttpResponse &response) { return response["Mark"] == "bb"; });
    const auto answer = fixture.get(control);
    cr_assert(answer.has_value() && answer.assume_value().body() == "bb");
    cr_assert(fixture.client.idleConnections() == 0);
}

// A request on a kept connection crosses the other side's close and is lost; nobody can tell
// whether it ran. The stated idle time says when that may happen.
Test(http_client, a_stated_idle_time_is_kept)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
    SECTION("a connection that may be closed within a second is not kept for use")
    {
        Fixture fixture({{head + "Keep-Alive: timeout=1\r\n\r\n", {}, false, false, false}});
        cr_assert(fixture.get().has_value());
        cr_assert(fixture.get().has_value());
        cr_assert(fixture.client.connectionsOpened() == 2);
    }
    SECTION("one with time left is")
    {
        Fixture fixture({{head + "Keep-Alive: timeout=10\r\n\r\n", {}, false, false, false}});
        cr_assert(fixture.get().has_value());
        cr_assert(fixture.get().has_value());
        cr_assert(fixture.client.connectionsOpened() == 1);
    }
}

Test(http_client, an_answer_that_ends_with_its_connection)
{
    const BackendScript unframed{"HTTP/1.1 200 OK\r\n\r\nwhole", {}, true, false, false};
    SECTION("is no whole answer where the peer always states a length")
    {
        Fixture fixture({unframed});
        cr_assert(!fixture.get());
    }
    SECTION("is one where the protocol allows it")
    {
        PoolLimits limits;
        limits.unframed = true;
        Fixture fixture({unframed}, limits);
        const auto answer = fixture.get();
        cr_assert(answer.has_value() && answer.assume_value().body() == "whole");
    }
}

Test(http_client, a_refused_connection_is_told_apart)
{
    Fixture fixture({});
    HttpClient nowhere(fixture.context.get_executor(), "127.0.0.1", 1);
    auto control = std::make_shared<ExchangeControl>();
    HttpRequest request(http::verb::get, "/", 11);
    const auto answer = runUntil(fixture.context,
                                 nowhere.exchange(std::move(request), milliseconds(2000), control));
    cr_assert(!answer && control->isRefused());
}
