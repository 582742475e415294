/** @file range_controller_test.cpp Keys of a service when nodes start, crash, fall silent or lose
 * their store. */

#include "adapter/clock/boot_clock_adapter.h"
#include "support/ownership_fleet.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr std::chrono::seconds Patience{20}; ///< Longer than any step; no test measures time.
const ShardKey Low{5};
const ShardKey High{65000};

/**
 * @return A table of @p count ranges, held alternately by earlier incarnations of nodes 1 and 2.
 */
RangeTable makeEarlierTable(uint32_t count)
{
    RangeTable table;
    const uint32_t width = (LastShardKey.value() + 1) / count;
    for (uint32_t index = 0; index < count; ++index) {
        const ShardKey last(index + 1 < count ? (index + 1) * width - 1 : LastShardKey.value());
        const RangeHolder holder{NodeId(1 + index % 2), Incarnation(99), "earlier"};
        table = assignRange(std::move(table), {ShardKey(index * width), last}, holder, {});
    }
    return table;
}

/** Distance between the keys that are checked; several lie in each range of these tests. */
constexpr uint32_t SampleEvery = 500;

bool isAnyHeldTwice(const OwnershipFleet &fleet)
{
    for (uint32_t key = Low.value(); key <= LastShardKey.value(); key += SampleEvery) {
        if (fleet.holding(ShardKey(key)).size() > 1) {
            return true;
        }
    }
    return false;
}

bool isEachServedByOne(const OwnershipFleet &fleet)
{
    for (uint32_t key = Low.value(); key <= LastShardKey.value(); key += SampleEvery) {
        if (fleet.admitting(ShardKey(key)).size() != 1) {
            return false;
        }
    }
    return true;
}

bool isServedByOne(const OwnershipFleet &fleet, ShardKey key)
{
    return fleet.admitting(key).size() == 1;
}

} // namespace

Test(range_duty, every_key_of_a_new_service_is_served_by_one_node)
{
    OwnershipFleet fleet;
    fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    fleet.add(3, "b-3");
    cr_assert(fleet.reaches(
            [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); }, Patience));
    cr_assert(fleet.admitting(Low) != fleet.admitting(High));
}

// Guards against keys that no node serves again, since an exception has ended the renewal of a
// lease, a write of the table or a call to the backend server for good.
Test(range_duty, keys_are_served_after_exceptions)
{
    const auto servesAll = [](const OwnershipFleet &fleet) {
        return isServedByOne(fleet, Low) && isServedByOne(fleet, High);
    };
    SECTION("in writes to the store, from the start")
    {
        OwnershipFleet fleet;
        fleet.store().throwOnWrites(4);
        fleet.add(1, "b-1");
        fleet.add(2, "b-2");
        cr_assert(fleet.reaches([&]() { return servesAll(fleet); }, Patience));
    }
    SECTION("in calls to the backend servers")
    {
        OwnershipFleet fleet;
        fleet.add(1, "b-1").backend.throwOnCalls(2);
        fleet.add(2, "b-2").backend.throwOnCalls(2);
        cr_assert(fleet.reaches([&]() { return servesAll(fleet); }, Patience));
    }
}

// Guards against requests for half of the keys being refused. The backend server of a running node
// has crashed. The node cannot distinguish that from a backend server with too many connections, so
// the others get the keys when the grants have expired.
Test(range_duty, keys_of_a_crashed_backend_server_move)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    cr_assert(fleet.reaches(
            [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); }, Patience));
    first.backend.crash();
    (void)first.monitor.onRefusedConnection();
    (void)first.monitor.onRefusedConnection();
    cr_assert(fleet.reaches(
            [&]() {
                return fleet.admitting(Low) == std::vector<uint64_t>{2}
                       && fleet.admitting(High) == std::vector<uint64_t>{2};
            },
            Patience));
}

// Guards against requests for a third of the keys waiting. A VM has lost power and does not
// respond. Its witnesses fence its node, its contact expires, its lease is revoked, and another
// node takes the keys.
Test(range_duty, keys_of_a_silent_node_are_taken_over)
{
    OwnershipFleet fleet;
    fleet.add(1, "b-1");
    OwnershipNode &lost = fleet.add(2, "b-2");
    fleet.add(3, "b-3");
    const auto all = [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); };
    cr_assert(fleet.reaches(all, Patience));
    fleet.silence(lost);
    cr_assert(fleet.reaches(
            [&]() {
                const StoredRecord *table = fleet.store().find(RecordKind::Ranges, "s");
                return countKeys(decodeRangeRecord(table->content).assume_value().table, NodeId(2))
                       == 0;
            },
            Patience));
    cr_assert(fleet.reaches(all, Patience));
}

