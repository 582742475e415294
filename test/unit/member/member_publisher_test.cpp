/** @file member_publisher_test.cpp What a node writes of itself as it starts. */

#include "duty/member_publisher.h"

#include "adapter/codec/record_codec.h"
#include "duty/fleet_view.h"
#include "support/scripted_backend.h"
#include "support/scripted_store.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** A node that has just started; its backend server has not been heard of. */
struct Fixture {
    Fixture()
    {
        self.node = NodeId(7);
        self.ip = "127.0.0.1";
        self.peerPort = 1;
        store.onWrite([this]() { ++writes; });
        publisher.start();
    }

    asio::io_context context;
    ScriptedStore store{context};
    MemberRecord self;
    size_t writes = 0;
    MemberPublisher publisher{context, store, [this]() { return self; },
                              [](const MemberRecord &, StoreRevision) {}};
};

} // namespace

// Guards against two records for each node of a fleet that starts: each is news to all others.
Test(member_publisher, the_first_record_waits_for_the_backend_server)
{
    Fixture fixture;
    fixture.context.poll();
    cr_assert_eq(fixture.writes, 0U);
    fixture.self.backend = "b-1";
    fixture.self.state = BackendState::Ready;
    fixture.publisher.wake();
    cr_assert(runUntilHolds(fixture.context, [&]() { return fixture.writes == 1; }));
    const StoredRecord *stored
            = fixture.store.find(RecordKind::Members, memberRecordName(NodeId(7)));
    cr_assert(stored != nullptr);
    cr_assert(decodeMember(stored->content).assume_value().state == BackendState::Ready);
}

// Guards against a node that nobody knows: its backend server does not come up.
Test(member_publisher, a_node_without_a_backend_server_is_published_all_the_same)
{
    Fixture fixture;
    cr_assert(runUntilHolds(fixture.context, [&]() { return fixture.writes == 1; }));
}
