/** @file soak_audit_test.cpp Each promise of the soak's audit is found broken when it is, and only
 * then.
 */

#include "soak/soak_audit.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::soak;

namespace {

const KeySpan All{ShardKey(0), LastShardKey};
constexpr TimePoint Begin{std::chrono::seconds(100)};

TimePoint at(int64_t count)
{
    return Begin + milliseconds(count);
}

/** Two nodes: 0 beside "a", 1 beside "b". */
struct Fixture {
    Fixture()
    {
        audit.onBackendStarted("a", 0);
        audit.onBackendStarted("b", 1);
        audit.onRouted("/x/", "one", Begin);
    }

    void send(const std::string &attempt, bool mayRepeat, TimePoint now)
    {
        SentRequest sent;
        sent.attempt = attempt;
        sent.callerService = "one";
        sent.method = mayRepeat ? "GET" : "POST";
        sent.path = "/x/" + attempt;
        sent.mayRepeat = mayRepeat;
        sent.maxAttempts = 2;
        sent.timeLimit = milliseconds(2000);
        sent.at = now;
        audit.onSent(sent);
    }

    void run(const std::string &attempt, bool mayRepeat, TimePoint now,
             const std::string &service = "one")
    {
        platform::ArrivedRequest arrived;
        arrived.attempt = attempt;
        arrived.callerService = "one";
        arrived.method = mayRepeat ? "GET" : "POST";
        arrived.target = "/x/" + attempt;
        arrived.timeLeft = milliseconds(1000);
        audit.onRequestStarted("a", service, arrived, now);
    }

    /** The same request again, under which the backend server of node 0 crashes. */
    void crash(const std::string &attempt, TimePoint now)
    {
        SentRequest sent;
        sent.attempt = attempt;
        sent.node = 1;
        sent.callerService = "two";
        sent.method = "GET";
        sent.path = "/x/crash";
        sent.mayRepeat = true;
        sent.at = now;
        audit.onSent(sent);
        platform::ArrivedRequest arrived;
        arrived.attempt = attempt;
        arrived.callerService = "two";
        arrived.method = "GET";
        arrived.target = "/x/crash";
        audit.onRequestStarted("a", "one", arrived, now);
        audit.onCrashed("a", arrived, now + milliseconds(20));
    }

    void crashThreeTimes()
    {
        for (int64_t number = 0; number < 3; ++number) {
            crash("first-" + std::to_string(number), at(number * 10));
        }
    }

    void answer(const std::string &attempt, unsigned status, TimePoint now)
    {
        platform::CallerAnswer answer;
        answer.status = status;
        answer.sent = true;
        if (status == 200) {
            answer.answeredAttempt = attempt;
            answer.serverSeal = "a";
            answer.body = "ran " + attempt + " at one";
        }
        audit.onAnswered(attempt, answer, now);
    }

    /** @return Whether @p promise is the only one that was broken, once. */
    bool broke(Promise promise)
    {
        audit.finish(at(60000));
        return audit.violations().size() == 1 && audit.violations().front().promise == promise;
    }

    bool brokeNothing()
    {
        audit.finish(at(60000));
        return audit.violations().empty();
    }

    SoakAudit audit{{"one", "two"}};
};

} // namespace

Test(soak_audit, a_clean_request_breaks_nothing)
{
    Fixture fixture;
    fixture.send("r", false, at(0));
    fixture.run("r", false, at(10));
    fixture.answer("r", 200, at(50));
    cr_assert(fixture.brokeNothing());
}

Test(soak_audit, two_holders_of_one_key)
{
    SECTION("at the same time")
    {
        Fixture fixture;
        fixture.audit.onGranted("a", All, Epoch(1), at(0), at(2500));
        fixture.audit.onGranted("b", All, Epoch(2), at(2400), at(5000));
        cr_assert(fixture.broke(Promise::SoleOwner));
    }
    SECTION("one after the other, by time, by release or by the end of the first")
    {
        Fixture fixture;
        fixture.audit.onGranted("a", All, Epoch(1), at(0), at(2500));
        fixture.audit.onGranted("b", All, Epoch(2), at(2500), at(5000));
        fixture.audit.onReleased("b", All);
        fixture.audit.onGranted("a", All, Epoch(3), at(3000), at(6000));
        fixture.audit.onTerminated("a");
        fixture.audit.onGranted("b", All, Epoch(4), at(3100), at(6000));
        cr_assert(fixture.brokeNothing());
    }
    SECTION("with a fence that does not rise")
    {
        Fixture fixture;
        fixture.audit.onGranted("a", All, Epoch(2), at(0), at(2500));
        fixture.audit.onGranted("b", All, Epoch(2), at(3000), at(5000));
        cr_assert(fixture.broke(Promise::RisingFence));
    }
    SECTION("an order that was on its way while its sender was stopped")
    {
        Fixture fixture;
        fixture.audit.onGranted("a", All, Epoch(1), at(0), at(2500));
        fixture.audit.onNodeThawed(1, at(1000));
        fixture.audit.onGranted("b", All, Epoch(2), at(1100), at(3000));
        cr_assert(fixture.brokeNothing());
    }
}

