/** @file range_planner.h Decides which ranges move to which holder when a holder leaves, is lost or
 * is overloaded. */

#pragma once

#include "decision/range/key_load.h"

#include <optional>
#include <random>

namespace wisteriahoist {

/** A backend server that may receive keys. */
struct RangeCandidate {
    RangeHolder holder;
    double busySlots = 0;        ///< From its latest report; 0 if there is none.
    double slots = 1;            ///< Total number of slots.
    uint32_t keys = 0;           ///< Number of keys that it currently holds.
    milliseconds serviceTime{0}; ///< Mean running time of a request; 0: unknown.
};

/** A range and its new holder. */
struct RangeMove {
    KeySpan span;
    RangeHolder holder;
    bool operator==(const RangeMove &) const = default;
};

/** Thresholds for moving part of a holder's load to another holder. */
struct BalanceLimits {
    /**
     * A holder that uses less than this share of its slots keeps all its keys, since no requests
     * wait.
     */
    double busyShare = 0.85;
    /**
     * Minimum difference of the slot utilisation between the two holders. A move makes its keys
     * unavailable for one to two seconds, until the longest running request for them has ended.
     */
    double margin = 0.3;
    /**
     * Minimum by which the move of a hot key must reduce the utilisation of the busier of the two
     * holders; a share of that utilisation if it is above 1.
     */
    double hotKeyGain = 0.2;
    /** Share of the difference that is moved at once; moving all of it would cause oscillation. */
    double part = 0.5;
    /** A move of less than this share of the intended load is not worth the disruption. */
    double minPart = 0.25;
    /** Ranges that move at once. A holder may have many small ranges, each with little load. */
    size_t ranges = 6;
    /**
     * Minimum time between two moves. Loads are reported one second late and decay over three
     * seconds, so an earlier second move would be based on the load from before the first one.
     */
    milliseconds pause{3000};
    /** The same before the move of a hot key: it is measured within half a second, and stays hot
     * for a few seconds only. */
    milliseconds hotKeyPause{500};
};

/**
 * Number of backend servers considered for one balancing move. All holders see the same reports,
 * which are a second old: with 41 holders, six of them chose the same least loaded backend server
 * within one second, and the moved keys waited there. The least loaded of three random candidates
 * is still a good choice, and rarely the choice of all holders.
 */
inline constexpr size_t BalanceSample = 3;
/**
 * Number of backend servers that receive the keys of a leaving one. Dividing the keys among 40
 * backend servers made the table ten times as long, and each part costs a release, a write and a
 * grant.
 */
inline constexpr size_t DistributionSample = 6;

/** @return @p most of @p candidates, drawn at random; all of them if there are no more. */
std::vector<RangeCandidate> drawCandidates(std::vector<RangeCandidate> candidates, size_t most,
                                           std::mt19937_64 &random);

/**
 * Divides @p spans among @p candidates so that their loads become as equal as possible. The load
 * of the keys is taken from @p rates; if @p rates is empty, it is assumed to be spread evenly over
 * the keys.
 * @param rates Sorted by key.
 * @return Empty if there are no candidates.
 */
std::vector<RangeMove> planDistribution(const std::vector<KeySpan> &spans,
                                        const std::vector<KeyRate> &rates,
                                        const std::vector<RangeCandidate> &candidates);

/**
 * @return The upper half of the widest of @p spans, for a candidate that holds no keys yet. Used
 *         if no load figures show which keys it should get.
 */
std::optional<RangeMove> planInitialShare(const std::vector<KeySpan> &spans,
                                          const RangeCandidate &newcomer);

/**
 * Decides whether an overloaded holder moves its hottest key to the candidate that would be least
 * busy with it. Only a key that keeps half of the slots busy moves alone.
 */
std::optional<RangeMove> planHotKey(const RangeCandidate &self, const std::vector<KeyRate> &rates,
                                    const std::vector<RangeCandidate> &candidates,
                                    const BalanceLimits &limits);

/**
 * Decides whether a busy holder moves some of its keys to the least loaded candidate.
 *
 * Whole ranges are moved first. Otherwise a part is split off at an end of a range, so that the
 * number of ranges grows little. A key with more load than the whole difference stays where it is,
 * and its neighbours move instead. Such a key moves only if it alone keeps a slow backend server
 * busy and a faster one would be less busy with it.
 * @return The moves; empty if nothing should move.
 */
std::vector<RangeMove> planBalance(const RangeCandidate &self, const std::vector<KeySpan> &spans,
                                   const std::vector<KeyRate> &rates,
                                   const std::vector<RangeCandidate> &candidates,
                                   const BalanceLimits &limits);

} // namespace wisteriahoist
