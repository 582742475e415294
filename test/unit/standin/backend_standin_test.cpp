/** @file backend_standin_test.cpp The backend stand-in enforces grants and deadlines. */

#include "standin/backend_standin.h"
#include "support/test_section.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace wisteriahoist;

namespace {

/** Header values of a request to the stand-in. */
struct HeaderValues {
    uint64_t epoch = 5;
    std::string deadlineMs = "5000";
    std::string expiresMs = "5000";
};

asio::awaitable<void> send(asio::io_context &context, BackendStandin &backend, HeaderValues sending,
                           Result<HttpResponse> &result)
{
    HttpClient client(context.get_executor(), "127.0.0.1", backend.port());
    HttpRequest request(http::verb::get, "/profiles/kari", 11);
    request.set("Wisteriahoist-Key", "kari");
    request.set("Wisteriahoist-Epoch", std::to_string(sending.epoch));
    request.set("Wisteriahoist-Deadline-Ms", sending.deadlineMs);
    request.set("Wisteriahoist-Grant-Expires-Ms", sending.expiresMs);
    request.set("Request-Id", "r1");
    result = co_await client.exchange(std::move(request), milliseconds(30000));
    context.stop();
}

/** @return The status of the response. */
http::status sendRequest(BackendStandin &backend, asio::io_context &context,
                         const HeaderValues &sending)
{
    Result<HttpResponse> result = Failure{FailureCode::NotFound, "not run"};
    context.restart();
    asio::co_spawn(context, send(context, backend, sending, result), asio::detached);
    context.run();
    cr_assert(result.has_value());
    return result.assume_value().result();
}

} // namespace

Test(backend_standin, grants_and_deadlines)
{
    asio::io_context context;
    BackendBehaviour behaviour;
    behaviour.workTime = milliseconds(20);
    BackendStandin backend(context, "127.0.0.1", 0, behaviour);
    backend.start();
    SECTION("a request with a valid grant is completed")
    {
        cr_assert(sendRequest(backend, context, HeaderValues{}) == http::status::ok);
        cr_assert(backend.runs().size() == 1 && backend.runs()[0].finished);
    }
    SECTION("an older epoch and an expired grant are rejected without execution")
    {
        HeaderValues older;
        older.epoch = 4;
        cr_assert(sendRequest(backend, context, older) == http::status::service_unavailable);
        HeaderValues expired;
        expired.expiresMs = "0";
        cr_assert(sendRequest(backend, context, expired) == http::status::service_unavailable);
        cr_assert(backend.runs().size() == 1);
        cr_assert(backend.fencedOff() == 2);
    }
    SECTION("execution is aborted at the deadline and not reported as not executed")
    {
        HeaderValues late;
        late.deadlineMs = "5";
        cr_assert(sendRequest(backend, context, late) == http::status::gateway_timeout);
        cr_assert(backend.runs().size() == 2 && !backend.runs()[1].finished);
    }
}
