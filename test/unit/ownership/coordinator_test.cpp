/** @file coordinator_test.cpp Leases, moves and rosters of one coordinator. */

#include "decision/ownership/coordinator.h"
#include "decision/ownership/least_owned_policy.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

/** Hands out the steps that a test prepared, once. */
class ScriptedPolicy : public PlacementPolicy
{
public:
    std::vector<PlacementStep> decide(const PlacementInput &, TimePoint) override
    {
        return std::exchange(next, {});
    }
    std::vector<PlacementStep> next;
};

/** A coordinator with a platform that answers at once, and members that renew when told to. */
struct Cell {
    explicit Cell(uint64_t members, std::shared_ptr<PlacementPolicy> placement,
                  const SafeguardSet &safeguards = {})
        : policy(std::move(placement))
    {
        record.term = Term(2);
        record.coordinator = NodeId(1);
        record.coordinatorIncarnation = Incarnation(1);
        OpenRoster open{Term(1), {}};
        for (uint64_t id = 1; id <= members; ++id) {
            record.roster.push_back(makeInfo(id));
            open.voters.push_back({NodeId(id), Incarnation(1)});
        }
        record.openRosters = {open};
        times.settle = milliseconds(0);
        times.platformBound = milliseconds(60000);
        const Coordinator::Office office{record, ObjectVersion(5), Start};
        coordinator = std::make_unique<Coordinator>(times, office, policy, Start, safeguards);
        ServiceDeclaration service;
        service.name = "profiles";
        service.keySpace.initialSlices = static_cast<uint32_t>(2 * members);
        Declarations declarations;
        declarations.version = 1;
        declarations.services = {service};
        coordinator->onDeclarations(declarations, Start);
    }

    static MemberInfo makeInfo(uint64_t id)
    {
        MemberInfo info;
        info.id = NodeId(id);
        info.incarnation = Incarnation(1);
        info.failureDomain = "domain-" + std::to_string(id % 3);
        info.service = "profiles";
        return info;
    }

    RenewRequest makeRequest(uint64_t id, TimePoint echoed) const
    {
        RenewRequest request;
        request.member = makeInfo(id);
        request.acknowledgedTerm = Term(2);
        request.echoedHeartbeat = echoed;
        request.sentAt = now;
        request.olderEchoAge = std::chrono::hours(1);
        request.assignmentVersion = coordinator->assignmentVersion();
        return request;
    }

    RenewReply renew(uint64_t id)
    {
        return coordinator->onRenew(makeRequest(id, now - milliseconds(100)), now);
    }

    /** Carries out what the coordinator wants, without faults. */
    void settle()
    {
        coordinator->onTick(now);
        for (CoordinatorStep step = coordinator->nextStep(now); step != CoordinatorStep::None;
             step = coordinator->nextStep(now)) {
            ++calls[static_cast<size_t>(step)];
            switch (step) {
            case CoordinatorStep::ReadTerm:
                coordinator->onTermStored(coordinator->termVersion(), coordinator->term(), now,
                                          now);
                break;
            case CoordinatorStep::WriteTerm:
                coordinator->makeTermWrite(WriteNonce(1));
                coordinator->onTermWritten(coordinator->termVersion().next(), now);
                break;
            case CoordinatorStep::ReadAssignment:
                coordinator->onAssignmentStored(coordinator->assignmentVersion(), nextStored, now);
                break;
            case CoordinatorStep::WriteAssignment:
                coordinator->makeAssignmentWrite(WriteNonce(1));
                coordinator->onAssignmentWritten(coordinator->assignmentVersion().next(), now);
                break;
            case CoordinatorStep::None:
                break;
            }
            coordinator->onTick(now);
        }
    }

    /** Lets @p length pass in which members @p first to @p last renew. */
    void run(Duration length, uint64_t first, uint64_t last)
    {
        for (const TimePoint end = now + length; now < end; now += milliseconds(100)) {
            for (uint64_t id = first; id <= last; ++id) {
                renew(id);
            }
            settle();
        }
    }

