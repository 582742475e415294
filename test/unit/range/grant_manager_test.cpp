/** @file grant_manager_test.cpp Grants, renewals and releases of one node, under lost and late
 * answers. */

#include "support/range_fixture.h"
#include "support/test_section.h"

#include <set>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** What a grant lasts at a backend server whose clock runs 2% slow, 100 ms on the way included. */
constexpr milliseconds Lapse = GrantTimes{}.hold + GrantTimes{}.hold / 50 + milliseconds(100);

/** Sends what is due and answers it with @p result. */
void grantAll(GrantManager &keeper, ControlResult result, TimePoint now)
{
    for (const GrantRequest &order : keeper.takeDueGrants(Forever, now)) {
        keeper.onGrantEnd(order, result);
    }
}

void releaseAll(GrantManager &keeper, ControlResult result, TimePoint now)
{
    for (const ReleaseRequest &order : keeper.takeDueReleases(now)) {
        keeper.onReleaseEnd(order, result, "token", now);
    }
}

} // namespace

Test(range_keeper, admits_only_what_was_confirmed)
{
    GrantManager keeper = makeKeeper();
    SECTION("nothing before the first grant is answered")
    {
        cr_assert(!keeper.admits(ShardKey(5), Forever, Start));
    }
    SECTION("own keys afterwards, and nobody else's")
    {
        grantAll(keeper, ControlResult::Accepted, Start);
        cr_assert(keeper.admits(ShardKey(5), Forever, Start));
        cr_assert(!keeper.admits(ShardKey(60000), Forever, Start));
    }
    SECTION("until the grant or the lease is over, whichever is first")
    {
        const TimePoint lapsed = Start + GrantTimes{}.hold;
        cr_assert(!keeper.admits(ShardKey(5), Forever, lapsed));
        cr_assert(!keeper.admits(ShardKey(5), Start, Start));
    }
    SECTION("and no grant outlasts the lease")
    {
        const TimePoint leaseEnd = Start + milliseconds(2500);
        const auto orders = keeper.takeDueGrants(leaseEnd, Start + milliseconds(1000));
        cr_assert(orders.size() == 1 && orders[0].hold == milliseconds(1500));
    }
}

// A caller's request runs at the new holder while the old one takes a grant up again: the old
// holder's node sent a grant, got no answer, released the range and gave it away; the grant was
// applied two seconds after all that. Its time counts from its arrival, so the range may go on
// only after the latest grant without an answer has run out.
Test(range_keeper, an_unanswered_grant_is_outwaited_after_the_release)
{
    GrantManager keeper = makeKeeper();
    grantAll(keeper, ControlResult::Accepted, Start);
    const TimePoint renewed = Start + milliseconds(1000);
    grantAll(keeper, ControlResult::Unanswered, renewed);
    keeper.beginRelease(KeySpan{});
    const TimePoint released = renewed + milliseconds(300);
    releaseAll(keeper, ControlResult::Accepted, released);
    SECTION("the confirmed release alone is no proof")
    {
        cr_assert(keeper.releasedRanges(released).empty());
        cr_assert(keeper.releasedRanges(renewed + GrantTimes{}.hold - milliseconds(100)).empty());
    }
    SECTION("the lapse of the grant, clock drift included, is")
    {
        const TimePoint lapsed = renewed + Lapse;
        const auto ranges = keeper.releasedRanges(lapsed);
        cr_assert(ranges.size() == 1 && ranges[0].handover == "token");
    }
    SECTION("a grant whose answer is still on its way counts as unanswered")
    {
        GrantManager waiting = makeKeeper();
        (void)waiting.takeDueGrants(Forever, Start);
        waiting.beginRelease(KeySpan{});
        releaseAll(waiting, ControlResult::Accepted, Start);
        cr_assert(waiting.releasedRanges(Start + milliseconds(100)).empty());
    }
}

