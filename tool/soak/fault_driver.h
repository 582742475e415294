/** @file fault_driver.h Carries out the faults of a plan, each at its time. */

#pragma once

#include "soak/lasting_faults.h"

#include <functional>

namespace wisteriahoist::soak {

/** Faults overlap: each is a coroutine of its own. */
class FaultDriver
{
public:
    /** @param reconfigure Writes the next configuration. */
    FaultDriver(asio::io_context &context, SoakFleet &fleet, platform::ObjectStoreStandin &store,
                SoakCallers &callers, SoakAudit &audit, const Clock &clock, SoakLog &log,
                std::function<void()> reconfigure);

    /** @return Once the last fault, and each restart that followed from one, is over. */
    asio::awaitable<void> carryOutAll(const FaultPlan &plan);

    /** Carries out one more fault. */
    asio::awaitable<void> carryOutAnother(Fault fault);

private:
    asio::awaitable<void> carryOut(Fault fault);
    void tellOf(const Fault &fault, TimePoint now);
    void actAtOnce(const Fault &fault);
    asio::awaitable<void> actForAWhile(Fault fault);
    asio::awaitable<void> pauseNode(Fault fault);
    asio::awaitable<void> leaveBackend(Fault fault);
    asio::awaitable<void> killBackend(Fault fault);
    void killHerd(const Fault &fault);
    asio::awaitable<void> startOneOfHerd(size_t index, milliseconds wait);

    asio::io_context &context_;
    SoakFleet &fleet_;
    platform::ObjectStoreStandin &store_;
    SoakAudit &audit_;
    const Clock &clock_;
    SoakLog &log_;
    std::function<void()> reconfigure_;
    LastingFaults lasting_;
    size_t open_ = 0; ///< Faults and restarts that have not come to their end.
};

} // namespace wisteriahoist::soak
