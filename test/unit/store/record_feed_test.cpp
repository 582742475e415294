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
    feed.onChanges(makeChanges(101, {{makeRecord("main", 101), false}}), Now);
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
    RecordFeed feed = makeFeed();
    SECTION("a changed record")
    {
        feed.onList(makeListing(100, {makeRecord("main", 100)}), Now);
        cr_assert_eq(toldTo(feed, 100), 101U);
        cr_assert(feed.at() == StoreRevision(101));
    }
    SECTION("an added record")
    {
        feed.onChanges(makeChanges(102, {{makeRecord("new", 102), false}}), Now);
        feed.onList(makeListing(101, {makeRecord("main", 101)}), Now);
        cr_assert_eq(toldTo(feed, 101), 102U);
    }
    SECTION("a removed record stays removed")
    {
        feed.onChanges(makeChanges(102, {{makeRecord("main", 102), true}}), Now);
        feed.onList(makeListing(101, {makeRecord("main", 101)}), Now);
        const auto changes = feed.changesSince(StoreRevision(101));
        cr_assert(changes && changes->changes.size() == 1 && changes->changes[0].removed);
    }
    SECTION("but after a loss only the listing counts")
    {
        feed.onLost();
        feed.onList(makeListing(103, {makeRecord("main", 103)}), Now);
        cr_assert_eq(toldTo(feed, 103), 0U);
        cr_assert(!feed.changesSince(StoreRevision(102)));
    }
}
