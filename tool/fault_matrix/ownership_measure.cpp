/** @file ownership_measure.cpp Figures of the ownership decisions. */

#include "fault_matrix/ownership_measure.h"

#include "adapter/codec/ownership_codec.h"
#include "fault_matrix/fault_cell.h"

#include <algorithm>
#include <cstdio>

namespace wisteriahoist {

namespace {

using std::chrono::seconds;

constexpr uint64_t Seeds = 40;
constexpr Duration LossAt = seconds(5);
constexpr Duration RunLength = seconds(20);
constexpr int CellSize = 300; ///< Members of one cell at most.

/** No faults but those that a loss makes. */
class NoFaults : public FaultInjector
{
public:
    void onTransmission(OwnershipModel &, Transmission &) override { }
};

/** A kind of loss: what is done to the model, and which nodes' ranges have to move. */
struct Loss {
    const char *name;
    std::function<std::vector<int>(OwnershipModel &)> strike; ///< Returns the nodes that are lost.
    bool shortBound = false; ///< B of 6 s, so that the run reaches it.
};

int anOwner(OwnershipModel &model, int notThis)
{
    for (const int owner : model.owners()) {
        if (owner >= 0 && owner != notThis) {
            return owner;
        }
    }
    return 0;
}

std::vector<Loss> makeLosses()
{
    const auto crashAll = [](OwnershipModel &model, const std::vector<int> &nodes) {
        for (const int index : nodes) {
            model.crash(index);
        }
        return nodes;
    };
    return {
            {"owner",
             [crashAll](OwnershipModel &model) {
                 return crashAll(model, {anOwner(model, model.coordinatorIndex())});
             }},
            {"coordinator with its own ranges",
             [crashAll](OwnershipModel &model) {
                 return crashAll(model, {model.coordinatorIndex()});
             }},
            {"owner and coordinator",
             [crashAll](OwnershipModel &model) {
                 const int coordinator = model.coordinatorIndex();
                 return crashAll(model, {anOwner(model, coordinator), coordinator});
             }},
            {"failure domain (2 of 6)",
             [crashAll](OwnershipModel &model) {
                 return crashAll(model, {0, 3});
             }},
            {"owner paused 3 s",
             [](OwnershipModel &model) {
                 const int owner = anOwner(model, model.coordinatorIndex());
                 model.pause(owner, seconds(3));
                 return std::vector<int>{owner};
             }},
            {"owner restarted after 300 ms",
             [](OwnershipModel &model) {
                 const int owner = anOwner(model, model.coordinatorIndex());
                 model.crashFor(owner, milliseconds(300));
                 return std::vector<int>{owner};
             }},
            {"owner drains",
             [](OwnershipModel &model) {
                 const int owner = anOwner(model, model.coordinatorIndex());
                 model.setDraining(owner, true);
                 return std::vector<int>{owner};
             }},
            {"platform down 5 s",
             [](OwnershipModel &model) {
                 model.platformDown(seconds(5));
                 return std::vector<int>{};
             }},
            {"owner, platform down 5 s",
             [crashAll](OwnershipModel &model) {
                 model.platformDown(seconds(5));
                 return crashAll(model, {anOwner(model, model.coordinatorIndex())});
             }},
            {"majority with coordinator, bound 6 s",
             [crashAll](OwnershipModel &model) {
                 const int coordinator = model.coordinatorIndex();
                 std::vector<int> nodes;
                 for (int index = 0; index < 4; ++index) {
                     nodes.push_back((coordinator + index) % model.nodeCount());
                 }
                 return crashAll(model, nodes);
             },
             true},
    };
}

milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

/** One line: unavailable time of ranges whose owner was lost and of all others, and moves. */
void measureLoss(const Loss &loss)
{
    std::vector<Duration> lost;
    Duration others{0};
    size_t moved = 0;
    size_t needed = 0;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        NoFaults faults;
        ModelSettings settings;
        settings.seed = seed;
        settings.nodes = 6;
        settings.slices = 24;
        if (loss.shortBound) {
            settings.times.platformBound = seconds(6);
        }
        OwnershipModel model(settings, faults);
        model.runUntil(LossAt);
        model.forgetUnserved();
        const std::vector<int> before = model.owners();
        const std::vector<int> nodes = loss.strike(model);
        model.runUntil(RunLength);
        const std::vector<int> after = model.owners();
        for (size_t point = 0; point < before.size(); ++point) {
            const bool hit = std::find(nodes.begin(), nodes.end(), before[point]) != nodes.end();
            const Duration longest = model.longestUnserved()[point];
            needed += hit ? 1 : 0;
            moved += before[point] != after[point] ? 1 : 0;
            if (hit) {
                lost.push_back(longest);
            } else {
                others = std::max(others, longest);
            }
        }
    }
    std::sort(lost.begin(), lost.end());
    const Duration median = lost.empty() ? Duration(0) : lost[lost.size() / 2];
    const Duration longest = lost.empty() ? Duration(0) : lost.back();
    std::printf("loss: %-38s lost_ranges_ms median=%ld max=%ld other_ranges_ms max=%ld "
                "ranges_moved=%zu ranges_needed=%zu\n",
                loss.name, toMilliseconds(median).count(), toMilliseconds(longest).count(),
                toMilliseconds(others).count(), moved, needed);
}

/** A cell whose platform answers at once and whose members are real, without a network. */
struct DirectCell {
    explicit DirectCell(int size)
    {
        TermRecord record;
        record.term = Term(1);
        record.coordinator = NodeId(1);
        for (int index = 0; index < size; ++index) {
            MemberInfo info;
            info.id = NodeId(static_cast<uint64_t>(index) + 1);
            info.incarnation = Incarnation(1);
            info.address = {"10.120.130.140", 8080, 8081, 8082};
            info.failureDomain = "domain-" + std::to_string(index % 3);
            info.service = "profiles";
            record.roster.push_back(info);
            members.emplace_back(times, info);
        }
        const Coordinator::Office office{record, ObjectVersion(1), now};
        coordinator = std::make_unique<Coordinator>(times, office,
                                                    std::make_shared<LeastOwnedPolicy>(), now);
        ServiceDeclaration service;
        service.name = "profiles";
        service.keySpace.initialSlices = static_cast<uint32_t>(8 * size);
        Declarations declarations;
        declarations.version = 1;
        declarations.services = {service};
        coordinator->onDeclarations(declarations, now);
        for (Member &member : members) {
            member.onTick(now);
            member.onTermRead(ObjectVersion(1), record, now);
        }
    }