    size_t ownedBy(uint64_t id) const
    {
        size_t owned = 0;
        for (const Slice &slice : coordinator->assignment().services.at("profiles").slices()) {
            owned += slice.owner == NodeId(id) ? 1 : 0;
        }
        return owned;
    }

    std::shared_ptr<PlacementPolicy> policy;
    OwnershipTimes times;
    TermRecord record;
    std::unique_ptr<Coordinator> coordinator;
    std::optional<AssignmentRecord> nextStored; ///< What the platform holds at the start.
    TimePoint now = Start;
    std::array<uint64_t, 5> calls{};
};

Cell makeCell(uint64_t members, const SafeguardSet &safeguards = {})
{
    return Cell(members, std::make_shared<LeastOwnedPolicy>(), safeguards);
}

} // namespace

// A caller's booking runs at two servers: an acknowledgement lay in the network while its sender
// acknowledged the next term. Counted from its arrival, the old term would outlive what the next
// one waits for.
Test(ownership_coordinator, acknowledgements_count_from_the_heartbeat)
{
    const auto run = [](const SafeguardSet &safeguards) {
        Cell cell = makeCell(3, safeguards);
        cell.settle();
        cell.now = Start + milliseconds(5000);
        const TimePoint heartbeat = Start + milliseconds(100);
        cell.coordinator->onRenew(cell.makeRequest(1, heartbeat), cell.now);
        return cell.coordinator->onRenew(cell.makeRequest(2, heartbeat), cell.now).leaseLeft;
    };
    SafeguardSet without;
    without.countHeartbeatTime = false;
    cr_assert(run({}) == Duration(0));
    cr_assert(run(without) > Duration(0));
}

// The predecessor's assignment write is still on its way when the new term gives leases; it lands,
// and the predecessor tells a second owner.
Test(ownership_coordinator, no_lease_before_the_assignment_carries_the_term)
{
    const auto run = [](const SafeguardSet &safeguards) {
        Cell cell = makeCell(3, safeguards);
        cell.coordinator->nextStep(cell.now);
        cell.coordinator->onAssignmentStored(ObjectVersion(3), AssignmentRecord{}, cell.now);
        cell.renew(1);
        return cell.renew(2).leaseLeft;
    };
    SafeguardSet without;
    without.fenceAssignment = false;
    cr_assert(run({}) == Duration(0));
    cr_assert(run(without) > Duration(0));
}

// A write's reply is lost after it took effect. Sent again on the same version it conflicts for
// ever, and no range moves any more: keys of the next lost server stay unserved.
Test(ownership_coordinator, doubtful_writes_are_read_back)
{
    const auto run = [](const SafeguardSet &safeguards) {
        Cell cell = makeCell(3, safeguards);
        cell.run(milliseconds(500), 1, 3);
        cell.coordinator->onAssignmentCallFailed(cell.now);
        return cell.coordinator->nextStep(cell.now + milliseconds(200));
    };
    SafeguardSet without;
    without.readBack = false;
    cr_assert(run({}) == CoordinatorStep::ReadAssignment);
    cr_assert(run(without) == CoordinatorStep::WriteAssignment);
}

// Node 3 falls silent, its ranges go to others and a roster without it is written, but the reply is
// lost. It returns, and the write turns out to be stored: with ranges or a lease it would be an
// owner that no roster names. Found by random runs of the model.
Test(ownership_coordinator, a_member_that_may_have_left_gets_no_lease)
{
    Cell cell = makeCell(3);
    cell.run(milliseconds(1000), 1, 3);
    for (const TimePoint end = cell.now + milliseconds(4000); cell.now < end;
         cell.now += milliseconds(100)) {
        cell.renew(1);
        cell.renew(2);
        cell.coordinator->onTick(cell.now);
        const CoordinatorStep step = cell.coordinator->nextStep(cell.now);
        if (step == CoordinatorStep::WriteTerm) {
            const TermRecord left = cell.coordinator->makeTermWrite(WriteNonce(8));
            if (left.roster.size() == 3) {
                cell.coordinator->onTermWritten(cell.coordinator->termVersion().next(), cell.now);
                continue;
            }
            cell.coordinator->onTermCallFailed(cell.now);
            cr_assert(cell.renew(3).leaseLeft == Duration(0));
            cell.coordinator->onTermStored(cell.coordinator->termVersion().next(), left, cell.now,
                                           cell.now);
            cr_assert(cell.renew(3).leaseLeft == Duration(0));
            cr_assert(cell.renew(2).leaseLeft > Duration(0));
            return;
        }
        if (step == CoordinatorStep::WriteAssignment) {
            cell.coordinator->makeAssignmentWrite(WriteNonce(9));
            cell.coordinator->onAssignmentWritten(cell.coordinator->assignmentVersion().next(),
                                                  cell.now);
        }
    }
    cr_assert_fail("no roster without the lost member was written");
}

