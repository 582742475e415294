/** @file placement_model.h The state that one placement decision works on. */

#pragma once

#include "decision/placement/placement_settings_type.h"
#include "decision/placement/placement_type.h"

#include <unordered_map>

namespace wisteriahoist {

inline constexpr uint32_t NoInstance = UINT32_MAX; ///< The range's owner is lost or absent.

/** One range, its estimated load, and what was done with it lately. */
struct RangeState {
    KeyHash first;
    NodeId owner;                       ///< By the table.
    uint32_t instance = NoInstance;     ///< Index of the instance that carries it, moves included.
    double width = 0;                   ///< Share of the key space.
    double load = 0;                    ///< Estimated requests per second.
    bool measured = false;              ///< A report for it was believed at least once.
    TimePoint movedAt = NeverTime;      ///< Its owner changed.
    TimePoint reshapedAt = NeverTime;   ///< Its borders changed.
    NodeId pendingTo;                   ///< A move that was asked for and is not seen yet.
    TimePoint pendingUntil = NeverTime; ///< The move is asked for again afterwards.
    bool isolated = false;              ///< Holds one point of the key space only.
};

/** One instance and what it carries. */
struct InstanceState {
    NodeId id;
    uint32_t domain = 0;  ///< Index of its failure domain.
    double capacity = 0;  ///< In slots; 0 if it may get nothing.
    double load = 0;      ///< Requests per second, prior included.
    double width = 0;     ///< Share of the key space.
    bool known = true;    ///< Its report is young enough, or it owns nothing.
    bool leaving = false; ///< Draining.
    double relative() const { return load / capacity; }
};

/** What is remembered of the ranges between two decisions, and the arithmetic on it. */
class PlacementModel
{
public:
    explicit PlacementModel(PlacementSettings settings) : settings_(settings) { }

    /** Takes over table, instances and reports; keeps estimates across moves and new borders. */
    void refresh(const PlacementInput &input, TimePoint now);

    /** Puts range @p index on instance @p to. */
    void place(size_t index, uint32_t to);

    /** Cuts ranges at @p borders (sorted, none a border yet); @p keys tells the isolated ones. */
    void cut(const std::vector<KeyHash> &borders, const std::vector<HotKey> &keys, TimePoint now);

    /** Joins range @p index with the one before it. The ranges are compacted by dropJoined(). */
    void join(size_t index, TimePoint now);
    void dropJoined();

    /** @return Load with the prior: what a range counts with. */
    double weightOf(const RangeState &range) const { return range.load + range.width * prior_; }

    /** @return Mean load of an instance with one unit of capacity. */
    double meanRelative() const { return capacity_ > 0 ? totalLoad_ / capacity_ : 0; }

    /** @return The load that an average instance carries. */
    double meanInstance() const;

    double totalLoad() const { return totalLoad_; } ///< Prior included.
    double totalCapacity() const { return capacity_; }
    std::vector<RangeState> &ranges() { return ranges_; }
    std::vector<InstanceState> &instances() { return instances_; }
    uint32_t domainCount() const { return domainCount_; }

private:
    void readInstances(const std::vector<InstanceView> &views);
    void readTable(const SliceTable &table, TimePoint now);
    void readLoads(const std::vector<SliceLoad> &loads, const std::vector<InstanceView> &views,
                   TimePoint now);
    void believe(RangeState &range, double reported, TimePoint now) const;
    void sumUp();

    PlacementSettings settings_;
    std::vector<RangeState> ranges_;            ///< Sorted by first.
    std::vector<InstanceState> instances_;      ///< Same order as the input's instances.
    std::unordered_map<NodeId, uint32_t> byId_; ///< Live instances only.
    uint32_t domainCount_ = 0;
    double prior_ = 0; ///< Rate over the whole key space that is assumed evenly spread.
    double totalLoad_ = 0;
    double capacity_ = 0;
    TimePoint refreshedAt_ = NeverTime;
};

} // namespace wisteriahoist
