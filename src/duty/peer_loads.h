/** @file peer_loads.h Load and reachability of other nodes, observed by this node's own calls. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "decision/request/keyless_balancer.h"
#include "decision/request/outlier_detector.h"
#include "wisteriahoist/v1/control.pb.h"

#include <map>

namespace wisteriahoist {

/** Load and failures by node, as observed by this node's own calls. Used by one thread. */
class PeerLoads
{
public:
    PeerLoads();

    void onSent(NodeId node);

    /** A call has ended. @param reached Whether the node answered. */
    void onReply(NodeId node, const v1::HopReply &reply, bool reached, TimePoint now);

    /** The node has answered a call whose reply carries no load. */
    void onAnswered(NodeId node, TimePoint now);

    /** A call to the node was not answered. */
    void onUnanswered(NodeId node, TimePoint now);

    /** @return When the node last answered a call. */
    TimePoint heardAt(NodeId node) const;

    /**
     * @return Whether requests should not be sent there because the last call has just failed. One
     *         call per RetryAfterFailure is still allowed, to detect that the node is back.
     */
    bool isBackingOff(NodeId node, TimePoint now) const;

    /** @return The load of @p node, as input of chooseInstance(). */
    InstanceLoad instanceLoad(NodeId node, const std::string &failureDomain, uint32_t slots) const;

    /** @return Mean service time of a request there; 0 if it is not known. */
    milliseconds serviceTime(NodeId node) const;

    /** @return Slots that keyed requests require there; 0 if it is not known. */
    double busySlots(NodeId node, TimePoint now) const;

    /** @return Whether the node has recently reported that it must not be given any more keys. */
    bool isLeaving(NodeId node, TimePoint now) const;

    /** @return When calls to @p node began to fail; NeverTime if the last one was answered. */
    TimePoint unreachableSince(NodeId node) const;

    const OutlierDetector &outliers() const { return outliers_; }

private:
    struct State {
        uint32_t outstanding = 0;
        uint32_t sentSinceReport = 0;
        v1::BackendLoad load;
        TimePoint reportedAt = NeverTime;
        TimePoint unreachableSince = NeverTime;
        TimePoint failedAt = NeverTime;
        TimePoint heardAt = NeverTime;
    };

    std::map<NodeId, State> states_;
    OutlierDetector outliers_;
};

} // namespace wisteriahoist
