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