Test(soak_audit, runs_of_one_request)
{
    SECTION("twice where it may not be repeated")
    {
        Fixture fixture;
        fixture.send("r", false, at(0));
        fixture.run("r", false, at(10));
        fixture.run("r", false, at(20));
        fixture.answer("r", 200, at(50));
        cr_assert(fixture.broke(Promise::AtMostOnce));
    }
    SECTION("thrice where two are allowed")
    {
        Fixture fixture;
        fixture.send("r", true, at(0));
        fixture.run("r", true, at(10));
        fixture.run("r", true, at(20));
        fixture.run("r", true, at(30));
        fixture.answer("r", 200, at(50));
        cr_assert(fixture.broke(Promise::AttemptLimit));
    }
    SECTION("after it was refused")
    {
        Fixture fixture;
        fixture.send("r", false, at(0));
        fixture.answer("r", 503, at(50));
        fixture.run("r", false, at(900));
        cr_assert(fixture.broke(Promise::NotRunIsTrue));
    }
    SECTION("that nobody sent")
    {
        Fixture fixture;
        fixture.run("r", false, at(10));
        cr_assert(fixture.broke(Promise::KnownRequest));
    }
}

Test(soak_audit, answers)
{
    Fixture fixture;
    fixture.send("r", true, at(0));
    fixture.run("r", true, at(10));
    SECTION("of another request")
    {
        platform::CallerAnswer answer;
        answer.status = 200;
        answer.sent = true;
        answer.answeredAttempt = "q";
        answer.serverSeal = "a";
        answer.body = "ran q at one";
        fixture.audit.onAnswered("r", answer, at(50));
        cr_assert(fixture.broke(Promise::OwnAnswer));
    }
}

Test(soak_audit, requests_cut_by_planned_work)
{
    SECTION("are found")
    {
        Fixture fixture;
        fixture.send("r", true, at(0));
        fixture.run("r", true, at(10));
        fixture.answer("r", 0, at(50));
        cr_assert(fixture.broke(Promise::PlannedWork));
    }
    SECTION("are excused by another fault at the time")
    {
        Fixture fixture;
        fixture.audit.onDisturbance(1, at(-500), at(-100));
        fixture.send("r", true, at(0));
        fixture.run("r", true, at(10));
        fixture.answer("r", 0, at(50));
        cr_assert(fixture.brokeNothing());
    }
    SECTION("that crossed the node's close without being read are none")
    {
        Fixture fixture;
        fixture.send("r", true, at(0));
        fixture.answer("r", 0, at(50));
        cr_assert(fixture.brokeNothing());
    }
}

Test(soak_audit, configurations)
{
    SECTION("an old one after its time")
    {
        Fixture fixture;
        fixture.audit.onRouted("/x/", "two", at(1000));
        fixture.send("r", true, at(3100));
        fixture.run("r", true, at(3110), "one");
        fixture.answer("r", 200, at(3150));
        cr_assert(fixture.broke(Promise::ConfigInForce));
    }
    SECTION("an old one within it")
    {
        Fixture fixture;
        fixture.audit.onRouted("/x/", "two", at(1000));
        fixture.send("r", true, at(2900));
        fixture.run("r", true, at(2910), "one");
        fixture.answer("r", 200, at(2950));
        cr_assert(fixture.brokeNothing());
    }
    SECTION("a route that a node has served and knows no more")
    {
        Fixture fixture;
        fixture.send("r", true, at(0));
        fixture.run("r", true, at(10));
        fixture.answer("r", 200, at(50));
        fixture.send("q", true, at(400));
        fixture.answer("q", 404, at(410));
        cr_assert(fixture.broke(Promise::ConfigNotBack));
    }
}

Test(soak_audit, requests_after_a_leaving)
{
    Fixture fixture;
    fixture.audit.onDrainAcknowledged("a", at(0));
    fixture.send("r", true, at(2000));
    fixture.run("r", true, at(2100));
    fixture.answer("r", 200, at(2150));
    cr_assert(fixture.broke(Promise::Leaving));
}

