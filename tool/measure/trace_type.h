/** @file trace_type.h Traces: keys, their rates over time, and what happens to the instances. */

#pragma once

#include "core/id_type.h"
#include "decision/placement/placement_type.h"

#include <functional>
#include <string>
#include <vector>

namespace wisteriahoist::measure {

using std::chrono::seconds;

/** What goes wrong with the load reports. */
struct ReportFault {
    seconds lag{1};                                 ///< Age of every report.
    seconds from{0};                                ///< Lies and silence start here.
    std::vector<std::pair<NodeId, double>> factors; ///< What an instance reports, over the truth.
    bool silent = false;                            ///< No reports at all from then on.
};

/** The time in which load or instances change. */
struct Shift {
    seconds start{0};
    seconds end{0};
};

/** One trace: deterministic but for the counts drawn from its seed. */
struct Trace {
    std::string name;
    seconds length{300};
    uint32_t ranges = 0;
    PlacementWeights weights;
    std::vector<KeyHash> keys;                                 ///< Sorted.
    std::function<void(seconds, std::vector<double> &)> rates; ///< Requests per second by key.
    std::function<std::vector<InstanceView>(seconds)> instances;
    std::vector<Shift> shifts; ///< Judged from 60 s after the end of each.
    ReportFault reports;
};

/** @return Every trace of the project; @p seed fixes keys and popularity. */
std::vector<Trace> makeTraces(uint64_t seed);

} // namespace wisteriahoist::measure
