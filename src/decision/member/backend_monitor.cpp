/** @file backend_monitor.cpp Which life of the backend server beside this node is up. */

#include "decision/member/backend_monitor.h"

#include <algorithm>

namespace wisteriahoist {

void BackendMonitor::beginLife(const std::string &backend)
{
    endLife();
    backend_ = backend;
    sequence_ = 0;
    refusals_ = 0;
    gone_ = false;
    leaving_ = std::find(departing_.begin(), departing_.end(), backend) != departing_.end();
}

void BackendMonitor::endLife()
{
    if (backend_.empty()) {
        return;
    }
    remember(ended_, backend_);
}

void BackendMonitor::remember(std::deque<std::string> &lives, const std::string &backend) const
{
    lives.push_back(backend);
    if (lives.size() > limits_.endedLives) {
        lives.pop_front();
    }
}

bool BackendMonitor::onReport(const BackendReport &report, TimePoint now)
{
    if (std::find(ended_.begin(), ended_.end(), report.backend) != ended_.end()) {
        return false;
    }
    const bool newLife = report.backend != backend_;
    if (newLife) {
        beginLife(report.backend);
    } else if (report.sequence <= sequence_) {
        return false;
    }
    sequence_ = report.sequence;
    heardAt_ = now;
    refusals_ = 0;
    gone_ = false;
    leaving_ |= report.state == BackendState::Draining;
    const BackendState state = leaving_ ? BackendState::Draining : BackendState::Ready;
    const bool changed
            = newLife || state != state_ || slots_ != report.slots || service_ != report.service;
    state_ = state;
    slots_ = report.slots;
    service_ = report.service;
    return changed;
}

bool BackendMonitor::onDeregister(const std::string &backend)
{
    if (backend != backend_) {
        remember(departing_, backend);
        return false;
    }
    if (state_ == BackendState::Draining) {
        return false;
    }
    leaving_ = true;
    state_ = BackendState::Draining;
    return true;
}

bool BackendMonitor::onOtherLife(const std::string &backend, TimePoint now)
{
    if (backend == backend_ || std::find(ended_.begin(), ended_.end(), backend) != ended_.end()) {
        return false;
    }
    beginLife(backend);
    // It has not reported yet: until then nothing is known of it but its id.
    state_ = leaving_ ? BackendState::Draining : BackendState::Absent;
    heardAt_ = now;
    return true;
}

bool BackendMonitor::onRefusedConnection()
{
    if (backend_.empty() || state_ == BackendState::Down) {
        return false;
    }
    if (++refusals_ < limits_.refusals) {
        return false;
    }
    gone_ = true;
    state_ = BackendState::Down;
    return true;
}

bool BackendMonitor::onAnswer(TimePoint now)
{
    heardAt_ = now;
    refusals_ = 0;
    if (state_ != BackendState::Down) {
        return false;
    }
    gone_ = false;
    state_ = leaving_ ? BackendState::Draining : BackendState::Ready;
    return true;
}

bool BackendMonitor::onSilence()
{
    if (state_ != BackendState::Ready) {
        return false;
    }
    state_ = BackendState::Down;
    return true;
}

} // namespace wisteriahoist
