/** @file measure_main.cpp Placement against its baselines over every trace; CSV and one line. */

#include "growth.h"
#include "score.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace wisteriahoist::measure {

namespace {

constexpr uint64_t TraceSeed = 20261;
constexpr uint64_t CountSeed = 20262;

/** Means over all traces, for one contender. */
struct Totals {
    std::string contender;
    double imbalance = 0;
    double bound = 0;
    double churn = 0;
    double unavailable = 0;
    size_t traces = 0;

    void add(const Score &score)
    {
        contender = score.contender;
        imbalance += score.imbalance;
        bound += score.bound;
        churn += score.churnLoad;
        unavailable += score.unavailablePerKey;
        ++traces;
    }
    double meanOf(double sum) const { return sum / static_cast<double>(traces); }
};

void writeRow(std::ostream &out, const Score &score)
{
    char line[256];
    std::snprintf(line, sizeof line, "%s,%s,%.3f,%.3f,%.3f,%.3f,%.4f,%.4f,%.4f,%.4f,%.1f,%.1f",
                  score.trace.c_str(), score.contender.c_str(), score.imbalance, score.bound,
                  score.steadyRatio, score.worstAfter60, score.churnKeys, score.churnLoad,
                  score.calmChurn, score.leastLoad, score.unavailable, score.unavailablePerKey);
    out << line << '\n';
}

void printSummary(const std::vector<Totals> &totals)
{
    const Totals &own = totals.front();
    const Totals *even = nullptr;
    const Totals *calm = nullptr;
    for (size_t index = 1; index < totals.size(); ++index) {
        const Totals &other = totals[index];
        even = even == nullptr || other.imbalance < even->imbalance ? &other : even;
        calm = calm == nullptr || other.churn < calm->churn ? &other : calm;
    }
    std::printf("measure: imbalance=%.3f bound=%.3f churn=%.4f unavailable_ms=%.1f "
                "best_baseline_imbalance=%.3f best_baseline_churn=%.4f\n",
                own.meanOf(own.imbalance), own.meanOf(own.bound), own.meanOf(own.churn),
                own.meanOf(own.unavailable), even->meanOf(even->imbalance),
                calm->meanOf(calm->churn));
}

int run(const std::filesystem::path &folder)
{
    std::filesystem::create_directories(folder);
    std::ofstream file(folder / "placement.csv");
    const char *header = "trace,contender,imbalance,bound,steady_ratio,worst_ratio_after_60s,"
                         "churn_keys,churn_load,calm_churn_load,least_load,unavailable_key_s,"
                         "unavailable_ms_per_key";
    file << header << '\n';
    std::cout << header << '\n';
    std::vector<Totals> totals(4);
    for (const Trace &trace : makeTraces(TraceSeed)) {
        std::unique_ptr<Contender> contenders[]
                = {makeBalanced(), makeNeverMoves(), makeRing(), makeBoundedRing()};
        for (size_t index = 0; index < totals.size(); ++index) {
            const Score score = runTrace(trace, *contenders[index], CountSeed);
            totals[index].add(score);
            writeRow(file, score);
            writeRow(std::cout, score);
        }
    }
    writeGrowth(folder / "growth.csv");
    printSummary(totals);
    return file.good() ? 0 : 1;
}

} // namespace

} // namespace wisteriahoist::measure

int main(int argc, char **argv)
{
    return wisteriahoist::measure::run(argc > 1 ? argv[1] : "build/measure");
}
