/** @file backoff_func.h Pauses that double and differ between nodes, without a random source. */

#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstdint>

namespace wisteriahoist {

/** @return A number that differs between nodes and rounds; equal inputs give equal numbers. */
constexpr uint64_t mixNumbers(uint64_t left, uint64_t right)
{
    constexpr uint64_t Factor = 0x9e3779b97f4a7c15ULL; // Fibonacci hashing
    uint64_t value = ((left + 1) * Factor) ^ (right + Factor);
    value = (value ^ (value >> 29)) * Factor;
    return value ^ (value >> 32);
}

/**
 * Failure: the platform returns after an outage. Symptom without this: all nodes call at once, past
 * its rate, and it fails again. A doubled pause with a spread by node keeps the sum under that.
 * @return A pause between base * 2^round and twice that; @p round counts to @p maxRound at most.
 */
constexpr Duration backoffPause(Duration base, uint32_t round, uint32_t maxRound, uint64_t node)
{
    constexpr uint64_t JitterSteps = 64;
    const Duration pause = base * (1U << std::min(round, maxRound));
    return pause + pause * (mixNumbers(node, round) % JitterSteps) / JitterSteps;
}

} // namespace wisteriahoist
