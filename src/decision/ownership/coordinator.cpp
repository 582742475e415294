/** @file coordinator.cpp The coordinator of one cell: term, roster and leases. */

#include "decision/ownership/coordinator.h"

#include "decision/ownership/backoff_func.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

constexpr milliseconds RetryBase{50};    ///< First pause after a platform call failed.
constexpr uint32_t MaxRetryRound = 6;    ///< The pause doubles so often.
constexpr milliseconds AuthorityAge{5};  ///< Bounds the work of finding the majority's heartbeat.
constexpr int ConfirmationsPerBound = 4; ///< Reads of the term object within the bound B.

bool isBefore(const MemberInfo &left, const MemberInfo &right)
{
    return left.id < right.id;
}

std::vector<Voter> votersOf(const std::vector<MemberInfo> &roster)
{
    std::vector<Voter> voters;
    voters.reserve(roster.size());
    for (const MemberInfo &info : roster) {
        voters.push_back({info.id, info.incarnation});
    }
    return voters;
}

} // namespace

Coordinator::Coordinator(OwnershipTimes times, Office office,
                         std::shared_ptr<PlacementPolicy> policy, TimePoint now,
                         SafeguardSet safeguards)
    : times_(times), safeguards_(safeguards), policy_(std::move(policy)), wonAt_(now),
      confirmedAt_(office.askedAt)
{
    termSync_.version = office.version;
    assignmentSync_.uncertain = true;
    adoptTerm(office.term, now);
}

// --- platform calls ---

CoordinatorStep Coordinator::nextStep(TimePoint now)
{
    if (deposed_) {
        return CoordinatorStep::None;
    }
    const bool bounded = times_.platformBound.count() > 0;
    const Duration sinceConfirmed = now - std::max(confirmedAt_, termSync_.askedAt);
    if (bounded && sinceConfirmed > times_.platformBound / ConfirmationsPerBound) {
        termSync_.uncertain = true;
    }
    switch (termSync_.next(now)) {
    case ObjectSync::Need::Read:
        return CoordinatorStep::ReadTerm;
    case ObjectSync::Need::Write:
        return CoordinatorStep::WriteTerm;
    case ObjectSync::Need::Nothing:
        break;
    }
    switch (assignmentSync_.next(now)) {
    case ObjectSync::Need::Read:
        return CoordinatorStep::ReadAssignment;
    case ObjectSync::Need::Write:
        return CoordinatorStep::WriteAssignment;
    case ObjectSync::Need::Nothing:
        break;
    }
    return CoordinatorStep::None;
}

TermRecord Coordinator::makeTermWrite(WriteNonce nonce)
{
    const TimePoint now = termSync_.askedAt;
    pendingTerm_ = term_;
    pendingTerm_.nonce = nonce;
    pendingTerm_.roster = nextRoster(now);
    pendingTerm_.openRosters = stillOpen(now);
    // Failure: the roster changes and the coordinator is lost. Symptom: the new roster and the old
    // one have disjoint majorities, so the successor does not outwait leases that counted the old
    // one. The old roster stays listed until every lease that counted it has ended.
    const std::vector<Voter> before = votersOf(term_.roster);
    const bool granted = grantedMax_ != NeverTime;
    if (granted && safeguards_.listOpenRosters && votersOf(pendingTerm_.roster) != before) {
        pendingTerm_.openRosters.push_back({term_.term, before});
    }
    // Failure: a lost member is dropped, the write's reply is lost, the member returns and gets
    // ranges, then the write is found stored. Symptom: its ranges count as free while it serves
    // them. Until a newer roster is known it gets neither a lease nor ranges.
    for (auto &[id, member] : members_) {
        const bool named = std::binary_search(pendingTerm_.roster.begin(),
                                              pendingTerm_.roster.end(), member.info, isBefore);
        member.leaving = member.leaving || !named || canDrop(member, now);
    }
    termSync_.dirty = false;
    return pendingTerm_;
}

void Coordinator::onTermWritten(ObjectVersion version, TimePoint now)
{
    if (safeguards_.applyNewerOnly && version <= termSync_.version) {
        return;
    }
    confirmedAt_ = std::max(confirmedAt_, termSync_.askedAt);
    termSync_.succeed(version);
    adoptTerm(pendingTerm_, now);
}

