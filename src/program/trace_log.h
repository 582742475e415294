/** @file trace_log.h Merges the log lines of one request from several processes. */

#pragma once

#include "core/failure_type.h"
#include "core/time_type.h"

#include <string>
#include <vector>

namespace wisteriahoist {

/** The log of one process. */
struct LogSource {
    std::string name;               ///< Prefix of its lines in the output.
    std::vector<std::string> lines; ///< JSON lines; other lines are skipped.
};

/**
 * @param request The caller's attempt id.
 * @param margin State changes logged up to this long before the first and after the last line of
 * the request are included, since they determine its routing.
 * @return Lines of the request, of its nested calls and of those changes, ordered by time, each as
 * SOURCE LINE; NotFound if no source has a line of the request.
 */
Result<std::vector<std::string>> traceRequest(const std::vector<LogSource> &sources,
                                              const std::string &request, milliseconds margin);

/** The trace-log command: prints the lines of @p request in @p files. @return The exit code. */
int runTraceLog(const std::string &request, const std::vector<std::string> &files);

} // namespace wisteriahoist
