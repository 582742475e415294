/** @file backend_calls_test.cpp Grant and release calls with faulty responses and connections. */

#include "adapter/clock/boot_clock_adapter.h"
#include "platform/backend_calls.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::platform;
using namespace wisteriahoist::testing;

namespace {

const KeySpan Keys{ShardKey(0), ShardKey(99)};
constexpr milliseconds Timeout{1000};
constexpr milliseconds WorkTime{200}; ///< Until requests on the released keys have ended.

struct Fixture {
    explicit Fixture(std::vector<BackendScript> scripts)
        : backend(std::make_shared<ScriptedBackend>(context, std::move(scripts))),
          calls(context.get_executor(), clock, "127.0.0.1", backend->port())
    {
        backend->start();
    }

    ControlReply grant(TimePoint sendBy)
    {
        GrantRequest order{Keys, Epoch(1), milliseconds(2500), {}, clock.now(), sendBy};
        return runUntil(context, calls.grant(std::move(order), Timeout));
    }

    ControlReply release()
    {
        return runUntil(context, calls.release({Keys, Epoch(1), 1}, Timeout));
    }

    BackendStatus poll() { return runUntil(context, calls.pollOnce(Timeout)); }

    bool connectionEnds()
    {
        return runUntilHolds(context, [&]() { return backend->lostConnections() == 1; });
    }

    asio::io_context context;
    BootClockAdapter clock;
    std::shared_ptr<ScriptedBackend> backend;
    BackendCalls calls;
};

BackendScript answerWith(const std::string &headers, milliseconds delay = milliseconds(0))
{
    BackendScript script;
    script.answer = "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 0\r\n\r\n";
    script.delay = delay;
    return script;
}

} // namespace

// Guards against handing over keys that are still in use: a duplicate response to a grant must not
// be read as the response to the following release.
Test(backend_calls, duplicate_grant_response_is_not_read_as_release_response)
{
    BackendScript released = answerWith("X-Wisteriahoist-Handover: token\r\n", WorkTime);
    released.stray = makeAnswer("");
    Fixture fixture({answerWith(""), released});
    cr_assert(fixture.grant(fixture.clock.now() + Timeout).result == ControlResult::Accepted);
    const ControlReply answer = fixture.release();
    cr_assert(answer.result == ControlResult::Accepted && answer.handover == "token");
}

// Guards against a hold that outlasts what the node has recorded: a grant must not be sent after
// its latest send time, as after a suspension of the process.
Test(backend_calls, late_grant_is_not_sent)
{
    Fixture fixture({answerWith("")});
    cr_assert(fixture.grant(fixture.clock.now() - milliseconds(1)).result
              == ControlResult::TooLate);
    cr_assert(fixture.backend->requests().empty());
    SECTION("the next grant is sent")
    {
        cr_assert(fixture.grant(fixture.clock.now() + Timeout).result == ControlResult::Accepted);
    }
}

// Guards against taking bytes that are no response for the answer to a grant, a release or a health
// check.
Test(backend_calls, bytes_that_are_no_response_are_not_taken_for_an_answer)
{
    const std::string rest = "X-Wisteriahoist-Handover: token\r\nX-Wisteriahoist-Instance-Id: i\r\n"
                             "Content-Length: 0\r\n\r\n";
    for (const std::string head :
         {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 20 OK\r\n",
          "HTTP/1.1 200 OK\r\nNa me: x\r\n", "HTTP/1.1 200 OK\r\nNa\x01me: x\r\n"}) {
        const BackendScript script{head + rest};
        Fixture granted({script});
        const ControlReply grant = granted.grant(granted.clock.now() + Timeout);
        cr_assert(grant.result == ControlResult::Unanswered && grant.handover.empty());
        cr_assert(granted.connectionEnds(), "%s", head.c_str());
        Fixture released({script});
        const ControlReply release = released.release();
        cr_assert(release.result == ControlResult::Unanswered && release.handover.empty());
        cr_assert(released.connectionEnds(), "%s", head.c_str());
        Fixture polled({script});
        const BackendStatus status = polled.poll();
        cr_assert(!status.answered && !status.healthy && status.backend.empty());
        cr_assert(polled.connectionEnds(), "%s", head.c_str());
    }
}
