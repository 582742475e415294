/** @file config_writer_test.cpp Concurrent operators, lost replies and an unavailable platform. */

#include "duty/config_writer.h"

#include "adapter/codec/config_codec.h"
#include "support/declarations.h"
#include "support/fake_platform.h"
#include "support/test_section.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

namespace asio = boost::asio;

ConfigRecord recordOf(const FakePlatform &platform)
{
    return decodeConfigRecord(platform.content).assume_value();
}

ConfigRequest makeRequest(uint64_t id, const Declarations &declarations)
{
    ConfigRequest request;
    request.id = ConfigRequestId(id);
    request.declarations = declarations;
    request.allowDelete = true;
    return request;
}

ConfigOutcome applyTo(FakePlatform &platform, ConfigRequest request)
{
    ConfigWriterTimes times;
    times.retryPause = milliseconds(0);
    ConfigWriter writer(platform, times);
    asio::io_context context;
    ConfigOutcome outcome;
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                outcome = co_await writer.apply(std::move(request), 0);
            },
            asio::detached);
    context.run();
    return outcome;
}

bool isAccepted(const ConfigOutcome &outcome, uint64_t version)
{
    return !outcome.failure && outcome.decision.problems.empty()
           && outcome.decision.version == version;
}

} // namespace

// The write takes effect, but its reply is lost. If that were reported as a failure, the operator
// would assume that the old rules are still in effect. The object is read back and contains the
// request id, so the operator gets the version.
Test(config_writer, lost_reply)
{
    FakePlatform platform;
    platform.faults = {WriteFault::ReplyLost};
    cr_assert(isAccepted(applyTo(platform, makeRequest(1, makeDeclarations("a"))), 1));
    cr_assert(platform.writes == 1);
}

// The write is still in transit when the object is read back, so the object does not contain the id
// yet. Reporting "not done" would be wrong a moment later. The write is repeated with the same
// expected version; the late one arrives first, the repeated one gets a conflict, and another read
// shows the outcome.
Test(config_writer, late_write)
{
    FakePlatform platform;
    platform.faults = {WriteFault::Swallowed, WriteFault::Late};
    cr_assert(isAccepted(applyTo(platform, makeRequest(1, makeDeclarations("a"))), 1));
    cr_assert(platform.writes == 1);
    SECTION("a write that never arrived is repeated")
    {
        platform.faults = {WriteFault::Swallowed, WriteFault::Swallowed};
        cr_assert(isAccepted(applyTo(platform, makeRequest(2, makeDeclarations("b"))), 2));
        cr_assert(platform.writes == 2);
    }
}

// Two operators read version 1 and apply a change. The platform accepts one write; the other one
// fails with a version conflict. If it were repeated on top, it would undo a change that its
// operator has never seen. The operator gets the conflict with both versions, even without an
// expected version in the request.
Test(config_writer, racing_operators)
{
    FakePlatform platform;
    cr_assert(isAccepted(applyTo(platform, makeRequest(1, makeDeclarations("a"))), 1));
    platform.beforeWrite = [&platform]() {
        const ConfigDecision other
                = decideChange(recordOf(platform), makeRequest(2, makeDeclarations("a", "b")), 0);
        platform.put(ObjectVersion(platform.version), encodeConfigRecord(other.record));
    };
    const ConfigOutcome loser = applyTo(platform, makeRequest(3, makeDeclarations("a", "c")));
    cr_assert(!loser.failure);
    cr_assert(loser.decision.problems.size() == 1);
    cr_assert(loser.decision.problems[0].code == ConfigProblemCode::VersionConflict);
    cr_assert(loser.decision.problems[0].message == "expected 1, stored 2");
    cr_assert(loser.storedVersion == 2);
    cr_assert(recordOf(platform).declarations.findService("b") != nullptr);
    cr_assert(recordOf(platform).declarations.findService("c") == nullptr);
    SECTION("also if the reply to the second operator is lost")
    {
        platform.beforeWrite = [&platform]() {
            const ConfigDecision other
                    = decideChange(recordOf(platform), makeRequest(4, makeDeclarations("d")), 0);
            platform.put(ObjectVersion(platform.version), encodeConfigRecord(other.record));
        };
        platform.faults = {WriteFault::ReplyLost};
        const ConfigOutcome again = applyTo(platform, makeRequest(5, makeDeclarations("e")));
        cr_assert(again.decision.problems.size() == 1);
        cr_assert(again.decision.problems[0].code == ConfigProblemCode::VersionConflict);
        cr_assert(recordOf(platform).declarations.findService("d") != nullptr);
    }
}

// The platform is down. A write that was provably not sent is reported as such; one whose reply was
// lost and that can't be read back is reported as ambiguous, never as failed. When it is repeated
// later with its id, it is found to be applied.
Test(config_writer, platform_away)
{
    FakePlatform platform;
    const ConfigRequest request = makeRequest(1, makeDeclarations("a"));
    SECTION("nothing was done")
    {
        platform.readFails = {true};
        cr_assert(applyTo(platform, request).failure->code == FailureCode::Unavailable);
        platform.faults = {WriteFault::NotSent};
        cr_assert(applyTo(platform, request).failure->code == FailureCode::Unavailable);
        cr_assert(platform.writes == 0);
    }
    SECTION("it may have been done")
    {
        platform.faults = {WriteFault::ReplyLost};
        platform.readFails = {false, true, true, true};
        cr_assert(applyTo(platform, request).failure->code == FailureCode::Ambiguous);
        const ConfigOutcome repeated = applyTo(platform, request);
        cr_assert(isAccepted(repeated, 1));
        cr_assert(repeated.decision.verdict == ConfigVerdict::AlreadyApplied);
        cr_assert(platform.writes == 1);
    }
}

Test(config_writer, damaged_object)
{
    FakePlatform platform;
    platform.content = "\xff\xff";
    platform.version = 4;
    const ConfigOutcome outcome = applyTo(platform, makeRequest(1, makeDeclarations("a")));
    cr_assert(outcome.failure->code == FailureCode::Malformed);
    cr_assert(platform.writes == 0);
}
