/** @file shared_watch_test.cpp Nodes that receive changes of the store from another node. */

#include "duty/shared_watch.h"

#include "adapter/http2/transport_bytes.h"
#include "support/random_text.h"
#include "support/scripted_backend.h"
#include "support/scripted_store.h"
#include "support/shifted_clock.h"
#include "support/slow_link.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

std::map<NodeId, MemberRecord> makeFleet(size_t members)
{
    std::map<NodeId, MemberRecord> fleet;
    for (size_t index = 1; index <= members; ++index) {
        MemberRecord member;
        member.node = NodeId(index);
        member.failureDomain = index % 2 == 0 ? "even" : "odd";
        member.cpuShare = index <= 4 ? 0.5 : 0.1;
        fleet[member.node] = member;
    }
    return fleet;
}

bool all(NodeId)
{
    return true;
}

asio::awaitable<std::string> neverReply(std::string)
{
    co_await sleepFor(std::chrono::hours(1));
    co_return std::string();
}

constexpr size_t LargeBytes = 400 * 1024;
/** A call that is silent for this time has failed; a large reply on a slow link takes longer. */
constexpr milliseconds SilenceLimit{150};
constexpr size_t PartBytes = 16 * 1024;
constexpr milliseconds PartInterval{20};

/** Half the validity of a confirmation of the store; longer than any pause of a test machine. */
constexpr milliseconds HalfConfirmationValidity{60000};

/** A feeder (node 2) and a follower (node 1), each with its own store. */
struct Fixture {
    explicit Fixture(milliseconds startupPeriod = milliseconds(0))
    {
        limits.minMembers = 2;
        limits.followers = 2;
        times.configWait = HalfConfirmationValidity;
        times.margin = HalfConfirmationValidity;
        times.followWait = milliseconds(20);
        times.followTimeout = HalfConfirmationValidity;
        times.startupPeriod = startupPeriod;
        MemberRecord feeder;
        feeder.node = NodeId(2);
        feeder.ip = "127.0.0.1";
        feeder.peerPort = feederPeers.port();
        feeder.cpuShare = 1;
        MemberRecord follower;
        follower.node = NodeId(1);
        for (FleetView *view : {&followerView, &feederView}) {
            view->onMember(feeder, StoreRevision(1));
            view->onMember(follower, StoreRevision(2));
        }
        feederPeers.start();
        restart();
    }

    /** Makes both nodes anew, with the present times. */
    void restart()
    {
        const MemberRecord &follower = *followerView.findMember(NodeId(1));
        const MemberRecord &feeder = *feederView.findMember(NodeId(2));
        follower_ = std::make_unique<SharedWatch>(context, followerStore, clock, followerPeers,
                                                  followerView, follower, limits, times);
        feeder_ = std::make_unique<SharedWatch>(context, store, clock, feederPeers, feederView,
                                                feeder, limits, times);
    }

    /** The follower reaches its feeder over @p link. */
    void connectBy(const SlowLink &link)
    {
        MemberRecord feeder = *followerView.findMember(NodeId(2));
        feeder.peerPort = link.port();
        followerView.onMember(feeder, StoreRevision(3));
    }

    template <typename T>
    T run(asio::awaitable<T> work)
    {
        return runUntil(context, std::move(work));
    }

    asio::awaitable<void> watchInto(std::optional<Result<RecordChanges>> &received)
    {
        received = co_await follower_->watch(RecordKind::Configuration, StoreRevision(1),
                                             milliseconds(20000));
    }

    asio::awaitable<void> listInto(bool &arrived)
    {
        arrived = (co_await feeder_->list(RecordKind::Configuration)).has_value();
    }

    Result<RecordChanges> watchAsFeeder(StoreRevision since)
    {
        return run(feeder_->watch(RecordKind::Configuration, since, milliseconds(50)));
    }

    Result<RecordChanges> watchAsFollower(StoreRevision since)
    {
        return run(follower_->watch(RecordKind::Configuration, since, milliseconds(20000)));
    }

