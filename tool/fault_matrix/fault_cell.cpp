/** @file fault_cell.cpp Faults at steps, and the run that takes them all. */

#include "fault_matrix/fault_cell.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

using std::chrono::seconds;

constexpr milliseconds ArmedAt{3000};      ///< The cell has its owners by then.
constexpr milliseconds FaultLength{2600};  ///< More than two lease terms.
constexpr milliseconds DownFor{900};       ///< A process returns before its lease is outwaited.
constexpr milliseconds LateBy{1700};       ///< More than a lease term.
constexpr milliseconds OvertakenBy{260};   ///< More than a renewal interval.
constexpr milliseconds RunLength{11000};   ///< The scripted part.
constexpr milliseconds QuietLength{16000}; ///< All must be served again within it.

constexpr milliseconds ExploredAt{2000};
constexpr milliseconds ExploredLength{14000};

} // namespace

std::string_view stepName(ProtocolStep step)
{
    switch (step) {
    case ProtocolStep::ReadTerm:
        return "ReadTerm";
    case ProtocolStep::WriteCampaign:
        return "WriteCampaign";
    case ProtocolStep::ReadCampaignBack:
        return "ReadCampaignBack";
    case ProtocolStep::ReadAssignment:
        return "ReadAssignment";
    case ProtocolStep::WriteFence:
        return "WriteFence";
    case ProtocolStep::FirstAcknowledge:
        return "FirstAcknowledge";
    case ProtocolStep::FirstHeartbeat:
        return "FirstHeartbeat";
    case ProtocolStep::RequestLease:
        return "RequestLease";
    case ProtocolStep::GrantLease:
        return "GrantLease";
    case ProtocolStep::Revoke:
        return "Revoke";
    case ProtocolStep::Drain:
        return "Drain";
    case ProtocolStep::Relinquish:
        return "Relinquish";
    case ProtocolStep::WriteMove:
        return "WriteMove";
    case ProtocolStep::TellAssignment:
        return "TellAssignment";
    case ProtocolStep::WriteRoster:
        return "WriteRoster";
    case ProtocolStep::CloseRoster:
        return "CloseRoster";
    case ProtocolStep::ReadBack:
        return "ReadBack";
    case ProtocolStep::WatchTerm:
        return "WatchTerm";
    case ProtocolStep::Count:
        break;
    }
    return "";
}

std::string_view faultName(FaultKind fault)
{
    switch (fault) {
    case FaultKind::Crash:
        return "Crash";
    case FaultKind::CrashReceiver:
        return "CrashReceiver";
    case FaultKind::PauseSender:
        return "PauseSender";
    case FaultKind::PauseReceiver:
        return "PauseReceiver";
    case FaultKind::PartitionOutward:
        return "PartitionOutward";
    case FaultKind::PartitionInward:
        return "PartitionInward";
    case FaultKind::PartitionBoth:
        return "PartitionBoth";
    case FaultKind::LoseMessage:
        return "LoseMessage";
    case FaultKind::DelayMessage:
        return "DelayMessage";
    case FaultKind::DuplicateMessage:
        return "DuplicateMessage";
    case FaultKind::ReorderMessage:
        return "ReorderMessage";
    case FaultKind::PlatformDown:
        return "PlatformDown";
    case FaultKind::PlatformSlow:
        return "PlatformSlow";
    case FaultKind::LoseReply:
        return "LoseReply";
    case FaultKind::OperatorConflict:
        return "OperatorConflict";
    case FaultKind::SilentConnection:
        return "SilentConnection";
    case FaultKind::Count:
        break;
    }
    return "";
}

void strike(OwnershipModel &model, Transmission &transmission, FaultKind fault)
{
    // The node that the fault is about, where one end is the platform.
    const int node = transmission.from == PlatformPeer ? transmission.to : transmission.from;
    const int receiver = transmission.to == PlatformPeer ? node : transmission.to;
    const uint64_t chosen = model.random()();
    const auto any = static_cast<int>(chosen % static_cast<uint64_t>(model.nodeCount()));
    switch (fault) {
    case FaultKind::Crash:
        model.schedule(model.now(), [&model, node]() { model.crashFor(node, DownFor); });
        break;
    case FaultKind::CrashReceiver:
        model.schedule(model.now(), [&model, receiver]() { model.crashFor(receiver, DownFor); });
        break;
    case FaultKind::PauseSender:
        // Stopped after it read the clock: what it was sending leaves only after the pause.
        transmission.delay += FaultLength;
        model.pause(node, FaultLength);
        break;
    case FaultKind::PauseReceiver:
        model.pause(receiver, FaultLength);
        break;
    case FaultKind::PartitionOutward:
        model.cutAll(node, true, false, FaultLength);
        break;
    case FaultKind::PartitionInward:
        model.cutAll(node, false, true, FaultLength);
        break;
    case FaultKind::PartitionBoth:
        model.cutAll(node, true, true, FaultLength);
        break;
    case FaultKind::LoseMessage:
        transmission.lost = true;
        break;
    case FaultKind::DelayMessage:
        transmission.delay += LateBy;
        break;
    case FaultKind::DuplicateMessage:
        transmission.duplicateAfter = LateBy;
        break;
    case FaultKind::ReorderMessage:
        transmission.delay += OvertakenBy;
        break;
    case FaultKind::PlatformDown:
        model.platformDown(FaultLength);
        break;
    case FaultKind::PlatformSlow:
        model.platformSlow(FaultLength);
        break;
    case FaultKind::LoseReply:
        // A message has no reply of its own but the next one, which a one-way cut loses.
        transmission.replyLost = true;
        model.cut(transmission.to, transmission.from, milliseconds(20));
        break;
    case FaultKind::OperatorConflict:
        model.declareAgain();
        model.setDraining(any, true);
        model.schedule(model.now() + milliseconds(20), [&model]() { model.declareAgain(); });
        model.schedule(model.now() + milliseconds(150),
                       [&model, any]() { model.setDraining(any, false); });
        break;
    case FaultKind::SilentConnection:
        model.cut(transmission.from, transmission.to, FaultLength);
        model.cut(transmission.to, transmission.from, FaultLength);
        break;
    case FaultKind::Count:
        break;
    }
}

