/** @file micro_benchmark.h Hot functions under Google Benchmark. */

#pragma once

#include <map>
#include <string>

namespace wisteriahoist::bench {

/** Runs all of them. @return Real time of each in nanoseconds, by name. */
std::map<std::string, double> runMicroBenchmarks(const std::string &folder);

} // namespace wisteriahoist::bench
