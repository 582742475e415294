/** @file admission_control.h Who runs at a backend server next, who waits, and who is refused at
 * once. */

#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace wisteriahoist {

/** Bounds of admission. */
struct AdmissionLimits {
    /**
     * Part of the time between now and the latest useful start that a request may be predicted to
     * wait. Service times spread widely (their 90th percentile is about twice the mean), so a
     * request that is predicted to end just in time is late every other time.
     */
    double waitShare = 0.5;
    /** The same for a request whose latency objective is out of reach already. */
    double lateWaitShare = 0.25;
    /**
     * A request is cheap if it takes less than this part of the mean. Refusing it frees hardly any
     * room, and whoever waits for it loses all the same: it may wait for a part of its whole time,
     * not only of its objective's. Calls among the services are of this sort: each one that is
     * refused costs the request that needs it, with the work already done for it.
     */
    double cheapShare = 0.5;
    double cheapWaitShare = 0.6;
    /** A prediction may turn out this many times too low before the request is refused after all.
     */
    double patience = 1.5;
    milliseconds firstService{200}; ///< Assumed until a request has ended.
    double smoothing = 0.1;         ///< Weight of one more service time: the last 20 or so count.
    size_t kinds = 256;   ///< Kinds of request whose service time is kept; a bound on memory.
    size_t waiting = 512; ///< Most requests that wait; a bound on memory, never met in practice.
};

/** What a request asks for. */
struct WorkItem {
    uint64_t id = 0;
    uint64_t kind = 0;     ///< Requests of one kind take about as long.
    uint32_t priority = 0; ///< 0 is the highest.
    TimePoint deadline;    ///< Nobody waits for the answer after this.
    TimePoint objective;   ///< An answer after this is late.
};

/** What happens to a request that has arrived. */
struct AdmissionDecision {
    enum class Step {
        Run,   ///< A slot is taken.
        Wait,  ///< It waits, until queueDeadline at most.
        Refuse ///< It can't be served in time.
    };
    Step step = Step::Refuse;
    TimePoint queueDeadline = NeverTime; ///< For Wait.
    milliseconds retryAfter{0};          ///< For Refuse: when there may be room.
    Duration predictedWait{0};
};

/**
 * Admission to one backend server. As many requests run at once as it has slots, so that its own
 * queue stays empty and the order of waiting is decided here: by priority, on-time requests before
 * late ones, then by the time at which they become late.
 *
 * A request is refused on arrival if it is predicted to start too late. Under overload that keeps
 * the queue as short as the objective asks for: what is served is served in time, and what is not
 * is told so at once.
 */
class AdmissionControl
{
public:
    explicit AdmissionControl(AdmissionLimits limits) : limits_(limits) { }

    /** The backend server's life has changed. */
    void onSlots(uint32_t slots) { slots_ = slots; }

    AdmissionDecision offer(const WorkItem &item, TimePoint now);

    /** Takes the next waiting request, if a slot is free; its slot is then taken. */
    std::optional<uint64_t> takeNext();

    /** A waiting request has been given up. */
    void remove(uint64_t id);

    /** A request that ran has ended. @param service Nothing if it was refused or cut off. */
    void onEnd(uint64_t kind, std::optional<Duration> service);

    uint32_t running() const { return running_; }
    size_t waiting() const { return waiting_.size(); }
    uint32_t slots() const { return slots_; }

    /** @return The mean service time of all requests. */
    Duration serviceTime() const;

    /** @return How long a request without priority over any waiting one would wait. */
    Duration predictedWait() const;

private:
    /** Order of waiting: the least first. */
    struct Rank {
        uint32_t priority = 0;
        bool late = false;
        TimePoint objective;
        uint64_t id = 0; ///< Rises with the arrival.
        auto operator<=>(const Rank &) const = default;
    };

    /** A request that waits. */
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
    std::unordered_map<uint64_t, Duration> means_;  ///< Service times by kind.
    Duration mean_{0};                              ///< Over all kinds; 0: none yet.
};

} // namespace wisteriahoist
