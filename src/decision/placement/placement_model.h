/** @file placement_model.h The state on which placement decisions operate. */

#pragma once

#include "decision/placement/placement_settings_type.h"
#include "decision/placement/placement_type.h"

#include <unordered_map>

namespace wisteriahoist {

inline constexpr uint32_t NoInstance = UINT32_MAX; ///< The range has no live owner.

/** One range, its estimated load and its latest changes. */
struct RangeState {
    KeyHash first;
    NodeId owner;                       ///< According to the table.
    uint32_t instance = NoInstance;     ///< Index of its instance, including planned moves.
    double width = 0;                   ///< Share of the key space.
    double load = 0;                    ///< Estimated requests per second.
    bool measured = false;              ///< The load is based on at least one report.
    TimePoint movedAt = NeverTime;      ///< Last change of owner.
    TimePoint reshapedAt = NeverTime;   ///< Last change of its boundaries.
    NodeId pendingTo;                   ///< Destination of a requested, unconfirmed move.
    TimePoint pendingUntil = NeverTime; ///< After this the move is requested again.
    bool isolated = false;              ///< Contains a single point of the key space.
};

/** One instance and its load. */
struct InstanceState {
    NodeId id;
    uint32_t domain = 0;  ///< Index of its failure domain.
    double capacity = 0;  ///< In slots; 0 if it may get no ranges.
    double load = 0;      ///< Requests per second, including the prior.
    double width = 0;     ///< Share of the key space.
    bool known = true;    ///< Its report is recent enough, or it owns nothing.
    bool leaving = false; ///< Draining.
    double relative() const { return load / capacity; }
};

/** State of ranges and instances that is kept between decisions, and operations on it. */
class PlacementModel
{
public:
    explicit PlacementModel(PlacementSettings settings) : settings_(settings) { }

    /** Updates table, instances and reports; keeps estimates after moves and new boundaries. */
    void refresh(const PlacementInput &input, TimePoint now);

    /** Assigns range @p index to instance @p to. */
    void place(size_t index, uint32_t to);

    /** Splits ranges at @p boundaries (sorted, all new); @p keys has the loads of isolated keys. */
    void split(const std::vector<KeyHash> &boundaries, const std::vector<HotKey> &keys,
               TimePoint now);

    /** Merges range @p index into the preceding one; dropMerged() then removes the empty entry. */
    void merge(size_t index, TimePoint now);
    void dropMerged();

    /** @return The load of a range including its share of the prior. */
    double weightOf(const RangeState &range) const { return range.load + range.width * prior_; }

    /** @return Mean load per unit of capacity. */
    double meanRelative() const { return capacity_ > 0 ? totalLoad_ / capacity_ : 0; }

    /** @return Mean load per instance. */
    double meanInstance() const;

    double totalLoad() const { return totalLoad_; } ///< Including the prior.
    double totalCapacity() const { return capacity_; }
    std::vector<RangeState> &ranges() { return ranges_; }
    std::vector<InstanceState> &instances() { return instances_; }
    uint32_t domainCount() const { return domainCount_; }

private:
    void readInstances(const std::vector<InstanceView> &views);
    void readTable(const SliceTable &table, TimePoint now);
    void readLoads(const std::vector<SliceLoad> &loads, const std::vector<InstanceView> &views,
                   TimePoint now);
    void updateLoad(RangeState &range, double reported, TimePoint now) const;
    void updateTotals();

    PlacementSettings settings_;
    std::vector<RangeState> ranges_;            ///< Sorted by first.
    std::vector<InstanceState> instances_;      ///< In the order of the input's instances.
    std::unordered_map<NodeId, uint32_t> byId_; ///< Live instances only.
    uint32_t domainCount_ = 0;
    double prior_ = 0; ///< Load that is assumed to be spread evenly over the key space.
    double totalLoad_ = 0;
    double capacity_ = 0;
    TimePoint refreshedAt_ = NeverTime;
};

} // namespace wisteriahoist
