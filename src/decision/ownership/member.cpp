/** @file member.cpp A member of a cell. */

#include "decision/ownership/member.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

constexpr milliseconds CampaignStagger{60}; ///< Between two candidates, so that one write suffices.

} // namespace

Member::Member(OwnershipTimes times, MemberInfo self) : times_(times), self_(std::move(self)) { }

const MemberInfo *Member::coordinator() const
{
    if (!term_) {
        return nullptr;
    }
    for (const MemberInfo &info : term_->roster) {
        if (info.id == term_->coordinator) {
            return &info;
        }
    }
    return nullptr;
}

bool Member::isCoordinator() const
{
    return term_ && term_->coordinator == self_.id
           && term_->coordinatorIncarnation == self_.incarnation;
}

TimePoint Member::campaignAt() const
{
    size_t rank = 0;
    if (term_) {
        for (const MemberInfo &info : term_->roster) {
            rank += info.id < self_.id && info.id != term_->coordinator ? 1 : 0;
        }
    }
    return lastReply_ + times_.suspectAfter + CampaignStagger * rank;
}

MemberStep Member::onTick(TimePoint now)
{
    if (!started_) {
        started_ = true;
        lastReply_ = now;
        lastTermRead_ = now;
        return MemberStep::ReadTerm;
    }
    const bool silent = now - lastReply_ > times_.suspectAfter;
    if (silent && termKnown_ && now >= campaignAt()) {
        termKnown_ = false;
        return MemberStep::Campaign;
    }
    if ((silent || !term_) && now - lastTermRead_ > times_.renewInterval) {
        lastTermRead_ = now;
        return MemberStep::ReadTerm;
    }
    if (term_ && now - lastRenew_ >= times_.renewInterval) {
        lastRenew_ = now;
        return MemberStep::Renew;
    }
    return MemberStep::None;
}

void Member::onTermRead(ObjectVersion version, std::optional<TermRecord> record, TimePoint now)
{
    if (version < termVersion_) {
        return;
    }
    const bool newTerm = record && (!term_ || record->term > term_->term);
    termVersion_ = version;
    term_ = std::move(record);
    termKnown_ = true;
    if (newTerm) {
        acknowledged_ = std::max(acknowledged_, term_->term);
        echoedHeartbeat_ = NeverTime;
        lastReply_ = now;
    }
}

RenewRequest Member::makeRenew(TimePoint now) const
{
    RenewRequest request;
    request.member = self_;
    request.acknowledgedTerm = acknowledged_;
    request.echoedHeartbeat = echoedHeartbeat_;
    request.sentAt = now;
    request.configVersion = declarations_.version;
    request.assignmentVersion = assignmentVersion_;
    return request;
}

void Member::onRenewReply(const RenewReply &reply, TimePoint now)
{
    if (reply.notCoordinator || reply.term != acknowledged_) {
        return;
    }
    lastReply_ = now;
    termKnown_ = false;
    echoedHeartbeat_ = std::max(echoedHeartbeat_, reply.heartbeat);
    if (reply.leaseLeft.count() > 0) {
        leaseUntil_ = std::max(leaseUntil_, reply.echoedSentAt + reply.leaseLeft);
    }
    if (reply.config && reply.config->version > declarations_.version) {
        declarations_ = *reply.config;
    }
    if (reply.assignment && reply.assignmentVersion > assignmentVersion_) {
        assignmentVersion_ = reply.assignmentVersion;
        assignment_ = *reply.assignment;
        roster_ = reply.roster;
    }
}

void Member::onRenewFailed(TimePoint) { }

TermRecord Member::makeCampaign(WriteNonce nonce) const
{
    TermRecord record;
    record.term = term_ ? term_->term.next() : Term(1);
    record.coordinator = self_.id;
    record.coordinatorIncarnation = self_.incarnation;
    record.nonce = nonce;
    if (term_) {
        record.roster = term_->roster;
    }
    std::erase_if(record.roster, [this](const MemberInfo &info) { return info.id == self_.id; });
    record.roster.push_back(self_);
    std::sort(record.roster.begin(), record.roster.end(),
              [](const MemberInfo &left, const MemberInfo &right) { return left.id < right.id; });
    return record;
}

void Member::onCampaignWon(ObjectVersion version, const TermRecord &record, TimePoint now)
{
    onTermRead(version, record, now);
}

void Member::onCampaignLost(TimePoint)
{
    lastTermRead_ = NeverTime;
}

} // namespace wisteriahoist
