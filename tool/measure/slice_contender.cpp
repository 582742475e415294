/** @file slice_contender.cpp The project's placement, and the slice table that never moves. */

#include "contender.h"

#include "decision/placement/balanced_placement.h"
#include "decision/placement/load_tracker.h"

#include <algorithm>
#include <deque>
#include <map>

namespace wisteriahoist::measure {

namespace {

void readOwners(const SliceTable &table, const Trace &trace, std::vector<NodeId> &owners)
{
    for (size_t key = 0; key < owners.size(); ++key) {
        owners[key] = table.find(trace.keys[key])->owner;
    }
}

void carryOut(const std::vector<PlacementStep> &steps, SliceTable &table)
{
    std::vector<Slice> slices = table.slices();
    for (const PlacementStep &step : steps) {
        const auto at = std::lower_bound(
                slices.begin(), slices.end(), step.first,
                [](const Slice &slice, KeyHash first) { return slice.first < first; });
        if (step.kind == PlacementStep::Kind::Move) {
            at->owner = step.to;
        } else if (step.kind == PlacementStep::Kind::Merge) {
            slices.erase(at);
        } else {
            Slice part = *std::prev(at);
            part.first = step.first;
            slices.insert(at, part);
        }
    }
    table = SliceTable(std::move(slices));
}

class Balanced : public Contender
{
public:
    std::string name() const override { return "balanced"; }

    void step(const Observation &seen, std::vector<NodeId> &owners) override
    {
        if (table_.empty()) {
            table_ = SliceTable::makeEven(seen.trace.ranges);
        }
        count(seen);
        std::vector<SliceLoad> loads;
        std::vector<HotKey> hotKeys;
        const ReportFault &fault = seen.trace.reports;
        const auto lag = static_cast<size_t>(fault.lag.count()) - 1;
        if (history_.size() > lag) {
            loads = history_[history_.size() - 1 - lag].ranges;
            hotKeys = history_[history_.size() - 1 - lag].hotKeys;
        }
        std::vector<InstanceView> views = seen.instances;
        for (InstanceView &view : views) {
            view.reportAge = fault.lag;
            if (fault.silent && seen.now >= fault.from) {
                view.reportAge = seen.now - fault.from + fault.lag;
            }
        }
        const PlacementInput input{table_, loads, hotKeys, views, seen.trace.weights};
        carryOut(policy_.decide(input, TimePoint(seen.now)), table_);
        readOwners(table_, seen.trace, owners);
    }

private:
    struct Reports {
        std::vector<SliceLoad> ranges;
        std::vector<HotKey> hotKeys;
    };

    /** Each owner counts the last second's requests and reports. */
    void count(const Observation &seen)
    {
        const TimePoint now(seen.now);
        for (size_t key = 0; key < seen.counts.size(); ++key) {
            const Slice &slice = *table_.find(seen.trace.keys[key]);
            if (slice.owner == InvalidNode || seen.counts[key] == 0) {
                continue;
            }
            LoadTracker &tracker = trackers_[slice.owner];
            for (uint32_t request = 0; request < seen.counts[key]; ++request) {
                tracker.record(slice.first, seen.trace.keys[key], now);
            }
        }
        Reports reports;
        for (auto &[id, tracker] : trackers_) {
            const double factor = factorOf(seen, id);
            LoadReport report = tracker.report(now);
            for (SliceLoad &load : report.ranges) {
                // Only what it owns: the rest has gone to other owners.
                if (ownerOfRange(load.first) == id) {
                    reports.ranges.push_back({load.first, load.requestsPerSecond * factor});
                }
            }
            for (const HotKey &hot : report.hotKeys) {
                if (table_.find(hot.hash)->owner == id) {
                    reports.hotKeys.push_back({hot.hash, hot.requestsPerSecond * factor});
                }
            }
        }
        history_.push_back(std::move(reports));
        if (history_.size() > 30) {
            history_.pop_front();
        }
    }

    NodeId ownerOfRange(KeyHash first) const
    {
        const Slice *slice = table_.find(first);
        return slice->first == first ? slice->owner : InvalidNode;
    }

    static double factorOf(const Observation &seen, NodeId id)
    {
        for (const auto &[liar, factor] : seen.trace.reports.factors) {
            if (liar == id && seen.now >= seen.trace.reports.from) {
                return factor;
            }
        }
        return 1;
    }

    SliceTable table_;
    BalancedPlacement policy_;
    std::map<NodeId, LoadTracker> trackers_;
    std::deque<Reports> history_; ///< Newest last.
};

class NeverMoves : public Contender
{
public:
    std::string name() const override { return "never_moves"; }

    void step(const Observation &seen, std::vector<NodeId> &owners) override
    {
        if (table_.empty()) {
            table_ = SliceTable::makeEven(seen.trace.ranges);
        }
        std::map<NodeId, size_t> owned;
        for (const InstanceView &view : seen.instances) {
            if (view.live && !view.draining) {
                owned[view.id] = 0;
            }
        }
        std::vector<Slice> slices = table_.slices();
        for (const Slice &slice : slices) {
            if (owned.contains(slice.owner)) {
                ++owned[slice.owner];
            }
        }
        for (Slice &slice : slices) {
            if (!owned.contains(slice.owner)) {
                slice.owner = std::min_element(owned.begin(), owned.end(),
                                               [](const auto &left, const auto &right) {
                                                   return left.second < right.second;
                                               })
                                      ->first;
                ++owned[slice.owner];
            }
        }
        table_ = SliceTable(std::move(slices));
        readOwners(table_, seen.trace, owners);
    }

private:
    SliceTable table_;
};

} // namespace

std::unique_ptr<Contender> makeBalanced()
{
    return std::make_unique<Balanced>();
}

std::unique_ptr<Contender> makeNeverMoves()
{
    return std::make_unique<NeverMoves>();
}

} // namespace wisteriahoist::measure