// Two backend servers hold a key for two seconds: a renewal and the release of the same keys were
// on their way together, on two connections. The release was carried out first, the renewal took
// the keys up again, and both were answered. The release may only follow the renewal's answer.
Test(range_keeper, a_release_waits_for_the_answer_of_a_renewal)
{
    GrantManager keeper = makeKeeper();
    const auto orders = keeper.takeDueGrants(Forever, Start);
    keeper.beginRelease({ShardKey(100), ShardKey(200)});
    cr_assert(keeper.takeDueReleases(Start).empty());
    keeper.onGrantEnd(orders.front(), ControlResult::Accepted);
    cr_assert(keeper.takeDueReleases(Start).size() == 1);
}

// A node that has just started adopts what its earlier life granted, and gives it away at once. The
// earlier life's last grant may still be on its way, unknown to this one.
Test(range_keeper, grants_of_an_earlier_life_are_outwaited)
{
    const TimePoint earlier = Start + milliseconds(4180);
    GrantManager keeper(GrantTimes{}, earlier);
    keeper.onTable(makeTable(), Self, Start);
    grantAll(keeper, ControlResult::Accepted, Start);
    keeper.beginRelease(KeySpan{});
    releaseAll(keeper, ControlResult::Accepted, Start);
    cr_assert(keeper.releasedRanges(Start + milliseconds(500)).empty());
    cr_assert(keeper.releasedRanges(earlier).size() == 1);
}

Test(range_keeper, release_of_a_part)
{
    GrantManager keeper = makeKeeper();
    grantAll(keeper, ControlResult::Accepted, Start);
    keeper.beginRelease({ShardKey(100), ShardKey(200)});
    SECTION("the part is admitted no more, the rest is")
    {
        cr_assert(!keeper.admits(ShardKey(150), Forever, Start));
        cr_assert(keeper.isLeaving(ShardKey(150)));
        cr_assert(keeper.admits(ShardKey(99), Forever, Start));
        cr_assert(keeper.admits(ShardKey(201), Forever, Start));
    }
    SECTION("another change of the table does not bring it back")
    {
        keeper.onTable(makeTable(), Self, Start);
        cr_assert(!keeper.admits(ShardKey(150), Forever, Start));
        cr_assert(keeper.admits(ShardKey(99), Forever, Start));
    }
    SECTION("a confirmed release may be given on, with its token, also after renewals")
    {
        grantAll(keeper, ControlResult::Accepted, Start + milliseconds(700));
        releaseAll(keeper, ControlResult::Accepted, Start);
        const auto released = keeper.releasedRanges(Start);
        cr_assert(released.size() == 1 && released[0].span.size() == 101);
        cr_assert(released[0].handover == "token");
    }
    SECTION("once the table names another holder, nothing is left to do")
    {
        const KeySpan part{ShardKey(100), ShardKey(200)};
        keeper.onTable(giveRange(makeTable(), part, Other, "token"), Self, Start);
        cr_assert(keeper.takeDueReleases(Start).empty());
        cr_assert(keeper.admits(ShardKey(99), Forever, Start));
    }
}

// The release gets no answer: it is sent again, and the range stays where it is until the last
// grant has run out on the slowest clock. Given on earlier, two backend servers hold its keys.
Test(range_keeper, a_lost_release_is_outwaited)
{
    GrantManager keeper = makeKeeper();
    grantAll(keeper, ControlResult::Accepted, Start);
    keeper.beginRelease(KeySpan{});
    releaseAll(keeper, ControlResult::Unanswered, Start);
    cr_assert(keeper.releasedRanges(Start + GrantTimes{}.hold).empty());
    cr_assert(keeper.takeDueReleases(Start + milliseconds(100)).size() == 1);
    const auto outwaited = keeper.releasedRanges(Start + Lapse);
    cr_assert(outwaited.size() == 1 && outwaited[0].handover.empty());
}

