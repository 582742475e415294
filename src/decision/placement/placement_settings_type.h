/** @file placement_settings_type.h Bounds and times of the placement decision. */

#pragma once

#include "core/time_type.h"

namespace wisteriahoist {

/** What bounds a decision. Shares are of the load that an average instance carries. */
struct PlacementSettings {
    Duration staleAfter = std::chrono::seconds(15); ///< An older report counts as unknown.
    Duration settle = std::chrono::seconds(3);    ///< After a move or a split, reports are not yet
                                                  ///< believed; the report's age is added.
    Duration holdDown = std::chrono::seconds(10); ///< A moved range stays this long.
    Duration balanceInterval = std::chrono::seconds(1); ///< Between two balancing decisions.
    Duration moveTimeout = std::chrono::seconds(3); ///< A move not seen by then is asked for again.
    Duration lossTimeout = std::chrono::milliseconds(300); ///< The same for a range without owner.
    Duration loadFall = std::chrono::seconds(8);           ///< Time constant of a falling estimate.
    Duration warmUp = std::chrono::seconds(6); ///< No balancing so soon after the first decision:
    ///< estimates are few seconds' noise, and acting on them moves ranges for nothing.
    uint32_t patience
            = 3; ///< Decisions in a row that find an instance overloaded before it is relieved.
    double tolerance = 0.075; ///< Overload that starts moves when the weights are equal.
    double boundSlack = 1.5;  ///< Where the hottest key sets a bound above 1, others may reach it
                              ///< up to this multiple of the mean: evening them out gains nothing.
    double coldShare = 0.25;  ///< Part of its slots that a cold instance counts with.
    double isolateShare = 0.10;    ///< A key with at least this load gets a range of its own.
    double splitShare = 0.15;      ///< A wider range with more load than this is cut in two.
    double coolShare = 0.02;       ///< An isolated key with less load than this is joined again.
    double movesPerInstance = 0.5; ///< Balancing moves in one decision for each instance.
    double moveLoadShare = 0.15;   ///< Share of the whole load that one decision may move.
    double keySpaceFactor = 2.0;   ///< An instance takes at most this multiple of its fair share of
                                 ///< the key space: bounds what a report of too little load draws.
    double priorShare = 0.01;  ///< Load that is assumed evenly spread, as a share of all load.
    double priorRate = 1.0;    ///< Least such load, requests per second for each instance.
    double splitRanges = 16;   ///< Ranges for each instance above which none is cut for its load.
    double isolateRanges = 24; ///< Ranges for each instance above which no key is isolated.
    double mergeRanges = 32;   ///< Ranges for each instance above which cold neighbours are joined.
};

} // namespace wisteriahoist
