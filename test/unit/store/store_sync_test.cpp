/** @file store_sync_test.cpp The fleet view under cut watches and dropped history. */

#include "duty/store_sync.h"
#include "support/scripted_backend.h"
#include "support/scripted_store.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** A configuration's content is its version here. */
Result<RouteConfig> decodeVersion(std::string_view content)
{
    RouteConfig config;
    config.version = std::stoull(std::string(content));
    return config;
}

/** @return Times without a pause between two watches: a watch is always open, also when it is cut.
 */
SyncTimes makeTimes()
{
    SyncTimes times;
    times.gap = milliseconds(0);
    return times;
}

struct Fixture {
    asio::io_context context;
    ScriptedStore store{context};
    FleetView view;
    StoreSync sync{context, store, view, "main", decodeVersion, makeTimes()};

    bool reaches(uint64_t version)
    {
        return runUntilHolds(context, [&]() { return view.routes().version() == version; });
    }
};

} // namespace

Test(store_sync, follows_changes)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    fixture.store.put(RecordKind::Configuration, "main", "7");
    cr_assert(fixture.reaches(7));
    SECTION("and never goes back")
    {
        fixture.store.put(RecordKind::Configuration, "main", "5");
        fixture.store.put(RecordKind::Configuration, "main", "8");
        cr_assert(fixture.reaches(8));
    }
}

// Callers are served by a configuration that was replaced seconds ago: the store stops telling
// watchers of changes, then cuts their connections and drops its history. A watch that goes on from
// its old revision is held until the next change, and only then told that the history is gone.
Test(store_sync, a_cut_watch_misses_nothing)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    fixture.store.muteWatches(true);
    fixture.store.put(RecordKind::Configuration, "main", "7");
    fixture.store.cutWatches();
    cr_assert(fixture.reaches(7));
}

// Callers are refused for keys that have moved: the connection of this node's watch has fallen
// silent without a reset, so it hears nothing until the watch's time limit, 22 s. Other nodes,
// whose watches work, know of the change and say so in every answer between nodes.
Test(store_sync, a_silent_watch_is_found_out_by_what_others_have_heard)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    fixture.store.muteWatches(true);
    const StoreRevision missed = fixture.store.put(RecordKind::Configuration, "main", "7");
    const TimePoint begun{milliseconds(100)};
    const SyncTimes times = makeTimes();

    SECTION("for a short time a watch may be behind")
    {
        fixture.sync.onPeerRevisions({{RecordKind::Configuration, missed}}, begun);
        fixture.sync.onPeerRevisions({{RecordKind::Configuration, missed}},
                                     begun + times.longestLag - milliseconds(1));
        fixture.context.restart();
        fixture.context.run_for(milliseconds(20));
        cr_assert_eq(fixture.view.routes().version(), 4U);
    }
    SECTION("then the records are listed")
    {
        fixture.sync.onPeerRevisions({{RecordKind::Configuration, missed}},
                                     begun + times.longestLag);
        cr_assert(fixture.reaches(7));
        cr_assert(fixture.sync.news().at(RecordKind::Configuration) == missed);
    }
}

Test(store_sync, a_malformed_record_changes_nothing)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Ranges, "s", "{\"ranges\":[{\"first\":9}]}");
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    cr_assert(fixture.view.findTable("s") == nullptr);
}
