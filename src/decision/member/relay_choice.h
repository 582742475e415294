/** @file relay_choice.h Chooses the nodes through which another node calls the store. */

#pragma once

#include "decision/member/member_type.h"

#include <map>

namespace wisteriahoist {

/** Limits of the relays of one node. */
struct RelayLimits {
    size_t maxTried = 3; ///< Relays tried for one call.
    /** How long a relay is skipped that could not reach the store or did not reply. */
    milliseconds skipTime{3000};
};

/**
 * Orders the nodes that may relay the store calls of one node. Each node has an order of its own:
 * with the same order for all, a single relay would carry out the calls of every node that the
 * store rejects. A relay that worked is kept; one that failed is skipped for a while, so that later
 * calls try others instead of the same ones again.
 */
class RelayChoice
{
public:
    explicit RelayChoice(NodeId self, RelayLimits limits = {}) : self_(self), limits_(limits) { }

    /** @return The nodes to try, in this order. If all are skipped, those skipped longest. */
    std::vector<NodeId> candidates(const std::map<NodeId, MemberRecord> &members,
                                   TimePoint now) const;

    /** @return Whether @p node is another relay than before. */
    bool onSuccess(NodeId node);
    void onFailure(NodeId node, TimePoint now);

private:
    NodeId self_;
    RelayLimits limits_;
    NodeId current_; ///< The relay that worked last; InvalidNode: none.
    std::map<NodeId, TimePoint> failedAt_;
};

} // namespace wisteriahoist
