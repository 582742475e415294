/** @file record_feed_test.cpp A feed stays complete, whatever the order in which replies arrive. */

#include "duty/record_feed.h"

#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr TimePoint Now{milliseconds(1000)};

StoredRecord makeRecord(const std::string &name, uint64_t revision)
{
    return {name, StoreRevision(revision), std::to_string(revision)};
}

RecordListing makeListing(uint64_t at, std::vector<StoredRecord> records)
{
    return {std::move(records), StoreRevision(at)};
}

RecordChanges makeChanges(uint64_t at, std::vector<RecordChange> changes)
{
    RecordChanges made;
    made.changes = std::move(changes);
    made.at = StoreRevision(at);
    return made;
}

/** A feed with the record "main" of revision 100 and its change of revision 101. */
RecordFeed makeFeed()
{
    RecordFeed feed;
    feed.onList(makeListing(100, {makeRecord("main", 100)}), Now);
    (void)feed.onChanges(StoreRevision(100), makeChanges(101, {{makeRecord("main", 101), false}}),
                         Now);
    return feed;
}

/** @return Revision of the change that a follower at @p since is told of; 0: of none. */
uint64_t toldTo(const RecordFeed &feed, uint64_t since)
{
    const auto changes = feed.changesSince(StoreRevision(since));
    return !changes || changes->changes.empty() ? 0
                                                : changes->changes.back().record.revision.value();
}

} // namespace

// Guards against a change that no follower is ever told of: the reply of a list that was sent
// before the change arrives after the watch has delivered it.
Test(record_feed, a_late_listing_takes_nothing_back)
{
    SECTION("a changed record")
    {
        RecordFeed feed = makeFeed();
        feed.onList(makeListing(100, {makeRecord("main", 100)}), Now);
        cr_assert_eq(toldTo(feed, 100), 101U);
        cr_assert(feed.at() == StoreRevision(101));
    }
    SECTION("an added record")
    {
        RecordFeed feed = makeFeed();
        (void)feed.onChanges(StoreRevision(101),
                             makeChanges(102, {{makeRecord("new", 102), false}}), Now);
        feed.onList(makeListing(101, {makeRecord("main", 101)}), Now);
        cr_assert_eq(toldTo(feed, 101), 102U);
    }
    SECTION("a removed record stays removed")
    {
        RecordFeed feed = makeFeed();
        (void)feed.onChanges(StoreRevision(101),
                             makeChanges(102, {{makeRecord("main", 102), true}}), Now);
        feed.onList(makeListing(101, {makeRecord("main", 101)}), Now);
        const auto changes = feed.changesSince(StoreRevision(101));
        cr_assert(changes && changes->changes.size() == 1 && changes->changes[0].removed);
    }
    SECTION("but after a loss only the listing counts")
    {
        RecordFeed feed = makeFeed();
        feed.onLost();
        feed.onList(makeListing(103, {makeRecord("main", 103)}), Now);
        cr_assert_eq(toldTo(feed, 103), 0U);
        cr_assert(!feed.changesSince(StoreRevision(102)));
    }
}

// Guards against followers that are told "complete" by a feed in which changes are missing.
Test(record_feed, changes_that_do_not_join_make_the_feed_incomplete)
{
    SECTION("changes that begin after the end of the feed")
    {
        RecordFeed feed = makeFeed();
        cr_assert(!feed.onChanges(StoreRevision(105), makeChanges(106, {}), Now));
        cr_assert(!feed.changesSince(StoreRevision(101)));
        cr_assert(feed.confirmedAt() == NeverTime);
        feed.onList(makeListing(106, {makeRecord("main", 104)}), Now);
        cr_assert(feed.changesSince(StoreRevision(106)));
    }
    SECTION("changes that overlap are the usual case")
    {
        RecordFeed feed = makeFeed();
        (void)feed.onChanges(StoreRevision(100),
                             makeChanges(103, {{makeRecord("main", 101), false}}), Now);
        cr_assert_eq(toldTo(feed, 100), 101U);
        cr_assert(feed.at() == StoreRevision(103));
    }
    SECTION("an older state of a record doesn't replace a newer one")
    {
        RecordFeed feed = makeFeed();
        feed.onList(makeListing(104, {makeRecord("main", 104)}), Now);
        (void)feed.onChanges(StoreRevision(101),
                             makeChanges(103, {{makeRecord("main", 102), false}}), Now);
        (void)feed.onChanges(StoreRevision(104),
                             makeChanges(105, {{makeRecord("new", 105), false}}), Now);
        const auto changes = feed.changesSince(StoreRevision(104));
        cr_assert(changes && changes->changes.size() == 1);
        cr_assert_eq(toldTo(feed, 104), 105U);
    }
}