// Node 3 acknowledges term 2 while a lease of term 1 still runs, and falls silent. Its ranges given
// away at the end of its leases of term 2 alone (it got none) would have two owners.
Test(ownership_coordinator, leases_of_older_terms_are_outwaited)
{
    const auto run = [](const SafeguardSet &safeguards, Duration waited) {
        Cell cell(3, std::make_shared<ScriptedPolicy>(), safeguards);
        cell.nextStored = AssignmentRecord{};
        cell.nextStored->services["profiles"] = SliceTable({{KeyHash(0), NodeId(3), Epoch(4)}});
        cell.nextStored->highestEpoch = Epoch(4);
        RenewRequest request = cell.makeRequest(3, NeverTime);
        request.olderLeaseLeft = milliseconds(990);
        cell.coordinator->onRenew(request, cell.now);
        cell.run(waited, 1, 2);
        return cell.ownedBy(3);
    };
    SafeguardSet without;
    without.outwaitOlderLease = false;
    cr_assert_eq(run({}, milliseconds(900)), 1);
    cr_assert_eq(run(without, milliseconds(900)), 0);
    cr_assert_eq(run({}, milliseconds(1300)), 0);
    SECTION("by the drift bound longer, since the owner's clock may be the slower one")
    {
        without = {};
        without.addDriftBound = false;
        cr_assert_eq(run({}, milliseconds(1100)), 1);
        cr_assert_eq(run(without, milliseconds(1100)), 0);
    }
}

// A server is replaced at once by a new life of the same node, while the old one may only be
// frozen. The new life gets nothing before the old one's lease has certainly ended.
Test(ownership_coordinator, a_new_life_inherits_nothing)
{
    Cell cell = makeCell(3);
    cell.run(milliseconds(1000), 1, 3);
    cr_assert_eq(cell.ownedBy(3), 2);
    RenewRequest request = cell.makeRequest(3, cell.now - milliseconds(50));
    request.member.incarnation = Incarnation(2);
    cr_assert(cell.coordinator->onRenew(request, cell.now).leaseLeft == Duration(0));
    SafeguardSet without;
    without.matchIncarnation = false;
    Cell unsafe = makeCell(3, without);
    unsafe.run(milliseconds(1000), 1, 3);
    request.sentAt = unsafe.now;
    request.echoedHeartbeat = unsafe.now - milliseconds(50);
    cr_assert(unsafe.coordinator->onRenew(request, unsafe.now).leaseLeft > Duration(0));
}

