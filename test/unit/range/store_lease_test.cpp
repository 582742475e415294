/** @file store_lease_test.cpp The lease in the store: what its holder may do, when it may be taken.
 */

#include "decision/range/store_lease.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {
constexpr TimePoint Start{std::chrono::hours(1)};
constexpr StoreLeaseTimes Times{};
} // namespace

// The store takes a renewal and answers seconds later. A taker counts from what it read just after
// the renewal; a holder that counted from the answer would go on granting after the takeover.
Test(store_lease, counts_from_the_sending)
{
    StoreLease lease(Times);
    cr_assert(lease.beginRenewal(Start));
    lease.onRenewed(Start);
    cr_assert(lease.isValid(Start + Times.term - milliseconds(1)));
    cr_assert(!lease.isValid(Start + Times.term));
    SECTION("one renewal at a time, and not before it is due")
    {
        cr_assert(!lease.beginRenewal(Start + milliseconds(100)));
        cr_assert(lease.beginRenewal(Start + Times.renewEvery));
        cr_assert(!lease.beginRenewal(Start + Times.renewEvery * 2));
    }
    SECTION("a revoked lease is over at once")
    {
        lease.onRevoked();
        cr_assert(!lease.isValid(Start));
    }
}

Test(store_lease, renewals_of_a_large_fleet_are_further_apart)
{
    SECTION("a small fleet renews as often as it likes")
    {
        cr_assert(renewalInterval(Times, 1) == Times.renewEvery);
        cr_assert(renewalInterval(Times, Times.smallFleet) == Times.renewEvery);
    }
    SECTION("the interval grows with the fleet, up to a bound")
    {
        const milliseconds middle
                = renewalInterval(Times, (Times.smallFleet + Times.largeFleet) / 2);
        cr_assert(middle > Times.renewEvery && middle < Times.longestRenewEvery);
        cr_assert(renewalInterval(Times, 18000) == Times.longestRenewEvery);
    }
    SECTION("two renewals that are lost in a row leave time for a third")
    {
        cr_assert(3 * Times.longestRenewEvery < Times.term);
    }
}

Test(store_lease, taken_only_after_the_whole_term)
{
    LeaseObserver observer(Times);
    cr_assert(!observer.isOver(Start));
    observer.onRead(7, Start);
    SECTION("not within the term and what clocks may differ by")
    {
        cr_assert(!observer.isOver(Start + Times.term));
        observer.onRead(7, Start + Times.term);
        cr_assert(observer.isOver(Start + Times.term + milliseconds(480)));
    }
    SECTION("a renewal seen in between starts the wait anew")
    {
        observer.onRead(8, Start + Times.term);
        cr_assert(!observer.isOver(Start + Times.term + milliseconds(480)));
    }
    SECTION("nothing is outwaited for a node that never had a lease")
    {
        LeaseObserver absent(Times);
        absent.onRead(0, Start);
        cr_assert(absent.isOver(Start));
    }
}
