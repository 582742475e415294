/** @file placement_type.h What the placement decision sees and what it answers. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "decision/routing/slice_table.h"

#include <string>
#include <vector>

namespace wisteriahoist {

/** Load of one range as its owner measured it. */
struct SliceLoad {
    KeyHash first; ///< The range's first point.
    double requestsPerSecond = 0;
};

/** One of the hottest keys of a node. */
struct HotKey {
    KeyHash hash;
    double requestsPerSecond = 0;
};

/** One instance of the service: a node and the backend server beside it. */
struct InstanceView {
    NodeId id;
    std::string failureDomain;
    uint32_t slots = 1;    ///< Capacity.
    bool live = true;      ///< false: lost; its ranges must go elsewhere.
    bool draining = false; ///< Gets no new ranges and gives its own away.
    bool cold = false;     ///< Started a short while ago; gets little at first.
    Duration reportAge{0}; ///< Age of the loads that it reported.
};

/** Weights of the three measures; shipped profiles for Poteglad and Kalahari. */
struct PlacementWeights {
    double imbalance = 1;
    double churn = 1;
    double unavailable = 1;
};

/** All that one decision for one service sees. */
struct PlacementInput {
    const SliceTable &table;
    const std::vector<SliceLoad> &loads;
    const std::vector<HotKey> &hotKeys;
    const std::vector<InstanceView> &instances;
    PlacementWeights weights;
    std::string service = {}; ///< What a policy remembers belongs to one service.
};

/** Why a step is taken. */
enum class PlacementReason {
    OwnerLost,
    OwnerDraining,
    NoOwner,
    Overload,   ///< The owner carries too much.
    HotKey,     ///< A key is isolated.
    ColdRanges, ///< Neighbours of little load are joined.
};

/** One step; steps are carried out in their order. */
struct PlacementStep {
    enum class Kind {
        Move,  ///< The range that begins at first goes to owner `to`.
        Split, ///< A new range begins at first; owner and epoch are those of the range it cuts.
        Merge, ///< The range that begins at first joins the one before it, which has the same
               ///< owner.
    };
    Kind kind = Kind::Move;
    KeyHash first;
    NodeId to; ///< For Move.
    PlacementReason reason = PlacementReason::Overload;
};

/** Decides which ranges go where. Pure: the same input at the same time gives the same answer. */
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /**
     * @return A small ordered list of steps; empty if the table is good as it is. Ranges whose
     *         owner is lost, draining or absent come first.
     */
    virtual std::vector<PlacementStep> decide(const PlacementInput &input, TimePoint now) = 0;
};

} // namespace wisteriahoist