Test(range_keeper, a_refused_fence_is_not_sent_again)
{
    GrantManager keeper = makeKeeper();
    grantAll(keeper, ControlResult::StaleFence, Start);
    cr_assert(keeper.takeDueGrants(Forever, Start + milliseconds(5000)).empty());
    cr_assert(keeper.refusedSpans().size() == 1);
    SECTION("a higher one is")
    {
        const KeySpan own = keeper.refusedSpans().front();
        keeper.onTable(giveRange(makeTable(), own, Self, {}), Self, Start);
        cr_assert(keeper.takeDueGrants(Forever, Start).size() == 1);
    }
}

// Two backend servers hold the same keys: a node loses its lease, adopts its ranges under a new
// life and begins to move them, while its backend server holds them by the grants of before. To the
// keeper they are new ranges that were never granted, and it gave them on at once.
Test(range_keeper, grants_of_before_the_lease_was_lost_are_outwaited)
{
    GrantManager keeper = makeKeeper();
    grantAll(keeper, ControlResult::Accepted, Start);
    const RangeHolder renewed{Self.node, Incarnation(2), Self.backend};
    const TimePoint lost = Start + milliseconds(100);
    keeper.onTable(makeTable(), renewed, lost);
    cr_assert_eq(keeper.size(), 0U);
    keeper.onTable(adoptRanges(makeTable(), renewed), renewed, lost);
    keeper.beginRelease({ShardKey(0), ShardKey(100)});
    cr_assert(keeper.releasedRanges(lost).empty());
    SECTION("until the last of them has run out on the slowest clock")
    {
        const TimePoint lapse = GrantManager::lapseOf(GrantTimes{}, GrantTimes{}.hold, Start);
        cr_assert(keeper.releasedRanges(lapse - milliseconds(1)).empty());
        cr_assert_eq(keeper.releasedRanges(lapse).size(), 1U);
    }
    SECTION("also if the table lists them under another fence from one look to the next")
    {
        GrantManager refenced = makeKeeper();
        grantAll(refenced, ControlResult::Accepted, Start);
        const RangeTable table = giveRange(makeTable(), {ShardKey(0), ShardKey(32767)}, Self, {});
        refenced.onTable(table, Self, lost);
        refenced.beginRelease({ShardKey(0), ShardKey(100)});
        cr_assert(refenced.releasedRanges(lost).empty());
    }
    SECTION("also where they were granted in an answer to a heartbeat")
    {
        GrantManager other = makeKeeper();
        (void)other.takeHolds(Start, Forever, Start);
        other.onTable(makeTable(), std::nullopt, lost);
        other.onTable(makeTable(), Self, lost);
        other.beginRelease({ShardKey(0), ShardKey(100)});
        cr_assert(other.releasedRanges(lost).empty());
    }
}

