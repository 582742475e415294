/** @file admission_control.cpp Who runs at a backend server next. */

#include "decision/request/admission_control.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

constexpr milliseconds LeastRetryAfter{100}; ///< About the time in which one slot comes free.

Duration scale(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

Duration AdmissionControl::meanOf(bool nested) const
{
    const Duration mean = means_[nested ? 1 : 0];
    return mean > Duration(0) ? mean : Duration(limits_.firstService);
}

Duration AdmissionControl::waitBehind(const Rank &rank) const
{
    const uint32_t slots = std::max<uint32_t>(1, slots_);
    Duration ahead{0};
    for (auto waiting = order_.begin(); waiting != order_.end() && *waiting < rank; ++waiting) {
        ahead += meanOf(!waiting->plain);
    }
    // The first slot comes free after one service time over the number of slots.
    if (running_ >= slots) {
        ahead += meanOf(false) * (1 + running_ - slots);
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
    const Duration service = meanOf(item.nested);
    if (item.nested) {
        return scale(item.deadline - now - service, limits_.nestedWaitShare);
    }
    if (late) {
        return scale(item.deadline - now - service, limits_.lateWaitShare);
    }
    return scale(item.objective - now - service, limits_.waitShare);
}

AdmissionDecision AdmissionControl::offer(const WorkItem &item, TimePoint now)
{
    AdmissionDecision decision;
    const Duration service = meanOf(item.nested);
    Rank rank;
    rank.plain = !item.nested;
    rank.priority = item.priority;
    rank.late = item.objective < now + service;
    rank.arrival = ++arrivals_;
    rank.id = item.id;
    if (slots_ > 0 && running_ < slots_ && order_.empty()) {
        ++running_;
        decision.step = AdmissionDecision::Step::Run;
        return decision;
    }
    decision.predictedWait = waitBehind(rank);
    const Duration allowed = allowedWait(item, rank.late, now);
    const bool full = slots_ == 0 || waiting_.size() >= limits_.waiting;
    if (full || decision.predictedWait > allowed) {
        const auto wait = std::chrono::duration_cast<milliseconds>(decision.predictedWait);
        decision.retryAfter = std::max(LeastRetryAfter, wait);
        return decision;
    }
    order_.insert(rank);
    waiting_[item.id] = rank;
    decision.step = AdmissionDecision::Step::Wait;
    decision.patienceUntil
            = std::min(item.deadline, now + scale(std::max(allowed, Duration(limits_.firstService / 4)),
                                                  limits_.patience));
    return decision;
}

std::optional<uint64_t> AdmissionControl::takeNext(TimePoint)
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
        order_.erase(found->second);
        waiting_.erase(found);
    }
}

void AdmissionControl::onEnd(bool nested, std::optional<Duration> service)
{
    --running_;
    if (!service) {
        return;
    }
    Duration &mean = means_[nested ? 1 : 0];
    mean = mean == Duration(0) ? *service
                               : mean + scale(*service - mean, limits_.smoothing);
}

} // namespace wisteriahoist
