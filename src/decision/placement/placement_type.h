/** @file placement_type.h Input and result of the placement decision. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "decision/routing/slice_table.h"

#include <string>
#include <vector>

namespace wisteriahoist {

/** Load of one range as measured by its owner. */
struct SliceLoad {
    KeyHash first; ///< The range's first point.
    double requestsPerSecond = 0;
};

/** One of the hottest keys at a node. */
struct HotKey {
    KeyHash hash;
    double requestsPerSecond = 0;
};

/** One instance of the service: a node and its local backend server. */
struct InstanceView {
    NodeId id;
    std::string failureDomain;
    uint32_t slots = 1;    ///< Capacity.
    bool live = true;      ///< false: lost; its ranges must be moved.
    bool draining = false; ///< Gets no new ranges, and its own are moved.
    bool cold = false;     ///< Started recently; rated with a reduced capacity.
    Duration reportAge{0}; ///< Age of its load report.
};

/** Weights of the three measures; see placement_profiles.h for the profiles provided. */
struct PlacementWeights {
    double imbalance = 1;
    double churn = 1;
    double unavailable = 1;
};

/** Input of one decision for one service. */
struct PlacementInput {
    const SliceTable &table;
    const std::vector<SliceLoad> &loads;
    const std::vector<HotKey> &hotKeys;
    const std::vector<InstanceView> &instances;
    PlacementWeights weights;
    std::string service = {}; ///< The policy keeps its state by service.
};

/** Reason of a step. */
enum class PlacementReason {
    OwnerLost,
    OwnerDraining,
    NoOwner,
    Overload,   ///< The owner is overloaded.
    HotKey,     ///< A key is isolated.
    ColdRanges, ///< Neighbours with little load are merged.
};

/** One step of a decision; steps are applied in order. */
struct PlacementStep {
    enum class Kind {
        Move,  ///< Assigns the range that begins at first to owner `to`.
        Split, ///< Splits a range at first; the new range keeps owner and epoch.
        Merge, ///< Merges the range that begins at first into the preceding one, which has the same
               ///< owner.
    };
    Kind kind = Kind::Move;
    KeyHash first;
    NodeId to; ///< For Move.
    PlacementReason reason = PlacementReason::Overload;
};

/** Decides on owners and boundaries of ranges. Deterministic: the result depends only on the
 * sequence of calls. */
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /**
     * @return A short ordered list of steps; empty if no change is needed. Ranges whose owner is
     *         lost, draining or absent come first.
     */
    virtual std::vector<PlacementStep> decide(const PlacementInput &input, TimePoint now) = 0;
};

} // namespace wisteriahoist
