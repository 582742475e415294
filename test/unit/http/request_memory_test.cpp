/** @file request_memory_test.cpp Bodies, connections and responses within the memory of a node. */

#include "adapter/http/http_client.h"
#include "adapter/http/http_server.h"
#include "support/raw_http_client.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

#include <atomic>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr size_t MiB = 1024 * 1024;
constexpr size_t Memory = 8 * MiB; ///< For requests; an eighth of it is kept for small ones.
constexpr size_t LargeBody = 5 * MiB;

const std::string Full = "HTTP/1.1 503";
const std::string Served = "HTTP/1.1 200";

std::string makeHead(size_t bodyBytes)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes)
           + "\r\n\r\n";
}

asio::awaitable<HttpResponse> answerNothing(HttpRequest)
{
    co_return HttpResponse(http::status::ok, 11);
}

/** A server with little memory; its handler answers when the test says so. */
struct Fixture {
    Fixture()
    {
        server = std::make_shared<HttpServer>(
                context, "127.0.0.1", 0, HttpLimits{16384, 64 * MiB},
                CancellableHttpHandler(
                        [this](HttpRequest request, std::shared_ptr<DisconnectSignal> signal) {
                            return handle(std::move(request), std::move(signal));
                        }));
        server->limitMemory(requests, responses);
        server->start();
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request,
                                         std::shared_ptr<DisconnectSignal> signal)
    {
        ++handled;
        asio::steady_timer timer(context, milliseconds(1));
        while (holds) {
            timer.expires_after(milliseconds(1));
            co_await timer.async_wait(asio::use_awaitable);
        }
        HttpResponse response(http::status::ok, 11);
        response.body() = std::to_string(request.body().size());
        (void)signal; // Kept until the body is no longer needed.
        co_return response;
    }

    /** Sends @p parts, while the server runs, until @p holdsNow and all have been sent. */
    bool sendUntil(RawHttpClient &client, const std::vector<std::string> &parts,
                   const std::function<bool()> &holdsNow)
    {
        std::atomic<bool> sent{false};
        std::thread sender([&]() {
            for (const std::string &part : parts) {
                client.send(part);
            }
            sent = true;
        });
        const bool held = runUntilHolds(context, [&]() { return sent && holdsNow(); });
        sender.join();
        return held;
    }

    bool runUntil(RawHttpClient &client, const std::function<bool()> &holdsNow)
    {
        return runUntilHolds(context, [&]() {
            client.pollOnce();
            return holdsNow();
        });
    }

    asio::io_context context;
    std::shared_ptr<MemoryBudget> requests = std::make_shared<MemoryBudget>(Memory);
    std::shared_ptr<ResponseBudget> responses = std::make_shared<ResponseBudget>(Memory);
    std::shared_ptr<HttpServer> server;
    bool holds = false;
    int handled = 0;
};

} // namespace

// Guards against a node that is killed because the bodies that it holds exceed its memory.
Test(request_memory, body_without_room_is_rejected_at_its_head)
{
    Fixture fixture;
    fixture.holds = true;
    RawHttpClient first(fixture.server->port());
    first.send(makeHead(LargeBody));
    cr_assert(fixture.runUntil(first, [&]() { return fixture.requests->held() >= LargeBody; }));

    RawHttpClient second(fixture.server->port());
    second.send(makeHead(LargeBody));
    cr_assert(fixture.runUntil(second, [&]() { return second.count(Full) == 1; }));
    cr_assert_eq(second.count("Retry-After"), 1U);
    cr_assert_eq(fixture.server->rejectedForMemory(), 1U);

    SECTION("a small request is still served")
    {
        RawHttpClient small(fixture.server->port());
        fixture.holds = false;
        small.send(makeHead(3) + "abc");
        cr_assert(fixture.runUntil(small, [&]() { return small.count(Served) == 1; }));
    }
    SECTION("one of the same size is, once the first sender has left")
    {
        first.disconnect();
        cr_assert(runUntilHolds(fixture.context,
                                [&]() { return fixture.requests->held() < LargeBody; }));
        RawHttpClient third(fixture.server->port());
        fixture.holds = false;
        cr_assert(fixture.sendUntil(third, {makeHead(LargeBody), std::string(LargeBody, 'x')},
                                    [&]() { return fixture.handled == 2; }));
        cr_assert(fixture.runUntil(third, [&]() { return third.count(Served) == 1; }));
    }
}

