/** @file key_load.cpp How busy each key keeps the backend server beside this node. */

#include "decision/range/key_load.h"

#include <algorithm>
#include <cmath>

namespace wisteriahoist {

namespace {
constexpr milliseconds FadeEvery{100}; ///< Fading on each request would cost a pass over all keys.

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
} // namespace

void KeyLoad::fade(TimePoint now)
{
    if (fadedAt_ != NeverTime && now - fadedAt_ < FadeEvery) {
        return;
    }
    const double decay = secondsOf(settings_.decay);
    const double factor = fadedAt_ == NeverTime ? 1 : std::exp(-secondsOf(now - fadedAt_) / decay);
    fadedAt_ = now;
    const double least = settings_.least * decay;
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
    fade(now);
    if (weights_.size() >= settings_.keys && weights_.count(key.value()) == 0) {
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
    fade(now);
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

double KeyLoad::total(TimePoint now)
{
    fade(now);
    return sum_ / secondsOf(settings_.decay);
}

} // namespace wisteriahoist
