/** @file store_sync_test.cpp The fleet view with interrupted watches and discarded history. */

#include "duty/store_sync.h"

#include "adapter/clock/boot_clock_adapter.h"
#include "duty/peer_link.h"
#include "support/scripted_backend.h"
#include "support/scripted_store.h"
#include "support/shifted_clock.h"
#include "support/test_section.h"
#include "wisteriahoist/v1/control.pb.h"

#include <charconv>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** In these tests the content of a configuration is its version. */
Result<RouteConfig> decodeVersion(std::string_view content)
{
    RouteConfig config;
    const char *const end = content.data() + content.size();
    if (std::from_chars(content.data(), end, config.version).ptr != end) {
        return Failure{FailureCode::Malformed, "not a version"};
    }
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

    /** Another node names @p newest until this node has been behind for longer than it may be. */
    void nameAsNewest(StoreRevision newest)
    {
        const TimePoint begun{milliseconds(100)};
        for (const TimePoint now : {begun, begun + makeTimes().maxConfigLag}) {
            sync.onPeerRevisions(NodeId(9), {{RecordKind::Configuration, newest}}, now);
        }
    }

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
        fixture.sync.onPeerRevisions(NodeId(9), {{RecordKind::Configuration, missed}}, begun);
        fixture.sync.onPeerRevisions(NodeId(9), {{RecordKind::Configuration, missed}},
                                     begun + times.maxConfigLag - milliseconds(1));
        fixture.context.restart();
        fixture.context.run_for(milliseconds(20));
        cr_assert_eq(fixture.view.routes().version(), 4U);
    }
    SECTION("after that the records are listed")
    {
        fixture.sync.onPeerRevisions(NodeId(9), {{RecordKind::Configuration, missed}},
                                     begun + times.maxConfigLag);
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
    fixture.sync.onPeerRevisions(NodeId(9), {{RecordKind::Configuration, missed}}, begun);
    fixture.sync.onPeerRevisions(NodeId(9), {{RecordKind::Configuration, missed}},
                                 begun + times.maxConfigLag);
    cr_assert(fixture.reaches(7));
}

// Guards against an old configuration at a node whose watch has passed over the change: by its
// position the node is not behind, so what other nodes name was taken to be known.
Test(store_sync, change_that_the_watch_has_passed_over_is_detected)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    fixture.store.passOverChanges();
    const StoreRevision missed = fixture.store.put(RecordKind::Configuration, "main", "7");
    cr_assert(runUntilHolds(fixture.context, [&]() {
        return fixture.sync.configStatus(fixture.clock.now()).position >= missed;
    }));
    cr_assert_eq(fixture.view.routes().version(), 4U);
    fixture.nameAsNewest(missed);
    cr_assert(fixture.reaches(7));
}

// Guards against a node that asks again and again for a configuration which it can't read.
Test(store_sync, configuration_that_cannot_be_read_is_not_asked_for_again)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    const StoreRevision unreadable = fixture.store.put(RecordKind::Configuration, "main", "none");
    fixture.store.put(RecordKind::Ranges, "s", "{}");
    cr_assert(runUntilHolds(fixture.context, [&]() {
        return fixture.sync.configStatus(fixture.clock.now()).position >= unreadable;
    }));
    const int lists = fixture.store.lists(RecordKind::Configuration);
    fixture.nameAsNewest(unreadable);
    fixture.context.restart();
    fixture.context.run_for(milliseconds(20));
    cr_assert_eq(fixture.store.lists(RecordKind::Configuration), lists);
}

// Guards against a node that knows no other node for as long as its watch of the configuration
// waits, because one list failed as it started.
Test(store_sync, failed_list_is_repeated_while_the_watch_of_the_configuration_waits)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.store.failNextList(RecordKind::Members);
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    cr_assert(runUntilHolds(fixture.context,
                            [&]() { return fixture.store.lists(RecordKind::Members) == 2; }));
}