void Coordinator::onTermStored(ObjectVersion version, const std::optional<TermRecord> &record,
                               TimePoint askedAt, TimePoint now)
{
    if (version < termSync_.version && safeguards_.applyNewerOnly) {
        onTermCallFailed(now);
        return;
    }
    if (!record || record->term > term_.term) {
        deposed_ = true;
        return;
    }
    const bool newer = version != termSync_.version;
    confirmedAt_ = std::max(confirmedAt_, askedAt);
    termSync_.succeed(version);
    if (newer) {
        adoptTerm(*record, now);
    }
}

void Coordinator::onTermSeen(ObjectVersion version, const std::optional<TermRecord> &record,
                             TimePoint askedAt)
{
    if (version < termSync_.version) {
        return;
    }
    if (!record || record->term > term_.term) {
        deposed_ = true;
        return;
    }
    confirmedAt_ = std::max(confirmedAt_, askedAt);
}

void Coordinator::onTermCallFailed(TimePoint now)
{
    termSync_.fail(now, backoffPause(RetryBase, termSync_.failures, MaxRetryRound,
                                     term_.coordinator.value()));
}

void Coordinator::adoptTerm(const TermRecord &record, TimePoint now)
{
    // Leases that counted the roster before this one were all granted before now.
    std::vector<OpenState> open;
    for (const OpenRoster &roster : record.openRosters) {
        const auto known = std::find_if(
                openRosters_.begin(), openRosters_.end(),
                [&roster](const OpenState &entry) { return entry.roster == roster; });
        const bool own = roster.term == record.term;
        open.push_back({roster, own ? grantedMax_ + drift(times_.leaseTerm) : NeverTime});
        if (known != openRosters_.end()) {
            open.back().ownCloseAt = std::max(open.back().ownCloseAt, known->ownCloseAt);
        }
    }
    openRosters_ = std::move(open);
    std::map<NodeId, MemberState> members;
    for (const MemberInfo &info : record.roster) {
        MemberState state;
        state.info = info;
        state.heard = now;
        const auto known = members_.find(info.id);
        if (known != members_.end() && known->second.info.incarnation == info.incarnation) {
            state = known->second;
            state.leaving = false;
        }
        members[info.id] = std::move(state);
        const auto joined = joining_.find(info.id);
        if (joined != joining_.end() && joined->second.info.incarnation <= info.incarnation) {
            joining_.erase(joined);
        }
    }
    members_ = std::move(members);
    if (firstMember_ == NeverTime && !members_.empty()) {
        firstMember_ = now;
    }
    term_ = record;
    authorityAt_ = NeverTime;
}

std::vector<OpenRoster> Coordinator::stillOpen(TimePoint now) const
{
    std::vector<OpenRoster> open;
    for (const OpenState &entry : openRosters_) {
        // Listed for the overrun as well: work of a backend server that checks nothing outlives the
        // leases, and isLeaseOver() has to see when they ended.
        const auto closed = closedAt(entry);
        if (!closed || *closed + times_.uncheckedOverrun >= now) {
            open.push_back(entry.roster);
        }
    }
    return open;
}

// --- who counts, and until when ---

Duration Coordinator::drift(Duration span) const
{
    // Scaled from the bound for one lease term: rates differ, so a longer wait drifts further.
    if (!safeguards_.addDriftBound) {
        return Duration(0);
    }
    return times_.driftBound * std::max<int64_t>(1, span / Duration(times_.leaseTerm));
}

TimePoint Coordinator::authorityUntil() const
{
    std::vector<TimePoint> acknowledged;
    acknowledged.reserve(members_.size());
    for (const auto &[id, member] : members_) {
        acknowledged.push_back(member.acknowledged);
    }
    if (acknowledged.empty()) {
        return NeverTime;
    }
    const auto middle = acknowledged.begin() + static_cast<ptrdiff_t>(acknowledged.size() / 2);
    std::nth_element(acknowledged.begin(), middle, acknowledged.end(), std::greater<>());
    if (*middle == NeverTime) {
        return NeverTime;
    }
    // Failure: more than half of the roster is lost together with the coordinator. Symptom without
    // the bound B: a coordinator cut from the platform might go on for ever with that half, and a
    // successor could never tell. It stops B after it last saw its term; the successor waits that.
    const TimePoint until = *middle + times_.leaseTerm;
    const bool bounded = safeguards_.limitWithoutPlatform && times_.platformBound.count() > 0;
    return bounded ? std::min(until, confirmedAt_ + times_.platformBound) : until;
}

