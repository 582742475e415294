/** @file fleet_measure.cpp Real nodes of small fleets. */

#include "fleet_measure.h"

#include "core/time_type.h"
#include "process_usage.h"
#include "slope.h"
#include "standin/fleet.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace wisteriahoist::bench {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::array<uint32_t, 4> FleetSizes{3, 6, 12, 24};
constexpr std::chrono::seconds ReadyTimeout{20};
constexpr milliseconds Poll{200};
constexpr milliseconds SettleTime{1500}; ///< After the fleet is ready, so that joins are over.
constexpr milliseconds MeasureTime{4000};
constexpr double CpuBudget = 11;    ///< Milliseconds per second: 1.1% of a core.
constexpr double ByteBudget = 3000; ///< For control, per second.
constexpr uint32_t ConfigChanges = 5;
constexpr milliseconds ChangeInterval{400}; ///< Above a renew interval: each change travels alone.

/** What one node has used since its start. */
struct NodeCount {
    ProcessUsage usage;
    double peerBytes = 0; ///< HTTP/2 bytes, sent and received.
    double platformCalls = 0;
    double platformBytes = 0;
};

/** What one node used over a span. */
struct NodeRate {
    double cpuMsPerSecond = 0;
    double peerBytesPerSecond = 0;
    double platformCallsPerSecond = 0;
    double residentKb = 0;
    double privateKb = 0;
    std::map<std::string, double> threadMsPerSecond;
};

double sumOf(const std::map<std::string, double> &samples, const std::string &prefix)
{
    double sum = 0;
    for (const auto &[name, value] : samples) {
        if (name.starts_with(prefix)) {
            sum += value;
        }
    }
    return sum;
}

NodeCount countNode(const FleetNode &entry)
{
    NodeCount count;
    const std::map<std::string, double> metrics = readMetrics(entry.adminPort);
    count.peerBytes = sumOf(metrics, "wisteriahoist_peer_bytes_total");
    count.platformCalls = sumOf(metrics, "wisteriahoist_platform_calls_total");
    count.platformBytes = sumOf(metrics, "wisteriahoist_platform_written_bytes_total")
                          + sumOf(metrics, "wisteriahoist_platform_read_bytes_total");
    count.usage = readUsage(entry.node->id());
    return count;
}

std::vector<NodeCount> countNodes(Fleet &fleet)
{
    std::vector<NodeCount> counts;
    for (const auto &entry : fleet.nodes()) {
        counts.push_back(countNode(*entry));
    }
    return counts;
}

NodeRate makeRate(const NodeCount &before, const NodeCount &after, double seconds)
{
    NodeRate rate;
    rate.cpuMsPerSecond = (after.usage.cpuSeconds - before.usage.cpuSeconds) * 1000 / seconds;
    rate.peerBytesPerSecond = (after.peerBytes - before.peerBytes) / seconds;
    rate.platformCallsPerSecond = (after.platformCalls - before.platformCalls) / seconds;
    rate.residentKb = after.usage.residentKb;
    rate.privateKb = after.usage.privateKb;
    for (const auto &[name, cpu] : after.usage.threads) {
        const auto found = before.usage.threads.find(name);
        const double earlier = found == before.usage.threads.end() ? 0 : found->second;
        rate.threadMsPerSecond[name] = (cpu - earlier) * 1000 / seconds;
    }
    return rate;
}

/** Waits until each node holds a lease and knows an assignment. */
void waitReady(Fleet &fleet)
{
    const auto end = SteadyClock::now() + ReadyTimeout;
    for (const auto &entry : fleet.nodes()) {
        for (;;) {
            const std::map<std::string, double> metrics = readMetrics(entry->adminPort);
            const bool ready = sumOf(metrics, "wisteriahoist_lease_left_seconds") > 0
                               && sumOf(metrics, "wisteriahoist_owned_ranges") > 0;
            if (ready) {
                break;
            }
            if (SteadyClock::now() > end) {
                throw std::runtime_error("a fleet did not become ready");
            }
            std::this_thread::sleep_for(Poll);
        }
    }
}

