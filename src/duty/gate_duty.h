/** @file gate_duty.h The owner gate: the last point before the backend server. */

#pragma once

#include "adapter/http/http_client.h"
#include "decision/request/inflight_registry.h"
#include "duty/duty_message.h"
#include "port/clock.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace wisteriahoist {

/**
 * Admits a request only if this node holds a lease and owns the key at the moment of handing over,
 * then runs it on the backend server and returns the whole answer. Runs on its own thread.
 */
class GateDuty
{
public:
    GateDuty(asio::io_context &context, const Clock &clock, NodeId self);

    /**
     * Takes a new grant over at once, and returns only when no request of a range that this node
     * lost under the grant can still run: each has ended, or its deadline has passed. So the
     * return confirms that the lost epochs are no longer admitted and have drained.
     */
    asio::awaitable<Accepted> onGrant(GateGrant grant);

    /** Runs one request or says why not. */
    asio::awaitable<v1::HopReply> onRequest(v1::HopRequest request);

private:
    /** @return The owning slice, or nullptr with @p reply filled with the refusal. */
    bool admit(const v1::HopRequest &request, TimePoint now, v1::HopReply &reply) const;
    HttpRequest makeBackendRequest(const v1::HopRequest &request, Epoch epoch,
                                   milliseconds deadlineLeft) const;

    asio::io_context &context_;
    const Clock &clock_;
    NodeId self_;
    GateGrant grant_;
    std::shared_ptr<HttpClient> client_; ///< To grant_.backend; replaced when its address changes.
    InflightRegistry inflight_;          ///< Keyed requests handed over.
    uint32_t running_ = 0;               ///< Invariant: at most grant_.backend.slots.
};

} // namespace wisteriahoist
