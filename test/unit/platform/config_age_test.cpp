/** @file config_age_test.cpp How old a configuration may become, as the sum of timeouts. */

#include "duty/shared_watch.h"
#include "duty/store_relay.h"
#include "duty/store_sync.h"
#include "platform/object_store.h"
#include "support/test_section.h"

#include <criterion/criterion.h>

using namespace wisteriahoist;
using namespace wisteriahoist::platform;

namespace {

/** A changed configuration has to be in force everywhere in a large fleet within this time. */
constexpr milliseconds MaxConfigAge{2500};

} // namespace

// Guards against timeouts that are each sound and add up, one after the other, to more time than a
// changed configuration may take.
Test(config_age, timeouts_in_series_stay_below_the_limit)
{
    const SharedWatchTimes watch;
    const SyncTimes sync;
    const ObjectStoreSettings store;
    const RelayTimes relay;

    SECTION("a node that watches the store, on a connection that has fallen silent")
    {
        // After a call without a response the next one goes through another node.
        const milliseconds age = sync.gap + watch.configWait + store.watchMargin + sync.firstPause
                                 + relay.callTimeout;
        cr_assert_leq(age.count(), MaxConfigAge.count());
    }
    SECTION("a follower whose feeder has been cut off from the store and is then lost")
    {
        const milliseconds age = sync.gap + watch.maxFollowedConfigAge() + store.callTimeout;
        cr_assert_leq(age.count(), MaxConfigAge.count());
    }
}
