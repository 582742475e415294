/** @file soak_run.h One seed of the soak: builds a fleet, carries out its faults, gives the
 * verdict. */

#pragma once

#include "adapter/clock/boot_clock_adapter.h"
#include "soak/fault_driver.h"
#include "soak/soak_configuration.h"

namespace wisteriahoist::soak {

/** What one seed came to. */
struct SoakResult {
    uint64_t seed = 0;
    uint64_t requests = 0;
    uint64_t answered = 0;
    size_t faults = 0;
    std::vector<std::string> violations;
};

/** One run. */
class SoakRun
{
public:
    explicit SoakRun(SoakSettings settings);

    /** Runs to the end. @return The verdict; the directory holds the logs. */
    SoakResult run();

private:
    /** From the first start to the last check. */
    asio::awaitable<void> play();
    void startAll();
    void addCrashingCallers();
    /** One backend server after the other names a limit for a while, until the load ends. */
    asio::awaitable<void> nameLimits();
    /** One backend server after the other says in its answers that it leaves, and leaves later. */
    asio::awaitable<void> announceLeaving();
    /** One backend server after the other sends bytes without end, until the load ends. */
    asio::awaitable<void> sendEndless();
    /** One backend server after the other rejects requests and sends answers twice. */
    asio::awaitable<void> answerTwice();
    /** One backend server after the other leaves while the store is down; its node is killed right
     *  after the acknowledgement. */
    asio::awaitable<void> leaveDuringOutages();
    asio::awaitable<void> watchMemory();
    /** Writes one configuration after the other, until the load ends. */
    asio::awaitable<void> changeOften();
    /** Ends all nodes and backend servers at once and starts them on slow links. */
    asio::awaitable<void> loseAll();
    asio::awaitable<void> waitUnlessHealed(milliseconds length);
    void nameLimit(size_t index, std::optional<double> limit);
    /** Ends the load and waits for the last answers; what was refused may not run even then. */
    asio::awaitable<void> endLoad();
    SoakResult makeResult();

    /** @return Whether every node served everything before @p bound was over. */
    asio::awaitable<bool> waitServed(milliseconds bound);
    void reconfigure();
    void note(const std::string &text) { log_.note(text, clock_.now()); }

    SoakSettings settings_;
    asio::io_context context_{1};
    BootClockAdapter clock_;
    SoakLog log_;
    SoakAudit audit_;
    platform::ObjectStoreStandin store_;
    SoakFleet fleet_;
    SoakCallers callers_;
    FaultPlan plan_;
    SoakConfiguration configuration_;
    FaultDriver driver_;
    std::mt19937_64 random_; ///< Of what the plan does not hold.
    bool healed_ = false;
};

} // namespace wisteriahoist::soak
