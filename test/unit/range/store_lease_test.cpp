/** @file store_lease_test.cpp The lease in the store: how long its holder may rely on it, and when
 * it may be revoked. */

#include "decision/range/store_lease.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {
constexpr TimePoint Start{std::chrono::hours(1)};
constexpr StoreLeaseTimes Times{};
} // namespace

// Guards against a holder that still grants after a takeover. The store accepts a renewal and
// answers seconds later. A node that takes over counts from the time at which it read the lease
// just after the renewal, so a holder that counted from the answer would grant for too long.
Test(store_lease, validity_counts_from_the_sending)
{
    StoreLease lease(Times);
    cr_assert(lease.beginRenewal(Start));
    lease.onRenewed(Start);
    cr_assert(lease.isValid(Start + Times.term - milliseconds(1)));
    cr_assert(!lease.isValid(Start + Times.term));
    SECTION("only one renewal at a time, and not before it is due")
    {
        cr_assert(!lease.beginRenewal(Start + milliseconds(100)));
        cr_assert(lease.beginRenewal(Start + Times.renewInterval));
        cr_assert(!lease.beginRenewal(Start + Times.renewInterval * 2));
    }
    SECTION("a revoked lease ends at once")
    {
        lease.onRevoked();
        cr_assert(!lease.isValid(Start));
    }
}

Test(store_lease, renewal_interval_grows_with_the_fleet)
{
    SECTION("a small fleet uses the shortest interval")
    {
        cr_assert(renewalInterval(Times, 1) == Times.renewInterval);
        cr_assert(renewalInterval(Times, Times.smallFleet) == Times.renewInterval);
    }
    SECTION("the interval grows with the fleet up to a limit")
    {
        const milliseconds middle
                = renewalInterval(Times, (Times.smallFleet + Times.largeFleet) / 2);
        cr_assert(middle > Times.renewInterval && middle < Times.maxRenewInterval);
        cr_assert(renewalInterval(Times, 18000) == Times.maxRenewInterval);
    }
    SECTION("two consecutive lost renewals leave time for a third")
    {
        cr_assert(3 * Times.maxRenewInterval < Times.term);
    }
}

Test(store_lease, revocable_only_after_the_whole_term)
{
    LeaseObserver observer(Times);
    cr_assert(!observer.hasExpired(Start));
    observer.onRead(7, Start);
    SECTION("not within the term and the possible clock difference")
    {
        cr_assert(!observer.hasExpired(Start + Times.term));
        observer.onRead(7, Start + Times.term);
        cr_assert(observer.hasExpired(Start + Times.term + milliseconds(480)));
    }
    SECTION("a renewal seen in between restarts the waiting time")
    {
        observer.onRead(8, Start + Times.term);
        cr_assert(!observer.hasExpired(Start + Times.term + milliseconds(480)));
    }
    SECTION("no waiting time for a node that never had a lease")
    {
        LeaseObserver absent(Times);
        absent.onRead(0, Start);
        cr_assert(absent.hasExpired(Start));
    }
}
