/** @file inflight_registry.h Which requests a gate has handed over and not yet seen the end of. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "decision/routing/routing_snapshot.h"

#include <cstdint>
#include <map>
#include <string>

namespace wisteriahoist {

/** One keyed request that was handed over to the backend server. */
struct InflightRequest {
    std::string service;
    KeyHash hash;
    Epoch epoch;        ///< Of the range at the time of handing over.
    TimePoint deadline; ///< The backend server was told to have ended by then.
};

/**
 * Keeps what a change of owner has to wait for.
 *
 * A request whose end was not seen (connection lost, cancelled) may still run on the backend
 * server. Its entry stays until its deadline; forgetting it earlier lets the next owner start
 * while the old run goes on, which the caller sees as two runs of one key at a time.
 */
class InflightRegistry
{
public:
    /** @return The entry's name, for end(). */
    uint64_t begin(InflightRequest request);

    /** @param settled A whole answer was read, so the run is over. */
    void end(uint64_t id, bool settled, TimePoint now);

    /**
     * @return The latest moment at which a request of a range that @p self no longer owns under
     *         @p routing, or owns under another epoch, may still run; NeverTime if there is none.
     */
    TimePoint lostUntil(const RoutingSnapshot *routing, NodeId self, TimePoint now);

    size_t size() const { return open_.size(); }

private:
    void dropExpired(TimePoint now);

    std::map<uint64_t, InflightRequest> open_; ///< Invariant: each ends or expires by its deadline.
    uint64_t lastId_ = 0;
};

} // namespace wisteriahoist
