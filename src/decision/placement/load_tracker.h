/** @file load_tracker.h Measures load per range and hot keys from a node's own requests. */

#pragma once

#include "decision/placement/hot_key_sketch.h"
#include "decision/placement/placement_type.h"

#include <unordered_map>

namespace wisteriahoist {

/** Limits of what a node counts and reports. */
struct LoadTrackerSettings {
    Duration decay = std::chrono::seconds(5); ///< Time constant of the decay of older requests.
    size_t trackedKeys = 256;                 ///< Maximum number of keys.
    size_t reportedKeys = 8;                  ///< Keys per report; about 130 bytes.
    size_t trackedRanges = 4096;              ///< Maximum number of ranges; others aren't counted.
};

/** A node's load report for the placement decision. */
struct LoadReport {
    std::vector<SliceLoad> ranges; ///< Sorted by first; without idle ranges.
    std::vector<HotKey> hotKeys;   ///< Hottest first.
    double requestsPerSecond = 0;  ///< Total of all ranges.
};

/**
 * Counts with forward decay: the weight of an event increases with its time, so old counts need no
 * update; only a report divides by the current weight. Used by one thread, in the request path.
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
        TimePoint since; ///< First request; corrects the rate of a range that is new here.
    };

    double weightAt(TimePoint now);
    void rescale(double exponent);

    LoadTrackerSettings settings_;
    HotKeySketch keys_;
    std::unordered_map<KeyHash, RangeCount> ranges_;
    TimePoint started_ = NeverTime;    ///< First request.
    TimePoint origin_ = NeverTime;     ///< Time at which the weight is 1.
    TimePoint weightTime_ = NeverTime; ///< Time for which weight_ holds.
    double weight_ = 1;
};

} // namespace wisteriahoist
