/** @file fault_matrix_main.cpp Every fault at every step, alone and in pairs. */

#include "fault_matrix/fault_cell.h"
#include "fault_matrix/ownership_measure.h"
#include "fault_matrix/safeguard_table.h"

#include <atomic>
#include <cstdio>
#include <cstring>
#include <mutex>
#include <string>
#include <thread>

namespace wisteriahoist {

namespace {

constexpr unsigned Threads = 4;
constexpr uint64_t SinglesSeeds = 6;
constexpr uint64_t MaxPrinted = 20;
constexpr size_t ExplorationDepth = 7;
constexpr size_t QuickDepth = 5;

/** One cell: its faults and the variety of the run. */
struct Cell {
    std::vector<FaultPlan> plans;
    uint64_t seed = 1;
};

std::vector<FaultPlan> allFaults()
{
    std::vector<FaultPlan> faults;
    for (size_t step = 0; step < ProtocolStepCount; ++step) {
        for (size_t fault = 0; fault < FaultKindCount; ++fault) {
            faults.push_back({static_cast<ProtocolStep>(step), static_cast<FaultKind>(fault), 1});
        }
    }
    return faults;
}

std::vector<Cell> makeCells(bool pairs)
{
    std::vector<Cell> cells;
    const std::vector<FaultPlan> faults = allFaults();
    for (const FaultPlan &fault : faults) {
        for (uint64_t seed = 1; seed <= SinglesSeeds; ++seed) {
            FaultPlan plan = fault;
            plan.occurrence = 1 + seed % 3;
            cells.push_back({{plan}, seed});
        }
    }
    for (size_t first = 0; pairs && first < faults.size(); ++first) {
        for (size_t second = first; second < faults.size(); ++second) {
            FaultPlan again = faults[second];
            again.occurrence = again.step == faults[first].step ? 2 : 1;
            cells.push_back({{faults[first], again}, 1 + cells.size() % 1000});
        }
    }
    return cells;
}

/** Odd seeds run five nodes, even ones a cell of three; every third a service that checks nothing.
 */
ModelSettings makeSettings(const Cell &cell)
{
    ModelSettings settings;
    settings.seed = cell.seed;
    settings.times = makeModelTimes();
    settings.nodes = cell.seed % 2 == 1 ? 5 : 3;
    settings.grantMode = cell.seed % 3 == 0 ? GrantMode::Unchecked : GrantMode::Fenced;
    return settings;
}

/** What all cells together gave. */
struct Totals {
    std::mutex mutex;
    ModelFindings findings;
    uint64_t violations = 0; ///< Cells with at least one.
    uint64_t struck = 0;
};

void printCell(const Cell &cell, const ModelFindings &found)
{
    std::printf("violation: seed=%lu", cell.seed);
    for (const FaultPlan &plan : cell.plans) {
        std::printf(" %s@%s#%lu", faultName(plan.fault).data(), stepName(plan.step).data(),
                    plan.occurrence);
    }
    std::printf(" two_owners=%lu epoch_falls=%lu untold=%lu unserved=%lu\n", found.twoOwners,
                found.epochFalls, found.untoldLost, found.unserved);
}

void addCell(Totals &totals, const Cell &cell, const ModelFindings &found, uint64_t struck)
{
    const std::scoped_lock lock(totals.mutex);
    totals.struck += struck;
    for (size_t step = 0; step < ProtocolStepCount; ++step) {
        totals.findings.steps[step] += found.steps[step];
    }
    totals.findings.longestUnserved
            = std::max(totals.findings.longestUnserved, found.longestUnserved);
    if (found.violations() > 0 && ++totals.violations <= MaxPrinted) {
        printCell(cell, found);
    }
}

void runCells(const std::vector<Cell> &cells, Totals &totals)
{
    std::atomic<size_t> next{0};
    const auto work = [&]() {
        for (size_t index = next++; index < cells.size(); index = next++) {
            uint64_t struck = 0;
            const ModelFindings found
                    = runCell(makeSettings(cells[index]), cells[index].plans, struck);
            addCell(totals, cells[index], found, struck);
        }
    };
    std::vector<std::jthread> threads;
    for (unsigned index = 0; index < Threads; ++index) {
        threads.emplace_back(work);
    }
}

/** What a series of random runs found. */
struct RandomSeries {
    uint64_t found = 0; ///< Runs with a violation.
    uint64_t firstSeed = 0;
    uint64_t twoOwners = 0; ///< Runs with two owners.
    uint64_t epochFalls = 0;
    uint64_t untoldLost = 0;
    uint64_t terms = 0;
};

RandomSeries runSeries(const SafeguardSet &safeguards, uint64_t runs, int oneIn)
{
    RandomSeries series;
    std::atomic<uint64_t> next{1};
    std::mutex mutex;
    const auto work = [&]() {
        for (uint64_t seed = next++; seed <= runs; seed = next++) {
            ModelSettings settings = makeSettings({{}, seed});
            settings.safeguards = safeguards;
            const ModelFindings found = runRandom(settings, oneIn, std::chrono::seconds(40));
            const std::scoped_lock lock(mutex);
            series.twoOwners += found.twoOwners > 0 ? 1 : 0;
            series.epochFalls += found.epochFalls > 0 ? 1 : 0;
            series.untoldLost += found.untoldLost > 0 ? 1 : 0;
            series.terms += found.terms;
            if (found.violations() > 0) {
                ++series.found;
                series.firstSeed = series.firstSeed == 0 ? seed : std::min(series.firstSeed, seed);
            }
        }
    };
    std::vector<std::jthread> threads;
    for (unsigned index = 0; index < Threads; ++index) {
        threads.emplace_back(work);
    }
    threads.clear();
    return series;
}

void printSeries(std::string_view name, uint64_t runs, const RandomSeries &series)
{
    std::printf("%s: runs=%lu found=%lu first_seed=%lu two_owners=%lu epoch_falls=%lu untold=%lu "
                "terms=%lu\n",
                name.data(), runs, series.found, series.firstSeed, series.twoOwners,
                series.epochFalls, series.untoldLost, series.terms);
}

/** Random runs without one safeguard at a time: which of them find it missing. */
int runWithout()
{
    constexpr uint64_t Runs = 1500;
    constexpr int OneIn = 150;
    for (const SafeguardEntry &entry : SafeguardTable) {
        SafeguardSet safeguards;
        safeguards.*entry.flag = false;
        printSeries(entry.name, Runs, runSeries(safeguards, Runs, OneIn));
    }
    return 0;
}

/** Long random runs at several densities of faults, all safeguards on. */
int runRandomSeries(uint64_t runs)
{
    uint64_t found = 0;
    for (const int oneIn : {40, 150, 500}) {
        const RandomSeries series = runSeries({}, runs, oneIn);
        printSeries("one fault in " + std::to_string(oneIn), runs, series);
        found += series.found;
    }
    return found == 0 ? 0 : 1;
}

/** Every combination of outcomes of the first transmissions of an election and of a move. */
uint64_t runExploration(size_t depth)
{
    uint64_t combinations = 1;
    for (size_t index = 0; index < depth; ++index) {
        combinations *= ExploredOutcomeCount;
    }
    std::atomic<uint64_t> next{0};
    std::atomic<uint64_t> violations{0};
    const auto work = [&]() {
        for (uint64_t choice = next++; choice < combinations; choice = next++) {
            ModelSettings settings;
            settings.times = makeModelTimes();
            settings.nodes = 3;
            settings.slices = 3;
            violations += runElection(settings, choice, depth).violations() > 0 ? 1 : 0;
            violations += runMove(settings, choice, depth).violations() > 0 ? 1 : 0;
        }
    };
    std::vector<std::jthread> threads;
    for (unsigned index = 0; index < Threads; ++index) {
        threads.emplace_back(work);
    }
    threads.clear();
    std::printf("exploration: combinations=%lu violations=%lu depth=%zu\n", 2 * combinations,
                violations.load(), depth);
    return violations;
}

int runMatrix(bool pairs)
{
    const std::vector<Cell> cells = makeCells(pairs);
    Totals totals;
    runCells(cells, totals);
    totals.violations += runExploration(pairs ? ExplorationDepth : QuickDepth);
    uint64_t untaken = 0;
    for (size_t step = 0; step < ProtocolStepCount; ++step) {
        std::printf("step %s taken=%lu\n", stepName(static_cast<ProtocolStep>(step)).data(),
                    totals.findings.steps[step]);
        untaken += totals.findings.steps[step] == 0 ? 1 : 0;
    }
    std::printf("struck=%lu longest_unserved_ms=%ld steps_never_taken=%lu\n", totals.struck,
                std::chrono::duration_cast<milliseconds>(totals.findings.longestUnserved).count(),
                untaken);
    std::printf("fault-matrix: cells=%zu violations=%lu faults=%zu steps=%zu\n", cells.size(),
                totals.violations, FaultKindCount, ProtocolStepCount);
    return totals.violations == 0 && untaken == 0 ? 0 : 1;
}

} // namespace

} // namespace wisteriahoist

int main(int argc, char **argv)
{
    const bool measure = argc > 1 && std::strcmp(argv[1], "--measure") == 0;
    const bool singles = argc > 1 && std::strcmp(argv[1], "--singles") == 0;
    if (argc > 1 && std::strcmp(argv[1], "--without") == 0) {
        return wisteriahoist::runWithout();
    }
    if (argc > 1 && std::strcmp(argv[1], "--random") == 0) {
        return wisteriahoist::runRandomSeries(argc > 2 ? std::stoul(argv[2]) : 1000);
    }
    return measure ? wisteriahoist::runMeasure() : wisteriahoist::runMatrix(!singles);
}
