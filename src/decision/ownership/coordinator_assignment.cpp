/** @file coordinator_assignment.cpp The coordinator of one cell: ranges, moves and their storing.
 */

#include "decision/ownership/backoff_func.h"
#include "decision/ownership/coordinator.h"
#include "decision/placement/table/placement_profiles.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

PlacementWeights weightsFor(MeasurePriority priority)
{
    switch (priority) {
    case MeasurePriority::Even:
        return {};
    case MeasurePriority::UnavailableTime:
        return UnavailableTimeWeights;
    case MeasurePriority::Churn:
        return ChurnWeights;
    }
    return {};
}

constexpr milliseconds RetryBase{50};          ///< First pause after a platform call failed.
constexpr uint32_t MaxRetryRound = 6;          ///< The pause doubles so often.
constexpr milliseconds PlacementInterval{500}; ///< Between decisions that nothing urgent asks for.
constexpr milliseconds ColdTime{10000};        ///< How long an instance counts as just started.

/** @return The index of the range that begins at @p first; the table's size if there is none. */
size_t indexOf(const std::vector<Slice> &slices, KeyHash first)
{
    const auto found = std::lower_bound(
            slices.begin(), slices.end(), first,
            [](const Slice &slice, KeyHash point) { return slice.first < point; });
    const bool exact = found != slices.end() && found->first == first;
    return exact ? static_cast<size_t>(found - slices.begin()) : slices.size();
}

} // namespace

// --- the stored assignment ---

AssignmentRecord Coordinator::makeAssignmentWrite(WriteNonce nonce)
{
    wanted_.nonce = nonce;
    pendingAssignment_ = wanted_;
    assignmentSync_.dirty = false;
    return pendingAssignment_;
}

void Coordinator::onAssignmentWritten(ObjectVersion version, TimePoint)
{
    if (safeguards_.applyNewerOnly && version <= assignmentSync_.version) {
        return;
    }
    assignmentSync_.succeed(version);
    committed_ = pendingAssignment_;
    fenced_ = true;
    forgetStoredMoves();
}

void Coordinator::onAssignmentStored(ObjectVersion version,
                                     const std::optional<AssignmentRecord> &record, TimePoint now)
{
    if (version < assignmentSync_.version && safeguards_.applyNewerOnly) {
        onAssignmentCallFailed(now);
        return;
    }
    if (record && record->term > term_.term) {
        deposed_ = true;
        return;
    }
    if (adopted_ && version == assignmentSync_.version) {
        // The write has not taken effect, and may yet: it is sent again on the same version.
        assignmentSync_.succeed(version);
        assignmentSync_.dirty = true;
        return;
    }
    const bool own = record && record->term == term_.term;
    assignmentSync_.succeed(version);
    committed_ = record.value_or(AssignmentRecord{});
    adopted_ = true;
    if (own) {
        // One of this term's writes; wanted_ already holds it and all that was applied since.
        fenced_ = true;
        assignmentSync_.dirty = assignmentSync_.dirty || record->nonce != wanted_.nonce;
        forgetStoredMoves();
        return;
    }
    wanted_ = committed_;
    wanted_.term = term_.term;
    moves_.clear();
    fenced_ = !safeguards_.fenceAssignment;
    assignmentSync_.dirty = safeguards_.fenceAssignment;
}

void Coordinator::onAssignmentCallFailed(TimePoint now)
{
    assignmentSync_.fail(now, backoffPause(RetryBase, assignmentSync_.failures, MaxRetryRound,
                                           term_.coordinator.value()));
    if (!safeguards_.readBack && adopted_) {
        assignmentSync_.uncertain = false;
        assignmentSync_.dirty = true;
    }
}

void Coordinator::onDeclarations(const Declarations &declarations, TimePoint)
{
    if (declarations.version > declarations_.version) {
        declarations_ = declarations;
    }
}

void Coordinator::createTables()
{
    for (const ServiceDeclaration &service : declarations_.services) {
        if (!wanted_.services.contains(service.name)) {
            wanted_.services[service.name] = SliceTable::makeEven(service.keySpace.initialSlices);
            assignmentSync_.dirty = true;
        }
    }
}

bool Coordinator::ownsAnything(NodeId id) const
{
    const auto owns = [id](const AssignmentRecord &record) {
        for (const auto &[service, table] : record.services) {
            for (const Slice &slice : table.slices()) {
                if (slice.owner == id) {
                    return true;
                }
            }
        }
        return false;
    };
    return owns(committed_) || owns(wanted_);
}

// --- moves ---

void Coordinator::setOwner(const std::string &service, KeyHash first, NodeId owner)
{
    std::vector<Slice> slices = wanted_.services[service].slices();
    const size_t index = indexOf(slices, first);
    wanted_.highestEpoch = wanted_.highestEpoch.next();
    slices[index].owner = owner;
    slices[index].epoch = wanted_.highestEpoch;
    wanted_.services[service] = SliceTable(std::move(slices));
    assignmentSync_.dirty = true;
}

