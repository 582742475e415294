/** @file bench_main.cpp Micro-benchmarks, state of the roles, and real nodes; one line of figures.
 */

#include "fleet_measure.h"
#include "micro_benchmark.h"
#include "role_state.h"

#include <cmath>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace {

constexpr int LookupSlices = 300000; ///< A size that micro_benchmark.cpp measures.
constexpr double NanosecondsPerMicrosecond = 1000;

double timeOf(const std::map<std::string, double> &times, const std::string &prefix)
{
    const auto found = times.lower_bound(prefix);
    if (found == times.end() || !found->first.starts_with(prefix)) {
        throw std::runtime_error(prefix + " was not measured");
    }
    return found->second;
}

double round2(double value)
{
    return std::round(value * 100) / 100;
}

} // namespace

/** Arguments: the node's binary, the stand-ins' binary, the folder for CSV files. */
int main(int argc, char **argv)
{
    using namespace wisteriahoist::bench;
    if (argc != 4) {
        std::cerr << "usage: wisteriahoist-bench NODE_BINARY STANDIN_BINARY FOLDER\n";
        return 2;
    }
    try {
        const FleetBench fleet{argv[1], argv[2], argv[3]};
        std::filesystem::create_directories(fleet.folder);
        const std::map<std::string, double> times = runMicroBenchmarks(fleet.folder);
        measureRoleState(fleet.folder);
        const IdleNode idle = measureFleets(fleet);
        std::cout << "member of the largest fleet: private_kb=" << round2(idle.privateKb) << "\n"
                  << "bench: lookup_ns="
                  << round2(timeOf(times, "lookupSlice/" + std::to_string(LookupSlices)))
                  << " lookup_slices=" << LookupSlices << " hop_us="
                  << round2(timeOf(times, "hopOverLoopback") / NanosecondsPerMicrosecond)
                  << " rss_kb=" << std::round(idle.residentKb)
                  << " idle_cpu_pct=" << round2(idle.cpuPercent)
                  << " control_bytes_s=" << std::round(idle.controlBytes) << std::endl;
    } catch (const std::exception &error) {
        std::cerr << "bench: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