// Guards against requests for moved keys being refused for six seconds. Two backend servers leave
// while the store is unavailable, and the record of each still says that it is ready. The second
// moves its keys to the first, which ends, and the keys become free again only when its lease is
// revoked.
Test(range_duty, keys_are_not_given_to_one_that_leaves_as_well)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    OwnershipNode &second = fleet.add(2, "b-2");
    fleet.add(3, "b-3");
    const auto all = [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); };
    cr_assert(fleet.reaches(all, Patience));
    const auto keysOf = [&](uint64_t node) {
        return countKeys(first.view.findTable("s")->table, NodeId(node));
    };
    fleet.holdMembers(true);
    (void)second.monitor.onDeregister("b-2", fleet.clock().now());
    second.controller.wake();
    cr_assert(fleet.reaches([&]() { return keysOf(2) == 0; }, Patience));
    // The load report in the answer to any request between the two nodes.
    v1::HopReply answer;
    answer.mutable_load()->set_leaving(second.controller.isLeaving());
    first.loads.onSent(NodeId(2));
    first.loads.onReply(NodeId(2), answer, true, fleet.clock().now());
    (void)first.monitor.onDeregister("b-1", fleet.clock().now());
    first.controller.wake();
    uint32_t given = 0; // Keys given to the leaving backend server.
    cr_assert(fleet.reaches(
            [&]() {
                given = std::max(given, keysOf(2));
                return keysOf(1) == 0;
            },
            Patience));
    cr_assert_eq(given, 0U);
    cr_assert_eq(keysOf(3), 65536U);
}

// A backend server leaves properly: its keys are released, and the next holder gets the hand-over
// token with which they need no warm-up.
Test(range_duty, keys_of_a_leaving_backend_server_move_with_their_token)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    const auto all = [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); };
    cr_assert(fleet.reaches(all, Patience));
    (void)first.monitor.onDeregister("b-1", fleet.clock().now());
    first.controller.wake();
    cr_assert(fleet.reaches([&]() { return fleet.admitting(Low) == std::vector<uint64_t>{2}; },
                            Patience));
    const StoredRecord *table = fleet.store().find(RecordKind::Ranges, "s");
    cr_assert(decodeRangeRecord(table->content).assume_value().table.find(Low)->handover
              == "token");
}

// Guards against keys that are not served, or served at the wrong place, when a failure domain is
// evacuated: its holders live on and must hand their keys to the others.
Test(range_duty, keys_of_an_evacuated_failure_domain_move)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    OwnershipNode &second = fleet.add(2, "b-2");
    OwnershipNode &third = fleet.add(3, "b-3");
    const auto all = [&]() { return isEachServedByOne(fleet); };
    cr_assert(fleet.reaches(all, Patience));
    const BootClockAdapter clock;
    uint64_t revision = 1000;
    const auto setEvacuated = [&](bool evacuated) {
        RecordChanges changes;
        changes.at = StoreRevision(++revision);
        changes.changes = {{{"d1", changes.at, "{}"}, !evacuated}};
        for (OwnershipNode *node : {&first, &second, &third}) {
            node->view.onEvacuationChanges(changes, clock.now());
            node->controller.wake();
        }
    };
    const auto keysOfFirst = [&]() {
        const StoredRecord *table = fleet.store().find(RecordKind::Ranges, "s");
        return countKeys(decodeRangeRecord(table->content).assume_value().table, NodeId(1));
    };
    cr_assert_gt(keysOfFirst(), 0U);
    setEvacuated(true);
    cr_assert(fleet.reaches([&]() { return keysOfFirst() == 0 && isEachServedByOne(fleet); },
                            Patience));
    cr_assert(first.controller.isLeaving());
    SECTION("and it gets keys again afterwards")
    {
        setEvacuated(false);
        cr_assert(!first.controller.isLeaving());
        cr_assert(fleet.reaches([&]() { return keysOfFirst() > 0; }, Patience));
    }
}

