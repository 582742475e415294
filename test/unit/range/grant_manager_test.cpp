/** @file grant_manager_test.cpp Grants, renewals and releases by one node when answers are lost or
 * late. */

#include "support/range_fixture.h"
#include "support/test_section.h"

#include <set>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** Duration of a grant on a clock that runs 2% slow, including 100 ms for its transmission. */
constexpr milliseconds GrantDuration
        = GrantTimes{}.hold + GrantTimes{}.hold / 50 + milliseconds(100);

/** Sends the grants that are due and ends each of them with @p result. */
void grantAll(GrantManager &manager, ControlResult result, TimePoint now)
{
    for (const GrantRequest &request : manager.takeDueGrants(Forever, now)) {
        manager.onGrantEnd(request, result);
    }
}

void releaseAll(GrantManager &manager, ControlResult result, TimePoint now)
{
    for (const ReleaseRequest &request : manager.takeDueReleases(now)) {
        manager.onReleaseEnd(request, result, "token", now);
    }
}

} // namespace

Test(grant_manager, admits_only_confirmed_keys)
{
    GrantManager manager = makeManager();
    SECTION("nothing before the first grant is answered")
    {
        cr_assert(!manager.admits(ShardKey(5), Forever, Start));
    }
    SECTION("its own keys afterwards, but not those of others")
    {
        grantAll(manager, ControlResult::Accepted, Start);
        cr_assert(manager.admits(ShardKey(5), Forever, Start));
        cr_assert(!manager.admits(ShardKey(60000), Forever, Start));
    }
    SECTION("until the grant or the lease expires, whichever is first")
    {
        const TimePoint expired = Start + GrantTimes{}.hold;
        cr_assert(!manager.admits(ShardKey(5), Forever, expired));
        cr_assert(!manager.admits(ShardKey(5), Start, Start));
    }
    SECTION("no grant outlasts the lease")
    {
        const TimePoint leaseEnd = Start + milliseconds(2500);
        const auto requests = manager.takeDueGrants(leaseEnd, Start + milliseconds(1000));
        cr_assert(requests.size() == 1 && requests[0].hold == milliseconds(1500));
    }
}

// Guards against two backend servers holding a key. The node of the old holder sent a grant, got
// no answer, released the range, and the range moved to another holder; the grant was applied two
// seconds later. Its hold time counts from its arrival, so the range may move only after the
// latest unanswered grant has expired.
Test(grant_manager, unanswered_grant_delays_the_move_after_a_release)
{
    GrantManager manager = makeManager();
    grantAll(manager, ControlResult::Accepted, Start);
    const TimePoint renewed = Start + milliseconds(1000);
    grantAll(manager, ControlResult::Unanswered, renewed);
    manager.beginRelease(KeySpan{});
    const TimePoint released = renewed + milliseconds(300);
    releaseAll(manager, ControlResult::Accepted, released);
    SECTION("the confirmed release alone is not sufficient")
    {
        cr_assert(manager.releasedRanges(released).empty());
        cr_assert(manager.releasedRanges(renewed + GrantTimes{}.hold - milliseconds(100)).empty());
    }
    SECTION("the expiry of the grant, including clock drift, is sufficient")
    {
        const TimePoint expired = renewed + GrantDuration;
        const auto ranges = manager.releasedRanges(expired);
        cr_assert(ranges.size() == 1 && ranges[0].handover == "token");
    }
    SECTION("a grant that is still in flight counts as unanswered")
    {
        GrantManager waiting = makeManager();
        (void)waiting.takeDueGrants(Forever, Start);
        waiting.beginRelease(KeySpan{});
        releaseAll(waiting, ControlResult::Accepted, Start);
        cr_assert(waiting.releasedRanges(Start + milliseconds(100)).empty());
    }
}

// Guards against two backend servers holding a key, as happened for two seconds. A renewal and
// a release of the same keys were in flight together on two connections. The release was applied
// first, the renewal took the keys again, and both were answered. The release must wait for the
// answer to the renewal.
Test(grant_manager, release_waits_for_the_answer_to_a_renewal)
{
    GrantManager manager = makeManager();
    const auto requests = manager.takeDueGrants(Forever, Start);
    manager.beginRelease({ShardKey(100), ShardKey(200)});
    cr_assert(manager.takeDueReleases(Start).empty());
    manager.onGrantEnd(requests.front(), ControlResult::Accepted);
    cr_assert(manager.takeDueReleases(Start).size() == 1);
}

