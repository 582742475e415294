/** @file service_placement.h Even load by few moves, for one service. */

#pragma once

#include "decision/placement/destination_index.h"
#include "decision/placement/placement_model.h"

namespace wisteriahoist {

/** What the last decision saw; for metrics and reports. */
struct PlacementSummary {
    double imbalance = 1;  ///< Highest relative load over the mean, by the estimates.
    double bound = 1;      ///< Lowest possible imbalance: the hottest single key's instance.
    size_t unknown = 0;    ///< Instances whose report is too old.
    double movedLoad = 0;  ///< Requests per second that this decision moves.
    double movedWidth = 0; ///< Share of the key space that this decision moves.
};

/**
 * Ranges of lost, absent and draining owners go to the least loaded instances, all in one
 * decision. Then hot keys are isolated and, within a budget, ranges leave overloaded instances.
 *
 * One object decides for one service and remembers load estimates, moves under way and hold-down
 * between calls; the same sequence of calls gives the same answers. A new object (after a change of
 * coordinator) starts from the reports alone, which costs hold-down but no promise.
 */
class ServicePlacement
{
public:
    explicit ServicePlacement(PlacementSettings settings = {});

    std::vector<PlacementStep> decide(const PlacementInput &input, TimePoint now);

    const PlacementSummary &summary() const { return summary_; }

private:
    /** Overload in the relative load at which moves start and end. */
    struct Thresholds {
        double high;
        double low;
    };

    void rehome(PlacementReason reason, const std::vector<size_t> &ranges);
    void rehomeOrphans();
    void emptyDraining();
    void reshape(const PlacementInput &input, TimePoint now);
    void collectHotKeys(const PlacementInput &input);
    void balance(const PlacementInput &input, TimePoint now);
    bool relieve(uint32_t source, double excess, DestinationIndex &index);
    bool moveOne(uint32_t source, size_t range, bool mustFit, DestinationIndex &index);
    /** An isolated key that is hot no more goes to its neighbour's owner, to be joined there. */
    void returnCooled(TimePoint now);
    void mergeCold(TimePoint now);
    bool mayMerge(size_t before, size_t index, double highest, TimePoint now);
    void emitMove(size_t range, PlacementReason reason);
    double hottestBound();
    void summarize();

    PlacementSettings settings_;
    PlacementModel model_;
    PlacementSummary summary_;
    Thresholds thresholds_{};
    std::vector<PlacementStep> steps_;
    std::vector<HotKey> hotKeys_;              ///< Of this decision: hottest first, no repeats.
    std::vector<std::vector<size_t>> carried_; ///< Movable ranges by instance, heaviest first.
    std::vector<double> hottest_;              ///< Hottest single key's load by instance.
    size_t movesLeft_ = 0;
    double loadLeft_ = 0;
    TimePoint now_ = NeverTime;
    std::unordered_map<NodeId, uint32_t> overloadedFor_; ///< Decisions in a row, by instance.
    TimePoint startedAt_ = NeverTime;
    TimePoint balancedAt_ = NeverTime;
};

} // namespace wisteriahoist
