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
    confirmed_ = false;
    ++question_;
    std::erase_if(claims_, [&](const Claim &claim) { return claim.backend.id == backend.id; });
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
    if (leaving_) {
        remember(deregistered_, backend_);
    }
}

void BackendMonitor::beginClaimed(const Claim &claim, TimePoint now)
{
    beginIncarnation(claim.backend);
    evidence_ = BackendEvidence::OtherIncarnation;
    // Only the id is known until the first report.
    state_ = leaving_ ? BackendState::Draining : BackendState::Absent;
    heardAt_ = now;
    if (claim.report) {
        applyReport(*claim.report, now);
    }
}

std::deque<BackendMonitor::Claim>::iterator BackendMonitor::findClaim(const std::string &backend)
{
    return std::find_if(claims_.begin(), claims_.end(),
                        [&](const Claim &claim) { return claim.backend.id == backend; });
}

void BackendMonitor::addClaim(const BackendIncarnation &backend,
                              const std::optional<BackendReport> &report, TimePoint now)
{
    std::erase_if(claims_, [&](const Claim &claim) { return !isOpen(claim, now); });
    const auto known = findClaim(backend.id);
    if (known == claims_.end()) {
        claims_.push_back({backend, report, now});
        ++question_;
        if (claims_.size() > limits_.claims) {
            claims_.pop_front();
        }
        return;
    }
    known->madeAt = now;
    const bool isNewer = report
                         && (!known->report || known->backend.isBefore(backend)
                             || known->report->sequence < report->sequence);
    if (isNewer && !backend.isBefore(known->backend)) {
        known->backend = backend;
        known->report = report;
    }
}

bool BackendMonitor::isOpen(const Claim &claim, TimePoint now) const
{
    return now - claim.madeAt < limits_.claimTime;
}

bool BackendMonitor::isInDoubt(TimePoint now) const
{
    const bool isClaimed = std::any_of(claims_.begin(), claims_.end(),
                                       [&](const Claim &claim) { return isOpen(claim, now); });
    return isClaimed || (!backend_.empty() && !confirmed_ && !refusing_);
}

bool BackendMonitor::isClaimed(const BackendIncarnation &backend, TimePoint now) const
{
    return std::any_of(claims_.begin(), claims_.end(), [&](const Claim &claim) {
        return claim.backend.id == backend.id && isOpen(claim, now);
    });
}

void BackendMonitor::remember(std::deque<BackendIncarnation> &incarnations,
                              const BackendIncarnation &backend) const
{
    if (std::find(incarnations.begin(), incarnations.end(), backend) != incarnations.end()) {
        return;
    }
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
    // An answer of the backend server contains the id only, so it can't tell apart incarnations
    // that have the same one. If the current one refuses connections, nothing is sent to it.
    const bool isKnown = report.backend.id == backend_.id || backend_.empty();
    if (!isKnown && !refusesConnections()) {
        return ReportStanding::OtherIncarnation;
    }
    return report.backend == backend_ && report.sequence <= sequence_ ? ReportStanding::Outdated
                                                                      : ReportStanding::Newest;
}

bool BackendMonitor::onReport(const BackendReport &report, TimePoint now)
{
    const ReportStanding standing = standingOf(report);
    const bool leaves = report.state == BackendState::Draining;
    if (standing == ReportStanding::Outdated) {
        return leaves && beginLeaving(BackendEvidence::Report);
    }
    if (standing == ReportStanding::Ended) {
        if (leaves) {
            rememberLeaving(report.backend, now);
        }
        return false;
    }
    if (standing == ReportStanding::OtherIncarnation) {
        addClaim(report.backend, report, now);
        return false;
    }
    const bool newIncarnation = report.backend != backend_;
    if (newIncarnation && report.backend.id == backend_.id && !hasReported()) {
        backend_ = report.backend;
        leaving_ |= isDeregistered(backend_);
    } else if (newIncarnation) {
        beginIncarnation(report.backend);
    }
    const BackendState stateBefore = state_;
    const uint32_t slotsBefore = slots_;
    const std::string serviceBefore = service_;
    evidence_ = BackendEvidence::Report;
    applyReport(report, now);
    return newIncarnation || state_ != stateBefore || slots_ != slotsBefore
           || service_ != serviceBefore;
}

void BackendMonitor::applyReport(const BackendReport &report, TimePoint now)
{
    if (!hasReported()) {
        reportedBefore_ = report.sequence > 1;
    }
    sequence_ = report.sequence;
    coldUntil_ = now + report.warmUpLeft;
    heardAt_ = now;
    refusals_ = 0;
    refusing_ = false;
    leaving_ |= report.state == BackendState::Draining;
    state_ = leaving_ ? BackendState::Draining : BackendState::Ready;
    slots_ = report.slots;
    service_ = report.service;
}

/** It may turn out to be the one that runs. */
void BackendMonitor::rememberLeaving(const BackendIncarnation &backend, TimePoint now)
{
    remember(deregistered_, backend);
    if (!backend_.empty() && backend.id != backend_.id) {
        addClaim(backend, std::nullopt, now);
    }
}

bool BackendMonitor::onDeregister(const BackendIncarnation &backend, TimePoint now)
{
    const bool otherIncarnation
            = backend.born != 0 && backend_.born != 0 && backend.born != backend_.born;
    if (backend.id != backend_.id || otherIncarnation) {
        rememberLeaving(backend, now);
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
    return beginLeaving(BackendEvidence::AnnouncedLeaving);
}

bool BackendMonitor::beginLeaving(BackendEvidence evidence)
{
    if (leaving_) {
        return false;
    }
    leaving_ = true;
    evidence_ = evidence;
    state_ = BackendState::Draining;
    return true;
}

bool BackendMonitor::onNamed(const std::string &backend, TimePoint now)
{
    if (backend.empty() || backend == backend_.id) {
        return false;
    }
    addClaim(backend, std::nullopt, now);
    const Claim claim = *findClaim(backend);
    if (!claim.report) {
        return false;
    }
    beginClaimed(claim, now);
    return true;
}

bool BackendMonitor::onIdentity(const std::string &backend, uint64_t question, TimePoint now)
{
    if (backend.empty() || question != question_) {
        return false;
    }
    const bool isOther = backend != backend_.id;
    if (isOther) {
        const auto claim = findClaim(backend);
        beginClaimed(claim == claims_.end() ? Claim{backend, std::nullopt, now} : Claim(*claim),
                     now);
        std::erase_if(ended_, [&](const BackendIncarnation &ended) { return ended.id == backend; });
    }
    confirmed_ = true;
    for (const Claim &claim : claims_) {
        remember(ended_, claim.backend);
    }
    claims_.clear();
    return onAnswer(now) || isOther;
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