// A node that has just started adopts what its earlier incarnation granted, and moves it at once.
// The last grant of the earlier incarnation may still be in flight, unknown to the new one.
Test(grant_manager, grants_of_an_earlier_incarnation_delay_the_move)
{
    const TimePoint earlier = Start + milliseconds(4180);
    GrantManager manager(GrantTimes{}, earlier);
    manager.onTable(makeTable(), Self, Start);
    grantAll(manager, ControlResult::Accepted, Start);
    manager.beginRelease(KeySpan{});
    releaseAll(manager, ControlResult::Accepted, Start);
    cr_assert(manager.releasedRanges(Start + milliseconds(500)).empty());
    cr_assert(manager.releasedRanges(earlier).size() == 1);
}

Test(grant_manager, releases_part_of_a_range)
{
    GrantManager manager = makeManager();
    grantAll(manager, ControlResult::Accepted, Start);
    manager.beginRelease({ShardKey(100), ShardKey(200)});
    SECTION("the part is no longer admitted, the rest is")
    {
        cr_assert(!manager.admits(ShardKey(150), Forever, Start));
        cr_assert(manager.isLeaving(ShardKey(150)));
        cr_assert(manager.admits(ShardKey(99), Forever, Start));
        cr_assert(manager.admits(ShardKey(201), Forever, Start));
    }
    SECTION("another update of the table does not bring it back")
    {
        manager.onTable(makeTable(), Self, Start);
        cr_assert(!manager.admits(ShardKey(150), Forever, Start));
        cr_assert(manager.admits(ShardKey(99), Forever, Start));
    }
    SECTION("a confirmed release allows the move, with its token, even after renewals")
    {
        grantAll(manager, ControlResult::Accepted, Start + milliseconds(700));
        releaseAll(manager, ControlResult::Accepted, Start);
        const auto released = manager.releasedRanges(Start);
        cr_assert(released.size() == 1 && released[0].span.size() == 101);
        cr_assert(released[0].handover == "token");
    }
    SECTION("nothing is left to do once the table names another holder")
    {
        const KeySpan part{ShardKey(100), ShardKey(200)};
        manager.onTable(assignRange(makeTable(), part, Other, "token"), Self, Start);
        cr_assert(manager.takeDueReleases(Start).empty());
        cr_assert(manager.admits(ShardKey(99), Forever, Start));
    }
}

// Guards against two backend servers holding the same keys. The release gets no answer. It is sent
// again, and the range does not move until the last grant has expired on the slowest possible
// clock.
Test(grant_manager, lost_release_delays_the_move_until_expiry)
{
    GrantManager manager = makeManager();
    grantAll(manager, ControlResult::Accepted, Start);
    manager.beginRelease(KeySpan{});
    releaseAll(manager, ControlResult::Unanswered, Start);
    cr_assert(manager.releasedRanges(Start + GrantTimes{}.hold).empty());
    cr_assert(manager.takeDueReleases(Start + milliseconds(100)).size() == 1);
    const auto afterExpiry = manager.releasedRanges(Start + GrantDuration);
    cr_assert(afterExpiry.size() == 1 && afterExpiry[0].handover.empty());
}

Test(grant_manager, refused_fence_is_not_sent_again)
{
    GrantManager manager = makeManager();
    grantAll(manager, ControlResult::StaleFence, Start);
    cr_assert(manager.takeDueGrants(Forever, Start + milliseconds(5000)).empty());
    cr_assert(manager.refusedRanges().size() == 1);
    SECTION("a higher fence is sent")
    {
        const HeldKeys own = manager.refusedRanges().front();
        manager.onTable(reassignRange(makeTable(), own.span, own.fence, Self, {}), Self, Start);
        cr_assert(manager.takeDueGrants(Forever, Start).size() == 1);
    }
}

// Guards against two backend servers holding the same keys. A node loses its lease, adopts its
// ranges under a new incarnation and begins to move them while its backend server holds them by
// earlier grants. Treated as new ranges without any grant, they moved at once.
Test(grant_manager, grants_from_before_the_loss_of_the_lease_delay_the_move)
{
    GrantManager manager = makeManager();
    grantAll(manager, ControlResult::Accepted, Start);
    const RangeHolder renewed{Self.node, Incarnation(2), Self.backend};
    const TimePoint lost = Start + milliseconds(100);
    manager.onTable(makeTable(), renewed, lost);
    cr_assert_eq(manager.size(), 0U);
    manager.onTable(adoptRanges(makeTable(), renewed), renewed, lost);
    manager.beginRelease({ShardKey(0), ShardKey(100)});
    cr_assert(manager.releasedRanges(lost).empty());
    SECTION("until the last of them has expired on the slowest possible clock")
    {
        const TimePoint expiry = GrantManager::expiryOf(GrantTimes{}, GrantTimes{}.hold, Start);
        cr_assert(manager.releasedRanges(expiry - milliseconds(1)).empty());
        cr_assert_eq(manager.releasedRanges(expiry).size(), 1U);
    }
    SECTION("also if the next table lists them under another fence")
    {
        GrantManager refenced = makeManager();
        grantAll(refenced, ControlResult::Accepted, Start);
        const RangeTable table = assignRange(makeTable(), {ShardKey(0), ShardKey(32767)}, Self, {});
        refenced.onTable(table, Self, lost);
        refenced.beginRelease({ShardKey(0), ShardKey(100)});
        cr_assert(refenced.releasedRanges(lost).empty());
    }
    SECTION("also if they were granted in the reply to a heartbeat")
    {
        GrantManager other = makeManager();
        (void)other.takeGrantReply(Start, Forever, Start);
        other.onTable(makeTable(), std::nullopt, lost);
        other.onTable(makeTable(), Self, lost);
        other.beginRelease({ShardKey(0), ShardKey(100)});
        cr_assert(other.releasedRanges(lost).empty());
    }
}

