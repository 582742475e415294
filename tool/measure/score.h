/** @file score.h Runs a contender over a trace and scores it. */

#pragma once

#include "contender.h"

namespace wisteriahoist::measure {

/** The three measures of one run. Ratios are imbalance over the bound of the hottest key. */
struct Score {
    std::string trace;
    std::string contender;
    double imbalance = 0;         ///< Mean of max over mean, over the judged seconds.
    double bound = 0;             ///< Mean of the lowest possible imbalance, same seconds.
    double steadyRatio = 0;       ///< Mean ratio over the last 60 s.
    double worstAfter60 = 0;      ///< Highest ratio in any judged second.
    double churnKeys = 0;         ///< Share of the keys that changed owner, summed.
    double churnLoad = 0;         ///< Share of the load that changed owner, summed.
    double calmChurn = 0;         ///< The part of churnLoad in judged seconds: nothing has shifted.
    double leastLoad = 0;         ///< Least load share to move for 1.10 of the bound, summed.
    double unavailable = 0;       ///< Key-seconds.
    double unavailablePerKey = 0; ///< Milliseconds for an average key.
};

/** @p seed fixes the counts of requests. Seconds later than 60 s after a shift are judged. */
Score runTrace(const Trace &trace, Contender &contender, uint64_t seed);

} // namespace wisteriahoist::measure
