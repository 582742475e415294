/** @file admission_queue.cpp Which waiting request gets the next free slot. */

#include "decision/request/admission_queue.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

TimePoint endOf(const QueuedRequest &request)
{
    return std::min(request.deadline, request.queueDeadline);
}

} // namespace

bool AdmissionQueue::push(const QueuedRequest &request)
{
    if (entries_.size() >= limits_.entries) {
        return false;
    }
    entries_.emplace(request.id, request);
    byDeadline_.emplace(request.deadline, request.id);
    byPatience_.emplace(endOf(request), request.id);
    return true;
}

void AdmissionQueue::erase(std::map<uint64_t, QueuedRequest>::iterator entry)
{
    byDeadline_.erase({entry->second.deadline, entry->first});
    byPatience_.erase({endOf(entry->second), entry->first});
    entries_.erase(entry);
}

std::optional<uint64_t> AdmissionQueue::pop(TimePoint now)
{
    const bool patientTurn = ++popped_ % limits_.patientShare == 0;
    std::optional<uint64_t> chosen;
    if (patientTurn) {
        const auto waiting
                = std::find_if(entries_.begin(), entries_.end(),
                               [now](const auto &entry) { return endOf(entry.second) > now; });
        if (waiting != entries_.end()) {
            chosen = waiting->first;
        }
    } else {
        for (const auto &[deadline, id] : byDeadline_) {
            if (endOf(entries_.at(id)) > now) {
                chosen = id;
                break;
            }
        }
    }
    if (chosen) {
        erase(entries_.find(*chosen));
    }
    return chosen;
}

bool AdmissionQueue::remove(uint64_t id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return false;
    }
    erase(found);
    return true;
}

std::vector<uint64_t> AdmissionQueue::takeExpired(TimePoint now)
{
    std::vector<uint64_t> expired;
    while (!byPatience_.empty() && byPatience_.begin()->first <= now) {
        expired.push_back(byPatience_.begin()->second);
        erase(entries_.find(expired.back()));
    }
    return expired;
}

} // namespace wisteriahoist
