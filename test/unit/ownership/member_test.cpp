/** @file member_test.cpp What a member refuses to believe: late, old and reordered answers. */

#include "decision/ownership/member.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

MemberInfo makeInfo(uint64_t id)
{
    MemberInfo info;
    info.id = NodeId(id);
    info.incarnation = Incarnation(1);
    return info;
}

TermRecord makeTerm(uint64_t term, uint64_t coordinator)
{
    TermRecord record;
    record.term = Term(term);
    record.coordinator = NodeId(coordinator);
    record.coordinatorIncarnation = Incarnation(1);
    record.roster = {makeInfo(1), makeInfo(2), makeInfo(3)};
    return record;
}

/** A reply that gives node 1 the whole of "profiles" under @p epoch. */
RenewReply makeReply(uint64_t term, TimePoint sentAt, uint64_t epoch)
{
    RenewReply reply;
    reply.term = Term(term);
    reply.heartbeat = TimePoint(std::chrono::hours(5));
    reply.echoedSentAt = sentAt;
    reply.leaseLeft = milliseconds(1000);
    reply.assignmentVersion = ObjectVersion(epoch);
    AssignmentRecord assignment;
    assignment.services["profiles"] = SliceTable({{KeyHash(0), NodeId(1), Epoch(epoch)}});
    reply.assignment = assignment;
    return reply;
}

Member makeMember(const SafeguardSet &safeguards = {})
{
    Member member(OwnershipTimes{}, makeInfo(1), safeguards);
    member.onTick(Start);
    member.onTermRead(ObjectVersion(1), makeTerm(1, 2), Start);
    return member;
}

bool admits(const Member &member, TimePoint now)
{
    return member.admits("profiles", KeyHash(7), now);
}

} // namespace

// Two callers get answers for one key from two owners: the member's reply lay in a queue for longer
// than the lease, or its process was stopped; the coordinator counted the lease from the request.
Test(ownership_member, lease_counts_from_the_request)
{
    const TimePoint late = Start + milliseconds(1500);
    Member member = makeMember();
    member.onRenewReply(makeReply(1, Start, 1), late);
    cr_assert(!admits(member, late));
    SECTION("taken out: it admits after the coordinator has given the range away")
    {
        SafeguardSet safeguards;
        safeguards.countLeaseFromRequest = false;
        Member unsafe = makeMember(safeguards);
        unsafe.onRenewReply(makeReply(1, Start, 1), late);
        cr_assert(admits(unsafe, late));
    }
}

// A member acknowledged term 2, then a reply of term 1 arrives. Term 2 outwaits only the lease that
// the member reported with its acknowledgement, so a lease from the late reply would overlap.
Test(ownership_member, reply_of_an_older_term_gives_no_lease)
{
    const auto run = [](const SafeguardSet &safeguards) {
        Member member = makeMember(safeguards);
        member.onTermRead(ObjectVersion(2), makeTerm(2, 3), Start);
        member.onRenewReply(makeReply(1, Start, 1), Start);
        return admits(member, Start + milliseconds(10));
    };
    SafeguardSet without;
    without.refuseOlderTerm = false;
    cr_assert(!run({}));
    cr_assert(run(without));
}

