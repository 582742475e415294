/** @file http_store_test.cpp Responses of the platform's object API that are none. */

#include "adapter/platform/platform_http_store.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds Timeout{2000};

/** A store that sends one text, and a client of it. */
struct Fixture {
    explicit Fixture(const std::string &answer)
        : server(std::make_shared<ScriptedBackend>(context, std::vector<BackendScript>{{answer}})),
          store(context.get_executor(), "127.0.0.1", server->port(), Timeout)
    {
        server->start();
    }

    asio::io_context context;
    std::shared_ptr<ScriptedBackend> server;
    PlatformHttpStore store;
};

} // namespace

// Guards against taking bytes that are no response for the state of an object.
Test(http_store, bytes_that_are_no_response_are_rejected)
{
    const std::string rest = "ETag: \"7\"\r\nContent-Length: 2\r\n\r\n[]";
    for (const std::string head :
         {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 20 OK\r\n",
          "HTTP/1.1 200 OK\r\nNa me: x\r\n"}) {
        Fixture fixture(head + rest);
        cr_assert(!runUntil(fixture.context, fixture.store.read("x")));
        cr_assert(!runUntil(fixture.context, fixture.store.write("x", AbsentObject, "y")));
        cr_assert(!runUntil(fixture.context, fixture.store.list("x")));
        cr_assert(!runUntil(fixture.context,
                            fixture.store.watch("x", ObjectVersion(7), milliseconds(10))));
        cr_assert(runUntilHolds(fixture.context,
                                [&]() { return fixture.server->lostConnections() == 4; }),
                  "%s", head.c_str());
    }
}
