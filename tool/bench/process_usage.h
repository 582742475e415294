/** @file process_usage.h What a process uses, read from /proc, and a node's metrics page. */

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <sys/types.h>

namespace wisteriahoist::bench {

/** Processor time and memory of a process at one moment. */
struct ProcessUsage {
    double cpuSeconds = 0;                 ///< All threads.
    std::map<std::string, double> threads; ///< Processor seconds by thread name.
    double residentKb = 0;                 ///< RSS, with pages shared with other processes.
    double privateKb = 0;                  ///< Pages of its own.
};

ProcessUsage readUsage(pid_t process);

/** @return The samples of GET /metrics at that port: "name{labels}" to value; empty on failure. */
std::map<std::string, double> readMetrics(uint16_t adminPort);

} // namespace wisteriahoist::bench
