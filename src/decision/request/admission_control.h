/** @file admission_control.h Who runs at a backend server next, who waits, and who is refused at once. */

#pragma once

#include "core/time_type.h"

#include <array>
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
    /** A nested call may wait for this part of its time: its parent's work is lost if it fails. */
    double nestedWaitShare = 0.6;
    /** A prediction may turn out this many times too low before the request is refused after all. */
    double patience = 1.5;
    milliseconds firstService{200}; ///< Assumed until a request has ended.
    double smoothing = 0.1; ///< Weight of one more service time: the last 20 or so count.
    size_t waiting = 512;   ///< Most requests that wait; a bound on memory, never met in practice.
};

/** What a request asks for. */
struct WorkItem {
    uint64_t id = 0;
    bool nested = false;   ///< Made by a backend server for a request that it runs.
    uint32_t priority = 0; ///< 0 is the highest.
    TimePoint deadline;    ///< Nobody waits for the answer after this.
    TimePoint objective;   ///< An answer after this is late.
};

/** What happens to a request that has arrived. */
struct AdmissionDecision {
    enum class Step {
        Run,   ///< A slot is taken.
        Wait,  ///< It waits, until patienceUntil at most.
        Refuse ///< It can't be served in time.
    };
    Step step = Step::Refuse;
    TimePoint patienceUntil = NeverTime; ///< For Wait.
    milliseconds retryAfter{0};          ///< For Refuse: when there may be room.
    Duration predictedWait{0};
};

/**
 * Admission to one backend server. As many requests run at once as it has slots, so that its own
 * queue stays empty and the order of waiting is decided here: nested calls first, then by
 * priority, on-time requests before late ones, then in order of arrival.
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
    std::optional<uint64_t> takeNext(TimePoint now);

    /** A waiting request has been given up. */
    void remove(uint64_t id);

    /** A request that ran has ended. @param service Nothing if it was refused or cut off. */
    void onEnd(bool nested, std::optional<Duration> service);

    uint32_t running() const { return running_; }
    size_t waiting() const { return waiting_.size(); }
    uint32_t slots() const { return slots_; }

    /** @return The mean service time of all requests. */
    Duration serviceTime() const { return meanOf(false); }

    /** @return How long a request without priority over any waiting one would wait. */
    Duration predictedWait() const;

private:
    /** Order of waiting: the least first. */
    struct Rank {
        bool plain = true;      ///< Nested calls first.
        uint32_t priority = 0;
        bool late = false;
        uint64_t arrival = 0;
        uint64_t id = 0;
        auto operator<=>(const Rank &) const = default;
    };

    Duration meanOf(bool nested) const;
    Duration waitBehind(const Rank &rank) const;
    Duration allowedWait(const WorkItem &item, bool late, TimePoint now) const;

    AdmissionLimits limits_;
    uint32_t slots_ = 0;
    uint32_t running_ = 0;
    uint64_t arrivals_ = 0;
    std::set<Rank> order_;
    std::unordered_map<uint64_t, Rank> waiting_; ///< Invariant: the same requests as order_.
    std::array<Duration, 2> means_{};            ///< Of plain and nested requests; 0: none yet.
};

} // namespace wisteriahoist