Test(soak_audit, a_request_that_crashed_three_servers_reaches_others)
{
    SECTION("before the others can know, and three times afterwards")
    {
        Fixture fixture;
        fixture.crashThreeTimes();
        for (int64_t crash = 0; crash < 5; ++crash) {
            fixture.crash("soon-" + std::to_string(crash), at(1000 + crash * 100));
        }
        for (int64_t crash = 0; crash < 3; ++crash) {
            fixture.crash("later-" + std::to_string(crash), at(10000 + crash * 5000));
        }
        cr_assert(fixture.brokeNothing());
    }
    SECTION("once more than that")
    {
        Fixture fixture;
        fixture.crashThreeTimes();
        for (int64_t crash = 0; crash < 4; ++crash) {
            fixture.crash("later-" + std::to_string(crash), at(10000 + crash * 5000));
        }
        cr_assert(fixture.broke(Promise::CrashLimit));
    }
    SECTION("from a node that was disturbed")
    {
        Fixture fixture;
        fixture.crashThreeTimes();
        fixture.audit.onDisturbance(1, at(10000), at(40000));
        for (int64_t crash = 0; crash < 4; ++crash) {
            fixture.crash("later-" + std::to_string(crash), at(10000 + crash * 5000));
        }
        cr_assert(fixture.brokeNothing());
    }
}

Test(soak_audit, a_server_gets_more_than_the_limit_that_it_names)
{
    const auto ask = [](Fixture &fixture, size_t count, TimePoint from) {
        for (size_t number = 0; number < count; ++number) {
            const std::string attempt = std::to_string(from.time_since_epoch().count()) + "-"
                                        + std::to_string(number);
            const TimePoint now = from + milliseconds(10 * number);
            fixture.send(attempt, true, now);
            fixture.run(attempt, true, now);
        }
    };
    const auto tell = [](Fixture &fixture) {
        fixture.audit.onLimitNamed("a", 2, at(0));
        fixture.send("told", true, at(100));
        fixture.run("told", true, at(100));
        platform::CallerAnswer answer;
        answer.status = 200;
        answer.answeredAttempt = "told";
        answer.serverSeal = "a";
        answer.body = "ran told at one";
        answer.namesLimit = true;
        fixture.audit.onAnswered("told", answer, at(110));
    };
    SECTION("from a node that was told")
    {
        Fixture fixture;
        tell(fixture);
        ask(fixture, 18, at(4000));
        cr_assert(fixture.broke(Promise::RequestLimit));
    }
    SECTION("no more than allowed")
    {
        Fixture fixture;
        tell(fixture);
        ask(fixture, 17, at(4000));
        ask(fixture, 17, at(8200));
        cr_assert(fixture.brokeNothing());
    }
    SECTION("by nodes that cannot know: too soon, never told, or restarted")
    {
        Fixture soon;
        tell(soon);
        ask(soon, 100, at(1000));
        cr_assert(soon.brokeNothing());
        Fixture untold;
        untold.audit.onLimitNamed("a", 2, at(0));
        ask(untold, 100, at(4000));
        cr_assert(untold.brokeNothing());
        Fixture restarted;
        tell(restarted);
        restarted.audit.onNodeStarted(0);
        ask(restarted, 100, at(4000));
        cr_assert(restarted.brokeNothing());
    }
}

Test(soak_audit, a_server_that_has_said_that_it_leaves_gets_requests)
{
    const auto tell = [](Fixture &fixture) {
        fixture.send("told", true, at(0));
        fixture.run("told", true, at(10));
        platform::CallerAnswer answer;
        answer.status = 200;
        answer.answeredAttempt = "told";
        answer.serverSeal = "a";
        answer.body = "ran told at one";
        answer.namesLeaving = true;
        fixture.audit.onAnswered("told", answer, at(50));
    };
    SECTION("for too long, in touch or not")
    {
        Fixture fixture;
        tell(fixture);
        fixture.audit.onDisturbance(std::nullopt, at(0), at(9000));
        fixture.send("late", true, at(2100));
        fixture.run("late", true, at(2110));
        cr_assert(fixture.broke(Promise::Leaving));
    }
    SECTION("for a while, or from a node that was restarted or stopped")
    {
        Fixture soon;
        tell(soon);
        soon.send("soon", true, at(2040));
        soon.run("soon", true, at(2100));
        cr_assert(soon.brokeNothing());
        Fixture restarted;
        tell(restarted);
        restarted.audit.onNodeStarted(0);
        restarted.send("late", true, at(2100));
        restarted.run("late", true, at(2110));
        cr_assert(restarted.brokeNothing());
    }
}

Test(soak_audit, a_node_uses_more_memory_than_it_may)
{
    constexpr uint64_t Bound = 1000;
    Fixture fixture;
    fixture.audit.onMemory(0, Bound, Bound, at(0));
    cr_assert(fixture.brokeNothing());
    fixture.audit.onMemory(0, Bound + 1, Bound, at(1));
    fixture.audit.onMemory(0, Bound + 1, Bound, at(2));
    cr_assert(fixture.broke(Promise::MemoryBound));
    cr_assert_eq(fixture.audit.violations().size(), 1U);
}