void Coordinator::startMove(const std::string &service, size_t index, NodeId to)
{
    const std::vector<Slice> &slices = wanted_.services[service].slices();
    const Slice &slice = slices[index];
    Move move;
    move.revocation = {service, slice.first, lastPointOf(slices, index), slice.epoch};
    move.from = slice.owner;
    move.to = to;
    moves_[{service, slice.first}] = std::move(move);
}

void Coordinator::release(Move &move, TimePoint now)
{
    const Revocation &range = move.revocation;
    setOwner(range.service, range.first,
             canOwn(move.to, range.service, now) ? move.to : InvalidNode);
    move.applied = true;
}

void Coordinator::onRelinquished(const MemberInfo &from, const Revocation &revocation,
                                 TimePoint now)
{
    const auto table = wanted_.services.find(revocation.service);
    if (table == wanted_.services.end() || !fenced_) {
        return;
    }
    // Also ranges that this term never revoked: the owner gave them up under an older one.
    const std::vector<Slice> slices = table->second.slices();
    for (size_t index = 0; index < slices.size(); ++index) {
        const Slice &slice = slices[index];
        const bool given = slice.owner == from.id
                           && revocation.covers(revocation.service, slice.first,
                                                lastPointOf(slices, index), slice.epoch);
        if (!given) {
            continue;
        }
        const RangeKey key{revocation.service, slice.first};
        if (!moves_.contains(key)) {
            startMove(revocation.service, index, InvalidNode);
        }
        if (!moves_[key].applied) {
            release(moves_[key], now);
        }
    }
}

void Coordinator::resolveMoves(TimePoint now)
{
    for (auto &[key, move] : moves_) {
        const auto owner = members_.find(move.from);
        const bool free = owner == members_.end() || owner->second.lost;
        if (!move.applied && (free || !safeguards_.awaitRelinquish)) {
            release(move, now);
        }
    }
}

void Coordinator::forgetStoredMoves()
{
    std::erase_if(moves_, [this](const auto &entry) {
        const auto &[key, move] = entry;
        const auto table = committed_.services.find(key.first);
        const Slice *stored
                = table == committed_.services.end() ? nullptr : table->second.find(key.second);
        return move.applied && stored != nullptr && stored->epoch > move.revocation.epoch;
    });
}

bool Coordinator::canOwn(NodeId id, const std::string &service, TimePoint now) const
{
    const auto found = members_.find(id);
    return found != members_.end() && found->second.hasAcknowledged
           && found->second.info.service == service && !found->second.info.draining
           && !isSilent(found->second, now) && !found->second.leaving;
}

// --- placement ---

std::vector<InstanceView> Coordinator::makeInstances(const std::string &service,
                                                     TimePoint now) const
{
    std::vector<InstanceView> instances;
    for (const auto &[id, member] : members_) {
        if (member.info.service != service) {
            continue;
        }
        const bool owns = ownsAnything(id);
        if (!owns && !canOwn(id, service, now)) {
            continue; // Silent, draining or unknown yet: nothing to take away, nothing to give.
        }
        InstanceView instance;
        instance.id = id;
        instance.failureDomain = member.info.failureDomain;
        instance.slots = member.info.slots;
        instance.live = !member.lost;
        instance.draining = member.info.draining;
        instance.cold = !owns && now - wonAt_ < ColdTime;
        instance.reportAge = now - std::max(member.loadsAt, wonAt_);
        instances.push_back(std::move(instance));
    }
    return instances;
}

SliceTable Coordinator::plannedTable(const std::string &service, const SliceTable &table) const
{
    std::vector<Slice> slices = table.slices();
    for (Slice &slice : slices) {
        const auto move = moves_.find({service, slice.first});
        if (move != moves_.end() && !move->second.applied && move->second.to != InvalidNode) {
            slice.owner = move->second.to;
        }
    }
    return SliceTable(std::move(slices));
}

bool Coordinator::isUrgent(const SliceTable &planned) const
{
    return std::any_of(planned.slices().begin(), planned.slices().end(), [&](const Slice &slice) {
        const auto owner = members_.find(slice.owner);
        return owner == members_.end() || owner->second.info.draining || owner->second.lost;
    });
}

void Coordinator::placeRanges(TimePoint now)
{
    const bool untouched = wanted_.highestEpoch == Epoch(0);
    if (untouched && (firstMember_ == NeverTime || now - firstMember_ < times_.settle)) {
        return;
    }
    if (assignmentSync_.busy || assignmentSync_.uncertain) {
        return; // Nothing moves that cannot be made durable.
    }
    for (const auto &[service, table] : wanted_.services) {
        const SliceTable planned = plannedTable(service, table);
        const auto decided = decidedAt_.find(service);
        const bool due
                = moves_.empty()
                  && (decided == decidedAt_.end() || now - decided->second >= PlacementInterval);
        if (due || isUrgent(planned)) {
            decidedAt_[service] = now;
            decidePlacement(service, planned, now);
        }
    }
}

