/** @file growth.cpp Decision time and memory, and lookup time, as servers and ranges grow. */

#include "growth.h"

#include "decision/placement/balanced_placement.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>

namespace wisteriahoist::measure {

namespace {

using WallClock = std::chrono::steady_clock;
constexpr size_t Lookups = 2000000;
constexpr uint64_t Seed = 20263;

struct Size {
    uint32_t instances;
    uint32_t ranges;
};

double millisecondsSince(WallClock::time_point start)
{
    return std::chrono::duration<double, std::milli>(WallClock::now() - start).count();
}

double lookupNanoseconds(const SliceTable &table)
{
    std::mt19937_64 random(Seed);
    std::vector<KeyHash> hashes;
    for (size_t index = 0; index < 65536; ++index) {
        hashes.emplace_back(random());
    }
    uint64_t sum = 0;
    const auto start = WallClock::now();
    for (size_t index = 0; index < Lookups; ++index) {
        sum += table.find(hashes[index % hashes.size()])->owner.value();
    }
    const double taken = millisecondsSince(start);
    return sum == 1 ? 0 : taken * 1e6 / static_cast<double>(Lookups);
}

std::string measureSize(Size size)
{
    std::mt19937_64 random(Seed);
    std::vector<Slice> slices = SliceTable::makeEven(size.ranges).slices();
    std::vector<SliceLoad> loads;
    for (size_t index = 0; index < slices.size(); ++index) {
        slices[index].owner = NodeId(index % size.instances + 1);
        loads.push_back({slices[index].first, 50 + static_cast<double>(random() % 100)});
    }
    std::vector<InstanceView> instances;
    for (uint32_t index = 0; index < size.instances; ++index) {
        InstanceView view;
        view.id = NodeId(index + 1);
        view.slots = 12;
        view.failureDomain = std::to_string(index % 19);
        instances.push_back(view);
    }
    const SliceTable table(std::move(slices));
    BalancedPlacement policy;
    const auto start = WallClock::now();
    const auto steps = policy.decide({table, loads, {}, instances, {}}, TimePoint(milliseconds(1)));
    const double first = millisecondsSince(start);
    const auto again = WallClock::now();
    (void)policy.decide({table, loads, {}, instances, {}}, TimePoint(std::chrono::seconds(2)));
    const double second = millisecondsSince(again);
    const size_t tableBytes = table.memoryBytes();
    const size_t memory = size.ranges * sizeof(RangeState) + size.instances * sizeof(InstanceState);
    char line[200];
    std::snprintf(line, sizeof line, "%u,%u,%zu,%.2f,%.2f,%zu,%.1f,%.1f", size.instances,
                  size.ranges, steps.size(), first, second, memory / 1024,
                  static_cast<double>(tableBytes) / size.ranges, lookupNanoseconds(table));
    return line;
}

} // namespace

void writeGrowth(const std::filesystem::path &file)
{
    const Size sizes[] = {{4, 64}, {100, 1667}, {1000, 16667}, {6000, 100000}, {18000, 300000}};
    std::ofstream out(file);
    const char *header = "instances,ranges,steps,first_decision_ms,next_decision_ms,state_kb,table_"
                         "bytes_per_range,lookup_ns";
    out << header << '\n';
    std::cout << header << '\n';
    for (const Size size : sizes) {
        const std::string line = measureSize(size);
        out << line << '\n';
        std::cout << line << '\n';
    }
}

} // namespace wisteriahoist::measure
