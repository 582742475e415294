/** @file trace.cpp The traces of the project. */

#include "trace_type.h"

#include "decision/placement/table/placement_profiles.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace wisteriahoist::measure {

namespace {

constexpr size_t KeyCount = 20000;
constexpr double RatePerInstance = 1000; ///< Requests per second.
constexpr double ZipfExponent = 0.99;
constexpr uint32_t Domains = 3;
constexpr uint32_t RangesPerInstance = 16;
constexpr uint32_t Slots = 12;

/** How far a shift from @p start over @p duration has come at @p now: 0 to 1. */
double progress(seconds now, seconds start, seconds duration)
{
    const double done = static_cast<double>((now - start).count());
    return std::clamp(done / static_cast<double>(duration.count()), 0.0, 1.0);
}

InstanceView makeInstance(uint64_t id, uint64_t place)
{
    InstanceView view;
    view.id = NodeId(id);
    view.slots = Slots;
    view.failureDomain = "domain-" + std::to_string(place % Domains);
    return view;
}

std::vector<InstanceView> makeInstances(uint32_t count)
{
    std::vector<InstanceView> views;
    for (uint32_t index = 0; index < count; ++index) {
        views.push_back(makeInstance(index + 1, index));
    }
    return views;
}

/** Builds traces over one set of keys. */
class TraceMaker
{
public:
    explicit TraceMaker(uint64_t seed) : random_(seed)
    {
        for (size_t index = 0; index < KeyCount; ++index) {
            keys_.emplace_back(random_());
        }
        std::sort(keys_.begin(), keys_.end());
        order_.resize(KeyCount);
        std::iota(order_.begin(), order_.end(), size_t{0});
        std::shuffle(order_.begin(), order_.end(), random_);
        zipf_.resize(KeyCount);
        double sum = 0;
        for (size_t rank = 0; rank < KeyCount; ++rank) {
            zipf_[order_[rank]] = 1 / std::pow(static_cast<double>(rank + 1), ZipfExponent);
            sum += zipf_[order_[rank]];
        }
        for (double &share : zipf_) {
            share /= sum;
        }
    }

    Trace make(std::string name, uint32_t count, PlacementWeights weights)
    {
        Trace trace;
        trace.name = std::move(name);
        trace.ranges = count * RangesPerInstance;
        trace.weights = weights;
        trace.keys = keys_;
        trace.shifts = {Shift{}};
        const double total = RatePerInstance * count;
        trace.rates = [zipf = zipf_, total](seconds, std::vector<double> &rates) {
            for (size_t key = 0; key < zipf.size(); ++key) {
                rates[key] = zipf[key] * total;
            }
        };
        trace.instances = [views = makeInstances(count)](seconds) { return views; };
        return trace;
    }

    /** @p share of the load goes to @p hot keys, while @p weight says so (0 to 1). */
    void addHot(Trace &trace, std::vector<size_t> hot, double share,
                std::function<double(seconds)> weight)
    {
        trace.rates = [base = trace.rates, hot = std::move(hot), share,
                       weight = std::move(weight)](seconds now, std::vector<double> &rates) {
            base(now, rates);
            const double moved = share * weight(now);
            const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
            for (double &rate : rates) {
                rate *= 1 - moved;
            }
            for (const size_t key : hot) {
                rates[key] += moved * total / static_cast<double>(hot.size());
            }
        };
    }