// Guards against keys that are not served until the watch of their new holder returns.
Test(range_duty, previous_holder_notifies_the_new_one)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    const auto all = [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); };
    cr_assert(fleet.reaches(all, Patience));
    fleet.holdUpdates(true);
    (void)first.monitor.onDeregister("b-1", fleet.clock().now());
    first.controller.wake();
    cr_assert(fleet.reaches([&]() { return fleet.admitting(Low) == std::vector<uint64_t>{2}; },
                            Patience));
    SECTION("the previous holder returns the new one to clients that still ask it")
    {
        const std::optional<KeyOwner> owner = first.controller.ownerOf(Low);
        cr_assert(owner && owner->node == NodeId(2));
    }
}

// The answer to the write that divides the service is lost. The node reads the table before it
// plans again; repeating the write over its own record would be rejected forever.
Test(range_duty, unanswered_write_is_read_back)
{
    OwnershipFleet fleet;
    fleet.add(1, "b-1");
    fleet.store().loseResponses(4);
    cr_assert(fleet.reaches([&]() { return isServedByOne(fleet, Low); }, Patience));
}

// The backend server has seen a higher fence than the table contains, because the node was restored
// to an earlier state. The same fence is never sent again; the table gets a higher one.
Test(range_duty, refused_fence_is_replaced_by_a_higher_one)
{
    OwnershipFleet fleet;
    OwnershipNode &node = fleet.add(1, "b-1");
    node.backend.seeFence(Epoch(2));
    cr_assert(fleet.reaches([&]() { return isServedByOne(fleet, Low); }, Patience));
    const StoredRecord *table = fleet.store().find(RecordKind::Ranges, "s");
    cr_assert(decodeRangeRecord(table->content).assume_value().table.find(Low)->fence >= Epoch(2));
}

// A node is restarted while the store is unavailable. If its keys were released, they would not be
// served until the store is back, since no new holder can be recorded. If it keeps them, they are
// served until the process ends and again right after its restart.
Test(range_duty, stopping_node_keeps_its_keys_while_the_store_is_unavailable)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    const auto all = [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); };
    cr_assert(fleet.reaches(all, Patience));
    const std::vector<uint64_t> before = fleet.admitting(Low);
    fleet.store().setDown(true);
    (void)fleet.reaches([]() { return false; }, std::chrono::seconds(4));
    first.controller.beginStop();
    (void)fleet.reaches([]() { return false; }, std::chrono::seconds(1));
    cr_assert(fleet.admitting(Low) == before);
    cr_assert(!first.controller.hasTransferableKeys(fleet.clock().now()));
    SECTION("the keys move when the store is back")
    {
        fleet.store().setDown(false);
        cr_assert(fleet.reaches(
                [&]() {
                    return fleet.admitting(Low) == std::vector<uint64_t>{2}
                           && fleet.admitting(High) == std::vector<uint64_t>{2};
                },
                Patience));
    }
}

// Guards against requests for moving keys being rejected for a second or more. All holders of a
// large service change one record, each based on what it knew before the changes of the others,
// and all writes but the first are rejected. With one record per block of keys, changes to distant
// keys do not conflict.
Test(range_duty, holders_of_a_large_service_change_their_keys_without_conflicts)
{
    OwnershipFleet fleet;
    std::vector<OwnershipNode *> nodes;
    for (uint64_t id = 1; id <= 10; ++id) {
        nodes.push_back(&fleet.add(id, "b-" + std::to_string(id)));
    }
    std::set<uint64_t> crashed;
    const auto isServed = [&]() {
        for (uint32_t key = 5; key <= LastShardKey.value(); key += 4000) {
            const std::vector<uint64_t> servers = fleet.admitting(ShardKey(key));
            if (servers.size() != 1 || crashed.count(servers.front()) > 0) {
                return false;
            }
        }
        return true;
    };
    cr_assert(fleet.reaches(isServed, Patience));
    const int before = fleet.store().conflicts();
    fleet.holdUpdates(true);
    for (size_t index = 0; index < 4; ++index) {
        OwnershipNode &node = *nodes[2 * index];
        node.backend.crash();
        (void)node.monitor.onRefusedConnection();
        (void)node.monitor.onRefusedConnection();
        node.controller.wake();
        crashed.insert(node.record.node.value());
    }
    const auto hasMovedAllKeys = [](const OwnershipNode *node) {
        return countKeys(node->view.findTable("s")->table, node->record.node) == 0;
    };
    cr_assert(fleet.reaches(
            [&]() {
                return hasMovedAllKeys(nodes[0]) && hasMovedAllKeys(nodes[2])
                       && hasMovedAllKeys(nodes[4]) && hasMovedAllKeys(nodes[6]);
            },
            Patience));
    cr_assert_eq(fleet.store().conflicts(), before);
    fleet.holdUpdates(false);
    cr_assert(fleet.reaches(isServed, Patience));
}

