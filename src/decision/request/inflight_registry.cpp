/** @file inflight_registry.cpp Requests that a gate has sent and whose end was not observed. */

#include "decision/request/inflight_registry.h"

#include <algorithm>

namespace wisteriahoist {

uint64_t InflightRegistry::begin(InflightRequest request)
{
    open_.emplace(++lastId_, std::move(request));
    return lastId_;
}

void InflightRegistry::end(uint64_t id, bool completed, TimePoint now)
{
    if (completed) {
        open_.erase(id);
    }
    dropExpired(now);
}

void InflightRegistry::dropExpired(TimePoint now)
{
    std::erase_if(open_, [now](const auto &entry) { return entry.second.deadline <= now; });
}

TimePoint InflightRegistry::lastLostDeadline(const RoutingSnapshot *routing, NodeId self,
                                             TimePoint now)
{
    dropExpired(now);
    TimePoint latest = NeverTime;
    for (const auto &[id, request] : open_) {
        const Slice *slice
                = routing == nullptr ? nullptr : routing->findSlice(request.service, request.hash);
        const bool kept = slice != nullptr && slice->owner == self && slice->epoch == request.epoch;
        if (!kept) {
            latest = std::max(latest, request.deadline);
        }
    }
    return latest;
}

} // namespace wisteriahoist
