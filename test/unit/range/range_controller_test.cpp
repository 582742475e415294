/** @file range_controller_test.cpp Keys of a service as nodes come, crash, fall silent and lose
 * their store. */

#include "support/ownership_fleet.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr std::chrono::seconds Patience{20}; ///< Far above what each step takes; no test times it.
const ShardKey Low{5};
const ShardKey High{65000};

/** The keys in @p count ranges, held in turns by earlier lives of the nodes 1 and 2. */
RangeTable makeEarlierTable(uint32_t count)
{
    RangeTable table;
    const uint32_t width = (LastShardKey.value() + 1) / count;
    for (uint32_t index = 0; index < count; ++index) {
        const ShardKey last(index + 1 < count ? (index + 1) * width - 1 : LastShardKey.value());
        const RangeHolder holder{NodeId(1 + index % 2), Incarnation(99), "earlier"};
        table = giveRange(std::move(table), {ShardKey(index * width), last}, holder, {});
    }
    return table;
}

/** Every so many keys one is looked at: several in each range of these tests. */
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

Test(range_duty, a_service_is_divided_and_every_key_is_served_by_one)
{
    OwnershipFleet fleet;
    fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    fleet.add(3, "b-3");
    cr_assert(fleet.reaches(
            [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); }, Patience));
    cr_assert(fleet.admitting(Low) != fleet.admitting(High));
}

// Callers of half of the keys are refused: their backend server has crashed, its node lives. It
// can't tell that from one that has too many connections, so the others get the keys when its
// grants have run out.
Test(range_duty, a_crashed_backend_servers_keys_go_to_the_others)
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

// Callers of a third of the keys wait: a VM has lost its power and nothing of it answers. Its
// witnesses fence it, its contact runs out, its lease is revoked, and another node takes the keys.
Test(range_duty, a_silent_nodes_keys_are_taken_over)
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

// Callers of keys that have just moved are refused for six seconds: two backend servers leave while
// the store is away, and the record of each still says that it is ready. So the second gives its
// keys to the first, which ends, and only the loss of its lease frees them again.
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
    (void)second.monitor.onDeregister("b-2");
    second.duty.wake();
    cr_assert(fleet.reaches([&]() { return keysOf(2) == 0; }, Patience));
    // What the answer to any request between the two tells.
    v1::HopReply answer;
    answer.mutable_load()->set_leaving(second.duty.isLeaving());
    first.loads.onSent(NodeId(2));
    first.loads.onReply(NodeId(2), answer, true, fleet.clock().now());
    (void)first.monitor.onDeregister("b-1");
    first.duty.wake();
    uint32_t given = 0; // To the one that leaves.
    cr_assert(fleet.reaches(
            [&]() {
                given = std::max(given, keysOf(2));
                return keysOf(1) == 0;
            },
            Patience));
    cr_assert_eq(given, 0U);
    cr_assert_eq(keysOf(3), 65536U);
}

// A backend server leaves in order: its keys are released, and the next holder gets the token with
// which they need no warm-up.
Test(range_duty, a_leaving_backend_servers_keys_go_with_their_token)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    const auto all = [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); };
    cr_assert(fleet.reaches(all, Patience));
    (void)first.monitor.onDeregister("b-1");
    first.duty.wake();
    cr_assert(fleet.reaches([&]() { return fleet.admitting(Low) == std::vector<uint64_t>{2}; },
                            Patience));
    const StoredRecord *table = fleet.store().find(RecordKind::Ranges, "s");
    cr_assert(decodeRangeRecord(table->content).assume_value().table.find(Low)->handover
              == "token");
}

// Guards against keys that nobody serves until the watch of their new holder wakes.
Test(range_duty, a_new_holder_hears_of_its_keys_from_the_last_one)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    const auto all = [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); };
    cr_assert(fleet.reaches(all, Patience));
    fleet.holdNews(true);
    (void)first.monitor.onDeregister("b-1");
    first.duty.wake();
    cr_assert(fleet.reaches([&]() { return fleet.admitting(Low) == std::vector<uint64_t>{2}; },
                            Patience));
    SECTION("and the last one names it to whoever still asks there")
    {
        const std::optional<KeyOwner> owner = first.duty.ownerOf(Low);
        cr_assert(owner && owner->node == NodeId(2));
    }
}

// The answer to the write that divides the service is lost. The node reads the table before it
// plans again; writing it once more over its own write would be refused for ever.
Test(range_duty, a_write_without_an_answer_is_read_back)
{
    OwnershipFleet fleet;
    fleet.add(1, "b-1");
    fleet.store().loseResponses(4);
    cr_assert(fleet.reaches([&]() { return isServedByOne(fleet, Low); }, Patience));
}