// Guards against the store refusing calls above its rate limit, so that requests wait for keys
// that no node may grant. A fleet that restarts as a whole writes its ranges all at once, two
// thirds of the writes are rejected because another node was first, and each rejection costs an
// additional read. The watch delivers the same update without a call.
Test(range_duty, rejected_write_waits_for_the_watch_instead_of_reading)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    OwnershipNode &second = fleet.add(2, "b-2");
    fleet.add(3, "b-3");
    const auto all = [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); };
    cr_assert(fleet.reaches(all, Patience));
    const int conflicts = fleet.store().conflicts();
    const int reads = fleet.store().reads(RecordKind::Ranges);
    fleet.holdUpdates(true);
    for (OwnershipNode *node : {&first, &second}) {
        node->backend.crash();
        (void)node->monitor.onRefusedConnection();
        (void)node->monitor.onRefusedConnection();
        node->controller.wake();
    }
    cr_assert(fleet.reaches([&]() { return fleet.store().conflicts() > conflicts; }, Patience));
    int looks = 0;
    cr_assert(fleet.reaches(
            [&]() {
                first.controller.wake();
                second.controller.wake();
                return ++looks > 20;
            },
            Patience));
    fleet.holdUpdates(false);
    const std::vector<uint64_t> third{3};
    cr_assert(fleet.reaches(
            [&]() { return fleet.admitting(Low) == third && fleet.admitting(High) == third; },
            Patience));
    cr_assert_eq(fleet.store().reads(RecordKind::Ranges), reads);
}

// Guards against keys that are held twice. A backend server refuses connections and is silent for
// a while, so its node moves its keys block by block. After the first write, a heartbeat of the
// same incarnation arrives. If the keys of the blocks not yet written were granted again from then
// on, they would be held twice.
Test(range_duty, returning_backend_server_is_not_granted_keys_that_are_being_moved)
{
    OwnershipFleet fleet;
    OwnershipNode &node = fleet.add(1, "b-1");
    for (uint64_t id = 2; id <= 10; ++id) {
        fleet.add(id, "b-" + std::to_string(id));
    }
    const auto keys
            = [&node]() { return countKeys(node.view.findTable("s")->table, node.record.node); };
    const auto all = [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); };
    cr_assert(fleet.reaches(all, Patience));
    const uint32_t before = keys();
    const auto records = [&]() { return fleet.store().records(RecordKind::Ranges).size(); };
    const size_t recordsBefore = records();
    node.backend.limitConnections(0, milliseconds(1));
    bool hasRecovered = false;
    fleet.store().onWrite([&]() {
        if (!hasRecovered && records() > recordsBefore) { // Ignores renewals of leases.
            hasRecovered = true;
            node.backend.limitConnections(SIZE_MAX, milliseconds(0));
            BackendReport report;
            report.backend = "b-1";
            report.service = "s";
            report.slots = 12;
            report.sequence = 2;
            (void)node.monitor.onReport(report, fleet.clock().now());
        }
    });
    bool isHeldTwice = false;
    const auto runsUntil = [&](const std::function<bool()> &holds) {
        return fleet.reaches(
                [&]() {
                    isHeldTwice |= isAnyHeldTwice(fleet);
                    return holds();
                },
                Patience);
    };
    cr_assert(runsUntil([&]() { return hasRecovered && keys() < before; }));
    cr_assert(runsUntil([&]() { return isEachServedByOne(fleet); }));
    cr_assert(!isHeldTwice);
}