/** Writes declarations that differ from one @p change to the next. @return Their folder. */
std::string writeDeclarations(const std::string &folder, uint32_t change)
{
    std::string declarations = folder + "/declarations";
    std::filesystem::create_directories(declarations);
    std::ofstream(declarations + "/profiles.toml")
            << "[[service]]\nname = \"profiles\"\nhost = \"profiles.example\"\n\n"
            << "[service.key_space]\nplace = \"path-segment\"\nsegment = 1\nhash_seed = 7\n"
            << "initial_slices = 384\n\n[[service.route]]\nmethod = \"GET\"\n"
            << "path_prefix = \"/profiles/\"\nkeyed = true\nrepetition = \"idempotent\"\n"
            << "deadline_ms = " << 1000 + change << "\npatience_ms = 300\n";
    return declarations;
}

void applyDeclarations(Fleet &fleet, const std::string &folder, uint32_t change)
{
    const int code = fleet.runOperator(
            {"apply", "--f=" + writeDeclarations(folder, change),
             "--admin_port=" + std::to_string(fleet.nodes().back()->adminPort)});
    if (code != 0) {
        throw std::runtime_error("the declarations were refused");
    }
}

/** Means over the members, and the coordinator: the node that exchanges most bytes with others. */
struct FleetRate {
    NodeRate coordinator;
    NodeRate member;
};

FleetRate splitRoles(std::vector<NodeRate> rates)
{
    const auto busiest = std::max_element(
            rates.begin(), rates.end(), [](const NodeRate &left, const NodeRate &right) {
                return left.peerBytesPerSecond < right.peerBytesPerSecond;
            });
    FleetRate fleet;
    fleet.coordinator = *busiest;
    rates.erase(busiest);
    const auto count = static_cast<double>(rates.size());
    for (const NodeRate &rate : rates) {
        fleet.member.cpuMsPerSecond += rate.cpuMsPerSecond / count;
        fleet.member.peerBytesPerSecond += rate.peerBytesPerSecond / count;
        fleet.member.platformCallsPerSecond += rate.platformCallsPerSecond / count;
        fleet.member.residentKb += rate.residentKb / count;
        fleet.member.privateKb += rate.privateKb / count;
        for (const auto &[name, cpu] : rate.threadMsPerSecond) {
            fleet.member.threadMsPerSecond[name] += cpu / count;
        }
    }
    return fleet;
}

std::vector<NodeRate> measureSpan(Fleet &fleet, const std::function<void()> &during)
{
    const auto started = SteadyClock::now();
    const std::vector<NodeCount> before = countNodes(fleet);
    during();
    const std::vector<NodeCount> after = countNodes(fleet);
    const double seconds = std::chrono::duration<double>(SteadyClock::now() - started).count();
    std::vector<NodeRate> rates;
    for (size_t index = 0; index < before.size(); ++index) {
        rates.push_back(makeRate(before[index], after[index], seconds));
    }
    return rates;
}

void printThreads(const char *role, const NodeRate &rate)
{
    std::cout << "threads of the " << role << ", ms/s:";
    for (const auto &[name, cpu] : rate.threadMsPerSecond) {
        std::cout << " " << name << "=" << cpu;
    }
    std::cout << "\n";
}

/** What one change of the declarations costs a member, beyond what it uses while idle. */
void measureConfigChanges(Fleet &fleet, const FleetRate &idle, const std::string &folder)
{
    const auto started = SteadyClock::now();
    const std::vector<NodeRate> rates = measureSpan(fleet, [&fleet, &folder]() {
        for (uint32_t change = 1; change <= ConfigChanges; ++change) {
            applyDeclarations(fleet, folder, change);
            std::this_thread::sleep_for(ChangeInterval);
        }
    });
    const double seconds = std::chrono::duration<double>(SteadyClock::now() - started).count();
    const FleetRate busy = splitRoles(rates);
    const double perChange = seconds / ConfigChanges;
    std::cout << "config change, member: cpu_ms="
              << (busy.member.cpuMsPerSecond - idle.member.cpuMsPerSecond) * perChange << " bytes="
              << (busy.member.peerBytesPerSecond - idle.member.peerBytesPerSecond) * perChange
              << "; coordinator: cpu_ms="
              << (busy.coordinator.cpuMsPerSecond - idle.coordinator.cpuMsPerSecond) * perChange
              << " bytes="
              << (busy.coordinator.peerBytesPerSecond - idle.coordinator.peerBytesPerSecond)
                         * perChange
              << "\n";
}

