/** @file crash_ledger_test.cpp Which requests are held responsible for crashes of backend servers,
 * and for how long.
 */

#include "decision/request/crash_ledger.h"

#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

constexpr TimePoint Begin{std::chrono::seconds(100)};
constexpr RequestFingerprint Crashing(7);
constexpr RequestFingerprint Popular(8);

TimePoint at(int64_t seconds)
{
    return Begin + std::chrono::seconds(seconds);
}

/** @param count Incarnations that end under @p request, one a second. */
void crash(CrashLedger &ledger, RequestFingerprint request, uint64_t count)
{
    for (uint64_t backend = 1; backend <= count; ++backend) {
        ledger.onCrash(request, IncarnationHash(backend), at(static_cast<int64_t>(backend)));
    }
}

/** @return Four nodes, of which three have seen a crash each. */
std::vector<CrashLedger> makeNodes()
{
    std::vector<CrashLedger> nodes(4);
    for (uint64_t index = 0; index < 3; ++index) {
        nodes[index].onCrash(Crashing, IncarnationHash(index + 1), at(1));
    }
    return nodes;
}

RequestContent makeContent()
{
    return {"GET", "a.example", "/x?y=1", "one", 7U, "body"};
}

} // namespace

// Guards against two attempts of one request that are not recognised as the same, and against two
// requests that are taken for one.
Test(crash_ledger, a_request_is_the_same_if_all_of_its_content_is)
{
    const RequestFingerprint one = fingerprintOf(makeContent());
    cr_assert(fingerprintOf(makeContent()) == one);
    SECTION("not with another method, host, path, query, caller, key or body")
    {
        std::vector<RequestContent> others(7, makeContent());
        others[0].method = "POST";
        others[1].host = "b.example";
        others[2].target = "/z?y=1";
        others[3].target = "/x?y=2";
        others[4].callerService = "two";
        others[5].key = 8U;
        others[6].body = "other";
        for (const RequestContent &other : others) {
            cr_assert(fingerprintOf(other) != one);
        }
    }
    SECTION("nor with text that has moved from one part to the next")
    {
        RequestContent moved = makeContent();
        moved.host = "a.example/x";
        moved.target = "?y=1";
        cr_assert(fingerprintOf(moved) != one);
    }
}

Test(crash_ledger, three_incarnations_that_end_under_a_request_get_it_refused)
{
    SECTION("not two")
    {
        CrashLedger ledger;
        crash(ledger, Crashing, 2);
        cr_assert(!ledger.isRefused(Crashing, at(3)));
    }
    SECTION("not one that is reported three times")
    {
        CrashLedger ledger;
        for (int64_t second = 1; second <= 3; ++second) {
            ledger.onCrash(Crashing, IncarnationHash(1), at(second));
        }
        cr_assert(!ledger.isRefused(Crashing, at(3)));
    }
    SECTION("three, until the reports have expired")
    {
        CrashLedger ledger;
        crash(ledger, Crashing, 3);
        cr_assert(ledger.isRefused(Crashing, at(3)));
        cr_assert(ledger.refusedFor(Crashing, at(3)) == CrashLimits().lifetime);
        cr_assert(ledger.isRefused(Crashing, at(3600)));
        cr_assert(!ledger.isRefused(Crashing, at(3604)));
        cr_assert(ledger.published(at(3604)).empty());
    }
}