// Guards against memory that is given back while the handler still has the body.
Test(request_memory, body_counts_until_the_response_is_made)
{
    Fixture fixture;
    fixture.holds = true;
    RawHttpClient client(fixture.server->port());
    cr_assert(fixture.sendUntil(client, {makeHead(LargeBody), std::string(LargeBody, 'x')},
                                [&]() { return fixture.handled == 1; }));
    cr_assert_geq(fixture.requests->held(), LargeBody);
    fixture.holds = false;
    cr_assert(fixture.runUntil(client, [&]() { return client.count(Served) == 1; }));
    cr_assert(
            runUntilHolds(fixture.context, [&]() { return fixture.requests->held() < LargeBody; }));
}

// Guards against bodies without a length, which show only while they arrive that there is no room.
Test(request_memory, chunked_body_is_rejected_when_there_is_no_more_room)
{
    Fixture fixture;
    RawHttpClient client(fixture.server->port());
    std::vector<std::string> parts{
            "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"};
    parts.insert(parts.end(), 2 * Memory / MiB, "100000\r\n" + std::string(MiB, 'x') + "\r\n");
    // The rest is read and discarded, so that the sender gets to the response.
    cr_assert(fixture.sendUntil(client, parts,
                                [&]() { return fixture.server->rejectedForMemory() == 1; }));
    cr_assert(fixture.runUntil(client, [&]() { return client.count(Full) == 1; }));
    cr_assert_lt(fixture.requests->held(), MiB);
    cr_assert_eq(fixture.handled, 0);
}

// Guards against a node that is killed because of many callers that send a part of a head each.
Test(request_memory, connections_count)
{
    asio::io_context context;
    const auto requests = std::make_shared<MemoryBudget>(10 * HttpConnection::OwnBytes);
    const auto server = std::make_shared<HttpServer>(context, "127.0.0.1", 0, HttpLimits{},
                                                     HttpHandler(answerNothing));
    server->limitMemory(requests, nullptr);
    server->start();
    std::vector<std::unique_ptr<RawHttpClient>> clients;
    for (int client = 0; client < 20; ++client) {
        clients.push_back(std::make_unique<RawHttpClient>(server->port()));
        clients.back()->send("GET /x HT");
    }
    context.run_for(milliseconds(200));
    cr_assert_gt(server->openConnections(), 0U);
    cr_assert_leq(server->openConnections(), 10U);
    clients.clear();
    cr_assert(runUntilHolds(context, [&]() { return requests->held() == 0; }));
}

// Guards against responses that callers don't read and that are counted no more.
Test(request_memory, response_counts_until_its_receiver_has_it)
{
    const auto shared = std::make_shared<ResponseBudget>(10);
    {
        const ResponseBudget::Delivery waiting(shared, 8);
        bool cutOff = false;
        ResponseBudget::Share arriving(*shared, [&]() { cutOff = true; });
        cr_assert(arriving.resize(2));
        cr_assert(!arriving.resize(3));
        cr_assert(cutOff);
        SECTION("what waits is not cut off")
        {
            cr_assert_eq(shared->held(), 8U);
        }
    }
    cr_assert_eq(shared->held(), 0U);
}

Test(request_memory, large_messages_leave_room_for_small_ones)
{
    const auto budget = std::make_shared<MemoryBudget>(8 * MiB);
    MemoryBudget::Reservation large(budget);
    cr_assert(!large.resize(8 * MiB));
    cr_assert(large.resize(7 * MiB));
    MemoryBudget::Reservation small(budget);
    cr_assert(small.resize(MemoryBudget::SmallBytes));
    cr_assert_eq(budget->held(), 7 * MiB + MemoryBudget::SmallBytes);
    cr_assert_eq(budget->refused(), 1U);

    SECTION("small ones do not take the room of large ones either")
    {
        cr_assert(large.resize(0));
        cr_assert(large.resize(7 * MiB));
    }
    SECTION("a reservation that is moved is given back once")
    {
        MemoryBudget::Reservation moved(std::move(large));
        cr_assert_eq(moved.bytes(), 7 * MiB);
        moved = MemoryBudget::Reservation();
        cr_assert_eq(budget->held(), MemoryBudget::SmallBytes);
    }
}