Test(ownership_coordinator, live_owners_give_their_ranges_up_first)
{
    auto policy = std::make_shared<ScriptedPolicy>();
    Cell cell(3, policy);
    cell.run(milliseconds(300), 1, 3);
    policy->next = {{PlacementStep::Kind::Move, KeyHash(0), NodeId(1), PlacementReason::NoOwner}};
    cell.run(milliseconds(700), 1, 3);
    const Epoch before = cell.coordinator->assignment().highestEpoch;
    SECTION("a split keeps owner and epoch, a merge takes the higher epoch")
    {
        const KeyHash cut(1000);
        policy->next = {{PlacementStep::Kind::Split, cut, InvalidNode, PlacementReason::HotKey}};
        cell.run(milliseconds(700), 1, 3);
        const SliceTable table = cell.coordinator->assignment().services.at("profiles");
        cr_assert(table.find(cut)->first == cut);
        cr_assert(table.find(cut)->owner == NodeId(1) && table.find(cut)->epoch == before);
    }
    SECTION("a move waits for the owner's word, however often it renews")
    {
        policy->next = {
                {PlacementStep::Kind::Move, KeyHash(1000), NodeId(2), PlacementReason::Overload}};
        cell.run(milliseconds(700), 1, 3);
        const RenewReply reply = cell.renew(1);
        cr_assert_eq(reply.revoked.size(), 1);
        cr_assert(cell.coordinator->assignment().highestEpoch == before);
        RenewRequest request = cell.makeRequest(1, cell.now - milliseconds(50));
        request.relinquished = reply.revoked;
        cell.coordinator->onRenew(request, cell.now);
        cell.settle();
        const SliceTable table = cell.coordinator->assignment().services.at("profiles");
        cr_assert(table.find(KeyHash(1000))->owner == NodeId(2));
        cr_assert(table.find(KeyHash(1000))->epoch == before.next());
        cr_assert(table.find(KeyHash(999))->owner == NodeId(1));
    }
}

// More than half of the roster is lost together with the coordinator. Its successor cannot tell
// loss from a partition, so the ranges stay unserved until the bound has passed or an operator says
// that the servers are gone.
Test(ownership_coordinator, more_than_half_of_a_roster_lost)
{
    SECTION("nothing is taken from the missing ones before the bound")
    {
        Cell cell = makeCell(5);
        cell.run(milliseconds(30000), 1, 2);
        cr_assert(!cell.coordinator->areRostersClosed(cell.now));
        cr_assert_eq(cell.coordinator->term().roster.size(), 5);
        cell.run(milliseconds(35000), 1, 2);
        cr_assert(cell.coordinator->areRostersClosed(cell.now));
        cr_assert_eq(cell.coordinator->term().roster.size(), 2);
        cr_assert(cell.renew(1).leaseLeft > Duration(0));
    }
    SECTION("an operator's word ends the wait")
    {
        Cell cell = makeCell(5);
        cell.run(milliseconds(3000), 1, 2);
        cell.coordinator->onLossConfirmed(Term(1), cell.now);
        cell.run(milliseconds(2000), 1, 2);
        cr_assert_eq(cell.coordinator->term().roster.size(), 2);
    }
    SECTION("and a coordinator that no longer sees its term stops at the bound")
    {
        Cell cell = makeCell(3);
        cell.run(milliseconds(500), 1, 3);
        cell.now = Start + cell.times.platformBound + milliseconds(1000);
        cell.renew(1);
        cr_assert(cell.renew(2).leaseLeft == Duration(0));
        SafeguardSet without;
        without.limitWithoutPlatform = false;
        Cell unsafe = makeCell(3, without);
        unsafe.run(milliseconds(500), 1, 3);
        unsafe.now = Start + unsafe.times.platformBound + milliseconds(1000);
        unsafe.renew(1);
        cr_assert(unsafe.renew(2).leaseLeft > Duration(0));
    }
}

// A failure domain goes: 95 of a cell's 285 members (950 of 18,000 hit ten such cells). Every write
// above one for each cell would be taken from the platform's few hundred a second.
Test(ownership_coordinator, a_lost_failure_domain_costs_few_writes)
{
    Cell cell = makeCell(285);
    cell.run(milliseconds(2000), 1, 285);
    cell.calls = {};
    cell.run(milliseconds(3000), 1, 190);
    cr_assert_eq(cell.calls[static_cast<size_t>(CoordinatorStep::WriteAssignment)], 1);
    cr_assert_leq(cell.calls[static_cast<size_t>(CoordinatorStep::WriteTerm)], 2);
    cr_assert_eq(cell.coordinator->term().roster.size(), 190);
    for (uint64_t id = 191; id <= 285; ++id) {
        cr_assert_eq(cell.ownedBy(id), 0);
    }
}
