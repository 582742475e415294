/** @file metric_type.cpp Implements the labelled counter, the histogram and the distribution. */

#include "adapter/metrics/metric_type.h"

namespace wisteriahoist {

namespace {

/** With fewer values the P-square markers are not initialized: two per quantile plus three. */
constexpr size_t MinimumForQuantiles = 2 * DistributionSnapshot::Quantiles.size() + 3;

} // namespace

void LabelledCounter::add(std::string_view value)
{
    const size_t used = used_.load(std::memory_order_relaxed);
    for (size_t index = 0; index < used; ++index) {
        if (slots_[index].label == value) {
            slots_[index].count.add();
            return;
        }
    }
    if (used == MaxValues) {
        other_.add();
        return;
    }
    slots_[used].label = value;
    slots_[used].count.add();
    used_.store(used + 1, std::memory_order_release);
}

Distribution::Distribution(Duration window)
    : window_(window), accumulator_(makeAccumulator()),
      publishedAt_(NeverTime.time_since_epoch().count())
{ }

Distribution::Accumulator Distribution::makeAccumulator()
{
    namespace tag = boost::accumulators::tag;
    return Accumulator(tag::extended_p_square::probabilities = DistributionSnapshot::Quantiles);
}

void Distribution::observe(double value, TimePoint now)
{
    if (windowStart_ == NeverTime) {
        windowStart_ = now;
    }
    if (now - windowStart_ >= window_) {
        publish(now);
        accumulator_ = makeAccumulator();
        windowStart_ = now;
    }
    accumulator_(value);
    count_.add();
    sum_.add(value);
}

void Distribution::publish(TimePoint windowEnd)
{
    namespace accumulators = boost::accumulators;
    const size_t count = accumulators::count(accumulator_);
    if (count == 0) {
        return;
    }
    const double max = accumulators::max(accumulator_);
    const auto markers = accumulators::extended_p_square(accumulator_);
    for (size_t index = 0; index < quantiles_.size(); ++index) {
        // With too few values the markers are undefined; report the maximum as an upper bound.
        quantiles_[index].set(
                count < MinimumForQuantiles ? max : markers[static_cast<std::ptrdiff_t>(index)]);
    }
    max_.set(max);
    const std::chrono::duration<double> length = windowEnd - windowStart_;
    perSecond_.set(static_cast<double>(count) / length.count());
    publishedAt_.store(windowEnd.time_since_epoch().count(), std::memory_order_release);
}

DistributionSnapshot Distribution::read(TimePoint now) const
{
    DistributionSnapshot snapshot;
    const TimePoint published(Duration(publishedAt_.load(std::memory_order_acquire)));
    snapshot.count = count_.value();
    snapshot.sum = sum_.value();
    snapshot.recent = published != NeverTime && now - published <= 2 * window_;
    if (!snapshot.recent) {
        return snapshot;
    }
    for (size_t index = 0; index < quantiles_.size(); ++index) {
        snapshot.quantiles[index] = quantiles_[index].value();
    }
    snapshot.max = max_.value();
    snapshot.perSecond = perSecond_.value();
    return snapshot;
}

void Histogram::observe(double value)
{
    size_t bucket = 0;
    while (bucket < Bounds.size() && value > Bounds[bucket]) {
        ++bucket;
    }
    buckets_[bucket].add();
    sum_.add(value);
}

uint64_t Histogram::countUpTo(size_t index) const
{
    uint64_t count = 0;
    for (size_t bucket = 0; bucket <= index; ++bucket) {
        count += buckets_[bucket].value();
    }
    return count;
}

} // namespace wisteriahoist
