/** @file backend_monitor.cpp Tracks the current incarnation of the local backend server. */

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
    case BackendEvidence::AnnouncedLeaving:
        return "announced-leaving";
    case BackendEvidence::OtherIncarnation:
        return "other-life";
    case BackendEvidence::RefusedConnections:
        return "refused-connections";
    case BackendEvidence::Answer:
        return "answer";
    case BackendEvidence::NoResponse:
        return "silence";
    }
    return "unknown";
}

std::string_view reportStandingName(ReportStanding standing)
{
    switch (standing) {
    case ReportStanding::Newest:
        return "newest";
    case ReportStanding::Outdated:
        return "outdated";
    case ReportStanding::OtherIncarnation:
        return "other-life";
    case ReportStanding::Ended:
        return "ended";
    }
    return "unknown";
}

void BackendMonitor::beginIncarnation(const BackendIncarnation &backend)
{
    endIncarnation();
    backend_ = backend;
    sequence_ = 0;
    refusals_ = 0;
    refusing_ = false;
    coldUntil_ = NeverTime;
    // A deregistration without a start time is attributed to this incarnation: if it has left,
    // requests forwarded to it would be lost; if not, they only go to another backend server.
    leaving_ = isDeregistered(backend);
}

bool BackendMonitor::isDeregistered(const BackendIncarnation &backend) const
{
    return std::any_of(deregistered_.begin(), deregistered_.end(),
                       [&](const BackendIncarnation &incarnation) {
                           return incarnation.id == backend.id
                                  && (incarnation.born == backend.born || incarnation.born == 0);
                       });
}

void BackendMonitor::endIncarnation()
{
    if (backend_.empty()) {
        return;
    }
    remember(ended_, backend_);
}

void BackendMonitor::remember(std::deque<BackendIncarnation> &incarnations,
                              const BackendIncarnation &backend) const
{
    incarnations.push_back(backend);
    if (incarnations.size() > limits_.endedIncarnations) {
        incarnations.pop_front();
    }
}

bool BackendMonitor::hasEnded(const BackendIncarnation &backend) const
{
    return backend.isBefore(backend_)
           || std::find(ended_.begin(), ended_.end(), backend) != ended_.end();
}

ReportStanding BackendMonitor::standingOf(const BackendReport &report) const
{
    if (hasEnded(report.backend)) {
        return ReportStanding::Ended;
    }
    // Of an incarnation that has not reported only the id may be known, from a health check.
    const bool named = !hasReported() && report.backend.id == backend_.id;
    if (report.backend != backend_ && !named && !backend_.empty()) {
        return ReportStanding::OtherIncarnation;
    }
    return report.backend == backend_ && report.sequence <= sequence_ ? ReportStanding::Outdated
                                                                      : ReportStanding::Newest;
}

bool BackendMonitor::onReport(const BackendReport &report, TimePoint now)
{
    const ReportStanding standing = standingOf(report);
    if (standing == ReportStanding::Ended || standing == ReportStanding::Outdated) {
        return false;
    }
    const bool newIncarnation = report.backend != backend_;
    if (newIncarnation && report.backend.id == backend_.id && !hasReported()) {
        backend_ = report.backend;
        leaving_ |= isDeregistered(backend_);
    } else if (newIncarnation) {
        beginIncarnation(report.backend);
    }
    if (!hasReported()) {
        reportedBefore_ = report.sequence > 1;
    }
    sequence_ = report.sequence;
    coldUntil_ = now + report.warmUpLeft;
    heardAt_ = now;
    refusals_ = 0;
    refusing_ = false;
    leaving_ |= report.state == BackendState::Draining;
    const BackendState state = leaving_ ? BackendState::Draining : BackendState::Ready;
    const bool changed = newIncarnation || state != state_ || slots_ != report.slots
                         || service_ != report.service;
    evidence_ = BackendEvidence::Report;
    state_ = state;
    slots_ = report.slots;
    service_ = report.service;
    return changed;
}

bool BackendMonitor::onDeregister(const BackendIncarnation &backend)
{
    const bool otherIncarnation
            = backend.born != 0 && backend_.born != 0 && backend.born != backend_.born;
    if (backend.id != backend_.id || otherIncarnation) {
        remember(deregistered_, backend);
        if (!backend_.empty()) {
            return false;
        }
        beginIncarnation(backend);
    }
    if (state_ == BackendState::Draining) {
        return false;
    }
    leaving_ = true;
    evidence_ = BackendEvidence::Deregistration;
    state_ = BackendState::Draining;
    return true;
}

bool BackendMonitor::onAnnouncedLeaving()
{
    if (leaving_) {
        return false;
    }
    leaving_ = true;
    evidence_ = BackendEvidence::AnnouncedLeaving;
    state_ = BackendState::Draining;
    return true;
}

bool BackendMonitor::onOtherIncarnation(const std::string &backend, TimePoint now)
{
    const auto isNamed = [&backend](const BackendIncarnation &incarnation) {
        return incarnation.id == backend;
    };
    if (isNamed(backend_) || std::any_of(ended_.begin(), ended_.end(), isNamed)) {
        return false;
    }
    beginIncarnation(backend);
    evidence_ = BackendEvidence::OtherIncarnation;
    // Only the id is known until the first report.
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
    onMayBeCold(now);
    evidence_ = BackendEvidence::Answer;
    state_ = leaving_ ? BackendState::Draining : BackendState::Ready;
    return true;
}

void BackendMonitor::onMayBeCold(TimePoint now)
{
    assumedColdUntil_ = now + limits_.assumedCold;
}

bool BackendMonitor::onNoResponse()
{
    if (state_ != BackendState::Ready) {
        return false;
    }
    evidence_ = BackendEvidence::NoResponse;
    state_ = BackendState::Down;
    return true;
}

} // namespace wisteriahoist
