/** @file score.cpp Runs a contender over a trace and scores it. */

#include "score.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <random>

namespace wisteriahoist::measure {

namespace {

constexpr double HandoverSeconds = 0.05; ///< A planned move: revoke, write, grant.
constexpr double LossSeconds = 1.3;      ///< A lost owner: its lease is outwaited, then a write.
constexpr double Goal = 1.10;
constexpr seconds SettleTime{60};
constexpr seconds SteadyTime{60};

bool isUsable(const std::vector<InstanceView> &instances, NodeId id)
{
    return std::any_of(instances.begin(), instances.end(), [id](const InstanceView &view) {
        return view.id == id && view.live && !view.draining;
    });
}

/** Loads by instance at one moment. */
struct Loads {
    std::map<NodeId, double> byOwner;
    double total = 0;
    double hottest = 0;
    size_t usable = 0;

    Loads(const std::vector<NodeId> &owners, const std::vector<double> &rates,
          const std::vector<InstanceView> &instances)
    {
        for (const InstanceView &view : instances) {
            if (view.live && !view.draining) {
                byOwner[view.id] = 0;
                ++usable;
            }
        }
        for (size_t key = 0; key < owners.size(); ++key) {
            byOwner[owners[key]] += rates[key];
            total += rates[key];
            hottest = std::max(hottest, rates[key]);
        }
    }

    double mean() const { return total / static_cast<double>(usable); }
    double bound() const { return std::max(1.0, hottest / mean()); }

    double imbalance() const
    {
        double highest = 0;
        for (const auto &[id, load] : byOwner) {
            highest = std::max(highest, load);
        }
        return highest / mean();
    }

    /** @return The least share of the load to move so that nobody exceeds the goal. */
    /** @return The same for those that stay; what lost and leaving ones had is counted apart. */
    double leastToMove(const std::vector<InstanceView> &instances) const
    {
        double least = 0;
        for (const auto &[id, load] : byOwner) {
            least += isUsable(instances, id) ? std::max(0.0, load - Goal * bound() * mean()) : 0;
        }
        return least / total;
    }

    /** @return The share of the load whose owner is lost or draining. */
    double stranded(const std::vector<InstanceView> &instances) const
    {
        double sum = 0;
        for (const auto &[id, load] : byOwner) {
            sum += isUsable(instances, id) ? 0 : load;
        }
        return sum / total;
    }
};

bool isLive(const std::vector<InstanceView> &instances, NodeId id)
{
    return std::any_of(instances.begin(), instances.end(),
                       [id](const InstanceView &view) { return view.id == id && view.live; });
}

bool isJudged(const Trace &trace, seconds now)
{
    for (size_t index = 0; index < trace.shifts.size(); ++index) {
        const bool last = index + 1 == trace.shifts.size();
        const seconds until = last ? trace.length : trace.shifts[index + 1].start;
        if (now >= trace.shifts[index].end + SettleTime && now < until) {
            return true;
        }
    }
    return false;
}

/** Sums up the least load that has to move, from the owners before each shift. */
class LeastChurn
{
public:
    explicit LeastChurn(const Trace &trace) : trace_(trace) { }

    void step(seconds now, const std::vector<NodeId> &before, const std::vector<NodeId> &after,
              const std::vector<double> &rates, const std::vector<InstanceView> &instances)
    {
        const std::vector<NodeId> &owners = now == seconds(0) ? after : before;
        sum_ += Loads(owners, rates, instances).stranded(instances);
        for (const Shift &shift : trace_.shifts) {
            basis_ = shift.start == now ? owners : basis_;
            sum_ += shift.end == now ? Loads(basis_, rates, instances).leastToMove(instances) : 0;
        }
    }

    double sum() const { return sum_; }

private:
    const Trace &trace_;
    std::vector<NodeId> basis_;
    double sum_ = 0;
};

/** Adds what changed between two seconds to the score. */
void addChurn(Score &score, const std::vector<NodeId> &before, const std::vector<NodeId> &after,
              const std::vector<double> &rates, const std::vector<InstanceView> &instances)
{
    const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
    for (size_t key = 0; key < before.size(); ++key) {
        if (before[key] == after[key] || before[key] == InvalidNode) {
            continue;
        }
        score.churnKeys += 1.0 / static_cast<double>(before.size());
        score.churnLoad += rates[key] / total;
        score.unavailable += isLive(instances, before[key]) ? HandoverSeconds : LossSeconds;
    }
}

} // namespace

Score runTrace(const Trace &trace, Contender &contender, uint64_t seed)
{
    std::mt19937_64 random(seed);
    Score score;
    score.trace = trace.name;
    score.contender = contender.name();
    std::vector<NodeId> owners(trace.keys.size(), InvalidNode);
    std::vector<double> rates(trace.keys.size());
    std::vector<uint32_t> counts(trace.keys.size(), 0);
    LeastChurn least(trace);
    double judged = 0;
    double steady = 0;
    for (seconds now{0}; now < trace.length; ++now) {
        const std::vector<InstanceView> instances = trace.instances(now);
        trace.rates(now, rates);
        const std::vector<NodeId> before = owners;
        contender.step({now, trace, instances, rates, counts}, owners);
        least.step(now, before, owners, rates, instances);
        const double churnBefore = score.churnLoad;
        addChurn(score, before, owners, rates, instances);
        const Loads loads(owners, rates, instances);
        const double ratio = loads.imbalance() / loads.bound();
        if (isJudged(trace, now)) {
            score.imbalance += loads.imbalance();
            score.bound += loads.bound();
            score.worstAfter60 = std::max(score.worstAfter60, ratio);
            score.calmChurn += score.churnLoad - churnBefore;
            ++judged;
        }
        if (now >= trace.length - SteadyTime) {
            score.steadyRatio += ratio;
            ++steady;
        }
        for (size_t key = 0; key < counts.size(); ++key) {
            counts[key] = std::poisson_distribution<uint32_t>(rates[key])(random);
        }
    }
    score.leastLoad = least.sum();
    score.imbalance /= judged;
    score.bound /= judged;
    score.steadyRatio /= steady;
    score.unavailablePerKey = score.unavailable * 1000 / static_cast<double>(trace.keys.size());
    return score;
}

} // namespace wisteriahoist::measure
