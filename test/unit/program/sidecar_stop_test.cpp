/** @file sidecar_stop_test.cpp The end of a node that was told to stop, as its callers see it. */

#include "platform/request_headers.h"
#include "program/sidecar_program.h"
#include "support/raw_http_client.h"
#include "support/scripted_store.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds LongTime{20000};   ///< Far above what a test takes.
constexpr milliseconds Unlisted{2500};    ///< After so long the platform sends no callers any more.
constexpr milliseconds KilledAfter{6000}; ///< From the request to end.
constexpr milliseconds Poll{20};

const std::string Request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view Refusal = "HTTP/1.1 503"; ///< There is no configuration.
constexpr std::string_view Close = "Connection: close";

/** No backend server takes part. */
class NoBackend final : public BackendControl
{
public:
    asio::awaitable<ControlReply> grant(GrantRequest, milliseconds) override
    {
        co_return ControlReply();
    }
    asio::awaitable<ControlReply> release(ReleaseRequest, milliseconds) override
    {
        co_return ControlReply();
    }
    asio::awaitable<BackendStatus> pollOnce(milliseconds) override { co_return BackendStatus(); }
};

uint16_t findFreePort()
{
    asio::io_context context;
    const tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return acceptor.local_endpoint().port();
}

SidecarSettings makeSettings()
{
    SidecarSettings settings;
    settings.name = "n-1";
    settings.failureDomain = "domain";
    settings.service = "one";
    const Endpoint any{"127.0.0.1", 0};
    settings.backend = {"127.0.0.1", 1};
    settings.callers = {"127.0.0.1", findFreePort()};
    settings.peers = any;
    settings.readiness = any;
    settings.reports = any;
    settings.metrics = any;
    settings.shutdownTimeout = KilledAfter;
    return settings;
}

/** A node of which only the callers' side is looked at. Its times are the test's. */
struct StoppingNode {
    StoppingNode() { program.start(); }

    /** Runs until @p holds, or for long. */
    bool runUntil(RawHttpClient &caller, const std::function<bool()> &holds)
    {
        const auto end = std::chrono::steady_clock::now() + LongTime;
        for (caller.pollOnce(); !holds() && std::chrono::steady_clock::now() < end;
             caller.pollOnce()) {
            runFor(milliseconds(1));
        }
        return holds();
    }

    void runFor(milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    asio::io_context context{1};
    ScriptedStore store{context};
    NoBackend backend;
    platform::RequestHeaders protocol;
    StoreCallCounts calls;
    SidecarSettings settings = makeSettings();
    SidecarPorts ports{store,
                       backend,
                       protocol,
                       "main",
                       [](std::string_view) -> Result<RouteConfig> {
                           return Failure{FailureCode::Malformed, "none here"};
                       },
                       [](const HttpRequest &) -> Result<BackendCall> {
                           return Failure{FailureCode::Malformed, "none here"};
                       },
                       [](const std::optional<GrantReply> &) { return HttpResponse(); },
                       calls};
    SidecarProgram program{context, settings, ports};
};

} // namespace

// A caller loses its request, or an answer that it has not read yet, with the end of the process.
// The node looks whether anything is open and ends at once if not: what has reached it and has not
// been parsed is not seen, and connections are cut that its answers are still on. The process ends
// after the last connection has.
Test(sidecar_stop, the_process_ends_after_the_last_connection)
{
    StoppingNode node;
    RawHttpClient caller(node.settings.callers.port);
    caller.send(Request);
    cr_assert(node.runUntil(caller, [&]() { return caller.count(Refusal) == 1; }));
    cr_assert_eq(caller.count(Close), 0U);
    node.program.beginStop();
    const TimePoint late = node.program.clock().now() + Unlisted;
    SECTION("nothing is open when the time has come, but a request has just arrived")
    {
        caller.send(Request);
        cr_assert(!node.program.hasStopped(late));
    }
    SECTION("it is answered, and the answer announces the end")
    {
        node.program.continueStop(late);
        cr_assert(node.runUntil(caller, [&]() { return caller.hasEnded(); }));
        cr_assert_eq(caller.count(Refusal), 2U);
        cr_assert_eq(caller.count(Close), 1U);
    }
    SECTION("the process waits until the caller has read it and gone")
    {
        cr_assert(!node.program.hasStopped(late));
        caller.leave();
        TimePoint at = late;
        cr_assert(node.runUntil(caller, [&]() {
            node.program.continueStop(at);
            at += milliseconds(1);
            return node.program.hasStopped(at);
        }));
    }
}

Test(sidecar_stop, the_process_ends_in_time_whatever_is_open)
{
    StoppingNode node;
    RawHttpClient caller(node.settings.callers.port);
    caller.send("GET /x HT");
    node.program.beginStop();
    const TimePoint begun = node.program.clock().now();
    TimePoint at = begun;
    while (at < begun + KilledAfter && !node.program.hasStopped(at)) {
        node.program.continueStop(at);
        node.runFor(milliseconds(1));
        at += Poll;
    }
    cr_assert(at > begun + Unlisted, "the caller has begun to send");
    cr_assert(at < begun + KilledAfter, "what is open then is cut in any case");
}