    void run(Duration length)
    {
        for (const TimePoint end = now + length; now < end; now += milliseconds(25)) {
            for (Member &member : members) {
                if (member.onTick(now) == MemberStep::Renew) {
                    ++renewals;
                    member.onRenewReply(coordinator->onRenew(member.makeRenew(now), now), now);
                }
            }
            coordinator->onTick(now);
            callPlatform();
        }
    }

    void callPlatform()
    {
        for (CoordinatorStep step = coordinator->nextStep(now); step != CoordinatorStep::None;
             step = coordinator->nextStep(now)) {
            ++calls;
            if (step == CoordinatorStep::ReadTerm) {
                coordinator->onTermStored(coordinator->termVersion(), coordinator->term(), now,
                                          now);
            } else if (step == CoordinatorStep::WriteTerm) {
                coordinator->makeTermWrite(WriteNonce(1));
                coordinator->onTermWritten(coordinator->termVersion().next(), now);
            } else if (step == CoordinatorStep::ReadAssignment) {
                coordinator->onAssignmentStored(ObjectVersion(0), std::nullopt, now);
            } else {
                coordinator->makeAssignmentWrite(WriteNonce(1));
                coordinator->onAssignmentWritten(coordinator->assignmentVersion().next(), now);
            }
        }
    }

    OwnershipTimes times;
    TimePoint now{std::chrono::hours(1)};
    std::vector<Member> members;
    std::unique_ptr<Coordinator> coordinator;
    uint64_t calls = 0;
    uint64_t renewals = 0;
};

void measureGrowth(int members)
{
    constexpr int WatchesPerCell = 2; // term and configuration, each re-armed every 10 s
    constexpr double WatchSeconds = 10;
    const int cells = (members + CellSize - 1) / CellSize;
    uint64_t calls = 0;
    uint64_t renewals = 0;
    Duration spent{0};
    for (int index = 0; index < cells; ++index) {
        DirectCell cell(members / cells);
        cell.run(seconds(5));
        cell.calls = 0;
        cell.renewals = 0;
        const auto start = std::chrono::steady_clock::now();
        cell.run(seconds(20));
        spent += std::chrono::steady_clock::now() - start;
        calls += cell.calls;
        renewals += cell.renewals;
    }
    const double watches = cells * WatchesPerCell / WatchSeconds;
    std::printf("growth: members=%d cells=%d coordinator_calls_s=%.3f watch_calls_s=%.2f "
                "renewals_s_per_node=%.2f us_per_renewal_both_ends=%.2f\n",
                members, cells, static_cast<double>(calls) / 20, watches,
                static_cast<double>(renewals) / 20 / members,
                std::chrono::duration<double, std::micro>(spent).count()
                        / static_cast<double>(renewals));
}

void measureBytes()
{
    DirectCell cell(CellSize);
    cell.run(seconds(5));
    const RenewRequest request = cell.members[1].makeRenew(cell.now);
    const RenewReply reply = cell.coordinator->onRenew(request, cell.now);
    const size_t out = encodeRenewRequest(request).size();
    const size_t back = encodeRenewReply(reply).size();
    const double perSecond = 1000.0 / static_cast<double>(cell.times.renewInterval.count());
    std::printf("bytes: request=%zu reply=%zu messages_s_per_node=%.1f bytes_s_per_node=%.0f "
                "(bodies; frames and TCP not counted)\n",
                out, back, 2 * perSecond, static_cast<double>(out + back) * perSecond);
    const size_t term = encodeTerm(cell.coordinator->term()).size();
    const size_t assignment = encodeAssignment(cell.coordinator->assignment()).size();
    std::printf("state: term_object_bytes_per_member=%zu assignment_bytes_per_range=%zu "
                "range_in_memory=%zu member_machine=%zu\n",
                term / CellSize, assignment / (8 * CellSize), sizeof(Slice), sizeof(Member));
}

} // namespace

int runMeasure()
{
    for (const Loss &loss : makeLosses()) {
        measureLoss(loss);
    }
    for (const int members : {10, 100, 1000, 10000}) {
        measureGrowth(members);
    }
    measureBytes();
    return 0;
}

} // namespace wisteriahoist