// The backend server has seen a higher fence than the table's: the node was restored from less than
// it had been. The same fence is never sent again; the table gets a higher one.
Test(range_duty, a_refused_fence_is_replaced_by_a_higher_one)
{
    OwnershipFleet fleet;
    OwnershipNode &node = fleet.add(1, "b-1");
    node.backend.seeFence(Epoch(2));
    cr_assert(fleet.reaches([&]() { return isServedByOne(fleet, Low); }, Patience));
    const StoredRecord *table = fleet.store().find(RecordKind::Ranges, "s");
    cr_assert(decodeRangeRecord(table->content).assume_value().table.find(Low)->fence >= Epoch(2));
}

// A node is restarted while the store is away. Released, its keys would be served by nobody until
// the store is back, since no new holder can be named; kept, they are served to the end of the
// process and again right after its restart.
Test(range_duty, a_stopping_node_keeps_its_keys_while_the_store_is_away)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    const auto all = [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); };
    cr_assert(fleet.reaches(all, Patience));
    const std::vector<uint64_t> before = fleet.admitting(Low);
    fleet.store().setDown(true);
    (void)fleet.reaches([]() { return false; }, std::chrono::seconds(4));
    first.duty.beginStop();
    (void)fleet.reaches([]() { return false; }, std::chrono::seconds(1));
    cr_assert(fleet.admitting(Low) == before);
    cr_assert(!first.duty.hasTransferableKeys(fleet.clock().now()));
    SECTION("and gives them away when it is back")
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

// Callers of keys that move are turned down for a second and more: a large service's holders all
// change one record, each on what it knew before the others' changes, and all but the first are
// refused. With a record for each block of keys, changes far apart do not collide.
Test(range_duty, holders_of_a_large_service_change_their_keys_without_colliding)
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
    fleet.holdNews(true);
    for (size_t index = 0; index < 4; ++index) {
        OwnershipNode &node = *nodes[2 * index];
        node.backend.crash();
        (void)node.monitor.onRefusedConnection();
        (void)node.monitor.onRefusedConnection();
        node.duty.wake();
        crashed.insert(node.record.node.value());
    }
    const auto hasGivenAway = [](const OwnershipNode *node) {
        return countKeys(node->view.findTable("s")->table, node->record.node) == 0;
    };
    cr_assert(fleet.reaches(
            [&]() {
                return hasGivenAway(nodes[0]) && hasGivenAway(nodes[2]) && hasGivenAway(nodes[4])
                       && hasGivenAway(nodes[6]);
            },
            Patience));
    cr_assert_eq(fleet.store().conflicts(), before);
    fleet.holdNews(false);
    cr_assert(fleet.reaches(isServed, Patience));
}

// The store refuses calls above its rate, and callers of keys that nobody may grant wait: a fleet
// that restarts as a whole writes its ranges all at once, two thirds are refused since another node
// was first, and each refusal costs a read besides. The watch brings the same news without a call.
Test(range_duty, a_refused_write_waits_for_the_news_instead_of_reading)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    OwnershipNode &second = fleet.add(2, "b-2");
    fleet.add(3, "b-3");
    const auto all = [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); };
    cr_assert(fleet.reaches(all, Patience));
    const int conflicts = fleet.store().conflicts();
    const int reads = fleet.store().reads(RecordKind::Ranges);
    fleet.holdNews(true);
    for (OwnershipNode *node : {&first, &second}) {
        node->backend.crash();
        (void)node->monitor.onRefusedConnection();
        (void)node->monitor.onRefusedConnection();
        node->duty.wake();
    }
    cr_assert(fleet.reaches([&]() { return fleet.store().conflicts() > conflicts; }, Patience));
    int looks = 0;
    cr_assert(fleet.reaches(
            [&]() {
                first.duty.wake();
                second.duty.wake();
                return ++looks > 20;
            },
            Patience));
    fleet.holdNews(false);
    const std::vector<uint64_t> third{3};
    cr_assert(fleet.reaches(
            [&]() { return fleet.admitting(Low) == third && fleet.admitting(High) == third; },
            Patience));
    cr_assert_eq(fleet.store().reads(RecordKind::Ranges), reads);
}

