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
#include <thread>

ABSL_FLAG(std::string, seeds, "1..4", "first and last seed, as A..B");
ABSL_FLAG(uint32_t, jobs, 3, "seeds that run at the same time");
ABSL_FLAG(uint32_t, nodes, 8, "nodes of each fleet, at least 8");
ABSL_FLAG(uint32_t, slot, 20, "second number of the loopback addresses; each job takes one");
ABSL_FLAG(std::string, node_binary, "build/release/wisteriahoist", "the program under test");
ABSL_FLAG(std::string, directory, "build/soak",
          "for settings and logs; a clean seed's are removed");
ABSL_FLAG(bool, keep, false, "keep the logs of clean seeds as well");

namespace wisteriahoist::soak {

namespace {

struct SeedRange {
    uint64_t first = 1;
    uint64_t last = 0; ///< Below first: the text was none.
};

SeedRange parseSeeds(const std::string &text)
{
    SeedRange range;
    const size_t dots = text.find("..");
    if (dots == std::string::npos) {
        return range;
    }
    const char *end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), text.data() + dots, range.first);
    const auto last = std::from_chars(text.data() + dots + 2, end, range.last);
    const bool whole = first.ec == std::errc() && last.ec == std::errc() && last.ptr == end;
    return whole ? range : SeedRange{};
}

/** Takes seed after seed until none is left; several workers share the counters. */
class SoakSeries
{
public:
    explicit SoakSeries(SeedRange range) : range_(range), next_(range.first) { }

    void work(uint8_t slot)
    {
        for (uint64_t seed = next_++; seed <= range_.last; seed = next_++) {
            SoakSettings settings;
            settings.nodeBinary = absl::GetFlag(FLAGS_node_binary);
            settings.directory = absl::GetFlag(FLAGS_directory) + "/seed-" + std::to_string(seed);
            settings.seed = seed;
            settings.nodes = absl::GetFlag(FLAGS_nodes);
            settings.slot = slot;
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

    SeedRange range_;
    std::atomic<uint64_t> next_;
    std::mutex lock_;
    uint64_t seeds_ = 0;
    uint64_t violations_ = 0;
    uint64_t requests_ = 0;
    uint64_t faults_ = 0;
};

} // namespace

int runSoak()
{
    const SeedRange range = parseSeeds(absl::GetFlag(FLAGS_seeds));
    const uint32_t jobs = absl::GetFlag(FLAGS_jobs);
    const uint32_t slot = absl::GetFlag(FLAGS_slot);
    if (range.last < range.first || jobs == 0 || slot + jobs > 255 || slot == 0
        || absl::GetFlag(FLAGS_nodes) < 8) {
        std::cerr << "soak: --seeds=A..B, --jobs above 0, --nodes from 8, --slot with room for the "
                     "jobs below 255\n";
        return 2;
    }
    boost::log::core::get()->set_logging_enabled(false);
    SoakSeries series(range);
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