    asio::io_context context;
    ShiftedClock clock;
    FleetView followerView;
    FleetView feederView;
    ScriptedStore store{context};
    ScriptedStore followerStore{context};
    PeerLink followerPeers{context, "127.0.0.1", 0};
    PeerLink feederPeers{context, "127.0.0.1", 0};
    FeederLimits limits;
    SharedWatchTimes times;
    std::unique_ptr<SharedWatch> follower_;
    std::unique_ptr<SharedWatch> feeder_;
};

} // namespace

Test(shared_watch, choice_of_the_feeder)
{
    const FeederLimits limits;

    SECTION("none in a small fleet")
    {
        cr_assert(!chooseFeeder(makeFleet(19), NodeId(9), "odd", all, limits));
    }
    SECTION("in a large fleet a strong node, preferably in the same failure domain")
    {
        const auto fleet = makeFleet(120);
        size_t feeders = 0;
        std::map<NodeId, size_t> followers;
        for (const auto &[node, member] : fleet) {
            const auto feeder = chooseFeeder(fleet, node, member.failureDomain, all, limits);
            feeders += feeder ? 0 : 1;
            if (feeder) {
                ++followers[*feeder];
                cr_assert(fleet.at(*feeder).cpuShare > 0.4);
                cr_assert_eq(fleet.at(*feeder).failureDomain, member.failureDomain);
            }
        }
        cr_assert_eq(feeders, 4U);
        cr_assert_eq(followers.size(), 4U);
        for (const auto &[feeder, count] : followers) {
            cr_assert_leq(count, 45U);
        }
    }
    SECTION("another one if the first has failed, none if all have failed")
    {
        const auto fleet = makeFleet(40);
        const auto first = chooseFeeder(fleet, NodeId(9), "odd", all, limits);
        const auto other = [&](NodeId node) { return node != *first; };
        const auto second = chooseFeeder(fleet, NodeId(9), "odd", other, limits);
        cr_assert(second && *second != *first);
        const auto none = [](NodeId) { return false; };
        cr_assert(!chooseFeeder(fleet, NodeId(9), "odd", none, limits));
    }
}

// Guards against every node watching the store itself because the store rejects the only feeder.
Test(shared_watch, lost_feeder_is_replaced)
{
    const FeederLimits limits;
    const auto fleet = makeFleet(24);
    const auto lost = chooseFeeder(fleet, NodeId(9), "odd", all, limits);
    const auto isUsable = [&](NodeId node) { return node != *lost; };
    const auto next = chooseFeeder(fleet, NodeId(9), "odd", isUsable, limits);
    cr_assert(next && *next != *lost);
    SECTION("by the same node for all followers")
    {
        for (const auto &[node, member] : fleet) {
            const auto feeder = chooseFeeder(fleet, node, member.failureDomain, isUsable, limits);
            cr_assert(node == *next || node == *lost || feeder == next);
        }
    }
    SECTION("which watches the store itself")
    {
        cr_assert(!chooseFeeder(fleet, *next, "odd", isUsable, limits));
    }
}

// Guards against a follower that is confirmed to be up to date and has never been told of a change:
// its feeder listed the records beside its watch, and the listing arrived last.
Test(shared_watch, follower_is_told_of_a_change_that_a_late_listing_lacks)
{
    Fixture fixture;
    const StoreRevision first = fixture.store.put(RecordKind::Configuration, "main", "1");
    cr_assert(fixture.run(fixture.feeder_->list(RecordKind::Configuration)).has_value());
    fixture.store.holdListings(true);
    bool arrived = false;
    const auto listAgain = [&]() { return fixture.listInto(arrived); };
    asio::co_spawn(fixture.context, listAgain, asio::detached);
    fixture.context.restart();
    fixture.context.run_for(milliseconds(5));
    const StoreRevision second = fixture.store.put(RecordKind::Configuration, "main", "2");
    cr_assert(fixture.watchAsFeeder(first).has_value());
    fixture.store.holdListings(false);
    cr_assert(runUntilHolds(fixture.context, [&]() { return arrived; }));
    fixture.store.put(RecordKind::Configuration, "other", "3");
    cr_assert(fixture.watchAsFeeder(second).has_value());

    const auto told = fixture.watchAsFollower(first);
    cr_assert(told.has_value());
    const auto &changes = told.assume_value().changes;
    cr_assert(std::any_of(changes.begin(), changes.end(),
                          [](const RecordChange &change) { return change.record.content == "2"; }));
}