// Guards against requests being refused by a backend server that has free slots. Its node grants
// many ranges at the same time, and the connections of these grants leave none for requests.
Test(grant_manager, number_of_grants_in_flight_is_limited)
{
    constexpr size_t Ranges = 30;
    RangeTable table;
    for (uint32_t index = 0; index < Ranges; ++index) {
        table = assignRange(std::move(table), {ShardKey(index * 100)}, Self, {});
    }
    const GrantTimes times;
    const auto makeListing = [&]() {
        GrantManager manager(times, NeverTime);
        manager.onTable(table, Self, Start);
        return manager;
    };
    SECTION("each answer allows the next grant")
    {
        GrantManager manager = makeListing();
        const std::vector<GrantRequest> first = manager.takeDueGrants(Forever, Start);
        cr_assert_eq(first.size(), times.maxGrantsInFlight);
        cr_assert(manager.takeDueGrants(Forever, Start).empty());
        manager.onGrantEnd(first.front(), ControlResult::Accepted);
        const std::vector<GrantRequest> next = manager.takeDueGrants(Forever, Start);
        cr_assert_eq(next.size(), 1U);
        cr_assert(next.front().span.first > first.back().span.first);
    }
    SECTION("unanswered grants do not block the others")
    {
        GrantManager manager = makeListing();
        std::set<KeySpan> granted;
        for (int turn = 0; turn < 4; ++turn) {
            const TimePoint now = Start + turn * milliseconds(400);
            for (const GrantRequest &request : manager.takeDueGrants(Forever, now)) {
                granted.insert(request.span);
                manager.onGrantEnd(request, ControlResult::Unanswered);
            }
        }
        cr_assert_eq(granted.size(), Ranges);
    }
    SECTION("a refused connection delays the retry, which would be refused again at once")
    {
        GrantManager manager = makeListing();
        const std::vector<GrantRequest> open = manager.takeDueGrants(Forever, Start);
        const GrantRequest &first = open.front();
        for (const GrantRequest &request : open) {
            const bool refused = request.span == first.span;
            manager.onGrantEnd(request, refused ? ControlResult::NotSent : ControlResult::Accepted);
        }
        const auto takesAgain = [&](TimePoint now) {
            const std::vector<GrantRequest> requests = manager.takeDueGrants(Forever, now);
            for (const GrantRequest &request : requests) {
                manager.onGrantEnd(request, ControlResult::Accepted);
            }
            return std::any_of(requests.begin(), requests.end(), [&](const GrantRequest &request) {
                return request.span == first.span;
            });
        };
        cr_assert(!takesAgain(Start + milliseconds(50)));
        bool again = false;
        for (int turn = 0; turn < 5; ++turn) {
            again |= takesAgain(Start + milliseconds(100));
        }
        cr_assert(again);
    }
}

// Guards against a backend server that still holds keys granted to another one. A release waits
// for running requests; meanwhile the lease is lost and regained, and the same range is listed
// again under its fence. The answer to the old release arrives later and does not cover grants
// sent since then.
Test(grant_manager, answer_to_a_release_from_before_a_new_listing_is_ignored)
{
    GrantManager manager = makeManager();
    grantAll(manager, ControlResult::Accepted, Start);
    const KeySpan own{ShardKey(0), ShardKey(32767)};
    manager.beginRelease(own);
    const std::vector<ReleaseRequest> old = manager.takeDueReleases(Start);
    cr_assert_eq(old.size(), 1U);
    const RangeHolder renewed{Self.node, Incarnation(2), Self.backend};
    manager.onTable(makeTable(), renewed, Start);
    manager.onTable(adoptRanges(makeTable(), renewed), renewed, Start);
    const TimePoint later = Start + milliseconds(100);
    SECTION("the release continues, and the range is not granted again")
    {
        cr_assert(manager.takeDueGrants(Forever, later).empty());
    }
    SECTION("the old answer releases nothing, neither before the next release nor after it")
    {
        manager.onReleaseEnd(old.front(), ControlResult::Accepted, "token", later);
        cr_assert(manager.releasedRanges(later).empty());
        const std::vector<ReleaseRequest> next = manager.takeDueReleases(later);
        cr_assert_eq(next.size(), 1U);
        manager.onReleaseEnd(old.front(), ControlResult::Accepted, "token", later);
        cr_assert(manager.releasedRanges(later).empty());
        manager.onReleaseEnd(next.front(), ControlResult::Accepted, "token", later);
        cr_assert_eq(manager.releasedRanges(later).size(), 1U);
    }
}

