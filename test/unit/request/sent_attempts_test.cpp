/** @file sent_attempts_test.cpp Attempts that are sent to a backend server more than once. */

#include "adapter/clock/boot_clock_adapter.h"
#include "duty/backend_gate.h"
#include "platform/request_headers.h"
#include "support/no_ownership.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds LongTime{20000}; ///< Far above what a test takes.

std::string makeRejection(const std::string &attemptId)
{
    return "HTTP/1.1 503 No\r\nX-Wisteriahoist-Attempt-Id: " + attemptId
           + "\r\nX-Wisteriahoist-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

const std::string Success = "HTTP/1.1 200 OK\r\nX-Wisteriahoist-Attempt-Id: q\r\n"
                            "X-Wisteriahoist-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody";

/** A gate that holds all keys, beside a backend server that runs scripts. */
struct Fixture {
    explicit Fixture(std::vector<BackendScript> scripts)
        : backend(std::make_shared<ScriptedBackend>(context, std::move(scripts)))
    {
        backend->start();
        BackendReport report;
        report.backend = "b-1";
        report.service = "one";
        report.slots = 4;
        report.sequence = 1;
        (void)monitor.onReport(report, clock.now());
        gate.onBackendChange();
    }

    v1::HopReply ask(const std::string &attemptId)
    {
        v1::HopRequest request;
        request.set_request_id(++requests);
        request.set_service("one");
        request.set_method("DELETE");
        request.set_target("/x");
        request.set_attempt_id(attemptId);
        request.set_must_not_repeat(true);
        request.set_keyed(true);
        request.set_shard_key(7);
        request.set_deadline_left_ms(LongTime.count());
        return runUntil(context, gate.run(request));
    }

    uint64_t requests = 0;
    asio::io_context context;
    std::shared_ptr<ScriptedBackend> backend;
    BootClockAdapter clock;
    platform::RequestHeaders protocol;
    FullOwnership keys;
    BackendMonitor monitor{MonitorLimits{}};
    CrashLedger crashes;
    BackendGate gate{context,         clock,   protocol, "127.0.0.1",
                     backend->port(), monitor, keys,     crashes};
};

} // namespace

// Guards against a late second copy of a rejection that is taken for the response to the second
// sending of the same attempt: its caller is told "not run", and it runs.
Test(sent_attempts, second_copy_of_a_rejection_does_not_answer_the_second_sending)
{
    Fixture fixture({{makeRejection("q")}, {Success, {}, false, false, false, makeRejection("q")}});
    cr_assert(fixture.ask("q").outcome() == v1::HOP_OUTCOME_NOT_RUN);
    const v1::HopReply second = fixture.ask("q");
    cr_assert(second.outcome() == v1::HOP_OUTCOME_DONE, "%s", second.reason().c_str());
    cr_assert_eq(fixture.backend->requests().size(), 2U);

    SECTION("it is sent on a new connection, which is kept for others")
    {
        cr_assert_eq(fixture.backend->connections(), 2U);
        cr_assert_eq(fixture.gate.sentAgain(), 1U);
    }
}

// Guards against a new connection for each request.
Test(sent_attempts, different_attempts_share_a_connection)
{
    Fixture fixture({{makeRejection("q")}, {makeRejection("r")}});
    cr_assert(fixture.ask("q").outcome() == v1::HOP_OUTCOME_NOT_RUN);
    cr_assert(fixture.ask("r").outcome() == v1::HOP_OUTCOME_NOT_RUN);
    cr_assert_eq(fixture.backend->connections(), 1U);
}

Test(sent_attempts, attempts_are_remembered_as_long_as_they_may_be_sent_again)
{
    constexpr size_t MaxRemembered = 2000; // Far below the number of attempts of the test.
    SentAttempts attempts;
    TimePoint now{std::chrono::seconds(100)};
    const TimePoint deadline = now + milliseconds(500);
    attempts.record("q", deadline, now);
    cr_assert(attempts.wasSent("q", deadline));
    cr_assert(!attempts.wasSent("r", now));
    cr_assert(!attempts.wasSent("q", deadline + std::chrono::seconds(10)));

    SECTION("memory does not grow with the number of requests")
    {
        for (int request = 0; request < 100'000; ++request) {
            now += milliseconds(10);
            attempts.record(std::to_string(request), now + milliseconds(500), now);
        }
        cr_assert_lt(attempts.size(), MaxRemembered);
    }
}
