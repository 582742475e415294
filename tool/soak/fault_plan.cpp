/** @file fault_plan.cpp The faults and the planned work of one seed. */

#include "soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace wisteriahoist::soak {

namespace {

constexpr milliseconds Horizon{14000}; ///< Faults begin before that.
constexpr uint64_t CalmEvery = 4;
constexpr size_t LeastFaults = 5;
constexpr size_t MostFaults = 12;
constexpr milliseconds ShortestFault{300};
constexpr milliseconds LongestFault{6000};
constexpr milliseconds SeriesGap{1200}; ///< Between the parts of a series of one kind.
constexpr size_t LongestSeries = 3;

constexpr std::array<std::string_view, FaultKindCount> Names{
        "node-stop",         "node-reload",
        "backend-leave",     "reconfigure",
        "node-kill",         "node-pause",
        "herd-kill",         "backend-kill",
        "backend-slow",      "backend-loses-answers",
        "backend-garbles",   "backend-fails",
        "backend-lies",      "orders-unanswered",
        "orders-late",       "store-down",
        "store-slow",        "store-loses-answers",
        "store-writes-late", "store-refuses-node",
        "store-forgets",     "store-link-cut",
        "store-link-silent", "peer-link-delay",
        "peer-link-reset",   "peer-link-silent",
        "peer-link-cut-in",  "peer-link-cut-out",
        "callers-leave"};

} // namespace

std::string_view faultName(FaultKind kind)
{
    return Names[static_cast<size_t>(kind)];
}

bool isPlanned(FaultKind kind)
{
    return kind <= FaultKind::Reconfigure;
}

bool isMomentary(FaultKind kind)
{
    switch (kind) {
    case FaultKind::NodeReload:
    case FaultKind::Reconfigure:
    case FaultKind::StoreForgets:
    case FaultKind::StoreLinkSilent:
    case FaultKind::PeerLinkReset:
    case FaultKind::PeerLinkSilent:
        return true;
    default:
        return false;
    }
}

bool concernsAll(FaultKind kind)
{
    switch (kind) {
    case FaultKind::HerdKill:
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesAnswers:
    case FaultKind::StoreWritesLate:
    case FaultKind::StoreForgets:
    case FaultKind::CallersLeave:
        return true;
    default:
        return false;
    }
}

FaultPlan makeFaultPlan(uint64_t seed, size_t nodes)
{
    std::mt19937_64 random(seed);
    const auto draw = [&random](uint64_t below) { return random() % below; };
    FaultPlan plan;
    plan.calm = seed % CalmEvery == 0;
    const uint64_t kinds
            = plan.calm ? static_cast<uint64_t>(FaultKind::Reconfigure) + 1 : FaultKindCount;
    const size_t wanted = LeastFaults + draw(MostFaults - LeastFaults + 1);
    while (plan.faults.size() < wanted) {
        Fault fault;
        fault.kind = static_cast<FaultKind>(draw(kinds));
        fault.at = milliseconds(draw(static_cast<uint64_t>(Horizon.count())));
        const size_t series = 1 + draw(LongestSeries);
        for (size_t part = 0; part < series; ++part) {
            fault.target = draw(nodes);
            fault.length = ShortestFault
                           + milliseconds(draw(
                                   static_cast<uint64_t>((LongestFault - ShortestFault).count())));
            plan.faults.push_back(fault);
            fault.at += SeriesGap;
        }
    }
    std::stable_sort(plan.faults.begin(), plan.faults.end(),
                     [](const Fault &left, const Fault &right) { return left.at < right.at; });
    return plan;
}

FaultPlan aimAtFirst(FaultPlan plan, size_t nodes)
{
    for (size_t index = 0; nodes > 0 && index < plan.faults.size(); index += 2) {
        plan.faults[index].target %= nodes;
    }
    return plan;
}

} // namespace wisteriahoist::soak
