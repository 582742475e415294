/** @file key_load.h Load per key on the backend server of this node. */

#pragma once

#include "decision/range/range_type.h"

#include <unordered_map>

namespace wisteriahoist {

/** Limits of the load measurement. */
struct KeyLoadSettings {
    /**
     * Time constant of the decay. Hot keys change within seconds on the users' sites, so older
     * load has to decay quickly. With a shorter time constant, the load of a slice with 10
     * requests/s would be estimated from fewer than 30 requests.
     */
    milliseconds decay{3000};
    size_t maxKeys = 4096;        ///< Above this, the keys with the least load are dropped.
    double minBusySlots = 0.0005; ///< Keys with fewer busy slots than this are dropped.
};

/** Number of busy slots that one key accounts for. */
struct KeyRate {
    ShardKey key;
    double busySlots = 0;
};

/**
 * Sums up the running time of requests by key, with exponential decay. The total over all keys is
 * the mean number of slots that were busy during the last seconds.
 */
class KeyLoad
{
public:
    explicit KeyLoad(KeyLoadSettings settings = {}) : settings_(settings) { }

    void record(ShardKey key, Duration busy, TimePoint now);

    /** @return The load of the keys within @p span, sorted by key. */
    std::vector<KeyRate> rates(const KeySpan &span, TimePoint now);

    double total(TimePoint now);

    /** Forgets the load of the keys within @p span, which move to another node. */
    void drop(const KeySpan &span);

private:
    void applyDecay(TimePoint now);

    KeyLoadSettings settings_;
    std::unordered_map<uint32_t, double> weights_; ///< Decayed busy time in seconds, by key.
    double sum_ = 0;                               ///< Sum of weights_.
    TimePoint decayedAt_ = NeverTime;
};

} // namespace wisteriahoist