void PlannedFaults::onTransmission(OwnershipModel &model, Transmission &transmission)
{
    if (model.now() < ArmedAt) {
        return;
    }
    const uint64_t taken = ++taken_[static_cast<size_t>(transmission.step)];
    for (const FaultPlan &plan : plans_) {
        if (plan.step == transmission.step && plan.occurrence == taken) {
            ++struck_;
            strike(model, transmission, plan.fault);
        }
    }
}

void RandomFaults::onTransmission(OwnershipModel &model, Transmission &transmission)
{
    if (random_() % static_cast<uint64_t>(oneIn_) == 0) {
        strike(model, transmission, static_cast<FaultKind>(random_() % FaultKindCount));
    }
}

void ExploredFaults::onTransmission(OwnershipModel &model, Transmission &transmission)
{
    const bool steady = transmission.step == ProtocolStep::RequestLease
                        || transmission.step == ProtocolStep::GrantLease;
    if (left_ == 0 || model.now() < from_ || steady) {
        return;
    }
    --left_;
    const auto outcome = static_cast<ExploredOutcome>(choice_ % ExploredOutcomeCount);
    choice_ /= ExploredOutcomeCount;
    switch (outcome) {
    case ExploredOutcome::Late:
        strike(model, transmission, FaultKind::DelayMessage);
        break;
    case ExploredOutcome::Lost:
        strike(model, transmission, FaultKind::LoseMessage);
        break;
    case ExploredOutcome::SenderPaused:
        strike(model, transmission, FaultKind::PauseSender);
        break;
    case ExploredOutcome::OnTime:
    case ExploredOutcome::Count:
        break;
    }
}

ModelFindings runElection(const ModelSettings &settings, uint64_t choice, size_t depth)
{
    ExploredFaults faults(choice, depth, ExploredAt);
    OwnershipModel model(settings, faults);
    model.schedule(ExploredAt,
                   [&model]() { model.pause(std::max(0, model.coordinatorIndex()), FaultLength); });
    model.runUntil(ExploredAt + ExploredLength);
    model.checkServed();
    return model.findings();
}

ModelFindings runMove(const ModelSettings &settings, uint64_t choice, size_t depth)
{
    ExploredFaults faults(choice, depth, ExploredAt);
    OwnershipModel model(settings, faults);
    model.schedule(ExploredAt, [&model]() { model.setDraining(1, true); });
    model.schedule(ExploredAt + FaultLength, [&model]() { model.setDraining(1, false); });
    model.runUntil(ExploredAt + ExploredLength);
    model.checkServed();
    return model.findings();
}

OwnershipTimes makeModelTimes()
{
    OwnershipTimes times;
    times.settle = milliseconds(300);
    times.platformBound = milliseconds(6000);
    return times;
}

ModelFindings runCell(const ModelSettings &settings, const std::vector<FaultPlan> &plans,
                      uint64_t &struck)
{
    PlannedFaults faults(plans);
    OwnershipModel model(settings, faults);
    model.schedule(ArmedAt, [&model]() { model.setDraining(1, true); });
    model.schedule(ArmedAt + milliseconds(700), [&model]() { model.addNode(); });
    model.schedule(ArmedAt + milliseconds(1500), [&model]() { model.setDraining(1, false); });
    model.schedule(ArmedAt + milliseconds(2000), [&model]() {
        model.crashFor(model.coordinatorIndex() < 0 ? 0 : model.coordinatorIndex(), DownFor);
    });
    model.schedule(ArmedAt + milliseconds(4500), [&model]() { model.crashFor(2, DownFor); });
    model.runUntil(RunLength);
    model.runUntil(RunLength + QuietLength);
    model.checkServed();
    struck += faults.struck();
    return model.findings();
}

ModelFindings runRandom(const ModelSettings &settings, int oneIn, Duration length)
{
    RandomFaults faults(settings.seed * 7919 + 1, oneIn);
    OwnershipModel model(settings, faults);
    model.runUntil(length);
    return model.findings();
}

} // namespace wisteriahoist