// Guards against an old configuration at a node that the store rejects, though other nodes have the
// new one: lists through them may fail for seconds.
Test(store_sync, newer_configuration_is_read_from_the_node_that_names_it)
{
    Fixture fixture;
    ScriptedStore rejecting(fixture.context);
    PeerLink peers(fixture.context, "127.0.0.1", 0);
    PeerLink ownPeers(fixture.context, "127.0.0.1", 0);
    MemberRecord member;
    member.node = NodeId(9);
    member.ip = "127.0.0.1";
    member.peerPort = peers.port();
    FleetView view;
    view.onMember(member, StoreRevision(1));
    StoreSync sync(fixture.context, rejecting, fixture.clock, view, "main", decodeVersion,
                   makeTimes());
    sync.exchangeConfig(ownPeers);
    fixture.sync.exchangeConfig(peers);
    peers.start();
    rejecting.put(RecordKind::Configuration, "main", "4");
    sync.start();
    fixture.sync.start();
    cr_assert(runUntilHolds(fixture.context, [&]() { return view.routes().version() == 4; }));
    rejecting.setDown(true);
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.store.put(RecordKind::Configuration, "main", "7");
    cr_assert(fixture.reaches(7));
    const TimePoint begun{milliseconds(100)};
    const milliseconds lag = makeTimes().maxConfigLag;
    sync.onPeerRevisions(NodeId(9), fixture.sync.news(), begun);
    sync.onPeerRevisions(NodeId(9), fixture.sync.news(), begun + lag);
    cr_assert(runUntilHolds(fixture.context, [&]() { return view.routes().version() == 7; }));
    cr_assert(sync.news().at(RecordKind::Configuration)
              == fixture.sync.news().at(RecordKind::Configuration));

    SECTION("and one that can't be read is not named to others")
    {
        const KnownRevisions before = fixture.sync.news();
        fixture.store.put(RecordKind::Configuration, "main", "none");
        fixture.store.put(RecordKind::Ranges, "s", "{}");
        cr_assert(runUntilHolds(fixture.context, [&]() {
            return fixture.sync.news().count(RecordKind::Ranges) > 0;
        }));
        cr_assert(fixture.sync.news().at(RecordKind::Configuration)
                  == before.at(RecordKind::Configuration));
        cr_assert_eq(fixture.view.routes().version(), 7U);
    }
}

// Guards against a node that fills its link with copies of a large configuration because it is the
// first to have it.
Test(store_sync, configurations_are_sent_to_other_nodes_at_a_limited_rate)
{
    asio::io_context context;
    ShiftedClock clock;
    ScriptedStore store(context);
    FleetView view;
    PeerLink peers(context, "127.0.0.1", 0);
    PeerLink asker(context, "127.0.0.1", 0);
    SyncTimes times = makeTimes();
    times.servedBytesPerSecond = 0.001; // One byte in 1,000 s.
    StoreSync sync(context, store, clock, view, "main", decodeVersion, times);
    sync.exchangeConfig(peers);
    peers.start();
    store.put(RecordKind::Configuration, "main", "4");
    sync.start();
    cr_assert(runUntilHolds(context, [&]() { return view.routes().version() == 4; }));
    MemberRecord member;
    member.ip = "127.0.0.1";
    member.peerPort = peers.port();
    const auto isServed = [&]() {
        v1::ConfigRequest request;
        const Result<std::string> bytes
                = runUntil(context, asker.call(member, "/config", request.SerializeAsString(),
                                               milliseconds(60000)));
        v1::ConfigReply reply;
        return bytes && reply.ParseFromString(bytes.assume_value()) && reply.has_record();
    };
    cr_assert(isServed());
    cr_assert(!isServed());
    clock.advance(std::chrono::seconds(1000));
    cr_assert(isServed());
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
// Guards against records that are no longer followed, since an exception at one of them has ended
// their list or watch: the others hold, whatever their place.
Test(store_sync, record_that_causes_an_exception_is_left_out)
{
    Fixture fixture;
    std::set<uint64_t> applied;
    fixture.view.onMemberRecord([&applied](const MemberRecord &member) {
        if (member.node.value() % 3 == 1) {
            throw std::runtime_error("asked for by the test");
        }
        applied.insert(member.node.value());
    });
    const auto put = [&fixture](uint64_t node) {
        MemberRecord member;
        member.node = NodeId(node);
        member.ip = "127.0.0.1";
        member.peerPort = 1;
        fixture.store.put(RecordKind::Members, memberRecordName(member.node), encodeMember(member));
    };
    const auto reaches = [&](const std::set<uint64_t> &expected) {
        return runUntilHolds(fixture.context, [&]() { return applied == expected; });
    };
    for (const uint64_t node : {1U, 2U, 4U, 5U}) {
        put(node);
    }
    fixture.sync.start();
    SECTION("of a list")
    {
        cr_assert(reaches({2, 5}));
    }
    SECTION("of a watch")
    {
        put(7);
        put(8);
        cr_assert(reaches({2, 5, 8}));
    }
    SECTION("without listing again")
    {
        cr_assert_eq(fixture.store.lists(RecordKind::Members), 1);
    }
}

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

// Guards against a node that refuses requests as if it had the newest configuration.
Test(store_sync, node_knows_that_its_configuration_is_behind)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "4");
    fixture.sync.start();
    cr_assert(fixture.reaches(4));
    const TimePoint now{milliseconds(100)};
    const auto isBehind = [&]() { return fixture.sync.configStatus(now).behind; };
    cr_assert(!isBehind());
    fixture.store.muteWatches(true);
    const StoreRevision missed = fixture.store.put(RecordKind::Configuration, "main", "7");
    fixture.sync.onPeerRevisions(NodeId(9), {{RecordKind::Configuration, missed}}, now);
    cr_assert(isBehind());
    fixture.store.muteWatches(false);
    cr_assert(fixture.reaches(7));
    cr_assert(!isBehind());
}
