/** @file service_placement.h Balances the load of one service with few moves. */

#pragma once

#include "decision/placement/destination_index.h"
#include "decision/placement/placement_model.h"

namespace wisteriahoist {

/** Summary of the last decision, for metrics and reports. */
struct PlacementSummary {
    double imbalance = 1;  ///< Highest relative load divided by the mean, estimated.
    double bound = 1;      ///< Lowest possible imbalance, due to the hottest single key.
    size_t unknown = 0;    ///< Instances whose report is too old.
    double movedLoad = 0;  ///< Requests per second moved by this decision.
    double movedWidth = 0; ///< Share of the key space moved by this decision.
};

/**
 * Moves ranges of lost, absent and draining owners to the least loaded instances in one decision.
 * Then it isolates hot keys and, within a budget, moves ranges away from overloaded instances.
 *
 * Each object decides for one service and keeps load estimates, pending moves and hold-down times
 * between calls; the same sequence of calls gives the same results. A new object (after a change of
 * coordinator) starts with the reports only: hold-down times are lost, but no guarantee is
 * violated.
 */
class ServicePlacement
{
public:
    explicit ServicePlacement(PlacementSettings settings = {});

    std::vector<PlacementStep> decide(const PlacementInput &input, TimePoint now);

    const PlacementSummary &summary() const { return summary_; }

private:
    /** Relative overload at which moves start and end. */
    struct Thresholds {
        double high;
        double low;
    };

    void reassign(PlacementReason reason, const std::vector<size_t> &ranges);
    void reassignOrphans();
    void reassignDraining();
    void splitRanges(const PlacementInput &input, TimePoint now);
    void collectHotKeys(const PlacementInput &input);
    void balance(const PlacementInput &input, TimePoint now);
    bool reduceLoad(uint32_t source, double excess, DestinationIndex &index);
    bool moveOne(uint32_t source, size_t range, bool mustFit, DestinationIndex &index);
    /** Moves isolated keys that are no longer hot to the owner of the preceding range, to merge. */
    void returnCooledKeys(TimePoint now);
    void mergeCold(TimePoint now);
    bool mayMerge(size_t before, size_t index, double highest, TimePoint now);
    void emitMove(size_t range, PlacementReason reason);
    double imbalanceBound();
    void summarize();

    PlacementSettings settings_;
    PlacementModel model_;
    PlacementSummary summary_;
    Thresholds thresholds_{};
    std::vector<PlacementStep> steps_;
    std::vector<HotKey> hotKeys_; ///< Of this decision: sorted by hash, without duplicates.
    std::vector<std::vector<size_t>> movableRanges_; ///< By instance, heaviest first.
    std::vector<double> hottest_; ///< Load of the hottest single key, by instance.
    size_t movesLeft_ = 0;
    double loadLeft_ = 0;
    TimePoint now_ = NeverTime;
    std::unordered_map<NodeId, uint32_t> overloadedFor_; ///< Consecutive decisions, by instance.
    TimePoint startedAt_ = NeverTime;
    TimePoint balancedAt_ = NeverTime;
};

} // namespace wisteriahoist