    std::vector<size_t> pick(size_t count)
    {
        std::vector<size_t> all = order_;
        std::shuffle(all.begin(), all.end(), random_);
        all.resize(count);
        return all;
    }

private:
    std::mt19937_64 random_;
    std::vector<KeyHash> keys_;
    std::vector<size_t> order_; ///< Keys by popularity.
    std::vector<double> zipf_;  ///< Share of the load by key.
};

Trace makeOneKey(TraceMaker &maker, const std::string &name)
{
    Trace trace = maker.make(name, 24, UnavailableTimeWeights);
    maker.addHot(trace, maker.pick(1), 0.4,
                 [](seconds now) { return progress(now, seconds(120), seconds(60)); });
    trace.shifts.push_back({seconds(120), seconds(180)});
    return trace;
}

Trace makeHotSet(TraceMaker &maker)
{
    Trace trace = maker.make("hot_830", 100, UnavailableTimeWeights);
    const auto fade = [](seconds now) { return progress(now, seconds(120), seconds(60)); };
    maker.addHot(trace, maker.pick(830), 0.5, [fade](seconds now) { return 1 - fade(now); });
    maker.addHot(trace, maker.pick(830), 0.5, fade);
    trace.shifts.push_back({seconds(120), seconds(180)});
    return trace;
}

Trace makeHoliday(TraceMaker &maker)
{
    Trace trace = maker.make("holiday_weekend", 4, UnavailableTimeWeights);
    trace.length = seconds(480);
    maker.addHot(trace, maker.pick(5), 0.5, [](seconds now) {
        return progress(now, seconds(120), seconds(60)) - progress(now, seconds(300), seconds(60));
    });
    trace.rates = [base = trace.rates](seconds now, std::vector<double> &rates) {
        base(now, rates);
        const double growth = 1 + progress(now, seconds(120), seconds(60))
                              - progress(now, seconds(300), seconds(60));
        for (double &rate : rates) {
            rate *= growth;
        }
    };
    trace.shifts.push_back({seconds(120), seconds(180)});
    trace.shifts.push_back({seconds(300), seconds(360)});
    return trace;
}

Trace makeReportsNight(TraceMaker &maker)
{
    constexpr int Batches = 4;
    constexpr seconds BatchLength{120};
    Trace trace = maker.make("reports_night", 5, ChurnWeights);
    trace.length = seconds(120) + BatchLength * Batches;
    for (int batch = 0; batch < Batches; ++batch) {
        const seconds start = seconds(120) + BatchLength * batch;
        maker.addHot(trace, maker.pick(200), 0.3, [start, BatchLength](seconds now) {
            return now >= start && now < start + BatchLength ? 1.0 : 0.0;
        });
        trace.shifts.push_back({start, start});
    }
    return trace;
}

Trace makeServerLost(TraceMaker &maker)
{
    Trace trace = maker.make("server_lost", 24, UnavailableTimeWeights);
    trace.instances = [views = makeInstances(24)](seconds now) {
        std::vector<InstanceView> result = views;
        result[4].live = now < seconds(120);
        return result;
    };
    trace.shifts.push_back({seconds(120), seconds(120)});
    return trace;
}

Trace makeDomainLost(TraceMaker &maker)
{
    Trace trace = maker.make("failure_domain_lost", 24, UnavailableTimeWeights);
    trace.length = seconds(420);
    trace.instances = [views = makeInstances(24)](seconds now) {
        std::vector<InstanceView> result = views;
        for (InstanceView &view : result) {
            const bool lost = view.failureDomain == "domain-1" && now >= seconds(120);
            view.live = !lost || now >= seconds(240);
            view.cold = lost && now < seconds(270);
        }
        return result;
    };
    trace.shifts = {
            {seconds(0), seconds(0)}, {seconds(120), seconds(120)}, {seconds(240), seconds(270)}};
    return trace;
}

Trace makeRolling(TraceMaker &maker)
{
    constexpr uint32_t Count = 24;
    constexpr seconds Pace{15};
    Trace trace = maker.make("rolling_replacement", Count, UnavailableTimeWeights);
    trace.length = seconds(120) + Pace * Count + seconds(180);
    trace.instances = [Pace](seconds now) {
        std::vector<InstanceView> result;
        for (uint32_t index = 0; index < Count; ++index) {
            const seconds start = seconds(120) + Pace * index;
            if (now < start + seconds(10)) {
                result.push_back(makeInstance(index + 1, index));
                result.back().draining = now >= start;
            }
            if (now >= start + seconds(10)) {
                result.push_back(makeInstance(Count + index + 1, index));
                result.back().cold = now < start + seconds(40);
            }
        }
        return result;
    };
    const seconds end = seconds(120) + Pace * Count + seconds(25);
    trace.shifts.push_back({seconds(120), end});
    return trace;
}

} // namespace

std::vector<Trace> makeTraces(uint64_t seed)
{
    TraceMaker maker(seed);
    std::vector<Trace> traces;
    traces.push_back(maker.make("steady_zipf", 24, UnavailableTimeWeights));
    traces.push_back(makeOneKey(maker, "one_key"));
    traces.push_back(makeHotSet(maker));
    traces.push_back(makeHoliday(maker));
    traces.push_back(makeReportsNight(maker));
    traces.push_back(makeServerLost(maker));
    traces.push_back(makeDomainLost(maker));
    traces.push_back(makeRolling(maker));
    traces.push_back(makeOneKey(maker, "one_key_lag_10s"));
    traces.back().reports.lag = seconds(10);
    traces.push_back(maker.make("reports_lie", 24, UnavailableTimeWeights));
    traces.back().reports.from = seconds(60);
    traces.back().reports.factors = {{NodeId(3), 0.01}, {NodeId(8), 10.0}};
    traces.push_back(makeServerLost(maker));
    traces.back().name = "server_lost_reports_stop";
    traces.back().reports.from = seconds(90);
    traces.back().reports.silent = true;
    return traces;
}

} // namespace wisteriahoist::measure
