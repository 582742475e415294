/** @file trace_log.h Joins the log lines of several processes into the story of one request. */

#pragma once

#include "core/failure_type.h"
#include "core/time_type.h"

#include <string>
#include <vector>

namespace wisteriahoist {

/** One process's log. */
struct LogSource {
    std::string name;               ///< Shown in front of its lines.
    std::vector<std::string> lines; ///< JSON, as the processes write them; other lines are skipped.
};

/**
 * @param request The caller's attempt id.
 * @param margin How long before the first and after the last line of the request changes of what
 *        the processes believed are shown too: they are what decided it.
 * @return Lines of the request and of its nested calls, and those changes, in order of time, each
 *         as SOURCE LINE; NotFound if no source has a line of the request.
 */
Result<std::vector<std::string>> traceRequest(const std::vector<LogSource> &sources,
                                              const std::string &request, milliseconds margin);

/** The command: prints the story of @p request in @p files. @return The exit code. */
int runTraceLog(const std::string &request, const std::vector<std::string> &files);

} // namespace wisteriahoist
