/** @file backend_calls_test.cpp Orders to a backend server whose answers and connections fail. */

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
constexpr milliseconds WorkTime{200}; ///< Until the work on released keys has ended.

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

// Guards against keys given on while at work: a grant's second answer read as a release's.
Test(backend_calls, a_second_answer_to_a_grant_is_not_taken_for_a_releases)
{
    BackendScript released = answerWith("X-Wisteriahoist-Handover: token\r\n", WorkTime);
    released.stray = makeAnswer("");
    Fixture fixture({answerWith(""), released});
    cr_assert(fixture.grant(fixture.clock.now() + Timeout).result == ControlResult::Accepted);
    const ControlReply answer = fixture.release();
    cr_assert(answer.result == ControlResult::Accepted && answer.handover == "token");
}

// Guards against a hold that outlasts what its node has noted: a grant sent after a standstill.
Test(backend_calls, a_grant_that_is_late_is_not_sent)
{
    Fixture fixture({answerWith("")});
    cr_assert(fixture.grant(fixture.clock.now() - milliseconds(1)).result
              == ControlResult::TooLate);
    cr_assert(fixture.backend->requests().empty());
    SECTION("the next one is")
    {
        cr_assert(fixture.grant(fixture.clock.now() + Timeout).result == ControlResult::Accepted);
    }
}