// Callers are refused by a backend server that has room: its node grants its many ranges all at the
// same time, and the connections of these grants leave none for the requests.
Test(range_keeper, many_ranges_are_granted_a_few_at_a_time)
{
    constexpr size_t Ranges = 30;
    RangeTable table;
    for (uint32_t index = 0; index < Ranges; ++index) {
        table = giveRange(std::move(table), {ShardKey(index * 100)}, Self, {});
    }
    const GrantTimes times;
    const auto makeListing = [&]() {
        GrantManager keeper(times, NeverTime);
        keeper.onTable(table, Self, Start);
        return keeper;
    };
    SECTION("each answer makes room for the next")
    {
        GrantManager keeper = makeListing();
        const std::vector<GrantRequest> first = keeper.takeDueGrants(Forever, Start);
        cr_assert_eq(first.size(), times.openGrants);
        cr_assert(keeper.takeDueGrants(Forever, Start).empty());
        keeper.onGrantEnd(first.front(), ControlResult::Accepted);
        const std::vector<GrantRequest> next = keeper.takeDueGrants(Forever, Start);
        cr_assert_eq(next.size(), 1U);
        cr_assert(next.front().span.first > first.back().span.first);
    }
    SECTION("grants that stay without an answer do not keep the others from their turn")
    {
        GrantManager keeper = makeListing();
        std::set<KeySpan> granted;
        for (int turn = 0; turn < 4; ++turn) {
            const TimePoint now = Start + turn * milliseconds(400);
            for (const GrantRequest &order : keeper.takeDueGrants(Forever, now)) {
                granted.insert(order.span);
                keeper.onGrantEnd(order, ControlResult::Unanswered);
            }
        }
        cr_assert_eq(granted.size(), Ranges);
    }
    SECTION("one whose connection was refused waits a moment: at once it would be refused as well")
    {
        GrantManager keeper = makeListing();
        const std::vector<GrantRequest> open = keeper.takeDueGrants(Forever, Start);
        const GrantRequest &first = open.front();
        for (const GrantRequest &order : open) {
            const bool refused = order.span == first.span;
            keeper.onGrantEnd(order, refused ? ControlResult::NotSent : ControlResult::Accepted);
        }
        const auto takesAgain = [&](TimePoint now) {
            const std::vector<GrantRequest> orders = keeper.takeDueGrants(Forever, now);
            for (const GrantRequest &order : orders) {
                keeper.onGrantEnd(order, ControlResult::Accepted);
            }
            return std::any_of(orders.begin(), orders.end(),
                               [&](const GrantRequest &order) { return order.span == first.span; });
        };
        cr_assert(!takesAgain(Start + milliseconds(50)));
        bool again = false;
        for (int turn = 0; turn < 5; ++turn) {
            again |= takesAgain(Start + milliseconds(100));
        }
        cr_assert(again);
    }
}

// A backend server still holds keys that another one is given. Its release waits for running work;
// meanwhile the lease is lost and regained, and the same range is listed anew under its fence. The
// answer to the old release then comes; it says nothing of what was sent since.
Test(range_keeper, the_answer_to_a_release_of_before_the_range_was_listed_anew_counts_no_more)
{
    GrantManager keeper = makeKeeper();
    grantAll(keeper, ControlResult::Accepted, Start);
    const KeySpan own{ShardKey(0), ShardKey(32767)};
    keeper.beginRelease(own);
    const std::vector<ReleaseRequest> old = keeper.takeDueReleases(Start);
    cr_assert_eq(old.size(), 1U);
    const RangeHolder renewed{Self.node, Incarnation(2), Self.backend};
    keeper.onTable(makeTable(), renewed, Start);
    keeper.onTable(adoptRanges(makeTable(), renewed), renewed, Start);
    const TimePoint later = Start + milliseconds(100);
    SECTION("the range goes on leaving: it is not granted anew")
    {
        cr_assert(keeper.takeDueGrants(Forever, later).empty());
    }
    SECTION("the old answer releases nothing, neither before its next release nor after")
    {
        keeper.onReleaseEnd(old.front(), ControlResult::Accepted, "token", later);
        cr_assert(keeper.releasedRanges(later).empty());
        const std::vector<ReleaseRequest> next = keeper.takeDueReleases(later);
        cr_assert_eq(next.size(), 1U);
        keeper.onReleaseEnd(old.front(), ControlResult::Accepted, "token", later);
        cr_assert(keeper.releasedRanges(later).empty());
        keeper.onReleaseEnd(next.front(), ControlResult::Accepted, "token", later);
        cr_assert_eq(keeper.releasedRanges(later).size(), 1U);
    }
}

