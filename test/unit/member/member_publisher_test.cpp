/** @file member_publisher_test.cpp The member record that a node writes when it starts. */

#include "duty/member_publisher.h"

#include "adapter/codec/record_codec.h"
#include "duty/fleet_view.h"
#include "support/scripted_backend.h"
#include "support/scripted_store.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** A node that has just started; its backend server has not reported yet. */
struct Fixture {
    Fixture()
    {
        self.node = NodeId(7);
        self.ip = "127.0.0.1";
        self.peerPort = 1;
        store.onWrite([this]() { ++writes; });
        publisher.start();
    }

    asio::awaitable<void> remember(std::optional<MemberRecord> record)
    {
        isRead = true;
        previous = std::move(record);
        co_return;
    }

    asio::io_context context;
    ScriptedStore store{context};
    MemberRecord self;
    bool isRead = false;
    std::optional<MemberRecord> previous; ///< That an earlier process has left.
    size_t writes = 0;
    MemberPublisher publisher{context, store, [this]() { return self; },
                              [](const MemberRecord &, StoreRevision) {}};
};

} // namespace

// Guards against two writes per node when a fleet starts: each is a change for all other nodes.
Test(member_publisher, first_write_waits_for_the_backend_server)
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

// Guards against a node that takes another node's record for its own earlier one.
Test(member_publisher, earlier_record_is_the_one_of_this_node)
{
    for (const uint64_t id : {7U, 8U}) {
        Fixture fixture;
        MemberRecord earlier = fixture.self;
        earlier.node = NodeId(id);
        fixture.store.put(RecordKind::Members, memberRecordName(NodeId(7)), encodeMember(earlier));
        fixture.publisher.onPreviousRecord([&fixture](std::optional<MemberRecord> record) {
            return fixture.remember(std::move(record));
        });
        cr_assert(runUntilHolds(fixture.context, [&]() { return fixture.isRead; }));
        cr_assert_eq(fixture.previous.has_value(), id == 7);
        SECTION("and is replaced")
        {
            cr_assert(runUntilHolds(fixture.context, [&]() { return fixture.writes == 1; }));
            const StoredRecord *stored
                    = fixture.store.find(RecordKind::Members, memberRecordName(NodeId(7)));
            cr_assert(decodeMemberRecord(*stored).has_value());
        }
    }
}

// Guards against a node whose record is never written, since an exception has ended the writing.
Test(member_publisher, node_is_published_after_an_exception)
{
    Fixture fixture;
    fixture.store.throwOnWrites(2);
    fixture.self.state = BackendState::Ready;
    cr_assert(runUntilHolds(fixture.context, [&]() { return fixture.writes == 1; }));
    SECTION("and reads only once what an earlier process has left")
    {
        cr_assert_eq(fixture.store.reads(RecordKind::Members), 1);
    }
}

// Guards against a node that is never published because its backend server does not start.
Test(member_publisher, node_without_a_backend_server_is_published)
{
    Fixture fixture;
    cr_assert(runUntilHolds(fixture.context, [&]() { return fixture.writes == 1; }));
}