// The range is revoked; a renewal sent before that is answered without the revocation and arrives
// last. Were the revocation forgotten, the member would admit what it reported as drained.
Test(ownership_member, revoked_ranges_are_remembered)
{
    const auto run = [](const SafeguardSet &safeguards) {
        Member member = makeMember(safeguards);
        member.onRenewReply(makeReply(1, Start, 1), Start);
        RenewReply revoking = makeReply(1, Start + milliseconds(10), 1);
        revoking.revoked = {{"profiles", KeyHash(0), KeyHash(UINT64_MAX), Epoch(1)}};
        member.onRenewReply(revoking, Start + milliseconds(12));
        member.onDrained(revoking.revoked);
        member.onRenewReply(makeReply(1, Start + milliseconds(5), 1), Start + milliseconds(20));
        return admits(member, Start + milliseconds(30));
    };
    SafeguardSet without;
    without.rememberRevoked = false;
    cr_assert(!run({}));
    cr_assert(run(without));
    SECTION("until the range comes back under a higher epoch")
    {
        Member member = makeMember();
        RenewReply revoking = makeReply(1, Start, 1);
        revoking.revoked = {{"profiles", KeyHash(0), KeyHash(UINT64_MAX), Epoch(1)}};
        member.onRenewReply(revoking, Start);
        cr_assert(member.routingTables().at("profiles").slices().front().owner == InvalidNode);
        member.onRenewReply(makeReply(1, Start, 2), Start);
        cr_assert(admits(member, Start));
        cr_assert(member.revocations().empty());
    }
}

// Two answers of the platform arrive out of order; the older one would make the member follow a
// coordinator that has been replaced.
Test(ownership_member, stored_answers_count_by_version)
{
    const auto run = [](const SafeguardSet &safeguards) {
        Member member = makeMember(safeguards);
        member.onTermRead(ObjectVersion(9), makeTerm(3, 3), Start);
        member.onTermRead(ObjectVersion(5), makeTerm(2, 2), Start);
        return member.coordinatorId();
    };
    SafeguardSet without;
    without.applyNewerOnly = false;
    cr_assert(run({}) == NodeId(3));
    cr_assert(run(without) == NodeId(2));
}

// A node wins term 2 and goes on as a member of term 1: its echoes keep the authority of term 1
// alive, which serves on beside the ranges that term 2 gives away.
Test(ownership_member, winner_leaves_the_older_term)
{
    const auto run = [](const SafeguardSet &safeguards) {
        Member member = makeMember(safeguards);
        const TermRecord won = makeTerm(2, 1);
        member.onCampaignWon(ObjectVersion(2), won, Start);
        cr_assert(member.takeOffice().has_value());
        cr_assert(!member.takeOffice().has_value());
        return member.makeRenew(Start).acknowledgedTerm;
    };
    SafeguardSet without;
    without.winnerAcknowledges = false;
    cr_assert(run({}) == Term(2));
    cr_assert(run(without) == Term(1));
}

Test(ownership_member, first_act_after_a_pause)
{
    SECTION("a member that was stopped for longer than its lease admits nothing on return")
    {
        Member member = makeMember();
        member.onRenewReply(makeReply(1, Start, 1), Start);
        cr_assert(admits(member, Start + milliseconds(999)));
        cr_assert(!admits(member, Start + milliseconds(1000)));
    }
    SECTION("and reports the rest of the older lease with its next acknowledgement")
    {
        Member member = makeMember();
        member.onRenewReply(makeReply(1, Start, 1), Start);
        member.onTermRead(ObjectVersion(2), makeTerm(2, 3), Start + milliseconds(100));
        const RenewRequest request = member.makeRenew(Start + milliseconds(300));
        cr_assert(request.acknowledgedTerm == Term(2));
        cr_assert(request.olderLeaseLeft == milliseconds(700));
        cr_assert(request.olderEchoAge == milliseconds(300));
        cr_assert(request.echoedHeartbeat == NeverTime);
    }
}

// The platform is down for a minute and returns. If every node read at its renewal rate, a fleet of
// 18,000 would send 120,000 reads a second at a service that takes 2,000, and it would not return.
Test(ownership_member, reads_are_spread_while_the_platform_is_down)
{
    Member member = makeMember();
    uint64_t reads = 0;
    for (Duration passed{0}; passed < std::chrono::minutes(1); passed += milliseconds(25)) {
        const TimePoint now = Start + passed;
        if (member.onTick(now) == MemberStep::ReadTerm) {
            ++reads;
            member.onTermReadFailed(now);
        }
    }
    cr_assert(reads >= 10 && reads <= 30, "%lu reads", reads);
}