// A backend server refuses connections and is not heard of for a while, so its node gives its keys
// away, block by block. After the first write a heartbeat of the same life comes. Granted again
// from then on, the keys of the blocks that are still to be written would be held twice.
Test(range_duty, a_backend_server_that_is_back_amid_its_hand_over_is_not_granted_its_keys_again)
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
    bool lives = false;
    fleet.store().onWrite([&]() {
        if (!lives && records() > recordsBefore) { // Not a renewal of a lease.
            lives = true;
            node.backend.limitConnections(SIZE_MAX, milliseconds(0));
            BackendReport report;
            report.backend = "b-1";
            report.service = "s";
            report.slots = 12;
            report.sequence = 2;
            (void)node.monitor.onReport(report, fleet.clock().now());
        }
    });
    bool twice = false;
    const auto runsUntil = [&](const std::function<bool()> &holds) {
        return fleet.reaches(
                [&]() {
                    twice |= isAnyHeldTwice(fleet);
                    return holds();
                },
                Patience);
    };
    cr_assert(runsUntil([&]() { return lives && keys() < before; }));
    cr_assert(runsUntil([&]() { return isEachServedByOne(fleet); }));
    cr_assert(!twice);
}

// Two backend servers hold the same keys. A leaving node writes its released keys to another one,
// and the store's answer is lost. It reads the record back and plans on it, while it still counts
// the keys as its own to give: they go to a third one, and the second is never asked to release
// them.
Test(range_duty, keys_that_were_handed_over_are_not_given_on_again)
{
    OwnershipFleet fleet;
    OwnershipNode &leaving = fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    fleet.add(3, "b-3");
    cr_assert(fleet.reaches([&]() { return isEachServedByOne(fleet); }, Patience));
    fleet.holdNews(true); // What the node knows of the table is what it reads itself.
    const auto tableNow = [&fleet]() {
        const StoredRecord *record = fleet.store().find(RecordKind::Ranges, "s");
        return decodeRangeRecord(record->content).assume_value().table;
    };
    RangeTable known = tableNow();
    bool givenOnAgain = false;
    fleet.store().onWrite([&]() {
        const RangeTable written = tableNow();
        for (uint32_t key = Low.value(); key <= LastShardKey.value(); key += SampleEvery) {
            const RangeEntry &before = *known.find(ShardKey(key));
            const RangeEntry &after = *written.find(ShardKey(key));
            const bool changed
                    = before.holder.node != after.holder.node || before.fence != after.fence;
            givenOnAgain |= changed && before.holder.node != leaving.record.node;
        }
        // The answers to the hand-over are lost, not those to renewals of leases.
        if (!(written == known)) {
            fleet.store().loseResponses(1);
        }
        known = written;
    });
    (void)leaving.monitor.onDeregister("b-1");
    leaving.duty.wake();
    cr_assert(
            fleet.reaches([&]() { return countKeys(known, leaving.record.node) == 0; }, Patience));
    (void)fleet.reaches([&]() { return givenOnAgain; }, std::chrono::seconds(1));
    cr_assert(!givenOnAgain);
}

// A backend server crashes and starts again under its id before anybody has noticed. Its first
// heartbeat is answered while the node still lists what it has granted to the earlier life; granted
// to the new one under the same fence, the keys could not be told from those of the old.
Test(range_duty, another_life_is_not_granted_its_predecessors_ranges)
{
    OwnershipFleet fleet;
    OwnershipNode &node = fleet.add(1, "b-1");
    node.grantByHeartbeat();
    const auto holding = [&]() {
        std::optional<GrantReply> order;
        uint64_t sequence = 2;
        (void)fleet.reaches(
                [&]() {
                    order = fleet.heartbeat(node, "b-1", ++sequence, HeldKeysReport{});
                    return order && !order->rows.empty();
                },
                Patience);
        return order;
    };
    const std::optional<GrantReply> before = holding();
    cr_assert(before && before->rows.size() == 1);
    const std::optional<GrantReply> reborn
            = fleet.heartbeat(node, {"b-1", 1700000000000}, 1, HeldKeysReport{});
    cr_assert(!reborn || reborn->rows.empty());
    SECTION("it gets them under a higher one")
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

// Two backend servers hold the same keys for two seconds. All VMs have restarted, and a node grants
// its many ranges to its backend server at the same time; that has room for only so many
// connections, accepts some of the grants and refuses the others. Two refused connections counted
// as its end, and the keys of a life that had ended went to others at once, while the grants that
// it had accepted ran. The node's log showed both within 20 ms, and no release.
Test(range_duty, a_backend_server_that_refuses_connections_still_holds_what_it_was_granted)
{
    constexpr uint32_t Ranges = 64;
    OwnershipFleet fleet;
    fleet.store().put(RecordKind::Ranges, "s",
                      encodeRangeRecord({makeEarlierTable(Ranges), {}, {}, 0}));
    fleet.add(1, "b-1").backend.limitConnections(GrantTimes{}.openGrants / 2, milliseconds(20));
    fleet.add(2, "b-2");
    cr_assert(!fleet.reaches([&]() { return isAnyHeldTwice(fleet); }, std::chrono::seconds(6)));
    cr_assert(fleet.reaches(
            [&]() { return isServedByOne(fleet, Low) && isServedByOne(fleet, High); }, Patience));
}
