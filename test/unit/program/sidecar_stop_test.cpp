/** @file sidecar_stop_test.cpp Graceful shutdown of a node, as its callers see it. */

#include "platform/request_headers.h"
#include "program/sidecar_program.h"
#include "support/raw_http_client.h"
#include "support/scripted_store.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds TestTimeout{20000}; ///< Time limit of a test, far above its usual duration.
constexpr milliseconds CallerRemovalDelay{
        2500}; ///< After this time the platform sends no more callers.
constexpr milliseconds ShutdownTimeout{6000}; ///< From SIGTERM until SIGKILL.
constexpr milliseconds Poll{20};

const std::string Request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view Refusal = "HTTP/1.1 503"; ///< No configuration: all are rejected.
constexpr std::string_view Close = "Connection: close";

/** A backend server is not needed. */
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
    asio::awaitable<BackendStatus> identify(milliseconds) override { co_return BackendStatus(); }
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
    settings.shutdownTimeout = ShutdownTimeout;
    return settings;
}

/** A node whose callers' side is tested. The tests supply the time. */
struct StoppingNode {
    StoppingNode() { program.start(); }

    /** Runs until @p holds returns true, or until TestTimeout has passed. */
    bool runUntil(RawHttpClient &caller, const std::function<bool()> &holds)
    {
        const auto end = std::chrono::steady_clock::now() + TestTimeout;
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

// Guards against losing requests, and responses that callers have not read yet, when the process
// ends. Checking for open requests is not enough: it misses requests that have arrived but are not
// parsed, and connections that still carry responses. The process must end only after the last
// connection has.
Test(sidecar_stop, process_ends_after_last_connection)
{
    StoppingNode node;
    RawHttpClient caller(node.settings.callers.port);
    caller.send(Request);
    cr_assert(node.runUntil(caller, [&]() { return caller.count(Refusal) == 1; }));
    cr_assert_eq(caller.count(Close), 0U);
    node.program.beginStop();
    const TimePoint late = node.program.clock().now() + CallerRemovalDelay;
    SECTION("no request is open, but one has just arrived")
    {
        caller.send(Request);
        cr_assert(!node.program.hasStopped(late));
    }
    SECTION("it is answered, and the response announces the end of the connection")
    {
        node.program.continueStop(late);
        cr_assert(node.runUntil(caller, [&]() { return caller.hasEnded(); }));
        cr_assert_eq(caller.count(Refusal), 2U);
        cr_assert_eq(caller.count(Close), 1U);
    }
    SECTION("the process waits until the caller has read it and disconnected")
    {
        cr_assert(!node.program.hasStopped(late));
        caller.disconnect();
        TimePoint at = late;
        cr_assert(node.runUntil(caller, [&]() {
            node.program.continueStop(at);
            at += milliseconds(1);
            return node.program.hasStopped(at);
        }));
    }
}

Test(sidecar_stop, process_ends_within_shutdown_timeout)
{
    StoppingNode node;
    RawHttpClient caller(node.settings.callers.port);
    caller.send("GET /x HT");
    node.program.beginStop();
    const TimePoint begun = node.program.clock().now();
    TimePoint at = begun;
    while (at < begun + ShutdownTimeout && !node.program.hasStopped(at)) {
        node.program.continueStop(at);
        node.runFor(milliseconds(1));
        at += Poll;
    }
    cr_assert(at > begun + CallerRemovalDelay,
              "waits for a caller that has sent part of a request");
    cr_assert(at < begun + ShutdownTimeout,
              "aborts what is still open at the end of the shutdown timeout");
}
