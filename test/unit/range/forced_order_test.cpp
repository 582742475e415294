/** @file forced_order_test.cpp Orders of events that once gave keys to a backend server while
 * another one was still at work on them. */

#include "support/ownership_world.h"
#include "support/test_section.h"

#include <iostream>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr std::chrono::seconds Patience{20};
/** After this time, grants of an earlier incarnation of the nodes have expired. */
constexpr std::chrono::seconds SettleTime{6};
/** Outlasts the reading back of the record, and is shorter than the hold time. */
constexpr milliseconds LongWork{2500};
constexpr milliseconds NeverLearned{60000};
constexpr size_t First = 0;
constexpr size_t Second = 1;
constexpr size_t Third = 2;
constexpr uint64_t Seeds = 20;
constexpr WriteFate AnswerLost{.isAnswerLost = true};
constexpr WriteFate Repeated{.isRepeated = true};

/** The first node does not learn that its first write that moves keys to the second was applied. */
class UnansweredHandOver
{
public:
    /** @param fate Of that write. */
    UnansweredHandOver(uint64_t seed, GrantDelivery form, const WriteFate &fate)
        : fate_(fate), world_(seed, settings(form))
    { }

    OwnershipWorld &world() { return world_; }

    /** @return A key that the write moves; empty until it is sent. */
    std::optional<ShardKey> movedKey() const { return movedKey_; }

private:
    WorldSettings settings(GrantDelivery form)
    {
        WorldSettings settings;
        settings.form = form;
        settings.script = WorldScript{
                [this](size_t node, const RangeTable &table) { return fateOf(node, table); },
                [](size_t node) { return node == First ? NeverLearned : milliseconds(1); }};
        return settings;
    }

    WriteFate fateOf(size_t node, const RangeTable &table)
    {
        WriteFate fate;
        for (const RangeEntry &entry : table.entries) {
            const bool isMoved = entry.holder.node == NodeId(Second + 1) && !entry.handover.empty();
            if (node == First && !movedKey_ && isMoved) {
                movedKey_ = entry.first;
                fate = fate_;
            }
        }
        return fate;
    }

    WriteFate fate_;
    std::optional<ShardKey> movedKey_;
    OwnershipWorld world_;
};

/** @return Whether no key was granted while another backend server held it or worked on it. */
bool isGrantedOnlyWhenFree(uint64_t seed, GrantDelivery form, const WriteFate &fate)
{
    UnansweredHandOver story(seed, form, fate);
    OwnershipWorld &world = story.world();
    cr_assert(world.run(SettleTime));
    SECTION("the first backend server leaves; the hand-over is written, which it does not learn")
    {
        world.deregister(First);
        cr_assert(world.reaches([&]() { return story.movedKey().has_value(); }, Patience));
        const ShardKey key = *story.movedKey();
        SECTION("the second one is granted the keys, works on one of them, and leaves as well")
        {
            cr_assert(world.reaches([&]() { return world.holds(Second, key); }, Patience));
            cr_assert(world.work(Second, key, LongWork));
            world.deregister(Second);
            SECTION("the first node reads the record back; the third gets the keys from the second")
            {
                if (!world.run(Patience)) {
                    std::cerr << "seed " << seed << ": " << world.violation() << "\n";
                    return false;
                }
                cr_assert(world.holds(Third, key));
            }
        }
    }
    return true;
}

/** @return The same for a backend server that leaves while it is at work. */
bool isHandedOverAfterWork(uint64_t seed)
{
    const ShardKey key;
    WorldSettings settings;
    settings.form = GrantDelivery::Heartbeat;
    settings.script = WorldScript{};
    OwnershipWorld world(seed, settings);
    cr_assert(world.run(SettleTime));
    SECTION("a backend server leaves at work, and reports the release before its work has ended")
    {
        cr_assert(world.work(First, key, LongWork));
        world.deregister(First);
        SECTION("the next one gets the keys when the work has ended")
        {
            if (!world.run(Patience)) {
                std::cerr << "seed " << seed << ": " << world.violation() << "\n";
                return false;
            }
            cr_assert(world.holds(Second, key) || world.holds(Third, key));
        }
    }
    return true;
}

bool isGrantedOnlyWhenFree(GrantDelivery form, const WriteFate &fate)
{
    bool passed = true;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        passed = isGrantedOnlyWhenFree(seed, form, fate) && passed;
    }
    return passed;
}

} // namespace

// Guards against keys that a third backend server is granted while the second is at work on them.
Test(range_duty, keys_at_work_are_not_granted_to_another_after_a_lost_answer)
{
    cr_assert(isGrantedOnlyWhenFree(GrantDelivery::Heartbeat, AnswerLost));
}

// Guards against the same with grants by call.
Test(range_duty, keys_at_work_are_not_granted_by_call_to_another_after_a_lost_answer)
{
    cr_assert(isGrantedOnlyWhenFree(GrantDelivery::Call, AnswerLost));
}

// Guards against keys that two backend servers hold after a conflict of a node with its own write.
Test(range_duty, keys_at_work_are_not_granted_to_another_after_a_repeated_write)
{
    cr_assert(isGrantedOnlyWhenFree(GrantDelivery::Heartbeat, Repeated));
}

// Guards against the same with grants by call.
Test(range_duty, keys_at_work_are_not_granted_by_call_to_another_after_a_repeated_write)
{
    cr_assert(isGrantedOnlyWhenFree(GrantDelivery::Call, Repeated));
}

// Guards against keys that move on the report of their release while requests still run for them.
Test(range_duty, keys_at_work_are_not_granted_to_another_on_the_report_of_a_release)
{
    bool passed = true;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        passed = isHandedOverAfterWork(seed) && passed;
    }
    cr_assert(passed);
}