// Guards against a follower that stays without a change until the next one because its feeder has
// passed over it: once there is a feeder that has the change, it is older than the follower's
// position.
Test(shared_watch, follower_that_lacks_a_change_of_its_feeder_lists)
{
    Fixture fixture;
    fixture.followerStore.put(RecordKind::Configuration, "main", "1");
    cr_assert(fixture.run(fixture.follower_->list(RecordKind::Configuration)).has_value());
    const StoreRevision first = fixture.store.put(RecordKind::Configuration, "main", "1");
    cr_assert(fixture.run(fixture.feeder_->list(RecordKind::Configuration)).has_value());
    fixture.store.passOverChanges();
    const StoreRevision missed = fixture.store.put(RecordKind::Configuration, "main", "2");
    cr_assert(fixture.watchAsFeeder(first).has_value());
    const auto told = fixture.watchAsFollower(first);
    cr_assert(told.has_value() && told.assume_value().at == missed);
    cr_assert(fixture.run(fixture.feeder_->list(RecordKind::Configuration)).has_value());

    const auto toldLater = fixture.watchAsFollower(missed);
    cr_assert(!toldLater && toldLater.assume_error().code == FailureCode::HistoryGone);

    // Once it has listed, the record may be older than the listing.
    fixture.followerStore.put(RecordKind::Configuration, "main", "2");
    cr_assert(fixture.run(fixture.follower_->list(RecordKind::Configuration)).has_value());
    cr_assert(fixture.watchAsFollower(missed).has_value());
}

// Guards against a watch of 20 s at a node of a large fleet whose first list of members failed: if
// its connection falls silent, the node has an old configuration for that long.
Test(shared_watch, watch_is_short_until_the_members_have_been_listed)
{
    const SharedWatchTimes times;
    asio::io_context context;
    ScriptedStore store(context);
    ShiftedClock clock;
    FleetView view;
    PeerLink peers(context, "127.0.0.1", 0);
    MemberRecord self;
    self.node = NodeId(1);
    view.onMember(self, StoreRevision(1));
    SharedWatch watch(context, store, clock, peers, view, self);
    const auto waitOf = [&](RecordKind kind) {
        const StoreRevision since = store.put(kind, "main", "{}");
        store.put(kind, "main", "{ }");
        cr_assert(runUntil(context, watch.watch(kind, since, milliseconds(20000))).has_value());
        return store.lastWait(kind);
    };
    SECTION("as the node starts")
    {
        cr_assert_leq(waitOf(RecordKind::Configuration), times.configWait);
    }
    clock.advance(2 * times.startupPeriod);
    SECTION("later as well")
    {
        cr_assert_leq(waitOf(RecordKind::Configuration), times.configWait);
        cr_assert_leq(waitOf(RecordKind::Ranges), times.otherWait);
    }
    SECTION("in a small fleet it is long after that")
    {
        cr_assert(runUntil(context, watch.list(RecordKind::Members)).has_value());
        cr_assert_eq(waitOf(RecordKind::Configuration), milliseconds(20000));
    }
}

Test(shared_watch, follower_receives_changes_from_the_feeder)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "1");
    cr_assert(fixture.run(fixture.feeder_->list(RecordKind::Configuration)).has_value());

    SECTION("a change that the follower does not know yet")
    {
        const auto changes = fixture.watchAsFollower(StoreRevision(1));
        cr_assert(changes.has_value() && changes.assume_value().changes.empty());
        fixture.store.put(RecordKind::Configuration, "main", "2");
        const auto seen = fixture.run(fixture.feeder_->watch(RecordKind::Configuration,
                                                             StoreRevision(1), milliseconds(50)));
        cr_assert(seen.has_value());
        const auto received = fixture.watchAsFollower(StoreRevision(1));
        cr_assert(received.has_value());
        cr_assert_eq(received.assume_value().changes.size(), 1U);
        cr_assert(received.assume_value().changes[0].record.content == "2");
        cr_assert(received.assume_value().at == StoreRevision(2));
    }
    SECTION("without a call to its own store")
    {
        fixture.followerStore.setDown(true);
        cr_assert(fixture.watchAsFollower(StoreRevision(1)).has_value());
    }
}

