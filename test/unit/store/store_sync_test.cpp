/** @file store_sync_test.cpp The fleet view with interrupted watches and discarded history. */

#include "duty/store_sync.h"

#include "adapter/clock/boot_clock_adapter.h"
#include "support/scripted_backend.h"
#include "support/scripted_store.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** In these tests the content of a configuration is its version. */
Result<RouteConfig> decodeVersion(std::string_view content)
{
    RouteConfig config;
    config.version = std::stoull(std::string(content));
    return config;
}

/** @return Times without a gap between two watches, so that there is always a watch to interrupt.
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
    BootClockAdapter clock;
    StoreSync sync{context, store, clock, view, "main", decodeVersion, makeTimes()};

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
    SECTION("and ignores an older version")
    {
        fixture.store.put(RecordKind::Configuration, "main", "5");
        fixture.store.put(RecordKind::Configuration, "main", "8");
        cr_assert(fixture.reaches(8));
    }
}

// Guards against a configuration that stays in use for seconds after it was replaced: the store
// stops sending changes, then closes the connections of watches and discards its history. A watch
// that continues from its old revision waits for the next change, and only then fails because the
// history is gone.
Test(store_sync, interrupted_watch_misses_no_change)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    fixture.store.muteWatches(true);
    fixture.store.put(RecordKind::Configuration, "main", "7");
    fixture.store.interruptWatches();
    cr_assert(fixture.reaches(7));
}

// Guards against refused callers for keys that have moved: the connection of this node's watch has
// stopped delivering without a reset, so it receives nothing until the watch times out after 22 s.
// Other nodes, whose watches work, include their newest revision in every reply between nodes.
Test(store_sync, silent_watch_is_detected_by_revisions_of_peers)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    fixture.store.muteWatches(true);
    const StoreRevision missed = fixture.store.put(RecordKind::Configuration, "main", "7");
    const TimePoint begun{milliseconds(100)};
    const SyncTimes times = makeTimes();

    SECTION("a watch may be behind for a short time")
    {
        fixture.sync.onPeerRevisions({{RecordKind::Configuration, missed}}, begun);
        fixture.sync.onPeerRevisions({{RecordKind::Configuration, missed}},
                                     begun + times.maxLag - milliseconds(1));
        fixture.context.restart();
        fixture.context.run_for(milliseconds(20));
        cr_assert_eq(fixture.view.routes().version(), 4U);
    }
    SECTION("after that the records are listed")
    {
        fixture.sync.onPeerRevisions({{RecordKind::Configuration, missed}}, begun + times.maxLag);
        cr_assert(fixture.reaches(7));
        cr_assert(fixture.sync.news().at(RecordKind::Configuration) == missed);
    }
}

// Guards against a configuration that is in use seconds after it was replaced at nodes of a large
// fleet whose watch is silent, while all others have the new one and say so in their replies.
Test(store_sync, large_fleet_detects_a_silent_watch_of_the_configuration)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    const SyncTimes times = makeTimes();
    for (uint64_t id = 1; id <= times.minMembers; ++id) {
        MemberRecord member;
        member.node = NodeId(id);
        fixture.view.onMember(member, StoreRevision(id));
    }
    fixture.store.muteWatches(true);
    const StoreRevision missed = fixture.store.put(RecordKind::Configuration, "main", "7");
    const TimePoint begun{milliseconds(100)};
    fixture.sync.onPeerRevisions({{RecordKind::Configuration, missed}}, begun);
    fixture.sync.onPeerRevisions({{RecordKind::Configuration, missed}}, begun + times.maxLag);
    cr_assert(fixture.reaches(7));
}

Test(store_sync, malformed_record_is_ignored)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Ranges, "s", "{\"ranges\":[{\"first\":9}]}");
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    cr_assert(fixture.view.findTable("s") == nullptr);
}

// Guards against requests to an evacuated failure domain after an interrupted watch, whatever
// became of the evacuation meanwhile.
Test(store_sync, evacuations_are_followed)
{
    Fixture fixture;
    fixture.sync.watchEvacuations();
    const EvacuationTable &evacuations = fixture.view.evacuations();
    cr_assert(!evacuations.isKnown());
    fixture.store.put(RecordKind::Evacuations, "north", "{}");
    fixture.sync.start();
    cr_assert(runUntilHolds(fixture.context, [&]() { return evacuations.isEvacuated("north"); }));
    fixture.store.put(RecordKind::Evacuations, "south", "{}");
    cr_assert(runUntilHolds(fixture.context, [&]() { return evacuations.isEvacuated("south"); }));
    fixture.store.remove(RecordKind::Evacuations, "north");
    cr_assert(runUntilHolds(fixture.context, [&]() { return !evacuations.isEvacuated("north"); }));

    SECTION("one that ends while nothing is told, then the watch is interrupted")
    {
        fixture.store.muteWatches(true);
        fixture.store.remove(RecordKind::Evacuations, "south");
        fixture.store.put(RecordKind::Evacuations, "east", "{}");
        fixture.store.interruptWatches();
        cr_assert(
                runUntilHolds(fixture.context, [&]() { return evacuations.isEvacuated("east"); }));
        cr_assert(!evacuations.isEvacuated("south"));
    }
}
