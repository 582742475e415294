/** @file feeder_choice.h Which nodes watch the store for all, and whom a node follows. */

#pragma once

#include "decision/member/member_type.h"

#include <functional>
#include <map>
#include <optional>

namespace wisteriahoist {

/** How watches are shared. */
struct FeederLimits {
    /**
     * Below this size each node watches the store itself: a feeder asks it more often than twenty
     * nodes that only wait for changes.
     */
    size_t leastMembers = 20;
    /** Followers of one feeder. At 32 each one costs it about 0.1% of a core, at a few changes a
     *  second; and a fleet of 91 has three feeders instead of 91 watches that every change wakes.
     */
    size_t followers = 32;
};

/**
 * Chooses whom @p self follows. The feeders are the strongest nodes, by their processor share, so
 * that a node with a tenth of a core does not carry the news of others; where nodes are equal, a
 * hash decides, the same for everybody. A feeder in the own failure domain goes first.
 * @param isUsable Whether the caller would follow a node at present. The next strongest takes the
 *        place of a feeder that nobody can follow: the store may have turned away just that one.
 * @return Nothing if @p self watches the store itself: it is a feeder, or nobody else can be
 *         followed.
 */
std::optional<NodeId> chooseFeeder(const std::map<NodeId, MemberRecord> &members, NodeId self,
                                   const std::string &failureDomain,
                                   const std::function<bool(NodeId)> &isUsable,
                                   const FeederLimits &limits);

} // namespace wisteriahoist