// A follower would use an outdated configuration while its feeder is cut off from the store and has
// not detected it. Therefore the feeder ends the call when the last confirmation of the store is
// too old, and the follower lists the records itself and watches the store.
Test(shared_watch, stale_feeder_ends_the_call)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "1");
    cr_assert(fixture.run(fixture.feeder_->list(RecordKind::Configuration)).has_value());
    cr_assert(fixture.watchAsFollower(StoreRevision(1)).has_value());
    // The confirmation expires while the call waits, or before it on a slow machine.
    fixture.clock.advance(2 * HalfConfirmationValidity - fixture.times.followWait / 2);
    const Result<RecordChanges> late = fixture.watchAsFollower(StoreRevision(1));
    cr_assert(!late.has_value());
    cr_assert(late.assume_error().code == FailureCode::HistoryGone);
    fixture.followerStore.put(RecordKind::Configuration, "main", "2");
    const auto own = fixture.watchAsFollower(StoreRevision(0));
    cr_assert(own.has_value() && own.assume_value().changes.size() == 1);
}

// Guards against a configuration that is older than its limit because a feeder was lost shortly
// before its records would have become stale: the whole timeout of a call came on top.
Test(shared_watch, call_to_a_lost_feeder_ends_when_the_configuration_is_too_old)
{
    Fixture fixture;
    PeerLink stalled(fixture.context, "127.0.0.1", 0);
    stalled.serve("/feed", neverReply);
    stalled.start();
    MemberRecord feeder = *fixture.followerView.findMember(NodeId(2));
    feeder.peerPort = stalled.port();
    fixture.followerView.onMember(feeder, StoreRevision(3));
    fixture.followerStore.put(RecordKind::Configuration, "main", "1");
    cr_assert(fixture.run(fixture.follower_->list(RecordKind::Configuration)).has_value());
    fixture.clock.advance(fixture.times.maxFollowedConfigAge() - milliseconds(20));
    std::optional<Result<RecordChanges>> received;
    asio::co_spawn(fixture.context, fixture.watchInto(received), asio::detached);
    cr_assert(runUntilHolds(fixture.context, [&]() { return received.has_value(); }));
    cr_assert(!received->has_value());
    cr_assert(received->assume_error().code == FailureCode::HistoryGone);
}

// Guards against followers that give up a working feeder because nothing has changed for a while.
Test(shared_watch, idle_call_for_the_configuration_ends_with_the_next_confirmation)
{
    Fixture fixture;
    fixture.times.followWait = HalfConfirmationValidity;
    fixture.restart();
    fixture.store.put(RecordKind::Configuration, "main", "1");
    cr_assert(fixture.run(fixture.feeder_->list(RecordKind::Configuration)).has_value());
    std::optional<Result<RecordChanges>> received;
    asio::co_spawn(fixture.context, fixture.watchInto(received), asio::detached);
    fixture.context.restart();
    fixture.context.run_for(milliseconds(50));
    cr_assert(!received);
    cr_assert(fixture.run(fixture.feeder_->list(RecordKind::Configuration)).has_value());
    cr_assert(runUntilHolds(fixture.context, [&]() { return received.has_value(); }));
    cr_assert(received->has_value() && received->assume_value().changes.empty());
}

// Guards against one list of all records per feeder that is not up to date yet when a fleet starts.
Test(shared_watch, node_that_has_just_started_does_not_list_after_a_rejection)
{
    Fixture fixture(HalfConfirmationValidity);
    fixture.followerStore.put(RecordKind::Configuration, "main", "1");
    const auto own = fixture.watchAsFollower(StoreRevision(0));
    cr_assert(own.has_value());
    cr_assert_eq(own.assume_value().changes.size(), 1U);
}

