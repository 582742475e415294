/** @file key_load.cpp Load per key on the backend server of this node. */

#include "decision/range/key_load.h"

#include <algorithm>
#include <cmath>

namespace wisteriahoist {

namespace {
/** Decaying on each request would take a pass over all keys. */
constexpr milliseconds DecayInterval{100};

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
} // namespace

void KeyLoad::applyDecay(TimePoint now)
{
    if (decayedAt_ != NeverTime && now - decayedAt_ < DecayInterval) {
        return;
    }
    const double decay = secondsOf(settings_.decay);
    const double factor
            = decayedAt_ == NeverTime ? 1 : std::exp(-secondsOf(now - decayedAt_) / decay);
    decayedAt_ = now;
    const double least = settings_.minBusySlots * decay;
    sum_ = 0;
    for (auto entry = weights_.begin(); entry != weights_.end();) {
        entry->second *= factor;
        if (entry->second < least) {
            entry = weights_.erase(entry);
        } else {
            sum_ += entry->second;
            ++entry;
        }
    }
}

void KeyLoad::record(ShardKey key, Duration busy, TimePoint now)
{
    applyDecay(now);
    if (weights_.size() >= settings_.maxKeys && weights_.count(key.value()) == 0) {
        const auto least = std::min_element(
                weights_.begin(), weights_.end(),
                [](const auto &left, const auto &right) { return left.second < right.second; });
        sum_ -= least->second;
        weights_.erase(least);
    }
    weights_[key.value()] += secondsOf(busy);
    sum_ += secondsOf(busy);
}

std::vector<KeyRate> KeyLoad::rates(const KeySpan &span, TimePoint now)
{
    applyDecay(now);
    const double decay = secondsOf(settings_.decay);
    std::vector<KeyRate> found;
    for (const auto &[key, weight] : weights_) {
        if (span.contains(ShardKey(key))) {
            found.push_back({ShardKey(key), weight / decay});
        }
    }
    std::sort(found.begin(), found.end(),
              [](const KeyRate &left, const KeyRate &right) { return left.key < right.key; });
    return found;
}

void KeyLoad::drop(const KeySpan &span)
{
    std::erase_if(weights_, [&](const auto &entry) {
        const bool moved = span.contains(ShardKey(entry.first));
        sum_ -= moved ? entry.second : 0;
        return moved;
    });
}

double KeyLoad::total(TimePoint now)
{
    applyDecay(now);
    return sum_ / secondsOf(settings_.decay);
}

} // namespace wisteriahoist
