/** @file load_tracker_test.cpp Load per range and hot keys of a node. */

#include "decision/placement/load_tracker.h"
#include "support/test_section.h"

#include <cmath>

using namespace wisteriahoist;
using std::chrono::seconds;

namespace {

/** Records @p perSecond requests per second for @p duration, evenly spaced. */
TimePoint feed(LoadTracker &tracker, KeyHash range, KeyHash key, int perSecond, TimePoint from,
               seconds duration)
{
    const Duration step = Duration(seconds(1)) / perSecond;
    TimePoint now = from;
    for (; now < from + duration; now += step) {
        tracker.record(range, key, now);
    }
    return now;
}

} // namespace

Test(placement_load_tracker, rates)
{
    LoadTracker tracker;
    const TimePoint start(seconds(100));
    TimePoint now = feed(tracker, KeyHash(0), KeyHash(7), 200, start, seconds(3));
    SECTION("a new tracker reports the rate, not the count accumulated so far")
    {
        const LoadReport report = tracker.report(now);
        cr_assert(report.ranges.size() == 1);
        cr_assert(std::abs(report.ranges[0].requestsPerSecond - 200) < 10);
        cr_assert(std::abs(report.hotKeys[0].requestsPerSecond - 200) < 10);
    }
    SECTION("the rate of an idle range decays, and the range is dropped")
    {
        cr_assert(tracker.report(now + seconds(15)).requestsPerSecond < 25);
        cr_assert(tracker.report(now + seconds(120)).ranges.empty());
    }
    SECTION("rates are correct after hours, when weights have been rescaled many times")
    {
        now = feed(tracker, KeyHash(0), KeyHash(7), 50, start + seconds(36000), seconds(300));
        now = feed(tracker, KeyHash(0), KeyHash(7), 50, now + seconds(1), seconds(300));
        cr_assert(std::abs(tracker.report(now).requestsPerSecond - 50) < 3);
    }
}

Test(placement_load_tracker, bounded_memory)
{
    LoadTrackerSettings settings;
    settings.trackedKeys = 16;
    settings.reportedKeys = 2;
    settings.trackedRanges = 4;
    LoadTracker tracker(settings);
    TimePoint now(seconds(1));
    for (uint64_t request = 0; request < 20000; ++request) {
        now += milliseconds(1);
        const bool hot = request % 3 == 0;
        tracker.record(KeyHash(request % 8), KeyHash(hot ? 42 : request), now);
    }
    const LoadReport report = tracker.report(now);
    cr_assert(report.ranges.size() == 4);
    SECTION("the hot key is found among thousands of others, none of which is reported as hot")
    {
        cr_assert(report.hotKeys[0].hash == KeyHash(42));
        cr_assert(std::abs(report.hotKeys[0].requestsPerSecond - 333) < 40);
        for (size_t index = 1; index < report.hotKeys.size(); ++index) {
            cr_assert(report.hotKeys[index].requestsPerSecond < 5);
        }
    }
}
