/** @file load_tracker.h What one node counts of its own requests: load per range, hottest keys. */

#pragma once

#include "decision/placement/hot_key_sketch.h"
#include "decision/placement/placement_type.h"

#include <unordered_map>

namespace wisteriahoist {

/** Bounds of what a node counts and reports. */
struct LoadTrackerSettings {
    Duration decay = std::chrono::seconds(5); ///< Time constant: older requests fade out.
    size_t trackedKeys = 256;                 ///< Keys held at once.
    size_t reportedKeys = 8;                  ///< Keys in a report: about 130 bytes.
    size_t trackedRanges = 4096; ///< Ranges held at once; further ones are not counted.
};

/** A node's report for the placement decision. */
struct LoadReport {
    std::vector<SliceLoad> ranges; ///< Sorted by first; those without requests are left out.
    std::vector<HotKey> hotKeys;   ///< Hottest first.
    double requestsPerSecond = 0;  ///< Over all ranges.
};

/**
 * Counts with forward decay: an event's weight grows with its time, so that old counts need no
 * update; only a report divides by the present weight. Used by one thread, on the request's path.
 */
class LoadTracker
{
public:
    explicit LoadTracker(LoadTrackerSettings settings = {});

    /** Counts one request for the key @p hash in the range that begins at @p range. */
    void record(KeyHash range, KeyHash hash, TimePoint now);

    /** @return The rates at @p now. */
    LoadReport report(TimePoint now);

private:
    struct RangeCount {
        double weighted = 0;
        TimePoint since; ///< First request; a range that is new here is not counted too low.
    };

    double weightAt(TimePoint now);
    void setBack(double exponent);

    LoadTrackerSettings settings_;
    HotKeySketch keys_;
    std::unordered_map<KeyHash, RangeCount> ranges_;
    TimePoint started_ = NeverTime;    ///< First request of all.
    TimePoint origin_ = NeverTime;     ///< Weight 1.
    TimePoint weightTime_ = NeverTime; ///< Time for which weight_ holds.
    double weight_ = 1;
};

} // namespace wisteriahoist