// Guards against one list per feeder when none of them can reach the store.
Test(shared_watch, node_watches_the_store_after_three_failed_feeders)
{
    Fixture fixture;
    for (uint64_t id = 3; id <= 6; ++id) {
        MemberRecord member;
        member.node = NodeId(id);
        member.ip = "127.0.0.1";
        member.peerPort = fixture.feederPeers.port();
        member.cpuShare = id < 5 ? 1 : 0;
        fixture.followerView.onMember(member, StoreRevision(id));
    }
    fixture.followerStore.put(RecordKind::Configuration, "main", "1");
    cr_assert(!fixture.watchAsFollower(StoreRevision(0)).has_value());
    cr_assert(!fixture.watchAsFollower(StoreRevision(0)).has_value());
    cr_assert(!fixture.watchAsFollower(StoreRevision(0)).has_value());
    cr_assert(fixture.watchAsFollower(StoreRevision(0)).has_value());
}

// A feeder that was cut off lists again; it does not know what was removed before that list.
Test(shared_watch, follower_lists_if_it_is_older_than_the_feeders_list)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "1");
    fixture.store.put(RecordKind::Configuration, "main", "2");
    cr_assert(fixture.run(fixture.feeder_->list(RecordKind::Configuration)).has_value());
    cr_assert(!fixture.watchAsFollower(StoreRevision(1)).has_value());
}

// Guards against followers that keep a replaced configuration: their feeder stops, and the node
// that replaces it received the change as a follower. It has not listed since then, and its own
// watch of the store begins after the change.
Test(shared_watch, new_feeder_passes_on_changes_that_it_received_as_a_follower)
{
    Fixture fixture;
    fixture.store.put(RecordKind::Configuration, "main", "1");
    cr_assert(fixture.run(fixture.feeder_->list(RecordKind::Configuration)).has_value());
    fixture.followerStore.put(RecordKind::Configuration, "main", "1");
    cr_assert(fixture.run(fixture.follower_->list(RecordKind::Configuration)).has_value());
    fixture.store.put(RecordKind::Configuration, "main", "2");
    cr_assert(fixture.run(fixture.feeder_->watch(RecordKind::Configuration, StoreRevision(1),
                                                 milliseconds(50)))
                      .has_value());
    cr_assert(fixture.watchAsFollower(StoreRevision(1)).has_value());

    MemberRecord stopping = *fixture.followerView.findMember(NodeId(2));
    stopping.stopping = true;
    fixture.followerView.onMember(stopping, StoreRevision(3));
    fixture.followerStore.put(RecordKind::Configuration, "other", "1");
    fixture.followerStore.put(RecordKind::Configuration, "other", "2");
    cr_assert(fixture.watchAsFollower(StoreRevision(2)).has_value());

    MemberRecord third;
    third.node = NodeId(3);
    third.ip = "127.0.0.1";
    third.peerPort = fixture.followerPeers.port();
    fixture.followerPeers.start();
    v1::FeedRequest request;
    request.set_kind(static_cast<uint32_t>(RecordKind::Configuration));
    request.set_since(1);
    const auto bytes = fixture.run(fixture.feederPeers.call(
            third, "/feed", request.SerializeAsString(), HalfConfirmationValidity));
    v1::FeedReply reply;
    cr_assert(bytes.has_value() && reply.ParseFromString(bytes.assume_value()));
    cr_assert(reply.fresh());
    const auto isNew = [](const v1::StoreRecord &record) {
        return record.name() == "main" && record.content() == "2";
    };
    cr_assert(std::any_of(reply.records().begin(), reply.records().end(), isNew));
}

