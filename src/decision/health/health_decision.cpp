/** @file health_decision.cpp Liveness and readiness of a node. */

#include "decision/health/health_decision.h"

namespace wisteriahoist {

std::vector<std::string_view> findStalledLoops(const std::vector<LoopActivity> &activities,
                                               TimePoint now)
{
    std::vector<std::string_view> stuck;
    for (const LoopActivity &activity : activities) {
        if (now - activity.at > LoopStallTimeout) {
            stuck.push_back(activity.duty);
        }
    }
    return stuck;
}

std::string_view notReadyReasonName(NotReadyReason reason)
{
    switch (reason) {
    case NotReadyReason::NoLease:
        return "no-lease";
    case NotReadyReason::NoRouting:
        return "no-routing";
    case NotReadyReason::NoBackend:
        return "no-backend";
    case NotReadyReason::Draining:
        return "draining";
    }
    return "unknown";
}

std::vector<NotReadyReason> findNotReadyReasons(const ReadinessInput &input, TimePoint now)
{
    std::vector<NotReadyReason> reasons;
    if (now >= input.leaseUntil) {
        reasons.push_back(NotReadyReason::NoLease);
    }
    if (!input.routingPresent) {
        reasons.push_back(NotReadyReason::NoRouting);
    }
    if (!input.backendAnnounced) {
        reasons.push_back(NotReadyReason::NoBackend);
    }
    if (input.draining) {
        reasons.push_back(NotReadyReason::Draining);
    }
    return reasons;
}

} // namespace wisteriahoist
