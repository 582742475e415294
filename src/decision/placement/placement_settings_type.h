/** @file placement_settings_type.h Limits and intervals of the placement decision. */

#pragma once

#include "core/time_type.h"

namespace wisteriahoist {

/** Limits of a decision. Shares are relative to the mean load per instance. */
struct PlacementSettings {
    Duration staleAfter = std::chrono::seconds(15); ///< With an older report the load is unknown.
    Duration settle = std::chrono::seconds(3);      ///< Plus the report's age: how long reports are
                                                    ///< ignored after a move or a split.
    Duration holdDown
            = std::chrono::seconds(10); ///< A moved range is not moved again for this long.
    Duration balanceInterval = std::chrono::seconds(1); ///< Between two balancing decisions.
    Duration moveTimeout = std::chrono::seconds(3); ///< An unconfirmed move is repeated after this.
    Duration lossTimeout = std::chrono::milliseconds(300); ///< Same for a range without owner.
    Duration loadFall = std::chrono::seconds(8); ///< Time constant of a decreasing estimate.
    Duration warmUp = std::chrono::seconds(6);   ///< No balancing for this long after the first
    ///< decision: estimates of a few seconds are noise, and cause useless moves.
    uint32_t overloadedRounds
            = 3; ///< Consecutive decisions with an overloaded instance until ranges leave it.
    double tolerance = 0.075; ///< Relative overload that starts moves with equal weights.
    double boundSlack = 1.5;  ///< If the hottest key makes an imbalance above 1 unavoidable, others
                              ///< are tolerated up to it, but at most this multiple of the mean:
                              ///< balancing them would not reduce the maximum.
    double coldShare = 0.25;  ///< Share of a cold instance's slots that counts as capacity.
    double isolateShare = 0.10;    ///< A key with at least this load gets its own range.
    double splitShare = 0.15;      ///< A range of several keys with more load is split in two.
    double coolShare = 0.02;       ///< An isolated key with less load is merged again.
    double movesPerInstance = 0.5; ///< Balancing moves per decision and instance.
    double moveLoadShare = 0.15;   ///< Share of the total load that one decision may move.
    double keySpaceFactor = 2.0;   ///< An instance gets at most this multiple of its fair share of
                                   ///< the key space: limits the effect of too low load reports.
    double priorShare = 0.01;      ///< Load assumed to be spread evenly, as a share of the total.
    double priorRate = 1.0;        ///< Minimum of that load, requests per second per instance.
    double splitRanges = 16;       ///< Ranges per instance above which none is split for its load.
    double isolateRanges = 24;     ///< Ranges per instance above which no key is isolated.
    double mergeRanges = 32;       ///< Ranges per instance above which cold neighbours are merged.
};

} // namespace wisteriahoist