Test(shared_watch, feed_contains_removed_records)
{
    RecordFeed feed;
    RecordListing listing;
    listing.records = {{"a", StoreRevision(1), "1"}, {"b", StoreRevision(2), "1"}};
    listing.at = StoreRevision(2);
    feed.onList(listing, TimePoint(milliseconds(5)));
    RecordChanges changes;
    changes.changes = {{{"a", StoreRevision(3), "1"}, true}, {{"b", StoreRevision(4), "2"}, false}};
    changes.at = StoreRevision(4);
    (void)feed.onChanges(StoreRevision(2), changes, TimePoint(milliseconds(9)));
    const auto changed = feed.changesSince(StoreRevision(2));
    cr_assert(changed && changed->changes.size() == 2);
    cr_assert(changed->changes[0].removed && !changed->changes[1].removed);
    cr_assert_eq(feed.changesSince(StoreRevision(3))->changes.size(), 1U);
    feed.onLost();
    cr_assert(!feed.changesSince(StoreRevision(4)));
}

// Guards against a large configuration that is cut off while it arrives, asked for again from the
// store and from other nodes, and cut off there: the links are full, and nothing gets into force.
Test(shared_watch, transfer_that_keeps_arriving_is_not_cut_off)
{
    Fixture fixture;
    fixture.times.followTimeout = SilenceLimit;
    fixture.restart();
    auto link = std::make_shared<SlowLink>(fixture.context, fixture.feederPeers.port(), PartBytes,
                                           PartInterval);
    link->start();
    fixture.connectBy(*link);
    fixture.store.put(RecordKind::Configuration, "main", "1");
    cr_assert(fixture.run(fixture.feeder_->list(RecordKind::Configuration)).has_value());
    const std::string large = makeRandomText(LargeBytes);
    fixture.store.put(RecordKind::Configuration, "main", large);
    cr_assert(fixture.watchAsFeeder(StoreRevision(1)).has_value());

    SECTION("while it arrives")
    {
        const auto received = fixture.watchAsFollower(StoreRevision(1));
        cr_assert(received.has_value());
        cr_assert_eq(received.assume_value().changes.size(), 1U);
        cr_assert(received.assume_value().changes[0].record.content == large);
    }
    SECTION("but once it has stopped")
    {
        link->fallSilentAfter(LargeBytes / 4);
        cr_assert(!fixture.watchAsFollower(StoreRevision(1)).has_value());
    }
}

// Guards against links that are full of a large configuration, because each version of it is sent
// whole to each node.
Test(shared_watch, only_the_difference_of_a_large_configuration_is_sent)
{
    Fixture fixture;
    const auto makeRoutes = [](size_t count, const std::string &timeout) {
        std::string routes = "[";
        for (size_t route = 0; route < count; ++route) {
            routes += R"({"name":")" + makeRandomText(100, static_cast<uint32_t>(route))
                      + R"(","timeout":")" + (route == 7 ? timeout : "1500ms") + R"("},)";
        }
        return routes + "{}]";
    };
    const std::string first = makeRoutes(4000, "1500ms");
    fixture.store.put(RecordKind::Configuration, "main", first);
    cr_assert(fixture.run(fixture.feeder_->list(RecordKind::Configuration)).has_value());
    fixture.followerStore.put(RecordKind::Configuration, "main", first);
    cr_assert(fixture.run(fixture.follower_->list(RecordKind::Configuration)).has_value());

    const auto bytesOfChange = [&](const std::string &content, StoreRevision since) {
        fixture.store.put(RecordKind::Configuration, "main", content);
        cr_assert(fixture.watchAsFeeder(since).has_value());
        const uint64_t before = peerBytesSent().load();
        const auto received = fixture.watchAsFollower(since);
        cr_assert(received.has_value(), "%s",
                  received ? "" : received.assume_error().context.c_str());
        cr_assert_eq(received.assume_value().changes.size(), 1U);
        cr_assert(received.assume_value().changes[0].record.content == content);
        return peerBytesSent().load() - before;
    };
    SECTION("one changed route")
    {
        cr_assert_lt(bytesOfChange(makeRoutes(4000, "900ms"), StoreRevision(1)), 4096U);
    }
    SECTION("each further one")
    {
        (void)bytesOfChange(makeRoutes(4000, "900ms"), StoreRevision(1));
        cr_assert_lt(bytesOfChange(makeRoutes(4001, "900ms"), StoreRevision(2)), 4096U);
    }
}
