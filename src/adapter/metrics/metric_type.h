/** @file metric_type.h Counters, gauges and distributions, written and read by different threads.
 */

#pragma once

#include "core/time_type.h"

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace wisteriahoist {

/** Monotonic counter. Any thread may add and read; does not order accesses to other data. */
class Counter
{
public:
    void add(uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> value_{0};
};

/** Value that can rise and fall. Any thread may set, add and read. */
class Gauge
{
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    void add(double amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_{0};
};

/**
 * One counter per value of a label. The number of values is limited, because labels from external
 * input would otherwise let the metrics page grow without limit; further values are counted as
 * "other". One thread adds, any thread reads.
 */
class LabelledCounter
{
public:
    static constexpr size_t MaxValues = 32;

    void add(std::string_view value);

    /** Calls @p visit(label value, count) for each label value. */
    template <typename Visitor>
    void forEach(Visitor visit) const
    {
        const size_t used = used_.load(std::memory_order_acquire);
        for (size_t index = 0; index < used; ++index) {
            visit(slots_[index].label, slots_[index].count.value());
        }
        if (other_.value() > 0) {
            visit(std::string("other"), other_.value());
        }
    }

private:
    struct Slot {
        std::string label; ///< Invariant: constant once used_ includes the slot.
        Counter count;
    };

    std::array<Slot, MaxValues> slots_;
    std::atomic<size_t> used_{0};
    Counter other_;
};

/** Histogram of latencies; its buckets can be summed over the nodes of a fleet. */
class Histogram
{
public:
    /** Upper bounds in seconds; each about twice the previous one, from the latency of one hop to
     *  the longest timeouts. */
    static constexpr std::array<double, 12> Bounds{0.002, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                   0.2,   0.4,   0.8,  1.6,   3.2,  6.4};

    void observe(double value);

    /** @return Number of values up to Bounds[index], or of all values if index == Bounds.size(). */
    uint64_t countUpTo(size_t index) const;

    double sum() const { return sum_.value(); }

private:
    std::array<Counter, Bounds.size() + 1>
            buckets_; ///< By bound, not cumulative; the last one is +Inf.
    Gauge sum_;
};

/** Snapshot of a distribution over its latest complete window. */
struct DistributionSnapshot {
    static constexpr std::array<double, 3> Quantiles{0.5, 0.9, 0.99};

    uint64_t count = 0;  ///< Number of values since process start.
    double sum = 0;      ///< Sum of values since process start.
    bool recent = false; ///< Whether the following values are valid.
    std::array<double, Quantiles.size()> quantiles{};
    double max = 0;
    double perSecond = 0;
};

/**
 * Quantiles (P-square), maximum and rate over windows of a fixed length, by Boost.Accumulators.
 * One thread observes and publishes atomics, so that readers never block it. A reader may
 * see a mix of values of two consecutive windows, which is not noticeable in a graph.
 */
class Distribution
{
public:
    explicit Distribution(Duration window = std::chrono::seconds(10));

    /** Adds one value. @pre Always called by the same thread. */
    void observe(double value, TimePoint now);

    /** @return Snapshot of the latest complete window; not recent if it ended more than two window
     *  lengths ago. */
    DistributionSnapshot read(TimePoint now) const;

private:
    using Accumulator = boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::count,
                                               boost::accumulators::tag::max,
                                               boost::accumulators::tag::extended_p_square>>;

    static Accumulator makeAccumulator();
    void publish(TimePoint windowEnd);

    const Duration window_;
    Accumulator accumulator_; ///< Used only by the observing thread.
    TimePoint windowStart_ = NeverTime;
    Counter count_;
    Gauge sum_;
    Gauge max_;
    Gauge perSecond_;
    std::array<Gauge, DistributionSnapshot::Quantiles.size()> quantiles_;
    std::atomic<int64_t>
            publishedAt_; ///< Nanoseconds of TimePoint; stored with release after the others.
};

} // namespace wisteriahoist
