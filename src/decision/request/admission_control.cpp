/** @file admission_control.cpp Admission to one backend server: run, queue or refuse. */

#include "decision/request/admission_control.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

constexpr milliseconds MinRetryAfter{100}; ///< About the interval at which a slot becomes free.
/** Lower bound of the time in the queue: a wait predicted as none may take this long. */
constexpr milliseconds MinQueueTime{30};

Duration scale(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

Duration AdmissionControl::serviceTime() const
{
    return mean_ > Duration(0) ? mean_ : Duration(limits_.initialServiceTime);
}

Duration AdmissionControl::meanOf(uint64_t kind) const
{
    const auto found = means_.find(kind);
    return found == means_.end() ? serviceTime() : found->second;
}

Duration AdmissionControl::waitBehind(const Rank &rank) const
{
    const uint32_t slots = std::max<uint32_t>(1, slots_);
    Duration ahead{0};
    for (auto entry = order_.begin(); entry != order_.end() && *entry < rank; ++entry) {
        ahead += meanOf(waiting_.at(entry->id).kind);
    }
    // The first slot becomes free after one service time divided by the number of slots.
    if (running_ >= slots) {
        ahead += serviceTime() * (1 + running_ - slots);
    }
    return ahead / slots;
}

Duration AdmissionControl::predictedWait() const
{
    Rank last;
    last.priority = UINT32_MAX;
    last.late = true;
    return waitBehind(last);
}

Duration AdmissionControl::allowedWait(const WorkItem &item, bool late, TimePoint now) const
{
    const Duration service = meanOf(item.kind);
    const Duration whole = item.deadline - now - service;
    if (service < scale(serviceTime(), limits_.cheapShare)) {
        return scale(whole, limits_.cheapWaitShare);
    }
    return late ? scale(whole, limits_.lateWaitShare)
                : scale(item.objective - now - service, limits_.waitShare);
}

AdmissionDecision AdmissionControl::offer(const WorkItem &item, TimePoint now)
{
    AdmissionDecision decision;
    if (slots_ > 0 && running_ < slots_ && order_.empty()) {
        ++running_;
        decision.step = AdmissionDecision::Step::Run;
        return decision;
    }
    Rank rank;
    rank.priority = item.priority;
    rank.late = item.objective < now + meanOf(item.kind);
    rank.objective = item.objective;
    rank.id = item.id;
    decision.predictedWait = waitBehind(rank);
    const Duration allowed = allowedWait(item, rank.late, now);
    const bool full = slots_ == 0 || waiting_.size() >= limits_.maxQueued;
    if (full || decision.predictedWait > allowed) {
        const auto wait = std::chrono::duration_cast<milliseconds>(decision.predictedWait);
        decision.retryAfter = std::max(MinRetryAfter, wait);
        return decision;
    }
    order_.insert(rank);
    waiting_[item.id] = {rank, item.kind};
    decision.step = AdmissionDecision::Step::Wait;
    const Duration queueTime
            = std::max<Duration>(scale(allowed, limits_.waitTolerance), MinQueueTime);
    decision.queueDeadline = std::min(item.deadline, now + queueTime);
    return decision;
}

std::optional<uint64_t> AdmissionControl::takeNext()
{
    if (running_ >= slots_ || order_.empty()) {
        return std::nullopt;
    }
    const uint64_t id = order_.begin()->id;
    remove(id);
    ++running_;
    return id;
}

void AdmissionControl::remove(uint64_t id)
{
    const auto found = waiting_.find(id);
    if (found != waiting_.end()) {
        order_.erase(found->second.rank);
        waiting_.erase(found);
    }
}

void AdmissionControl::onEnd(uint64_t kind, std::optional<Duration> service)
{
    --running_;
    if (!service) {
        return;
    }
    const auto updateMean = [this, service](Duration &mean) {
        mean = mean == Duration(0) ? *service : mean + scale(*service - mean, limits_.smoothing);
    };
    updateMean(mean_);
    if (means_.size() < limits_.maxKinds || means_.count(kind) > 0) {
        updateMean(means_[kind]);
    }
}

} // namespace wisteriahoist
