/** @file load_tracker.cpp Measures load per range and hot keys from a node's own requests. */

#include "decision/placement/load_tracker.h"

#include <algorithm>
#include <cmath>

namespace wisteriahoist {

namespace {

constexpr milliseconds WeightStep{5};   ///< Minimum time between two computations of the weight.
constexpr double MaxExponent = 40;      ///< Weights are rescaled above e^40, far below overflow.
constexpr double NegligibleRate = 0.01; ///< Requests per second below which a range is dropped.
constexpr double MinAge = 0.2; ///< Share of the decay; limits the extrapolation of young counts.

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

LoadTracker::LoadTracker(LoadTrackerSettings settings)
    : settings_(settings), keys_(settings.trackedKeys)
{ }

double LoadTracker::weightAt(TimePoint now)
{
    if (origin_ == NeverTime) {
        origin_ = now;
        started_ = now;
        weightTime_ = now;
    }
    if (now - weightTime_ < WeightStep) {
        return weight_;
    }
    const double exponent = toSeconds(now - origin_) / toSeconds(settings_.decay);
    if (exponent > MaxExponent) {
        rescale(exponent);
        origin_ = now;
        weight_ = 1;
    } else {
        weight_ = std::exp(exponent);
    }
    weightTime_ = now;
    return weight_;
}

void LoadTracker::rescale(double exponent)
{
    const double factor = std::exp(-exponent);
    keys_.scale(factor);
    for (auto &[first, count] : ranges_) {
        count.weighted *= factor;
    }
}

void LoadTracker::record(KeyHash range, KeyHash hash, TimePoint now)
{
    const double weight = weightAt(now);
    keys_.add(hash, weight);
    const auto found = ranges_.find(range);
    if (found != ranges_.end()) {
        found->second.weighted += weight;
    } else if (ranges_.size() < settings_.trackedRanges) {
        ranges_[range] = {weight, now};
    }
}

LoadReport LoadTracker::report(TimePoint now)
{
    const double decay = toSeconds(settings_.decay);
    const double unit = weightAt(now) * decay;
    LoadReport report;
    for (auto entry = ranges_.begin(); entry != ranges_.end();) {
        const double age = std::max(toSeconds(now - entry->second.since) / decay, MinAge);
        const double rate = entry->second.weighted / unit / (1 - std::exp(-age));
        if (rate < NegligibleRate) {
            entry = ranges_.erase(entry);
            continue;
        }
        report.ranges.push_back({entry->first, rate});
        report.requestsPerSecond += rate;
        ++entry;
    }
    std::sort(
            report.ranges.begin(), report.ranges.end(),
            [](const SliceLoad &left, const SliceLoad &right) { return left.first < right.first; });
    // Without this correction a new tracker would report key rates that are too low compared to
    // those of ranges.
    const double age = std::max(toSeconds(now - started_) / decay, MinAge);
    const double keyUnit = unit * (1 - std::exp(-age));
    // Uses the lower bound of a key's count: with the upper bound, keys would be isolated that
    // aren't hot.
    for (const SketchEntry &entry : keys_.top(settings_.reportedKeys)) {
        const double rate = (entry.count - entry.error) / keyUnit;
        if (rate >= NegligibleRate) {
            report.hotKeys.push_back({entry.hash, rate});
        }
    }
    return report;
}

} // namespace wisteriahoist
