/** @file soak_run.h One seed of the soak: builds a fleet, carries out its faults, gives the
 * verdict. */

#pragma once

#include "adapter/clock/boot_clock_adapter.h"
#include "soak/fault_plan.h"
#include "soak/soak_callers.h"

#include <fstream>
#include <map>

namespace wisteriahoist::soak {

/** What one seed came to. */
struct SoakResult {
    uint64_t seed = 0;
    uint64_t requests = 0;
    uint64_t answered = 0;
    size_t faults = 0;
    std::vector<std::string> violations;
};

/** One run; it ends only the processes that it has started itself. */
class SoakRun
{
public:
    explicit SoakRun(SoakSettings settings);

    /** Runs to the end. @return The verdict; the directory holds the logs. */
    SoakResult run();

private:
    asio::awaitable<void> tell();
    asio::awaitable<void> carryOut(Fault fault);
    asio::awaitable<void> stopNode(size_t index);
    asio::awaitable<void> restartNode(size_t index, milliseconds after);
    asio::awaitable<bool> waitServed(milliseconds bound);
    asio::awaitable<std::string> probeAll();
    asio::awaitable<void> probe(size_t index, std::vector<std::optional<std::string>> &missing);
    asio::awaitable<void> watchProcesses();
    void setActive(const Fault &fault, bool active);
    void applyState(const Fault &fault, bool on);
    void killHerd(const Fault &fault);
    void startNode(size_t index);
    void startBackend(size_t index);
    void reconfigure();
    void heal();
    void note(const std::string &text);

    SoakSettings settings_;
    asio::io_context context_{1};
    BootClockAdapter clock_;
    TimePoint begun_;
    SoakAudit audit_;
    platform::ObjectStoreStandin store_;
    std::vector<std::unique_ptr<SoakNode>> nodes_;
    SoakCallers callers_;
    FaultPlan plan_;
    std::map<std::pair<FaultKind, size_t>, size_t> active_; ///< Faults in force, by kind and place.
    std::set<size_t> expectedDown_;  ///< Nodes that the soak itself has ended.
    size_t openFaults_ = 0;          ///< Faults and restarts that have not come to their end.
    std::vector<std::string> paths_; ///< Of routes that configurations have added.
    std::string movedTo_;
    uint64_t version_ = 0;
    bool ended_ = false;
    std::ofstream log_;
};

} // namespace wisteriahoist::soak