std::optional<TimePoint> Coordinator::majorityClosedAt(const OpenRoster &roster) const
{
    std::vector<TimePoint> taken; // latest heartbeats of older terms, one of each acknowledger
    for (const Voter &voter : roster.voters) {
        const auto found = closers_.find(voter);
        if (found != closers_.end()) {
            taken.push_back(found->second);
        }
    }
    const size_t needed = roster.voters.size() / 2 + 1;
    if (taken.size() < needed) {
        return std::nullopt;
    }
    // Any majority that an older term counted shares a member with this one, and that member took
    // no heartbeat of it later than this; so its leases end a lease term after.
    std::sort(taken.begin(), taken.end());
    return taken[needed - 1] + times_.leaseTerm + drift(times_.leaseTerm);
}

std::optional<TimePoint> Coordinator::closedAt(const OpenState &open) const
{
    if (!safeguards_.closeOpenRosters) {
        return wonAt_;
    }
    if (open.roster.term == term_.term) {
        return open.ownCloseAt;
    }
    if (open.roster.term <= confirmedLoss_) {
        return wonAt_;
    }
    std::optional<TimePoint> closed = majorityClosedAt(open.roster);
    if (times_.platformBound.count() > 0) {
        const TimePoint bound = wonAt_ + times_.platformBound + drift(times_.platformBound);
        closed = closed ? std::min(*closed, bound) : bound;
    }
    return closed;
}

bool Coordinator::areRostersClosed(TimePoint now) const
{
    return std::all_of(openRosters_.begin(), openRosters_.end(), [&](const OpenState &open) {
        if (open.roster.term == term_.term) {
            return true; // Leases of this term are known one by one.
        }
        const auto closed = closedAt(open);
        return closed && *closed < now;
    });
}

bool Coordinator::isRunningOn(const MemberInfo &info) const
{
    const ServiceDeclaration *service = declarations_.findService(info.service);
    return info.grantMode == GrantMode::Unchecked
           || (service != nullptr && service->grantMode == GrantMode::Unchecked);
}

bool Coordinator::isLeaseOver(const MemberState &member, TimePoint now) const
{
    if (!safeguards_.outwaitLease) {
        return true;
    }
    // A backend server that checks nothing may run on past the deadline that lay in the lease.
    const Duration overrun = isRunningOn(member.info) ? times_.uncheckedOverrun : milliseconds(0);
    if (!member.hasAcknowledged && !areRostersClosed(now - overrun)) {
        return false; // It may still hold a lease of an older term that nobody has told of.
    }
    TimePoint end = member.granted;
    if (safeguards_.outwaitOlderLease) {
        end = std::max(end, member.olderLeaseUntil);
    }
    return end + drift(times_.leaseTerm) + overrun < now;
}

bool Coordinator::isSilent(const MemberState &member, TimePoint now) const
{
    return now - member.heard > times_.suspectAfter;
}

bool Coordinator::isLost(const MemberState &member, TimePoint now) const
{
    return isSilent(member, now) && isLeaseOver(member, now);
}

bool Coordinator::canDrop(const MemberState &member, TimePoint now) const
{
    return isLost(member, now) && !ownsAnything(member.info.id);
}

std::vector<MemberInfo> Coordinator::nextRoster(TimePoint now) const
{
    std::vector<MemberInfo> roster;
    for (const auto &[id, member] : members_) {
        if (!canDrop(member, now)) {
            roster.push_back(member.info);
        }
    }
    // A new life of a node waits until the old one is out: ranges name their owner by node id, so
    // it would otherwise take over what the old life may still serve.
    for (const auto &[id, joining] : joining_) {
        const auto old = members_.find(id);
        const bool free = old == members_.end() || canDrop(old->second, now);
        if (free && now - joining.heard <= times_.suspectAfter) {
            roster.push_back(joining.info);
        }
    }
    std::sort(roster.begin(), roster.end(), isBefore);
    return roster;
}

// --- renewals ---

void Coordinator::noteJoining(const MemberInfo &info, TimePoint now)
{
    const auto member = members_.find(info.id);
    if (member != members_.end() && member->second.info.incarnation > info.incarnation) {
        return; // An older life of a node that was replaced.
    }
    const auto known = joining_.find(info.id);
    if (known == joining_.end() || known->second.info.incarnation <= info.incarnation) {
        joining_[info.id] = {info, now};
    }
}

