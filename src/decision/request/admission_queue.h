/** @file admission_queue.h Which waiting request gets the next free slot. */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace wisteriahoist {

/** Bounds of one service's queue. */
struct QueueLimits {
    size_t entries = 256;      ///< Beyond: answered at once as overloaded.
    uint32_t patientShare = 4; ///< Each so many-th slot goes to the one that waited longest.
};

/** A request that waits. */
struct QueuedRequest {
    uint64_t id = 0;
    TimePoint deadline;
    TimePoint queueDeadline; ///< It is answered not run at this time.
};

/**
 * A bounded queue, earliest deadline first. Each patientShare-th slot goes to the request that
 * waited longest: with deadlines alone, requests with a far deadline starve under steady load and
 * all of them end at their patience bound.
 */
class AdmissionQueue
{
public:
    explicit AdmissionQueue(QueueLimits limits) : limits_(limits) { }

    /** @return false if the queue is full. @pre The id is not in the queue. */
    bool push(const QueuedRequest &request);

    /** @return The request to run next; requests past patience or deadline are never returned. */
    std::optional<uint64_t> pop(TimePoint now);

    /** Takes a request out, e.g. as its caller has gone. @return false if it is not there. */
    bool remove(uint64_t id);

    /** Takes out and returns the requests whose patience or deadline is over. */
    std::vector<uint64_t> takeExpired(TimePoint now);

    size_t size() const { return entries_.size(); }

private:
    void erase(std::map<uint64_t, QueuedRequest>::iterator entry);

    QueueLimits limits_;
    std::map<uint64_t, QueuedRequest> entries_; ///< By id, which rises: the first waited longest.
    std::set<std::pair<TimePoint, uint64_t>> byDeadline_; ///< Invariant: same ids as entries_.
    std::set<std::pair<TimePoint, uint64_t>> byPatience_; ///< By the earlier of both bounds.
    uint32_t popped_ = 0;
};

} // namespace wisteriahoist
