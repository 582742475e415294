/** @file model_node.cpp What a node of the model carries out for its machines. */

#include "fault_matrix/ownership_model.h"

namespace wisteriahoist {

namespace {

constexpr milliseconds TickInterval{25};
constexpr milliseconds DrainTime{40}; ///< How long requests in flight run at the gate.
constexpr milliseconds RewatchInterval{2000};

ProtocolStep stepOf(const RenewRequest &request)
{
    if (!request.relinquished.empty()) {
        return ProtocolStep::Relinquish;
    }
    return request.echoedHeartbeat == NeverTime ? ProtocolStep::FirstAcknowledge
                                                : ProtocolStep::RequestLease;
}

ProtocolStep stepOf(const RenewReply &reply)
{
    if (!reply.revoked.empty()) {
        return ProtocolStep::Revoke;
    }
    if (reply.assignment) {
        return ProtocolStep::TellAssignment;
    }
    return reply.leaseLeft.count() > 0 ? ProtocolStep::GrantLease : ProtocolStep::FirstHeartbeat;
}

} // namespace

void OwnershipModel::tick(int index)
{
    const uint64_t life = node(index).life;
    onNode(index, life, now_ + TickInterval, [this, index]() { tick(index); });
    stepMember(index);
    stepCoordinator(index);
}

void OwnershipModel::stepMember(int index)
{
    ModelNode &node = this->node(index);
    switch (node.member->onTick(clockOf(node))) {
    case MemberStep::None:
        break;
    case MemberStep::ReadTerm:
        readTerm(index);
        break;
    case MemberStep::Renew:
        renew(index);
        break;
    case MemberStep::Campaign:
        campaign(index);
        break;
    }
}

void OwnershipModel::stepCoordinator(int index)
{
    ModelNode &node = this->node(index);
    if (!node.coordinator) {
        return;
    }
    const bool left = node.member->acknowledgedTerm() > node.coordinator->term().term;
    if (left || node.coordinator->isDeposed()) {
        node.coordinator.reset();
        return;
    }
    node.coordinator->onTick(clockOf(node));
    for (CoordinatorStep step = node.coordinator->nextStep(clockOf(node));
         step != CoordinatorStep::None; step = node.coordinator->nextStep(clockOf(node))) {
        coordinatorCall(index, step);
    }
    if (now_ / RewatchInterval != (now_ - TickInterval) / RewatchInterval) {
        watchTerm(index);
    }
}

void OwnershipModel::takeOffice(int index, TimePoint askedAt)
{
    ModelNode &node = this->node(index);
    const std::optional<WonTerm> won = node.member->takeOffice();
    if (!won) {
        return;
    }
    const TimePoint now = clockOf(node);
    const Coordinator::Office office{won->record, won->version, askedAt};
    // One for each term: a policy may remember times, and clocks differ between nodes.
    auto policy = std::make_shared<LeastOwnedPolicy>();
    node.coordinator = std::make_unique<Coordinator>(settings_.times, office, std::move(policy),
                                                     now, settings_.safeguards);
    node.coordinator->onDeclarations(declarations_, now);
    stepCoordinator(index);
}

void OwnershipModel::renew(int index)
{
    ModelNode &node = this->node(index);
    const RenewRequest request = node.member->makeRenew(clockOf(node));
    const int to = static_cast<int>(node.member->coordinatorId().value()) - 1;
    if (to == index) {
        answer(index, index, request);
        return;
    }
    Transmission transmission;
    transmission.step = stepOf(request);
    transmission.from = index;
    transmission.to = to;
    const uint64_t life = node.life;
    transmit(transmission, [this, index, to, life, request](const Transmission &) {
        ModelNode &receiver = this->node(to);
        onNode(to, receiver.life, now_, [this, index, to, life, request]() {
            if (this->node(index).life == life) {
                answer(to, index, request);
            }
        });
    });
}

void OwnershipModel::answer(int index, int to, const RenewRequest &request)
{
    ModelNode &node = this->node(index);
    RenewReply reply;
    reply.notCoordinator = true;
    if (node.coordinator) {
        reply = node.coordinator->onRenew(request, clockOf(node));
    }
    if (to == index) {
        onReply(index, reply);
        return;
    }
    Transmission transmission;
    transmission.step = stepOf(reply);
    transmission.from = index;
    transmission.to = to;
    const uint64_t life = this->node(to).life;
    transmit(transmission, [this, to, life, reply](const Transmission &) {
        onNode(to, life, now_, [this, to, reply]() { onReply(to, reply); });
    });
}

void OwnershipModel::onReply(int index, const RenewReply &reply)
{
    ModelNode &node = this->node(index);
    const TimePoint leaseBefore = node.member->leaseUntil();
    node.member->onRenewReply(reply, clockOf(node));
    const std::set<Revocation> revoked = node.member->revocations();
    const auto gone = [&revoked](const Revocation &entry) { return !revoked.contains(entry); };
    std::erase_if(node.seen, gone);
    std::erase_if(node.draining, [&gone](const auto &entry) { return gone(entry.first); });
    for (const Revocation &revocation : revoked) {
        if (node.seen.insert(revocation).second) {
            node.draining[revocation] = leaseBefore;
        }
        if (!node.draining.contains(revocation)) {
            continue;
        }
        // As the control duty does: the gate gets the whole grant with each renewal, and each of
        // its answers confirms what it no longer admits.
        Transmission transmission; // within the node: only its own faults act on it
        transmission.step = ProtocolStep::Drain;
        transmission.from = index;
        transmission.to = index;
        const uint64_t life = node.life;
        transmit(transmission, [this, index, life, revocation](const Transmission &) {
            onNode(index, life, now_ + DrainTime, [this, index, revocation]() {
                ModelNode &drained = this->node(index);
                drained.draining.erase(revocation);
                drained.member->onDrained({revocation});
                refreshHeld(drained);
            });
        });
    }
    refreshHeld(node);
}

} // namespace wisteriahoist
