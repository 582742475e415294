/** @file soak_main.cpp The command line of the soak: seeds, jobs, where the logs go. */

#include "soak/soak_run.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <atomic>
#include <boost/log/core.hpp>
#include <charconv>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>

ABSL_FLAG(std::string, seeds, "1..4", "seeds, like 3,7..9");
ABSL_FLAG(uint32_t, jobs, 3, "seeds that run at the same time");
ABSL_FLAG(uint32_t, nodes, 8, "nodes of each fleet, at least 8");
ABSL_FLAG(uint32_t, slot, 20, "second number of the loopback addresses; each job takes one");
ABSL_FLAG(std::string, node_binary, "build/release/wisteriahoist", "the program under test");
ABSL_FLAG(std::string, directory, "build/soak",
          "for settings and logs; a clean seed's are removed");
ABSL_FLAG(bool, by_heartbeat, false,
          "keys are granted in the answers to heartbeats, and backend servers start again under "
          "their ids");
ABSL_FLAG(bool, crashing_requests, false,
          "some callers repeat requests under which backend servers crash");
ABSL_FLAG(bool, named_limits, false,
          "backend servers name limits of requests per second, one after the other");
ABSL_FLAG(bool, announced_leaving, false,
          "backend servers leave, one after the other, that say so first in their answers");
ABSL_FLAG(bool, frequent_changes, false, "the configuration changes every second or so");
ABSL_FLAG(bool, endless_answers, false,
          "backend servers, one after the other, send bytes that end only with the connection");
ABSL_FLAG(bool, second_answers, false,
          "backend servers, one after the other, reject requests and send answers a second time");
ABSL_FLAG(bool, large_bodies, false, "callers at two nodes send bodies of many megabytes");
ABSL_FLAG(bool, late_reports, false,
          "backend servers leave while the store is down, their nodes are killed right after it, "
          "and a heartbeat of before arrives late");
ABSL_FLAG(bool, all_lost, false,
          "with --late_reports: the processes of all nodes are killed, not only that one");
ABSL_FLAG(uint32_t, memory_mb, 0, "memory that a node may use; 0: not checked");
ABSL_FLAG(bool, power_loss, false,
          "after the other faults all nodes and backend servers are lost at once, right after a "
          "change of the configuration, and start on slow links");
ABSL_FLAG(uint32_t, callers, 3, "callers at each node; fewer of them make a large fleet light");
ABSL_FLAG(uint32_t, strong_nodes, 0,
          "nodes that are preferred as feeders and are the targets of half of the faults");
ABSL_FLAG(bool, keep, false, "keep the logs of clean seeds as well");

namespace wisteriahoist::soak {

namespace {

constexpr uint64_t BytesPerMegabyte = 1000 * 1000;

/** @return The number that @p text is; nothing if it is none. */
std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    return whole ? std::optional(number) : std::nullopt;
}

/** @return The seeds of a list like 3,7..9; empty if it can't be read. */
std::vector<uint64_t> parseSeeds(std::string_view text)
{
    std::vector<uint64_t> seeds;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const size_t dots = part.find("..");
        const auto first = parseNumber(part.substr(0, dots));
        const auto last
                = dots == std::string_view::npos ? first : parseNumber(part.substr(dots + 2));
        if (!first || !last || *last < *first) {
            return {};
        }
        for (uint64_t seed = *first; seed <= *last; ++seed) {
            seeds.push_back(seed);
        }
    }
    return seeds;
}

/** Takes seed after seed until none is left; several workers share the counters. */
class SoakSeries
{
public:
    explicit SoakSeries(std::vector<uint64_t> seeds) : wanted_(std::move(seeds)) { }

