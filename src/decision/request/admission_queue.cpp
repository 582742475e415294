/** @file admission_queue.cpp Bounded queue of requests that wait for a slot. */

#include "decision/request/admission_queue.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

TimePoint expiryOf(const QueuedRequest &request)
{
    return std::min(request.deadline, request.queueDeadline);
}

} // namespace

bool AdmissionQueue::push(const QueuedRequest &request)
{
    if (entries_.size() >= limits_.maxEntries) {
        return false;
    }
    entries_.emplace(request.id, request);
    byDeadline_.emplace(request.deadline, request.id);
    byExpiry_.emplace(expiryOf(request), request.id);
    return true;
}

void AdmissionQueue::erase(std::map<uint64_t, QueuedRequest>::iterator entry)
{
    byDeadline_.erase({entry->second.deadline, entry->first});
    byExpiry_.erase({expiryOf(entry->second), entry->first});
    entries_.erase(entry);
}

std::optional<uint64_t> AdmissionQueue::pop(TimePoint now)
{
    const bool longestWaiterTurn = ++popped_ % limits_.longestWaiterInterval == 0;
    std::optional<uint64_t> chosen;
    if (longestWaiterTurn) {
        const auto waiting
                = std::find_if(entries_.begin(), entries_.end(),
                               [now](const auto &entry) { return expiryOf(entry.second) > now; });
        if (waiting != entries_.end()) {
            chosen = waiting->first;
        }
    } else {
        for (const auto &[deadline, id] : byDeadline_) {
            if (expiryOf(entries_.at(id)) > now) {
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
    while (!byExpiry_.empty() && byExpiry_.begin()->first <= now) {
        expired.push_back(byExpiry_.begin()->second);
        erase(entries_.find(expired.back()));
    }
    return expired;
}

} // namespace wisteriahoist
