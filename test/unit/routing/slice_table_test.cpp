/** @file slice_table_test.cpp Each hash is in exactly one range. */

#include "decision/routing/slice_table.h"
#include "support/test_section.h"

using namespace wisteriahoist;

Test(slice_table, find)
{
    SECTION("an empty table has no range")
    {
        cr_assert(SliceTable().find(KeyHash(5)) == nullptr);
    }
    SECTION("the ends and the boundaries of ranges of equal width are covered")
    {
        const SliceTable table = SliceTable::makeEven(4);
        cr_assert(table.slices().size() == 4);
        cr_assert(table.find(KeyHash(0)) == &table.slices()[0]);
        cr_assert(table.find(KeyHash(UINT64_MAX)) == &table.slices()[3]);
        cr_assert(table.find(table.slices()[2].first) == &table.slices()[2]);
        cr_assert(table.find(KeyHash(table.slices()[2].first.value() - 1)) == &table.slices()[1]);
    }
    SECTION("a single range covers the whole key space")
    {
        const SliceTable table = SliceTable::makeEven(1);
        cr_assert(table.find(KeyHash(UINT64_MAX)) == &table.slices()[0]);
    }
}
