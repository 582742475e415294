/** @file member.cpp A member of a cell. */

#include "decision/ownership/member.h"

#include "decision/ownership/backoff_func.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace wisteriahoist {

namespace {

constexpr milliseconds CampaignStagger{40}; ///< Between groups of candidates that double in size.
constexpr milliseconds OutsiderDelay{500}; ///< A node outside the roster lets its members go first.
constexpr uint32_t MaxCampaignRound = 6;   ///< The silence before a campaign doubles so often.
constexpr uint32_t MaxQuickRenewals = 12;  ///< In one term, until a first lease is there.
constexpr uint32_t MaxReadRound = 8; ///< The pause between reads doubles so often: 18,000 nodes
                                     ///< stay under 2,000 reads a second while it is down.
constexpr milliseconds StableTerm{60000}; ///< A term that lasted so long ends the backoff.

} // namespace

Member::Member(OwnershipTimes times, MemberInfo self, SafeguardSet safeguards)
    : times_(times), safeguards_(safeguards), self_(std::move(self))
{ }

const NodeAddress *Member::coordinatorAddress() const
{
    return term_ ? &term_->coordinatorAddress : nullptr;
}

bool Member::isCoordinator() const
{
    return term_ && term_->coordinator == self_.id
           && term_->coordinatorIncarnation == self_.incarnation;
}

TimePoint Member::campaignAt() const
{
    const Duration silence = times_.suspectAfter * (1U << std::min(campaigns_, MaxCampaignRound));
    if (!term_) {
        return lastReply_
               + backoffPause(CampaignStagger, campaigns_, MaxCampaignRound, self_.id.value());
    }
    // Groups that double in size: one write suffices as a rule, and a loss of a third of the
    // roster delays the campaign by little, as the order is shuffled over failure domains.
    const uint64_t own = mixNumbers(self_.id.value(), term_->term.value());
    uint64_t rank = 0;
    bool inRoster = false;
    for (const MemberInfo &info : term_->roster) {
        inRoster = inRoster || (info.id == self_.id && info.incarnation == self_.incarnation);
        const bool ahead = mixNumbers(info.id.value(), term_->term.value()) < own;
        rank += ahead && info.id != term_->coordinator ? 1 : 0;
    }
    const Duration delay = CampaignStagger * static_cast<int64_t>(std::bit_width(rank));
    return lastReply_ + silence + delay + (inRoster ? milliseconds(0) : OutsiderDelay);
}

Duration Member::readPause() const
{
    return backoffPause(times_.renewInterval / 4, silentReads_, MaxReadRound, self_.id.value());
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
    if (silent && termKnown_ && !campaigning_ && now >= campaignAt()) {
        termKnown_ = false;
        campaigning_ = true;
        lastCampaign_ = now;
        ++campaigns_;
        return MemberStep::Campaign;
    }
    if ((readSoon_ || !term_ || silent) && now - lastTermRead_ > readPause()) {
        readSoon_ = false;
        ++silentReads_;
        lastTermRead_ = now;
        return MemberStep::ReadTerm;
    }
    if (term_ && (renewSoon_ || now - lastRenew_ >= times_.renewInterval)) {
        renewSoon_ = false;
        lastRenew_ = now;
        return MemberStep::Renew;
    }
    return MemberStep::None;
}

void Member::acknowledge(Term term)
{
    if (term <= acknowledged_) {
        return;
    }
    acknowledged_ = term;
    olderLeaseUntil_ = std::max(olderLeaseUntil_, leaseUntil_);
    olderHeartbeatTakenAt_ = std::max(olderHeartbeatTakenAt_, heartbeatTakenAt_);
    heartbeatTakenAt_ = NeverTime;
    echoedHeartbeat_ = NeverTime;
    quickRenewals_ = 0;
}

