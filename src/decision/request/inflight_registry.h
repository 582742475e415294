/** @file inflight_registry.h Requests that a gate has sent and whose end has not been observed. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "decision/routing/routing_snapshot.h"

#include <cstdint>
#include <map>
#include <string>

namespace wisteriahoist {

/** A keyed request that was sent to the backend server. */
struct InflightRequest {
    std::string service;
    KeyHash hash;
    Epoch epoch;        ///< Of the range when the request was sent.
    TimePoint deadline; ///< The backend server must have ended the request by then.
};

/**
 * Registers the requests that a change of owner has to wait for.
 *
 * A request whose end was not observed (connection lost, cancelled) may still run on the backend
 * server. Its entry is kept until its deadline: without it, the next owner would start while the
 * old request is still running, and two requests for one key would run at the same time.
 */
class InflightRegistry
{
public:
    /** @return The id of the entry, for end(). */
    uint64_t begin(InflightRequest request);

    /** @param completed Whether a complete response was read, so that the request has ended. */
    void end(uint64_t id, bool completed, TimePoint now);

    /**
     * @return The latest time at which a request may still run whose range @p self does not own
     *         under @p routing, or owns with another epoch; NeverTime if there is none.
     */
    TimePoint lastLostDeadline(const RoutingSnapshot *routing, NodeId self, TimePoint now);

    size_t size() const { return open_.size(); }

private:
    void dropExpired(TimePoint now);

    std::map<uint64_t, InflightRequest> open_; ///< Invariant: each ends or expires by its deadline.
    uint64_t lastId_ = 0;
};

} // namespace wisteriahoist
