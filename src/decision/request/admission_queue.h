/** @file admission_queue.h Bounded queue of requests that wait for a slot. */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace wisteriahoist {

/** Limits of one service's queue. */
struct QueueLimits {
    size_t maxEntries = 256;            ///< Further requests are refused as overloaded.
    uint32_t longestWaiterInterval = 4; ///< Every n-th slot goes to the longest waiting request.
};

/** A queued request. */
struct QueuedRequest {
    uint64_t id = 0;
    TimePoint deadline;
    TimePoint queueDeadline; ///< At this time the request is refused as not run.
};

/**
 * A bounded queue, earliest deadline first. Every longestWaiterInterval-th slot goes to the request
 * that has waited longest: by deadline alone, requests with a distant deadline starve under steady
 * load, and all of them end at their queue deadline.
 */
class AdmissionQueue
{
public:
    explicit AdmissionQueue(QueueLimits limits) : limits_(limits) { }

    /** @return false if the queue is full. @pre The id is not in the queue. */
    bool push(const QueuedRequest &request);

    /** @return The request to run next; never one beyond its queue deadline or deadline. */
    std::optional<uint64_t> pop(TimePoint now);

    /** Removes a request, for example when its caller has disconnected. @return false if it is not
     *  queued. */
    bool remove(uint64_t id);

    /** Removes and returns the requests that are beyond their queue deadline or deadline. */
    std::vector<uint64_t> takeExpired(TimePoint now);

    size_t size() const { return entries_.size(); }

private:
    void erase(std::map<uint64_t, QueuedRequest>::iterator entry);

    QueueLimits limits_;
    std::map<uint64_t, QueuedRequest> entries_; ///< By id, which increases: longest waiting first.
    std::set<std::pair<TimePoint, uint64_t>> byDeadline_; ///< Invariant: same ids as entries_.
    std::set<std::pair<TimePoint, uint64_t>> byExpiry_;   ///< By the earlier of both deadlines.
    uint32_t popped_ = 0;
};

} // namespace wisteriahoist