void Member::onTermRead(ObjectVersion version, std::optional<TermRecord> record, TimePoint now)
{
    // Failure: answers of the platform arrive out of order. Symptom: an older term is taken up
    // again. The object's versions rise, so applying only newer ones is enough.
    if (safeguards_.applyNewerOnly && version < termVersion_) {
        return;
    }
    const bool own = record && record->coordinator == self_.id
                     && record->coordinatorIncarnation == self_.incarnation;
    if (own) {
        noteOffice(version, *record);
        if (!safeguards_.winnerAcknowledges && record->term > acknowledged_) {
            return;
        }
    }
    const bool newTerm = record && (!term_ || record->term > term_->term);
    termVersion_ = version;
    term_ = std::move(record);
    termKnown_ = true;
    if (newTerm) {
        acknowledge(term_->term);
        lastReply_ = now;
        renewSoon_ = true;
    }
}

void Member::onTermReadFailed(TimePoint)
{
    readSoon_ = true;
}

RenewRequest Member::makeRenew(TimePoint now) const
{
    RenewRequest request;
    request.member = self_;
    request.acknowledgedTerm = acknowledged_;
    request.echoedHeartbeat = echoedHeartbeat_;
    request.sentAt = now;
    request.configVersion = config_.inForce().version;
    request.assignmentVersion = assignmentVersion_;
    request.olderLeaseLeft = std::max(Duration(0), olderLeaseUntil_ - now);
    request.olderEchoAge = now - olderHeartbeatTakenAt_;
    request.relinquished.assign(drained_.begin(), drained_.end());
    request.loads = loads_;
    return request;
}

void Member::onRenewReply(const RenewReply &reply, TimePoint now)
{
    if (reply.notCoordinator || reply.term > acknowledged_) {
        readSoon_ = true;
        return;
    }
    // Failure: a reply of term T arrives after T+1 was acknowledged. Symptom: a lease that T+1
    // neither knows nor outwaits. Refusing it is enough, since T's earlier leases are reported.
    if (safeguards_.refuseOlderTerm && reply.term != acknowledged_) {
        return;
    }
    const bool firstEcho = echoedHeartbeat_ == NeverTime;
    lastReply_ = now;
    termKnown_ = false;
    campaigning_ = false;
    silentReads_ = 0;
    if (now - lastCampaign_ > StableTerm) {
        campaigns_ = 0;
    }
    echoedHeartbeat_ = std::max(echoedHeartbeat_, reply.heartbeat);
    heartbeatTakenAt_ = now;
    // Failure: only the coordinator is lost. Symptom if members waited out their interval for its
    // successor to gather a majority: their leases lapse and keys are unserved for a moment.
    const bool waiting = reply.leaseLeft.count() <= 0 && quickRenewals_ < MaxQuickRenewals;
    quickRenewals_ += waiting ? 1 : 0;
    renewSoon_ = renewSoon_ || firstEcho || waiting;
    // Revocations go before the lease: the two come together, so a lease never covers a range that
    // its coordinator was already moving. A renewal sent before the revoke may be answered without
    // it and arrive later; what was revoked is therefore remembered.
    if (!safeguards_.rememberRevoked) {
        revocations_.clear();
        drained_.clear();
    }
    revocations_.insert(reply.revoked.begin(), reply.revoked.end());
    const bool newerAssignment = reply.assignmentVersion > assignmentVersion_;
    if (reply.assignment && (newerAssignment || !safeguards_.applyNewerOnly)) {
        assignmentVersion_ = reply.assignmentVersion;
        assignment_ = *reply.assignment;
        roster_ = reply.roster;
    }
    pruneRevocations();
    if (reply.leaseLeft.count() > 0) {
        // From the request's send time: the reply may have been on its way, or this process
        // stopped, for longer than the lease.
        const TimePoint start = safeguards_.countLeaseFromRequest ? reply.echoedSentAt : now;
        leaseUntil_ = std::max(leaseUntil_, start + reply.leaseLeft);
    }
    if (reply.config) {
        config_.offer(*reply.config);
    }
}

void Member::onRenewFailed(TimePoint) { }

void Member::onDrained(const std::vector<Revocation> &drained)
{
    for (const Revocation &revocation : drained) {
        if (revocations_.contains(revocation) && drained_.insert(revocation).second) {
            renewSoon_ = true;
        }
    }
}