void Coordinator::updateMember(MemberState &member, const RenewRequest &request, TimePoint now)
{
    member.heard = now;
    if (request.sentAt >= member.sentAt) {
        member.sentAt = request.sentAt;
        member.info = request.member;
        if (!request.loads.empty()) {
            member.loads = request.loads;
            member.loadsAt = now;
        }
    }
    if (request.acknowledgedTerm == term_.term) {
        member.hasAcknowledged = true;
        member.olderLeaseUntil = std::max(member.olderLeaseUntil, now + request.olderLeaseLeft);
        // Failure: an acknowledgement is delayed while its sender moves on to the next term.
        // Symptom if it counted from its arrival: authority beyond what the next term outwaits.
        // The heartbeat's own send time lies before the sender's move, whatever the delay.
        const TimePoint counted
                = safeguards_.countHeartbeatTime ? request.echoedHeartbeat : TimePoint(now);
        if (request.echoedHeartbeat != NeverTime && counted <= now) {
            member.acknowledged = std::max(member.acknowledged, counted);
        }
    }
    for (const Revocation &revocation : request.relinquished) {
        onRelinquished(member.info, revocation, now);
    }
}

TimePoint Coordinator::recentAuthority(TimePoint now)
{
    // Acknowledgements of one roster only rise, so an older value is never too high.
    if (now - authorityAt_ >= AuthorityAge || authority_ <= now) {
        authority_ = authorityUntil();
        authorityAt_ = now;
    }
    return authority_;
}

void Coordinator::grantLease(MemberState &member, RenewReply &reply, TimePoint now)
{
    // Failure: the predecessor's assignment write is still on its way. Symptom: it moves a range
    // that this term just leased to the old owner. Once stored under this term, that write fails.
    if (!fenced_ || !member.hasAcknowledged || member.leaving) {
        return;
    }
    const TimePoint until = recentAuthority(now);
    if (until > now) {
        reply.leaseLeft = until - now;
        member.granted = std::max(member.granted, until);
        grantedMax_ = std::max(grantedMax_, until);
    }
}

void Coordinator::fillNews(const RenewRequest &request, RenewReply &reply) const
{
    reply.configVersion = declarations_.version;
    if (request.configVersion < declarations_.version) {
        reply.config = declarations_;
    }
    if (!fenced_) {
        return;
    }
    const bool early = !safeguards_.writeBeforeTelling && assignmentSync_.busy;
    reply.assignmentVersion = early ? assignmentSync_.version.next() : assignmentSync_.version;
    const bool held = !safeguards_.bundleAssignment && assignmentSync_.busy;
    if (request.assignmentVersion < reply.assignmentVersion && !held) {
        reply.assignment = early ? pendingAssignment_ : committed_;
        reply.roster = term_.roster;
    }
    for (const auto &[key, move] : moves_) {
        if (move.from == request.member.id && safeguards_.bundleAssignment) {
            reply.revoked.push_back(move.revocation);
        }
    }
}

RenewReply Coordinator::onRenew(const RenewRequest &request, TimePoint now)
{
    RenewReply reply;
    reply.term = term_.term;
    reply.echoedSentAt = request.sentAt;
    deposed_ = deposed_ || request.acknowledgedTerm > term_.term;
    if (deposed_) {
        reply.notCoordinator = true;
        return reply;
    }
    reply.heartbeat = now;
    if (request.acknowledgedTerm == term_.term) {
        closers_.emplace(Voter{request.member.id, request.member.incarnation},
                         now - request.olderEchoAge);
    }
    const auto found = members_.find(request.member.id);
    const bool known = found != members_.end()
                       && (found->second.info.incarnation == request.member.incarnation
                           || !safeguards_.matchIncarnation);
    if (known) {
        updateMember(found->second, request, now);
        if (request.acknowledgedTerm == term_.term) {
            grantLease(found->second, reply, now);
        }
    } else {
        noteJoining(request.member, now);
    }
    fillNews(request, reply);
    return reply;
}

void Coordinator::onLossConfirmed(Term term, TimePoint)
{
    confirmedLoss_ = std::max(confirmedLoss_, term);
}

void Coordinator::onTick(TimePoint now)
{
    if (deposed_ || !fenced_) {
        return;
    }
    for (auto &[id, member] : members_) {
        member.lost = isLost(member, now);
    }
    createTables();
    resolveMoves(now);
    placeRanges(now);
    releaseLost(now);
    const bool rosterChanged
            = nextRoster(now) != term_.roster
              || std::any_of(members_.begin(), members_.end(),
                             [](const auto &entry) { return entry.second.leaving; });
    const bool closable = stillOpen(now).size() != openRosters_.size();
    termSync_.dirty = termSync_.dirty || rosterChanged || closable;
}

} // namespace wisteriahoist
