/** @file gate_duty.h The owner's gate: final admission before the backend server. */

#pragma once

#include "adapter/http/http_client.h"
#include "decision/placement/load_tracker.h"
#include "decision/request/deduplication_table.h"
#include "decision/request/inflight_registry.h"
#include "duty/duty_message.h"
#include "duty/slot_queue.h"
#include "port/clock.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>

namespace wisteriahoist {

struct BackendGrant;

/**
 * Admits a request only if this node holds a lease and owns the key at the time of sending it, then
 * runs it on the backend server and returns the complete response. Runs on its own thread.
 */
class GateDuty
{
public:
    GateDuty(asio::io_context &context, const Clock &clock, NodeId self);

    /**
     * Applies a new grant at once. It returns only when no request of a range that this node lost
     * with the grant can still run: each has ended, or its deadline has passed. The return
     * therefore confirms that requests under the lost epochs are no longer admitted and that
     * those admitted earlier have drained.
     */
    asio::awaitable<Accepted> onGrant(GateGrant grant);

    /** Runs one request or refuses it; a request with cancel set cancels an earlier one. */
    asio::awaitable<v1::HopReply> onRequest(v1::HopRequest request);

    /** @return Requests queued or running here; may be called from any thread. */
    size_t openRequests() const { return openRequests_.load(std::memory_order_relaxed); }

    /** @return Ranges owned under the current grant; may be called from any thread. */
    size_t ownedRanges() const { return ownedRanges_.load(std::memory_order_relaxed); }

private:
    ServiceLoad makeLoad(TimePoint now);
    bool hasDrained(TimePoint now) const;
    /** One request at the gate. */
    struct Call {
        explicit Call(asio::io_context &context) : waiter(std::make_shared<SlotWaiter>(context)) { }
        std::shared_ptr<SlotWaiter> waiter;
        std::shared_ptr<ExchangeControl> control = std::make_shared<ExchangeControl>();
        TimePoint deadline;
        Epoch epoch; ///< Of the owned range, once admitted; 0 if the rule has no key.
        bool sent = false;
        bool outlivesCaller
                = false; ///< Not cancelled with its caller, since its response is stored.
    };
    using CallId = std::pair<uint64_t, uint64_t>; ///< Originating node and its request id.

    asio::awaitable<void> serve(const v1::HopRequest &request, Call &call, v1::HopReply &reply);
    asio::awaitable<void> run(const v1::HopRequest &request, Call &call, v1::HopReply &reply);
    asio::awaitable<void> sendToBackend(const v1::HopRequest &request, Call &call,
                                        v1::HopReply &reply);
    bool passesDeduplication(const v1::HopRequest &request, v1::HopReply &reply);
    void storeOutcome(const v1::HopRequest &request, const v1::HopReply &reply);
    RequestEnd checkAdmission(const v1::HopRequest &request, Call &call, v1::HopReply &reply) const;
    BackendGrant makeGrant(const v1::HopRequest &request, const Call &call, TimePoint now) const;
    TimePoint epochSince(const v1::HopRequest &request, TimePoint now) const;
    void cancel(const v1::HopRequest &request);
    void applyRouting(TimePoint now);
    void applyBackend(const BackendInfo &previous);

    asio::io_context &context_;
    const Clock &clock_;
    NodeId self_;
    GateGrant grant_;
    std::shared_ptr<HttpClient> client_; ///< To grant_.backend; replaced when its address changes.
    std::map<Epoch, TimePoint> epochSince_; ///< When this node learned of each epoch it owns.
    InflightRegistry inflight_;             ///< Keyed requests that were sent.
    DeduplicationTable deduplication_{DeduplicationLimits{}};
    SlotQueue slots_;
    std::map<CallId, std::shared_ptr<Call>> calls_; ///< Open requests, for cancellation.
    LoadTracker load_;                              ///< Sent requests, by range and key.
    TimePoint drainingSince_ = NeverTime;           ///< Start of the backend server's drain.
    std::atomic<size_t> openRequests_{0};
    std::atomic<size_t> ownedRanges_{0};
};

} // namespace wisteriahoist
