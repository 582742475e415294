/** @file admission_control.h Admission of requests to one backend server: run, queue or refuse. */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace wisteriahoist {

/** Limits of admission. */
struct AdmissionLimits {
    /**
     * Largest predicted wait, as a share of the time from now to the latest start that still meets
     * the objective. Service times vary widely (their 90th percentile is about twice the mean), so
     * half of the requests that are predicted to end just in time would be late.
     */
    double waitShare = 0.5;
    /** The same for a request that can no longer meet its latency objective. */
    double lateWaitShare = 0.25;
    /**
     * A request is cheap if its service time is less than this share of the mean. Refusing it
     * frees hardly any capacity, and the request that depends on it fails nevertheless, so it may
     * wait for a share of the time to its deadline, not only to its objective. Calls between the
     * services are of this kind: each refused one fails the request that needs it and wastes the
     * work already done for that request.
     */
    double cheapShare = 0.5;
    double cheapWaitShare = 0.6;
    /** A request is refused once it has waited for this multiple of its allowed wait; predictions
     *  may be too low by this factor. */
    double waitTolerance = 1.5;
    milliseconds initialServiceTime{200}; ///< Assumed service time until a request has ended.
    double smoothing = 0.1; ///< Weight of a new service time; averages over about the last 20.
    size_t maxKinds = 256;  ///< Kinds of request with a service time of their own; bounds memory.
    size_t maxQueued = 512; ///< Queued requests; bounds memory, not reached in normal operation.
};

/** A request that asks for admission. */
struct WorkItem {
    uint64_t id = 0;
    uint64_t kind = 0;     ///< Requests of one kind have similar service times.
    uint32_t priority = 0; ///< 0 is the highest.
    TimePoint deadline;    ///< The caller does not wait for a response beyond this.
    TimePoint objective;   ///< A response after this misses the latency objective.
};

/** The decision about one request. */
struct AdmissionDecision {
    enum class Step {
        Run,   ///< A slot has been taken for it.
        Wait,  ///< It is queued, until queueDeadline at the latest.
        Refuse ///< It cannot be served in time.
    };
    Step step = Step::Refuse;
    TimePoint queueDeadline = NeverTime; ///< Set for Wait.
    milliseconds retryAfter{0};          ///< Set for Refuse: when capacity is expected.
    Duration predictedWait{0};
};

/**
 * Admission to one backend server. It runs at most as many requests at once as the server has
 * slots, so that the server's own queue stays empty and the order is decided here: by priority,
 * then requests that can meet their objective before late ones, then by objective.
 *
 * A request is refused on arrival if it is predicted to start too late. Under overload this keeps
 * the queue as short as the objective requires: admitted requests are served in time, and all
 * others are refused at once.
 */
class AdmissionControl
{
public:
    explicit AdmissionControl(AdmissionLimits limits) : limits_(limits) { }

    /** The number of slots, or the incarnation, of the backend server has changed. */
    void onSlots(uint32_t slots) { slots_ = slots; }

    /** Admits, queues or refuses a request that has arrived. */
    AdmissionDecision offer(const WorkItem &item, TimePoint now);

    /** Removes the next queued request and takes a slot for it. @return nullopt if no slot is free
     *  or no request waits. */
    std::optional<uint64_t> takeNext();

    /** Removes a queued request, if it is still queued. */
    void remove(uint64_t id);

    /** A running request has ended. @param service Its service time; nullopt if it was refused or
     *  cancelled. */
    void onEnd(uint64_t kind, std::optional<Duration> service);

    uint32_t running() const { return running_; }
    size_t waiting() const { return waiting_.size(); }
    uint32_t slots() const { return slots_; }

    /** @return The mean service time over all kinds. */
    Duration serviceTime() const;

    /** @return The wait of a request that is queued last. */
    Duration predictedWait() const;

private:
    /** Position in the queue: the smallest is next. */
    struct Rank {
        uint32_t priority = 0;
        bool late = false;
        TimePoint objective;
        uint64_t id = 0; ///< Increases in the order of arrival.
        auto operator<=>(const Rank &) const = default;
    };

    /** A queued request. */
    struct Waiting {
        Rank rank;
        uint64_t kind = 0;
    };

    Duration meanOf(uint64_t kind) const;
    Duration waitBehind(const Rank &rank) const;
    Duration allowedWait(const WorkItem &item, bool late, TimePoint now) const;

    AdmissionLimits limits_;
    uint32_t slots_ = 0;
    uint32_t running_ = 0;
    std::set<Rank> order_;
    std::unordered_map<uint64_t, Waiting> waiting_; ///< Invariant: the same requests as order_.
    std::unordered_map<uint64_t, Duration> means_;  ///< Mean service time by kind.
    Duration mean_{0}; ///< Over all kinds; 0: no request has ended yet.
};

} // namespace wisteriahoist
