/** @file key_load.h How busy each key keeps the backend server beside this node. */

#pragma once

#include "decision/range/range_type.h"

#include <unordered_map>

namespace wisteriahoist {

/** Bounds of what is counted. */
struct KeyLoadSettings {
    /** Time constant. Hot keys change within seconds on the users' sites, so older load fades fast;
     *  shorter, and a slice with 10 requests/s is judged by fewer than 30 of them. */
    milliseconds decay{3000};
    size_t keys = 4096;    ///< Counted at once; beyond, those with the least load are dropped.
    double least = 0.0005; ///< Busy slots below which a key is dropped.
};

/** Busy slots of one key. */
struct KeyRate {
    ShardKey key;
    double busySlots = 0;
};

/**
 * Counts the time that requests spent running, by key, and lets it fade. The sum over all keys is
 * the mean number of slots that were busy in the last seconds.
 */
class KeyLoad
{
public:
    explicit KeyLoad(KeyLoadSettings settings = {}) : settings_(settings) { }

    void record(ShardKey key, Duration busy, TimePoint now);

    /** @return Keys with load within @p span, in order of the keys. */
    std::vector<KeyRate> rates(const KeySpan &span, TimePoint now);

    double total(TimePoint now);

private:
    void fade(TimePoint now);

    KeyLoadSettings settings_;
    std::unordered_map<uint32_t, double> weights_; ///< Faded busy seconds by key.
    double sum_ = 0;                               ///< Of weights_.
    TimePoint fadedAt_ = NeverTime;
};

} // namespace wisteriahoist
