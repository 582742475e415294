/** @file backend_monitor.cpp Which life of the backend server beside this node is up. */

#include "decision/member/backend_monitor.h"

#include <algorithm>

namespace wisteriahoist {

std::string_view backendEvidenceName(BackendEvidence evidence)
{
    switch (evidence) {
    case BackendEvidence::Nothing:
        return "nothing";
    case BackendEvidence::Report:
        return "report";
    case BackendEvidence::Deregistration:
        return "deregistration";
    case BackendEvidence::OtherLife:
        return "other-life";
    case BackendEvidence::RefusedConnections:
        return "refused-connections";
    case BackendEvidence::Answer:
        return "answer";
    case BackendEvidence::Silence:
        return "silence";
    }
    return "unknown";
}

void BackendMonitor::beginLife(const BackendIncarnation &backend)
{
    endLife();
    backend_ = backend;
    sequence_ = 0;
    refusals_ = 0;
    refusing_ = false;
    // A deregistration without the time of the start is taken for this life's: sent on to a backend
    // server that has left, requests would be lost; kept from one that has not, they go elsewhere.
    leaving_ = isDeparting(backend);
}

bool BackendMonitor::isDeparting(const BackendIncarnation &backend) const
{
    return std::any_of(departing_.begin(), departing_.end(), [&](const BackendIncarnation &life) {
        return life.id == backend.id && (life.born == backend.born || life.born == 0);
    });
}

void BackendMonitor::endLife()
{
    if (backend_.empty()) {
        return;
    }
    remember(ended_, backend_);
}

void BackendMonitor::remember(std::deque<BackendIncarnation> &lives,
                              const BackendIncarnation &backend) const
{
    lives.push_back(backend);
    if (lives.size() > limits_.endedLives) {
        lives.pop_front();
    }
}

bool BackendMonitor::hasEnded(const BackendIncarnation &backend) const
{
    return backend.isBefore(backend_)
           || std::find(ended_.begin(), ended_.end(), backend) != ended_.end();
}

bool BackendMonitor::onReport(const BackendReport &report, TimePoint now)
{
    if (hasEnded(report.backend)) {
        return false;
    }
    const bool newLife = report.backend != backend_;
    const bool named = !hasReported() && report.backend.id == backend_.id;
    if (newLife && named) {
        // A look has shown the id; the report tells the rest.
        backend_ = report.backend;
        leaving_ |= isDeparting(backend_);
    } else if (newLife) {
        beginLife(report.backend);
    } else if (report.sequence <= sequence_) {
        return false;
    }
    sequence_ = report.sequence;
    heardAt_ = now;
    refusals_ = 0;
    refusing_ = false;
    leaving_ |= report.state == BackendState::Draining;
    const BackendState state = leaving_ ? BackendState::Draining : BackendState::Ready;
    const bool changed
            = newLife || state != state_ || slots_ != report.slots || service_ != report.service;
    evidence_ = BackendEvidence::Report;
    state_ = state;
    slots_ = report.slots;
    service_ = report.service;
    return changed;
}

bool BackendMonitor::onDeregister(const BackendIncarnation &backend)
{
    const bool otherLife = backend.born != 0 && backend_.born != 0 && backend.born != backend_.born;
    if (backend.id != backend_.id || otherLife) {
        remember(departing_, backend);
        return false;
    }
    if (state_ == BackendState::Draining) {
        return false;
    }
    leaving_ = true;
    evidence_ = BackendEvidence::Deregistration;
    state_ = BackendState::Draining;
    return true;
}

bool BackendMonitor::onOtherIncarnation(const std::string &backend, TimePoint now)
{
    const auto isNamed = [&backend](const BackendIncarnation &life) { return life.id == backend; };
    if (isNamed(backend_) || std::any_of(ended_.begin(), ended_.end(), isNamed)) {
        return false;
    }
    beginLife(backend);
    evidence_ = BackendEvidence::OtherLife;
    // It has not reported yet: until then nothing is known of it but its id.
    state_ = leaving_ ? BackendState::Draining : BackendState::Absent;
    heardAt_ = now;
    return true;
}

bool BackendMonitor::onRefusedConnection()
{
    ++refusedConnections_;
    if (backend_.empty() || state_ == BackendState::Down || (isWorking_ && isWorking_())) {
        return false;
    }
    if (++refusals_ < limits_.refusals) {
        return false;
    }
    refusing_ = true;
    evidence_ = BackendEvidence::RefusedConnections;
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
    refusing_ = false;
    evidence_ = BackendEvidence::Answer;
    state_ = leaving_ ? BackendState::Draining : BackendState::Ready;
    return true;
}

bool BackendMonitor::onNoResponse()
{
    if (state_ != BackendState::Ready) {
        return false;
    }
    evidence_ = BackendEvidence::Silence;
    state_ = BackendState::Down;
    return true;
}

} // namespace wisteriahoist
