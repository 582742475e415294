/** @file metric_type.h Counters, gauges and distributions: written by a duty, read by another. */

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

/** A count that only rises. Any thread may add and read; no order with other data is implied. */
class Counter
{
public:
    void add(uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> value_{0};
};

/** The latest value of something. */
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
 * One counter for each value of a label. The number of values is bounded, since a label taken from
 * outside would otherwise grow the page without end; what comes beyond is counted as "other".
 * One thread adds, any thread reads.
 */
class LabelledCounter
{
public:
    static constexpr size_t MaxValues = 32;

    void add(std::string_view value);

    /** Calls @p visit(label value, count) for each. */
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
        std::string label; ///< Invariant: not changed once used_ covers it.
        Counter count;
    };

    std::array<Slot, MaxValues> slots_;
    std::atomic<size_t> used_{0};
    Counter other_;
};

/** Counts of values by upper bound, for latencies over a whole fleet: buckets add up. */
class Histogram
{
public:
    /** Seconds; twice the bound before, from a hop's time to the longest timeouts. */
    static constexpr std::array<double, 12> Bounds{0.002, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                   0.2,   0.4,   0.8,  1.6,   3.2,  6.4};

    void observe(double value);

    /** @return Values up to Bounds[index], or all of them for index == Bounds.size(). */
    uint64_t countUpTo(size_t index) const;

    double sum() const { return sum_.value(); }

private:
    std::array<Counter, Bounds.size() + 1> buckets_; ///< By smallest bound; the last is above all.
    Gauge sum_;
};

/** What a distribution says of its latest whole window. */
struct DistributionReading {
    static constexpr std::array<double, 3> Quantiles{0.5, 0.9, 0.99};

    uint64_t count = 0;  ///< Since the start.
    double sum = 0;      ///< Since the start.
    bool recent = false; ///< The values below are of use.
    std::array<double, Quantiles.size()> quantiles{};
    double max = 0;
    double perSecond = 0;
};

/**
 * Quantiles (P-square), maximum and rate over windows of a fixed length, by Boost.Accumulators.
 * One thread observes; it publishes plain atomics, so that a reader never makes it wait. A reader
 * may see the atomics of two neighbouring windows mixed, which a graph does not show.
 */
class Distribution
{
public:
    explicit Distribution(Duration window = std::chrono::seconds(10));

    /** Adds one value. @pre Always called by the same thread. */
    void observe(double value, TimePoint now);

    /** @return The latest whole window; not recent if that ended more than two windows ago. */
    DistributionReading read(TimePoint now) const;

private:
    using Accumulator = boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::count,
                                               boost::accumulators::tag::max,
                                               boost::accumulators::tag::extended_p_square>>;

    static Accumulator makeAccumulator();
    void publish(TimePoint windowEnd);

    const Duration window_;
    Accumulator accumulator_; ///< Observing thread only.
    TimePoint windowStart_ = NeverTime;
    Counter count_;
    Gauge sum_;
    Gauge max_;
    Gauge perSecond_;
    std::array<Gauge, DistributionReading::Quantiles.size()> quantiles_;
    std::atomic<int64_t> publishedAt_; ///< Nanoseconds on the clock; release after the others.
};

} // namespace wisteriahoist