// Guards against the refusal of popular requests that were running when several servers crashed.
Test(crash_ledger, an_answer_refutes_the_reports)
{
    SECTION("a request that was answered shortly before is no suspect")
    {
        CrashLedger ledger;
        ledger.onAnswered(Popular, at(0));
        crash(ledger, Popular, 3);
        cr_assert(ledger.empty());
    }
    SECTION("nor by the reports of others")
    {
        CrashLedger ledger;
        ledger.onAnswered(Popular, at(0));
        CrashLedger other;
        crash(other, Popular, 3);
        cr_assert(ledger.onReports(other.published(at(4)), at(4)));
        cr_assert(!ledger.isRefused(Popular, at(4)));
    }
    SECTION("an answer after a crash refutes it, and all nodes get to know")
    {
        CrashLedger ledger;
        crash(ledger, Popular, 3);
        CrashLedger other;
        (void)other.onReports(ledger.published(at(4)), at(4));
        cr_assert(other.isRefused(Popular, at(4)));
        cr_assert(other.onAnswered(Popular, at(5)));
        cr_assert(ledger.onReports(other.published(at(5)), at(5)));
        cr_assert(!ledger.isRefused(Popular, at(6)));
        (void)other.onReports({{Popular, IncarnationHash(1), false}}, at(7));
        cr_assert(!other.isRefused(Popular, at(7)));
    }
    SECTION("an answer of long ago does not")
    {
        CrashLedger ledger;
        ledger.onAnswered(Popular, at(-31));
        crash(ledger, Popular, 3);
        cr_assert(ledger.isRefused(Popular, at(4)));
    }
    SECTION("nor one of long ago that another answer follows")
    {
        CrashLedger ledger;
        ledger.onAnswered(Popular, at(-600));
        ledger.onAnswered(Crashing, at(0));
        crash(ledger, Popular, 3);
        cr_assert(ledger.isRefused(Popular, at(4)));
    }
    SECTION("many refuted reports do not hide later crashes")
    {
        CrashLedger ledger;
        for (uint64_t backend = 1; backend <= 20; ++backend) {
            ledger.onCrash(Popular, IncarnationHash(backend),
                           at(static_cast<int64_t>(backend) * 60));
            (void)ledger.onAnswered(Popular, at(static_cast<int64_t>(backend) * 60 + 10));
        }
        for (uint64_t backend = 31; backend <= 33; ++backend) {
            ledger.onCrash(Popular, IncarnationHash(backend), at(2000));
        }
        cr_assert(ledger.isRefused(Popular, at(2000)));
    }
    SECTION("later crashes count anew")
    {
        CrashLedger ledger;
        crash(ledger, Crashing, 3);
        (void)ledger.onAnswered(Crashing, at(4));
        for (uint64_t backend = 11; backend <= 13; ++backend) {
            ledger.onCrash(Crashing, IncarnationHash(backend), at(60));
        }
        cr_assert(ledger.isRefused(Crashing, at(60)));
    }
}

Test(crash_ledger, reports_of_several_nodes_add_up)
{
    SECTION("in any order, and more than once")
    {
        std::vector<CrashLedger> nodes = makeNodes();
        for (const size_t index : {2, 0, 1, 1, 2}) {
            (void)nodes[3].onReports(nodes[index].published(at(2)), at(2));
        }
        cr_assert_eq(nodes[3].crashesOf(Crashing), 3U);
        cr_assert(nodes[3].isRefused(Crashing, at(2)));
        cr_assert(nodes[3].published(at(2)).empty(), "only those that saw a crash tell of it");
    }
    SECTION("and the record of the last one is enough")
    {
        std::vector<CrashLedger> nodes = makeNodes();
        (void)nodes[2].onReports(nodes[0].published(at(2)), at(2));
        cr_assert(nodes[2].onReports(nodes[1].published(at(2)), at(2)));
        (void)nodes[3].onReports(nodes[2].published(at(3)), at(3));
        cr_assert(nodes[3].isRefused(Crashing, at(3)));
    }
    SECTION("and outlive the process that reported them")
    {
        std::vector<CrashLedger> nodes = makeNodes();
        CrashLedger restarted;
        restarted.onOwnReports(nodes[0].published(at(2)), at(5));
        cr_assert(restarted.published(at(5)) == nodes[0].published(at(2)));
    }
}

// Guards against memory that grows without bound, and against a caller that has its crashing
// request forgotten by sending others.
Test(crash_ledger, many_suspects_do_not_push_out_a_request_that_crashes_again)
{
    CrashLimits limits;
    limits.maxRequests = 10;
    limits.maxPublished = 5;
    CrashLedger ledger(limits);
    crash(ledger, Crashing, 3);
    for (uint64_t other = 100; other < 200; ++other) {
        ledger.onCrash(RequestFingerprint(other), IncarnationHash(50), at(10));
    }
    cr_assert(ledger.isRefused(Crashing, at(10)));
    const std::vector<CrashReport> published = ledger.published(at(10));
    cr_assert_eq(published.size(), 4U + 3U);
    cr_assert(published.front().request == Crashing);
}