// Guards against two backend servers holding the same keys. An unanswered grant is in flight, the
// keys are released, and the lease is lost before they move. Adopted under the next incarnation,
// the keys moved at once because no grant seemed to be in flight, and the late grant took them
// again.
Test(grant_manager, unanswered_grant_outlasts_a_release_that_is_no_longer_listed)
{
    GrantManager manager = makeManager();
    grantAll(manager, ControlResult::Accepted, Start);
    const TimePoint renewed = Start + milliseconds(1000);
    grantAll(manager, ControlResult::Unanswered, renewed);
    manager.beginRelease(KeySpan{});
    const TimePoint released = renewed + milliseconds(300);
    releaseAll(manager, ControlResult::Accepted, released);
    const RangeHolder next{Self.node, Incarnation(2), Self.backend};
    manager.onTable(makeTable(), next, released);
    const TimePoint expiry = GrantManager::expiryOf(GrantTimes{}, GrantTimes{}.hold, renewed);
    SECTION("the latest expiry of all grants is not before its own")
    {
        cr_assert(manager.lastExpiry() >= expiry);
    }
    SECTION("its keys do not move before its expiry")
    {
        manager.onTable(adoptRanges(makeTable(), next), next, released);
        manager.beginRelease(KeySpan{});
        releaseAll(manager, ControlResult::Accepted, released);
        cr_assert(manager.releasedRanges(expiry - milliseconds(1)).empty());
        cr_assert_eq(manager.releasedRanges(expiry).size(), 1U);
    }
}

// Guards against two backend servers holding the same keys. A part of a range is listed under
// another fence, as happens if a range spans two records and one of them is written first. Because
// the rest was still listed, the grant of the part was not remembered, and the part moved at once
// while the old grant was still valid.
Test(grant_manager, part_that_is_no_longer_listed_waits_for_expiry)
{
    GrantManager manager = makeManager();
    grantAll(manager, ControlResult::Accepted, Start);
    const KeySpan part{ShardKey(100), ShardKey(200)};
    manager.onTable(assignRange(makeTable(), part, Self, {}), Self, Start);
    manager.beginRelease(part);
    const TimePoint expiry = GrantManager::expiryOf(GrantTimes{}, GrantTimes{}.hold, Start);
    cr_assert(manager.releasedRanges(expiry - milliseconds(1)).empty());
    cr_assert_eq(manager.releasedRanges(expiry).size(), 1U);
}

// Guards against two backend servers holding the same keys. A released range is assigned to
// another holder, and before that write is applied, its own backend server is considered gone for
// a moment. When it was back, the known table still named it, so it was granted the range again;
// then the write was applied. A range that is being released under a fence must stay so under that
// fence.
Test(grant_manager, release_continues_after_its_holder_was_unknown)
{
    GrantManager manager = makeManager();
    grantAll(manager, ControlResult::Accepted, Start);
    const KeySpan part{ShardKey(0), ShardKey(100)};
    manager.beginRelease(part);
    releaseAll(manager, ControlResult::Accepted, Start);
    manager.onTable(makeTable(), std::nullopt, Start);
    cr_assert_eq(manager.size(), 0U);
    const TimePoint back = Start + milliseconds(10);
    manager.onTable(makeTable(), Self, back);
    SECTION("it is not granted, and may move with its token as before")
    {
        const auto requests = manager.takeDueGrants(Forever, back);
        cr_assert(requests.size() == 1 && !requests.front().span.overlaps(part));
        cr_assert(manager.isLeaving(ShardKey(5)));
        const auto released = manager.releasedRanges(back);
        cr_assert(released.size() == 1 && released.front().span == part);
        cr_assert(released.front().handover == "token");
    }
    SECTION("it is not granted in the reply to a heartbeat either")
    {
        const std::optional<GrantReply> reply = manager.takeGrantReply(back, Forever, back);
        cr_assert(reply && reply->rows.size() == 1 && !reply->rows.front().span.overlaps(part));
    }
    SECTION("under a later fence it is a new range")
    {
        manager.onTable(assignRange(makeTable(), part, Self, {}), Self, back);
        cr_assert(!manager.isLeaving(ShardKey(5)));
        cr_assert(manager.releasedRanges(back).empty());
    }
}
