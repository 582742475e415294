/** @file peer_loads.cpp Load and reachability of other nodes, observed by this node's own calls. */

#include "duty/peer_loads.h"

namespace wisteriahoist {

namespace {

/** Older load reports are outdated and ignored. */
constexpr milliseconds LoadAge{3000};

/** An attempt at a lost node takes up to 300 ms of a caller's time; one per interval is enough. */
constexpr milliseconds RetryAfterFailure{400};

OutlierLimits makeOutlierLimits()
{
    OutlierLimits limits;
    // Of three instances of a service one may be ejected, never two.
    limits.firstEjection = milliseconds(1500);
    limits.longestEjection = milliseconds(6000);
    return limits;
}

/** @return Whether the reply shows that the instance failed a request that reached its backend
 *          server. */
bool isFailure(const v1::HopReply &reply)
{
    return reply.reached_backend()
           && (reply.outcome() != v1::HOP_OUTCOME_DONE || reply.status() >= 500);
}

} // namespace

PeerLoads::PeerLoads() : outliers_(makeOutlierLimits()) { }

void PeerLoads::onSent(NodeId node)
{
    State &state = states_[node];
    ++state.outstanding;
    ++state.sentSinceReport;
}

void PeerLoads::onReply(NodeId node, const v1::HopReply &reply, bool reached, TimePoint now)
{
    State &state = states_[node];
    --state.outstanding;
    if (!reached) {
        onUnanswered(node, now);
        return;
    }
    onAnswered(node, now);
    if (reply.has_load()) {
        state.load = reply.load();
        state.reportedAt = now;
        state.sentSinceReport = 0;
    }
    if (isFailure(reply)) {
        outliers_.onFailure(node, now);
    } else if (reply.outcome() == v1::HOP_OUTCOME_DONE) {
        outliers_.onSuccess(node);
    }
}

void PeerLoads::onAnswered(NodeId node, TimePoint now)
{
    State &state = states_[node];
    state.unreachableSince = NeverTime;
    state.heardAt = now;
}

void PeerLoads::onUnanswered(NodeId node, TimePoint now)
{
    State &state = states_[node];
    state.failedAt = now;
    if (state.unreachableSince == NeverTime) {
        state.unreachableSince = now;
    }
}

TimePoint PeerLoads::heardAt(NodeId node) const
{
    const auto found = states_.find(node);
    return found == states_.end() ? NeverTime : found->second.heardAt;
}

bool PeerLoads::isBackingOff(NodeId node, TimePoint now) const
{
    const auto found = states_.find(node);
    return found != states_.end() && found->second.unreachableSince != NeverTime
           && now - found->second.failedAt < RetryAfterFailure;
}

InstanceLoad PeerLoads::instanceLoad(NodeId node, const std::string &failureDomain,
                                     uint32_t slots) const
{
    InstanceLoad load;
    load.id = node;
    load.failureDomain = failureDomain;
    load.slots = slots;
    const auto found = states_.find(node);
    if (found != states_.end()) {
        const State &state = found->second;
        load.outstanding = state.outstanding;
        load.reportedRunning = state.load.running() + state.load.waiting();
        load.reportedAt = state.reportedAt;
        load.sentSinceReport = state.sentSinceReport;
        load.serviceTime = milliseconds(state.load.service_ms());
    }
    return load;
}

milliseconds PeerLoads::serviceTime(NodeId node) const
{
    const auto found = states_.find(node);
    return milliseconds(found == states_.end() ? 0 : found->second.load.service_ms());
}

bool PeerLoads::isLeaving(NodeId node, TimePoint now) const
{
    const auto found = states_.find(node);
    return found != states_.end() && now - found->second.reportedAt <= LoadAge
           && found->second.load.leaving();
}

double PeerLoads::busySlots(NodeId node, TimePoint now) const
{
    const auto found = states_.find(node);
    const bool known = found != states_.end() && now - found->second.reportedAt <= LoadAge;
    return known ? found->second.load.busy_slots() : 0;
}

TimePoint PeerLoads::unreachableSince(NodeId node) const
{
    const auto found = states_.find(node);
    return found == states_.end() ? NeverTime : found->second.unreachableSince;
}

} // namespace wisteriahoist