// Guards against two backend servers holding the same keys. A leaving node assigns its released
// keys to another one, and the answer of the store is lost. It reads the record back and plans
// with it while it still counts the keys as its own to hand over. So they move to a third node,
// and the second is never asked to release them.
Test(range_duty, handed_over_keys_are_not_handed_over_again)
{
    OwnershipFleet fleet;
    OwnershipNode &leaving = fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    fleet.add(3, "b-3");
    cr_assert(fleet.reaches([&]() { return isEachServedByOne(fleet); }, Patience));
    fleet.holdUpdates(true); // The node knows of the table only what it reads itself.
    const auto tableNow = [&fleet]() {
        const StoredRecord *record = fleet.store().find(RecordKind::Ranges, "s");
        return decodeRangeRecord(record->content).assume_value().table;
    };
    RangeTable known = tableNow();
    bool handedOverAgain = false;
    fleet.store().onWrite([&]() {
        const RangeTable written = tableNow();
        for (uint32_t key = Low.value(); key <= LastShardKey.value(); key += SampleEvery) {
            const RangeEntry &before = *known.find(ShardKey(key));
            const RangeEntry &after = *written.find(ShardKey(key));
            const bool changed
                    = before.holder.node != after.holder.node || before.fence != after.fence;
            handedOverAgain |= changed && before.holder.node != leaving.record.node;
        }
        // Only the answers to the hand-over are lost, not those to renewals of leases.
        if (!(written == known)) {
            fleet.store().loseResponses(1);
        }
        known = written;
    });
    (void)leaving.monitor.onDeregister("b-1", fleet.clock().now());
    leaving.controller.wake();
    cr_assert(
            fleet.reaches([&]() { return countKeys(known, leaving.record.node) == 0; }, Patience));
    (void)fleet.reaches([&]() { return handedOverAgain; }, std::chrono::seconds(1));
    cr_assert(!handedOverAgain);
}

// A backend server crashes and restarts under its id before any node has noticed. Its first
// heartbeat is answered while the node still lists the grants of the earlier incarnation. If the
// new incarnation were granted the keys under the same fence, they could not be distinguished from
// those of the old one.
Test(range_duty, new_incarnation_is_not_granted_ranges_of_the_previous_one)
{
    OwnershipFleet fleet;
    OwnershipNode &node = fleet.add(1, "b-1");
    node.grantByHeartbeat();
    const auto holding = [&]() {
        std::optional<GrantReply> reply;
        uint64_t sequence = 2;
        (void)fleet.reaches(
                [&]() {
                    reply = fleet.heartbeat(node, "b-1", ++sequence, HeldKeysReport{});
                    return reply && !reply->rows.empty();
                },
                Patience);
        return reply;
    };
    const std::optional<GrantReply> before = holding();
    cr_assert(before && before->rows.size() == 1);
    const std::optional<GrantReply> restarted
            = fleet.heartbeat(node, {"b-1", 1700000000000}, 1, HeldKeysReport{});
    cr_assert(!restarted || restarted->rows.empty());
    SECTION("the new incarnation gets them under a higher fence")
    {
        std::optional<GrantReply> after;
        uint64_t sequence = 1;
        cr_assert(fleet.reaches(
                [&]() {
                    after = fleet.heartbeat(node, {"b-1", 1700000000000}, ++sequence,
                                            HeldKeysReport{});
                    return after && !after->rows.empty();
                },
                Patience));
        cr_assert(after->rows.front().fence > before->rows.front().fence);
    }
}

// Guards against two backend servers holding the same keys, as happened for two seconds. All VMs
// have restarted, and a node grants many ranges to its backend server at the same time. The backend
// server has room for a limited number of connections, accepts some of the grants and refuses the
// others. Two refused connections counted as the end of the backend server, and the keys of the
// ended incarnation moved at once, while the accepted grants were still valid. The log of the node
// showed both within 20 ms, and no release.
Test(range_duty, backend_server_that_refuses_connections_still_holds_its_grants)
{
    constexpr uint32_t Ranges = 64;
    OwnershipFleet fleet;
    fleet.store().put(RecordKind::Ranges, "s",
                      encodeRangeRecord({makeEarlierTable(Ranges), {}, {}, 0}));
    fleet.add(1, "b-1").backend.limitConnections(GrantTimes{}.maxGrantsInFlight / 2,
                                                 milliseconds(20));
    fleet.add(2, "b-2");
    cr_assert(!fleet.reaches([&]() { return isAnyHeldTwice(fleet); }, std::chrono::seconds(6)));
    cr_assert(fleet.reaches(
            [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); }, Patience));
}