void Coordinator::addLoads(const ServiceLoad &load, NodeId owner, const SliceTable &planned,
                           std::vector<SliceLoad> &loads, std::vector<HotKey> &hotKeys)
{
    // A report made before a move still names the range: counted, it would double the load.
    for (const SliceLoad &slice : load.slices) {
        const Slice *known = planned.find(slice.first);
        if (known != nullptr && known->first == slice.first && known->owner == owner) {
            loads.push_back(slice);
        }
    }
    for (const HotKey &key : load.hotKeys) {
        const Slice *known = planned.find(key.hash);
        if (known != nullptr && known->owner == owner) {
            hotKeys.push_back(key);
        }
    }
}

void Coordinator::decidePlacement(const std::string &service, const SliceTable &planned,
                                  TimePoint now)
{
    std::vector<SliceLoad> loads;
    std::vector<HotKey> hotKeys;
    for (const auto &[id, member] : members_) {
        for (const ServiceLoad &load : member.loads) {
            if (load.service == service) {
                addLoads(load, id, planned, loads, hotKeys);
            }
        }
    }
    const std::vector<InstanceView> instances = makeInstances(service, now);
    const ServiceDeclaration *declared = declarations_.findService(service);
    const PlacementWeights weights
            = weightsFor(declared == nullptr ? MeasurePriority::Even : declared->priority);
    const PlacementInput input{planned, loads, hotKeys, instances, weights, service};
    const std::vector<PlacementStep> steps = policy_->decide(input, now);
    for (const PlacementStep &step : steps) {
        applyStep(service, step, now);
    }
}

void Coordinator::applyStep(const std::string &service, const PlacementStep &step, TimePoint now)
{
    if (step.kind == PlacementStep::Kind::Move) {
        applyMove(service, step, now);
        return;
    }
    std::vector<Slice> slices = wanted_.services[service].slices();
    const size_t exact = indexOf(slices, step.first);
    if (step.kind == PlacementStep::Kind::Split && exact == slices.size()) {
        const auto after = std::upper_bound(
                slices.begin(), slices.end(), step.first,
                [](KeyHash point, const Slice &slice) { return point < slice.first; });
        Slice cut = *std::prev(after);
        const bool moving = moves_.contains({service, cut.first});
        cut.first = step.first;
        if (!moving) {
            slices.insert(after, cut);
        }
    } else if (step.kind == PlacementStep::Kind::Merge && exact != 0 && exact < slices.size()) {
        Slice &before = slices[exact - 1];
        const bool moving = moves_.contains({service, before.first})
                            || moves_.contains({service, step.first});
        if (!moving && before.owner == slices[exact].owner) {
            before.epoch = std::max(before.epoch, slices[exact].epoch);
            slices.erase(slices.begin() + static_cast<ptrdiff_t>(exact));
        }
    }
    if (slices != wanted_.services[service].slices()) {
        wanted_.services[service] = SliceTable(std::move(slices));
        assignmentSync_.dirty = true;
    }
}

void Coordinator::applyMove(const std::string &service, const PlacementStep &step, TimePoint now)
{
    const std::vector<Slice> &slices = wanted_.services[service].slices();
    const size_t index = indexOf(slices, step.first);
    if (index == slices.size() || !canOwn(step.to, service, now)
        || moves_.contains({service, step.first}) || slices[index].owner == step.to) {
        return;
    }
    if (slices[index].owner == InvalidNode) {
        setOwner(service, step.first, step.to);
        return;
    }
    // The range stays listed as revoked until the change is stored: its owner may come back and
    // renew in between, and must get no lease that covers it.
    startMove(service, index, step.to);
    resolveMoves(now);
}

void Coordinator::releaseLost(TimePoint now)
{
    // Without an instance that could own them, ranges of lost owners go to nobody: so the lost life
    // leaves the roster, and a new life of the same node can join.
    if (assignmentSync_.busy || assignmentSync_.uncertain) {
        return;
    }
    for (auto &[id, member] : members_) {
        if (!member.lost) {
            continue;
        }
        for (const auto &[service, table] : wanted_.services) {
            const std::vector<Slice> slices = table.slices();
            for (size_t index = 0; index < slices.size(); ++index) {
                const bool stuck = slices[index].owner == id
                                   && !moves_.contains({service, slices[index].first});
                if (stuck) {
                    startMove(service, index, InvalidNode);
                }
            }
        }
    }
    resolveMoves(now);
}

} // namespace wisteriahoist
