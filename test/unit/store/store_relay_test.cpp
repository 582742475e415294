/** @file store_relay_test.cpp Store calls through another node, and direct access if possible. */

#include "duty/store_relay.h"

#include "adapter/clock/boot_clock_adapter.h"
#include "support/scripted_backend.h"
#include "support/scripted_store.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** A node that can't reach its store, and a helper that can. */
struct Fixture {
    Fixture()
    {
        MemberRecord helper;
        helper.node = NodeId(2);
        helper.ip = "127.0.0.1";
        helper.peerPort = helperPeers.port();
        view.onMember(helper, StoreRevision(1));
        helperPeers.start();
        cut.setDown(true);
    }

    template <typename T>
    T run(asio::awaitable<T> work)
    {
        return runUntil(context, std::move(work));
    }

    asio::io_context context;
    BootClockAdapter clock;
    FleetView view;
    FleetView helperView;
    ScriptedStore cut{context};
    ScriptedStore whole{context};
    PeerLink peers{context, "127.0.0.1", 0};
    PeerLink helperPeers{context, "127.0.0.1", 0};
    RelayedStore store{cut, clock, peers, view, NodeId(1)};
    RelayedStore helper{whole, clock, helperPeers, helperView, NodeId(2)};
};

/** A node with a link to the others and access to the store through them. */
struct Relay {
    Relay(asio::io_context &context, ScriptedStore &direct, const Clock &clock, FleetView &view,
          NodeId id)
        : node(id), peers(context, "127.0.0.1", 0), store(direct, clock, peers, view, id)
    {
        peers.start();
    }

    MemberRecord member() const
    {
        MemberRecord record;
        record.node = node;
        record.ip = "127.0.0.1";
        record.peerPort = peers.port();
        return record;
    }

    NodeId node;
    PeerLink peers;
    RelayedStore store;
};

} // namespace

// The store rejects one node for longer than its lease lasts. Without a relay the node would stop
// granting keys and its callers be refused, although other nodes can reach the store.
Test(store_relay, reads_and_writes_are_relayed)
{
    Fixture fixture;
    const auto created = fixture.run(fixture.store.create(RecordKind::Leases, "node-1", "1"));
    cr_assert(created.has_value());
    const auto read = fixture.run(fixture.store.read(RecordKind::Leases, "node-1"));
    cr_assert(read.has_value() && read.assume_value().content == "1");
    const auto replaced = fixture.run(
            fixture.store.replace(RecordKind::Leases, "node-1", created.assume_value(), "2"));
    cr_assert(replaced.has_value());
    const auto listed = fixture.run(fixture.store.list(RecordKind::Leases));
    cr_assert(listed.has_value() && listed.assume_value().records.size() == 1);
    SECTION("errors returned by the store are passed on")
    {
        const auto again = fixture.run(
                fixture.store.replace(RecordKind::Leases, "node-1", created.assume_value(), "3"));
        cr_assert(!again && again.assume_error().code == FailureCode::VersionConflict);
        const auto absent = fixture.run(fixture.store.read(RecordKind::Leases, "node-9"));
        cr_assert(!absent && absent.assume_error().code == FailureCode::NotFound);
    }
}

Test(store_relay, store_down_for_all_nodes_is_unavailable)
{
    Fixture fixture;
    fixture.whole.setDown(true);
    const auto read = fixture.run(fixture.store.read(RecordKind::Leases, "node-1"));
    cr_assert(!read && read.assume_error().code == FailureCode::Unavailable);
}

Test(store_relay, direct_access_is_preferred)
{
    Fixture fixture;
    fixture.cut.setDown(false);
    fixture.cut.put(RecordKind::Members, "m", "own");
    fixture.whole.put(RecordKind::Members, "m", "other");
    const auto read = fixture.run(fixture.store.read(RecordKind::Members, "m"));
    cr_assert(read.has_value() && read.assume_value().content == "own");
}

// Guards against one node that carries out the calls of all nodes that the store rejects: it has no
// processor time left, their calls time out, and a changed configuration reaches them seconds late.
Test(store_relay, calls_of_many_nodes_are_relayed_by_different_nodes)
{
    constexpr uint64_t HelperCount = 6;
    constexpr uint64_t RejectedCount = 48;
    asio::io_context context;
    BootClockAdapter clock;
    FleetView view;
    ScriptedStore whole(context);
    whole.put(RecordKind::Configuration, "main", "1");
    ScriptedStore cut(context);
    cut.setDown(true);
    std::vector<std::unique_ptr<Relay>> helpers;
    for (uint64_t id = 1; id <= HelperCount; ++id) {
        helpers.push_back(std::make_unique<Relay>(context, whole, clock, view, NodeId(id)));
        view.onMember(helpers.back()->member(), StoreRevision(id));
    }
    for (uint64_t id = HelperCount + 1; id <= HelperCount + RejectedCount; ++id) {
        Relay rejected(context, cut, clock, view, NodeId(id));
        cr_assert(runUntil(context, rejected.store.list(RecordKind::Configuration)).has_value());
    }
    uint64_t most = 0;
    for (const auto &helper : helpers) {
        most = std::max(most, helper->store.relayedCalls());
    }
    cr_assert_leq(most, 2 * RejectedCount / HelperCount);
}
