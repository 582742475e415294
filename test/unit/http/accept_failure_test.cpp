/** @file accept_failure_test.cpp Listeners whose process has no free descriptor. */

#include "adapter/http/http_server.h"
#include "adapter/http2/peer_transport.h"
#include "support/test_section.h"

#include <sys/resource.h>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds WatchTime{500};
/** Of the event loop in that time: a few for each attempt to accept. */
constexpr size_t MaxTurns = 100;

/** Lets this process open no further descriptor, as long as it exists. The undefined behaviour
 *  sanitizer needs some to look at an object's type; it reports an "invalid vptr" instead. */
class NoFreeDescriptors
{
public:
    NoFreeDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        rlimit none = before_;
        none.rlim_cur = 0;
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
    NoFreeDescriptors(const NoFreeDescriptors &) = delete;
    NoFreeDescriptors &operator=(const NoFreeDescriptors &) = delete;

private:
    rlimit before_{};
};

/** @return Turns that the event loop makes while a connection that can't be accepted waits. */
size_t countTurns(asio::io_context &context, uint16_t port)
{
    tcp::socket caller(context);
    caller.open(tcp::v4());
    caller.connect({asio::ip::make_address("127.0.0.1"), port});
    const NoFreeDescriptors none;
    return context.run_for(WatchTime);
}

asio::awaitable<HttpResponse> refuse(HttpRequest)
{
    co_return HttpResponse(http::status::service_unavailable, 11);
}

asio::awaitable<std::string> reply(std::string, std::string)
{
    co_return std::string();
}

} // namespace

// Guards against a node that uses up its core, since it has no descriptor for a connection.
Test(accept_failure, listeners_wait_for_descriptors)
{
    asio::io_context context;
    SECTION("for callers")
    {
        const auto server = std::make_shared<HttpServer>(context, "127.0.0.1", 0, HttpLimits{},
                                                         HttpHandler(refuse));
        server->start();
        cr_assert_leq(countTurns(context, server->port()), MaxTurns);
        SECTION("and accept the next connection once there is one")
        {
            tcp::socket caller(context);
            caller.connect({asio::ip::make_address("127.0.0.1"), server->port()});
            context.run_for(WatchTime);
            cr_assert_eq(server->openConnections(), 1U);
        }
    }
    SECTION("for other nodes")
    {
        const auto listener = std::make_shared<PeerListener>(context, "127.0.0.1", 0, reply);
        listener->start();
        cr_assert_leq(countTurns(context, listener->port()), MaxTurns);
    }
}