// Two backend servers hold the same keys: a grant without an answer is on its way, the keys are
// released, and the lease is lost before they are given on. Adopted under the next life they looked
// as if nothing were on its way, went on at once, and the late grant took them up again.
Test(range_keeper, an_unanswered_grant_outlasts_a_release_that_is_not_listed_any_more)
{
    GrantManager keeper = makeKeeper();
    grantAll(keeper, ControlResult::Accepted, Start);
    const TimePoint renewed = Start + milliseconds(1000);
    grantAll(keeper, ControlResult::Unanswered, renewed);
    keeper.beginRelease(KeySpan{});
    const TimePoint released = renewed + milliseconds(300);
    releaseAll(keeper, ControlResult::Accepted, released);
    const RangeHolder next{Self.node, Incarnation(2), Self.backend};
    keeper.onTable(makeTable(), next, released);
    const TimePoint lapse = GrantManager::lapseOf(GrantTimes{}, GrantTimes{}.hold, renewed);
    SECTION("what was ever granted has not run out before it")
    {
        cr_assert(keeper.lastLapse() >= lapse);
    }
    SECTION("nor are its keys given on before it")
    {
        keeper.onTable(adoptRanges(makeTable(), next), next, released);
        keeper.beginRelease(KeySpan{});
        releaseAll(keeper, ControlResult::Accepted, released);
        cr_assert(keeper.releasedRanges(lapse - milliseconds(1)).empty());
        cr_assert_eq(keeper.releasedRanges(lapse).size(), 1U);
    }
}

// Two backend servers could hold the same keys: a part of a range is listed under another fence, as
// where a range reaches over two records and one of them is written first. The rest was still
// listed, so nothing was remembered of the part, and it went on at once while the old grant ran.
Test(range_keeper, a_part_that_is_not_listed_any_more_is_outwaited)
{
    GrantManager keeper = makeKeeper();
    grantAll(keeper, ControlResult::Accepted, Start);
    const KeySpan part{ShardKey(100), ShardKey(200)};
    keeper.onTable(giveRange(makeTable(), part, Self, {}), Self, Start);
    keeper.beginRelease(part);
    const TimePoint lapse = GrantManager::lapseOf(GrantTimes{}, GrantTimes{}.hold, Start);
    cr_assert(keeper.releasedRanges(lapse - milliseconds(1)).empty());
    cr_assert_eq(keeper.releasedRanges(lapse).size(), 1U);
}

// Two backend servers hold the same keys: a released range is written to another holder, and before
// that write is done its own backend server is taken for gone for a moment. Back again, the table
// as it is known still names it, so it was granted the range anew; then the write was done. What
// was leaving under a fence goes on leaving under it.
Test(range_keeper, a_range_goes_on_leaving_after_its_holder_was_unknown)
{
    GrantManager keeper = makeKeeper();
    grantAll(keeper, ControlResult::Accepted, Start);
    const KeySpan part{ShardKey(0), ShardKey(100)};
    keeper.beginRelease(part);
    releaseAll(keeper, ControlResult::Accepted, Start);
    keeper.onTable(makeTable(), std::nullopt, Start);
    cr_assert_eq(keeper.size(), 0U);
    const TimePoint back = Start + milliseconds(10);
    keeper.onTable(makeTable(), Self, back);
    SECTION("it is not granted, and may be given on with its token as before")
    {
        const auto orders = keeper.takeDueGrants(Forever, back);
        cr_assert(orders.size() == 1 && !orders.front().span.overlaps(part));
        cr_assert(keeper.isLeaving(ShardKey(5)));
        const auto released = keeper.releasedRanges(back);
        cr_assert(released.size() == 1 && released.front().span == part);
        cr_assert(released.front().handover == "token");
    }
    SECTION("nor in the answer to a heartbeat")
    {
        const std::optional<GrantReply> order = keeper.takeHolds(back, Forever, back);
        cr_assert(order && order->rows.size() == 1 && !order->rows.front().span.overlaps(part));
    }
    SECTION("under a later fence it is a new range")
    {
        keeper.onTable(giveRange(makeTable(), part, Self, {}), Self, back);
        cr_assert(!keeper.isLeaving(ShardKey(5)));
        cr_assert(keeper.releasedRanges(back).empty());
    }
}
