/** @file evacuation_table_test.cpp Evacuations that come, go, overlap or are heard of late. */

#include "decision/routing/evacuation_table.h"

#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

constexpr TimePoint Begin{std::chrono::seconds(100)};
constexpr milliseconds LeavingTime{1500};

TimePoint at(int64_t count)
{
    return Begin + milliseconds(count);
}

EvacuationPhase phaseOf(const EvacuationTable &table, const std::string &domain, int64_t now)
{
    return table.phaseOf(domain, LeavingTime, at(now));
}

} // namespace

Test(evacuation_table, keys_leave_before_the_domain_is_closed)
{
    EvacuationTable table(true);
    (void)table.onListing({}, 5, at(0));
    cr_assert(phaseOf(table, "north", 0) == EvacuationPhase::None);
    cr_assert(table.onChange("north", false, 6, at(1000)));
    cr_assert(phaseOf(table, "north", 2499) == EvacuationPhase::Leaving);
    cr_assert(phaseOf(table, "north", 2500) == EvacuationPhase::Closed);
    cr_assert(phaseOf(table, "south", 2500) == EvacuationPhase::None);
    SECTION("and is open again when the evacuation has ended")
    {
        cr_assert(table.onChange("north", true, 7, at(3000)));
        cr_assert(phaseOf(table, "north", 3000) == EvacuationPhase::None);
    }
}

// Guards against requests to an evacuated failure domain from a node that has just started.
Test(evacuation_table, a_domain_is_closed_until_the_evacuations_are_known)
{
    EvacuationTable table(true);
    cr_assert(phaseOf(table, "north", 0) == EvacuationPhase::Closed);
    cr_assert(table.onListing({{"north", 4}}, 5, at(0)));
    cr_assert(phaseOf(table, "north", 0) == EvacuationPhase::Closed);
    cr_assert(phaseOf(table, "south", 0) == EvacuationPhase::None);
}

// Guards against an evacuation that had its time when the watch was lost and the records are listed
// again.
Test(evacuation_table, an_evacuation_found_in_a_listing_is_in_force_at_once)
{
    EvacuationTable table(true);
    (void)table.onListing({}, 5, at(0));
    cr_assert(table.onListing({{"north", 9}}, 10, at(8000)));
    cr_assert(phaseOf(table, "north", 8000) == EvacuationPhase::Closed);
    SECTION("and a listing without it ends it")
    {
        cr_assert(table.onListing({}, 12, at(9000)));
        cr_assert(phaseOf(table, "north", 9000) == EvacuationPhase::None);
    }
}

// Guards against a change that was under way while a newer listing was applied.
Test(evacuation_table, older_listings_and_changes_are_ignored)
{
    EvacuationTable table(true);
    (void)table.onListing({{"north", 9}}, 10, at(0));
    cr_assert(!table.onChange("north", true, 8, at(100)));
    cr_assert(!table.onListing({}, 9, at(100)));
    cr_assert(table.isEvacuated("north"));
}

Test(evacuation_table, a_second_evacuation_changes_nothing_for_the_first)
{
    EvacuationTable table(true);
    (void)table.onListing({}, 5, at(0));
    (void)table.onChange("north", false, 6, at(0));
    (void)table.onChange("south", false, 7, at(2000));
    cr_assert(phaseOf(table, "north", 2000) == EvacuationPhase::Closed);
    cr_assert(phaseOf(table, "south", 2000) == EvacuationPhase::Leaving);
    cr_assert(table.text() == "north south");
    SECTION("the same evacuation once more does not begin again")
    {
        cr_assert(!table.onChange("north", false, 8, at(2100)));
        cr_assert(phaseOf(table, "north", 2100) == EvacuationPhase::Closed);
    }
}

Test(evacuation_table, one_that_comes_and_goes_at_once_leaves_nothing)
{
    EvacuationTable table(true);
    (void)table.onListing({}, 5, at(0));
    (void)table.onChange("north", false, 6, at(0));
    (void)table.onChange("north", true, 7, at(300));
    cr_assert(phaseOf(table, "north", 5000) == EvacuationPhase::None);
    SECTION("also if both are told together")
    {
        (void)table.onChange("north", false, 9, at(600));
        (void)table.onChange("north", true, 9, at(600));
        cr_assert(phaseOf(table, "north", 5000) == EvacuationPhase::None);
    }
}

Test(evacuation_table, nothing_is_closed_where_evacuations_are_not_in_use)
{
    const EvacuationTable table;
    cr_assert(phaseOf(table, "north", 0) == EvacuationPhase::None);
}
