/** @file range_planner.h Which ranges go to which holder: when one leaves, is lost, or is too busy.
 */

#pragma once

#include "decision/range/key_load.h"

#include <optional>
#include <random>

namespace wisteriahoist {

/** A backend server that may be given keys. */
struct RangeCandidate {
    RangeHolder holder;
    double busySlots = 0;        ///< By its latest report; 0 if there is none.
    double slots = 1;            ///< That it has.
    uint32_t keys = 0;           ///< Keys that it holds at present.
    milliseconds serviceTime{0}; ///< Mean time that a request runs there; 0: not known.
};

/** A range and who is to hold it. */
struct RangeMove {
    KeySpan span;
    RangeHolder holder;
    bool operator==(const RangeMove &) const = default;
};

/** When a holder gives a part of its load away. */
struct BalanceLimits {
    /** Below this share of its slots a holder keeps what it has: nobody waits there. */
    double busyShare = 0.85;
    /** By so much the other's share must be lower: a move costs its keys one to two seconds, until
     *  the longest request that runs on them has ended. */
    double margin = 0.3;
    /** By so much the busier one of the two has to be less busy after a hot key's move. */
    double hotKeyGain = 0.2;
    /** Part of the difference that is moved at once; all of it would swing back. */
    double part = 0.5;
    /** Less load than this share of what should move is not worth the disturbance. */
    double leastPart = 0.25;
    /** Ranges that move at once: a holder may have many small ones, none of which weighs much. */
    size_t ranges = 6;
    /** Loads are reported a second late and fade over three: a second move sooner would act on the
     *  load from before the first. */
    milliseconds pause{3000};
};

/**
 * How many backend servers are looked at for one balancing move. All holders see the same reports,
 * a second old: with 41 of them, six chose the same idlest one within a second and each other's
 * keys waited there. The idlest of three random ones is a good one, and rarely everybody's.
 */
inline constexpr size_t BalanceSample = 3;
/**
 * How many backend servers get the keys of one that leaves. Cut into a piece for each of 40, they
 * made the table ten times as long, and each piece costs a release, a write and a grant.
 */
inline constexpr size_t GiveAwaySample = 6;

/** @return @p most of @p candidates, drawn at random; all of them if there are no more. */
std::vector<RangeCandidate> drawCandidates(std::vector<RangeCandidate> candidates, size_t most,
                                           std::mt19937_64 &random);

/**
 * Divides @p spans among @p candidates so that their loads come out level. The load of the spans
 * is taken from @p rates; with @p rates empty, it is taken to be even over the keys.
 * @param rates Sorted by key. @return Empty if there are no candidates.
 */
std::vector<RangeMove> planGiveAway(const std::vector<KeySpan> &spans,
                                    const std::vector<KeyRate> &rates,
                                    const std::vector<RangeCandidate> &candidates);

/** @return The half of the widest of @p spans for a candidate without keys, where no load tells
 *          what it should get. */
std::optional<RangeMove> planFirstShare(const std::vector<KeySpan> &spans,
                                        const RangeCandidate &newcomer);

/**
 * Decides whether a busy holder gives a part of its keys to the least busy candidate.
 * Whole ranges go first; a part is cut at an end of a range, so that their number grows little. A
 * key that is busier than the whole difference stays where it is: its neighbours move instead. Only
 * if one key alone keeps a slow backend server busy, and a faster one would be less busy with it,
 * does that key move.
 * @return What moves; empty if nothing should.
 */
std::vector<RangeMove> planBalance(const RangeCandidate &self, const std::vector<KeySpan> &spans,
                                   const std::vector<KeyRate> &rates,
                                   const std::vector<RangeCandidate> &candidates,
                                   const BalanceLimits &limits);

} // namespace wisteriahoist
