/** @file fault_driver.cpp Carries out the faults of a plan. */

#include "soak/fault_driver.h"

#include "adapter/clock/sleep_func.h"
#include "standin/task_func.h"

#include <csignal>

namespace wisteriahoist::soak {

namespace {

constexpr milliseconds Step{50};
/** More than half of the fleet, in hundredths. */
constexpr size_t HerdShare = 60;
/** A backend server that leaves has deregistered and ended by then. */
constexpr milliseconds LeaveTime{4000};

} // namespace

FaultDriver::FaultDriver(asio::io_context &context, SoakFleet &fleet,
                         platform::ObjectStoreStandin &store, SoakCallers &callers,
                         SoakAudit &audit, const Clock &clock, SoakLog &log,
                         std::function<void()> reconfigure)
    : context_(context), fleet_(fleet), store_(store), audit_(audit), clock_(clock), log_(log),
      reconfigure_(std::move(reconfigure)), lasting_(fleet, store, callers)
{ }

asio::awaitable<void> FaultDriver::carryOutAll(const FaultPlan &plan)
{
    const TimePoint begun = clock_.now();
    open_ = plan.faults.size();
    for (const Fault &fault : plan.faults) {
        const auto wait = std::chrono::duration_cast<milliseconds>(begun + fault.at - clock_.now());
        co_await sleepFor(std::max(wait, milliseconds(0)));
        startTask(context_, carryOut(fault));
    }
    while (open_ > 0) {
        co_await sleepFor(Step);
    }
}

asio::awaitable<void> FaultDriver::carryOutAnother(Fault fault)
{
    ++open_;
    return carryOut(fault);
}

asio::awaitable<void> FaultDriver::carryOut(Fault fault)
{
    tellOf(fault, clock_.now());
    lasting_.begin(fault);
    if (isMomentary(fault.kind)) {
        actAtOnce(fault);
    } else {
        co_await actForAWhile(fault);
    }
    lasting_.end(fault);
    --open_;
}

/** Promises with a time bound do not count where the audit knows of a fault. */
void FaultDriver::tellOf(const Fault &fault, TimePoint now)
{
    const milliseconds length = isMomentary(fault.kind) ? milliseconds(0) : fault.length;
    log_.note(std::string(faultName(fault.kind)) + " " + std::to_string(fault.target) + " for "
                      + std::to_string(length.count()) + " ms",
              now);
    if (!isPlanned(fault.kind)) {
        const auto where = concernsAll(fault.kind) ? std::nullopt : std::optional(fault.target);
        audit_.onDisturbance(where, now, now + length);
    }
}

void FaultDriver::actAtOnce(const Fault &fault)
{
    SoakNode &node = fleet_.node(fault.target);
    switch (fault.kind) {
    case FaultKind::NodeReload:
        if (fleet_.isSteady(fault.target)) {
            node.signal(SIGHUP);
        }
        break;
    case FaultKind::Reconfigure:
        reconfigure_();
        break;
    case FaultKind::StoreForgets:
        store_.compact();
        break;
    case FaultKind::StoreLinkSilent:
        node.storeLink().silenceOpen();
        break;
    case FaultKind::PeerLinkReset:
        node.peerLink().resetOpen();
        break;
    case FaultKind::PeerLinkSilent:
        node.peerLink().silenceOpen();
        break;
    default:
        break;
    }
}

asio::awaitable<void> FaultDriver::actForAWhile(Fault fault)
{
    switch (fault.kind) {
    case FaultKind::NodeStop:
        if (fleet_.isSteady(fault.target)) {
            co_await fleet_.restartNode(fault.target);
        }
        break;
    case FaultKind::NodeKill:
        if (fleet_.node(fault.target).isRunning()) {
            fleet_.killNode(fault.target);
            co_await fleet_.startNodeAfter(fault.target, fault.length);
        }
        break;
    case FaultKind::NodePause:
        co_await pauseNode(fault);
        break;
    case FaultKind::HerdKill:
        killHerd(fault);
        break;
    case FaultKind::BackendLeave:
        co_await leaveBackend(fault);
        break;
    case FaultKind::BackendKill:
        co_await killBackend(fault);
        break;
    default:
        co_await sleepFor(fault.length);
        break;
    }
}

asio::awaitable<void> FaultDriver::pauseNode(Fault fault)
{
    SoakNode &node = fleet_.node(fault.target);
    node.signal(SIGSTOP);
    co_await sleepFor(fault.length);
    audit_.onNodeThawed(fault.target, clock_.now());
    node.signal(SIGCONT);
}

asio::awaitable<void> FaultDriver::leaveBackend(Fault fault)
{
    fleet_.node(fault.target).backend().leave();
    co_await sleepFor(fault.length + LeaveTime);
    fleet_.startBackend(fault.target);
}

asio::awaitable<void> FaultDriver::killBackend(Fault fault)
{
    fleet_.node(fault.target).backend().kill();
    co_await sleepFor(fault.length);
    fleet_.startBackend(fault.target);
}

void FaultDriver::killHerd(const Fault &fault)
{
    for (size_t index = 0; index < fleet_.size() * HerdShare / 100; ++index) {
        const size_t victim = (fault.target + index) % fleet_.size();
        if (fleet_.node(victim).isRunning()) {
            fleet_.killNode(victim);
            ++open_;
            startTask(context_, startOneOfHerd(victim, fault.length));
        }
    }
}

asio::awaitable<void> FaultDriver::startOneOfHerd(size_t index, milliseconds wait)
{
    co_await fleet_.startNodeAfter(index, wait);
    --open_;
}

} // namespace wisteriahoist::soak
