/** @file feeder_choice.h Chooses the nodes that watch the store on behalf of others. */

#pragma once

#include "decision/member/member_type.h"

#include <functional>
#include <map>
#include <optional>

namespace wisteriahoist {

/** Limits for sharing watches of the store. */
struct FeederLimits {
    /**
     * Below this fleet size each node watches the store itself: a feeder calls the store more often
     * than twenty nodes that only wait for changes.
     */
    size_t minMembers = 20;
    /** Followers per feeder. With 32, each costs the feeder about 0.1% of a core at a few changes
     *  per second; a fleet of 91 nodes then has three feeders instead of 91 watches, all of which
     *  every change would wake. */
    size_t followers = 32;
};

/**
 * Chooses the feeder that @p self follows. A feeder watches the store and passes the changes on to
 * its followers. The feeders are the nodes with the largest CPU share, so that a node with a tenth
 * of a core does not serve others; ties are broken by a hash that is the same on every node. A
 * feeder in the same failure domain is preferred.
 * @param isUsable Whether @p self may follow a node at present. A feeder that is not usable is
 *        replaced by the next strongest node, since the store may reject this one feeder only.
 * @return Nothing if @p self has to watch the store itself: it is a feeder, or no feeder is usable.
 */
std::optional<NodeId> chooseFeeder(const std::map<NodeId, MemberRecord> &members, NodeId self,
                                   const std::string &failureDomain,
                                   const std::function<bool(NodeId)> &isUsable,
                                   const FeederLimits &limits);

} // namespace wisteriahoist
