/** @file store_sync_test.cpp The fleet view under cut watches and dropped history. */

#include "duty/store_sync.h"
#include "support/scripted_backend.h"
#include "support/scripted_store.h"
#include "support/story.h"

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

Test(store_sync, a_malformed_record_changes_nothing)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Ranges, "s", "{\"ranges\":[{\"first\":9}]}");
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    cr_assert(fixture.view.findTable("s") == nullptr);
}