void Member::pruneRevocations()
{
    const auto outdated = [this](const Revocation &revocation) {
        const auto found = assignment_.services.find(revocation.service);
        if (found == assignment_.services.end()) {
            return false;
        }
        const std::vector<Slice> &slices = found->second.slices();
        for (size_t index = 0; index < slices.size(); ++index) {
            const Slice &slice = slices[index];
            if (slice.owner == self_.id
                && revocation.covers(revocation.service, slice.first, lastPointOf(slices, index),
                                     slice.epoch)) {
                return false;
            }
        }
        return true;
    };
    std::erase_if(revocations_, outdated);
    std::erase_if(drained_,
                  [this](const Revocation &entry) { return !revocations_.contains(entry); });
}

bool Member::isRevoked(const std::string &service, KeyHash first, KeyHash last, Epoch epoch) const
{
    return std::any_of(revocations_.begin(), revocations_.end(), [&](const Revocation &entry) {
        return entry.covers(service, first, last, epoch);
    });
}

std::map<std::string, SliceTable> Member::routingTables() const
{
    if (revocations_.empty()) {
        return assignment_.services;
    }
    std::map<std::string, SliceTable> tables;
    for (const auto &[service, table] : assignment_.services) {
        std::vector<Slice> slices = table.slices();
        for (size_t index = 0; index < slices.size(); ++index) {
            Slice &slice = slices[index];
            if (slice.owner == self_.id
                && isRevoked(service, slice.first, lastPointOf(slices, index), slice.epoch)) {
                slice.owner = InvalidNode;
            }
        }
        tables[service] = SliceTable(std::move(slices));
    }
    return tables;
}

bool Member::admits(const std::string &service, KeyHash hash, TimePoint now) const
{
    if (now >= leaseUntil_) {
        return false;
    }
    const auto found = assignment_.services.find(service);
    const Slice *slice = found == assignment_.services.end() ? nullptr : found->second.find(hash);
    return slice != nullptr && slice->owner == self_.id
           && !isRevoked(service, hash, hash, slice->epoch);
}

TermRecord Member::makeCampaign(WriteNonce nonce) const
{
    TermRecord record;
    record.term = term_ ? term_->term.next() : Term(1);
    record.coordinator = self_.id;
    record.coordinatorIncarnation = self_.incarnation;
    record.coordinatorAddress = self_.address;
    record.nonce = nonce;
    if (!term_) {
        record.roster = {self_};
        return record;
    }
    // The roster stays as it is: a new life of a node that it names must not take the place of the
    // old one while ranges still belong to the old one. The coordinator need not be in it.
    record.roster = term_->roster;
    if (!safeguards_.matchIncarnation) {
        std::erase_if(record.roster,
                      [this](const MemberInfo &info) { return info.id == self_.id; });
        record.roster.push_back(self_);
    }
    if (safeguards_.listOpenRosters) {
        record.openRosters = term_->openRosters;
        OpenRoster open;
        open.term = term_->term;
        for (const MemberInfo &info : term_->roster) {
            open.voters.push_back({info.id, info.incarnation});
        }
        record.openRosters.push_back(std::move(open));
    }
    return record;
}

void Member::onCampaignWon(ObjectVersion version, const TermRecord &record, TimePoint now)
{
    // Failure: the winner goes on acknowledging the old term as a member. Symptom: the old term's
    // authority outlives what this one waits for. Winning a term is acknowledging it.
    campaigning_ = false;
    onTermRead(version, record, now);
}

void Member::noteOffice(ObjectVersion version, const TermRecord &record)
{
    // Once for each term: a second coordinator of the same term would not know what leases the
    // first has granted.
    if (record.term > officeTerm_) {
        officeTerm_ = record.term;
        won_ = WonTerm{record, version};
    }
}

std::optional<WonTerm> Member::takeOffice()
{
    return std::exchange(won_, std::nullopt);
}

void Member::onCampaignLost(TimePoint now)
{
    campaigning_ = false;
    readSoon_ = true;
    lastTermRead_ = now - readPause();
}

} // namespace wisteriahoist