    void work(uint8_t slot)
    {
        for (size_t next = next_++; next < wanted_.size(); next = next_++) {
            const uint64_t seed = wanted_[next];
            SoakSettings settings;
            settings.nodeBinary = absl::GetFlag(FLAGS_node_binary);
            settings.directory = absl::GetFlag(FLAGS_directory) + "/seed-" + std::to_string(seed);
            settings.seed = seed;
            settings.nodes = absl::GetFlag(FLAGS_nodes);
            settings.slot = slot;
            settings.grantsByHeartbeat = absl::GetFlag(FLAGS_by_heartbeat);
            settings.namedLimits = absl::GetFlag(FLAGS_named_limits);
            settings.announcedLeaving = absl::GetFlag(FLAGS_announced_leaving);
            settings.crashingRequests = absl::GetFlag(FLAGS_crashing_requests);
            settings.frequentChanges = absl::GetFlag(FLAGS_frequent_changes);
            settings.endlessAnswers = absl::GetFlag(FLAGS_endless_answers);
            settings.secondAnswers = absl::GetFlag(FLAGS_second_answers);
            settings.largeBodies = absl::GetFlag(FLAGS_large_bodies);
            settings.lateReports = absl::GetFlag(FLAGS_late_reports);
            settings.allLost = absl::GetFlag(FLAGS_all_lost);
            settings.memoryBound = absl::GetFlag(FLAGS_memory_mb) * BytesPerMegabyte;
            settings.powerLoss = absl::GetFlag(FLAGS_power_loss);
            settings.callersPerNode = absl::GetFlag(FLAGS_callers);
            settings.strongNodes = absl::GetFlag(FLAGS_strong_nodes);
            SoakRun run(settings);
            record(run.run(), settings.directory);
        }
    }

    int finish() const
    {
        std::cout << "soak: seeds=" << seeds_ << " violations=" << violations_
                  << " requests=" << requests_ << " faults=" << faults_ << std::endl;
        return violations_ == 0 && seeds_ > 0 ? 0 : 1;
    }

private:
    void record(const SoakResult &result, const std::string &directory)
    {
        const std::lock_guard guard(lock_);
        ++seeds_;
        violations_ += result.violations.size();
        requests_ += result.requests;
        faults_ += result.faults;
        std::cout << "seed " << result.seed << ": requests " << result.requests << ", answered "
                  << result.answered << ", faults " << result.faults << ", violations "
                  << result.violations.size() << std::endl;
        for (const std::string &violation : result.violations) {
            std::cout << "  " << violation << std::endl;
        }
        if (result.violations.empty() && !absl::GetFlag(FLAGS_keep)) {
            std::filesystem::remove_all(directory);
        }
    }

    std::vector<uint64_t> wanted_;
    std::atomic<size_t> next_{0}; ///< Index of the seed that is taken next.
    std::mutex lock_;
    uint64_t seeds_ = 0;
    uint64_t violations_ = 0;
    uint64_t requests_ = 0;
    uint64_t faults_ = 0;
};

} // namespace

int runSoak()
{
    std::vector<uint64_t> seeds = parseSeeds(absl::GetFlag(FLAGS_seeds));
    const uint32_t jobs = absl::GetFlag(FLAGS_jobs);
    const uint32_t slot = absl::GetFlag(FLAGS_slot);
    if (seeds.empty() || jobs == 0 || slot + jobs > 255 || slot == 0
        || absl::GetFlag(FLAGS_nodes) < 8) {
        std::cerr << "soak: --seeds like 3,7..9, --jobs above 0, --nodes from 8, --slot with room "
                     "for the "
                     "jobs below 255\n";
        return 2;
    }
    boost::log::core::get()->set_logging_enabled(false);
    SoakSeries series(std::move(seeds));
    std::vector<std::thread> workers;
    for (uint32_t job = 0; job < jobs; ++job) {
        workers.emplace_back(
                [&series, slot, job]() { series.work(static_cast<uint8_t>(slot + job)); });
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
    return series.finish();
}

} // namespace wisteriahoist::soak

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
            "real nodes under random faults; each promise is checked meanwhile");
    absl::ParseCommandLine(argc, argv);
    return wisteriahoist::soak::runSoak();
}