FleetRate measureOne(const FleetBench &bench, uint32_t nodes, bool changes)
{
    FleetSettings settings;
    settings.nodeBinary = bench.nodeBinary;
    settings.standinBinary = bench.standinBinary;
    settings.directory = bench.folder + "/fleet-" + std::to_string(nodes);
    settings.nodes = nodes;
    Fleet fleet(settings);
    applyDeclarations(fleet, settings.directory, 0);
    waitReady(fleet);
    std::this_thread::sleep_for(SettleTime);
    FleetRate rate
            = splitRoles(measureSpan(fleet, []() { std::this_thread::sleep_for(MeasureTime); }));
    if (changes) {
        printThreads("coordinator", rate.coordinator);
        printThreads("member", rate.member);
        measureConfigChanges(fleet, rate, settings.directory);
    }
    return rate;
}

/** One point for each fleet: a figure of one role. */
Series makeSeries(const std::string &name, const std::vector<FleetRate> &fleets,
                  const std::function<double(const FleetRate &)> &cost)
{
    Series series{name, "node", {}};
    for (size_t index = 0; index < fleets.size(); ++index) {
        series.points.push_back({static_cast<double>(FleetSizes.at(index)), cost(fleets[index])});
    }
    return series;
}

/** How many members a coordinator can have before it passes @p budget. */
double findCellSize(const Line &line, double budget)
{
    return line.perUnit > 0 ? (budget - line.fixed) / line.perUnit : INFINITY;
}

void reportSlopes(const std::vector<FleetRate> &fleets, const std::string &folder)
{
    const Line cpu = report(
            makeSeries("coordinator_cpu_ms_per_s", fleets,
                       [](const FleetRate &fleet) { return fleet.coordinator.cpuMsPerSecond; }),
            folder);
    report(makeSeries("member_cpu_ms_per_s", fleets,
                      [](const FleetRate &fleet) { return fleet.member.cpuMsPerSecond; }),
           folder);
    const Line bytes = report(
            makeSeries("coordinator_bytes_per_s", fleets,
                       [](const FleetRate &fleet) { return fleet.coordinator.peerBytesPerSecond; }),
            folder);
    report(makeSeries("member_bytes_per_s", fleets,
                      [](const FleetRate &fleet) { return fleet.member.peerBytesPerSecond; }),
           folder);
    report(makeSeries("coordinator_private_kb", fleets,
                      [](const FleetRate &fleet) { return fleet.coordinator.privateKb; }),
           folder);
    report(makeSeries("member_private_kb", fleets,
                      [](const FleetRate &fleet) { return fleet.member.privateKb; }),
           folder);
    report(makeSeries(
                   "coordinator_platform_calls_per_s", fleets,
                   [](const FleetRate &fleet) { return fleet.coordinator.platformCallsPerSecond; }),
           folder);
    std::cout << "cell size within 1.1% of a core: " << findCellSize(cpu, CpuBudget)
              << ", within 3 KB/s at the coordinator: " << findCellSize(bytes, ByteBudget) << "\n";
}

} // namespace

IdleNode measureFleets(const FleetBench &bench)
{
    std::vector<FleetRate> fleets;
    for (const uint32_t size : FleetSizes) {
        fleets.push_back(measureOne(bench, size, size == FleetSizes.back()));
    }
    reportSlopes(fleets, bench.folder);
    const NodeRate &member = fleets.back().member;
    return {member.residentKb, member.privateKb, member.cpuMsPerSecond / 10,
            member.peerBytesPerSecond};
}

} // namespace wisteriahoist::bench
