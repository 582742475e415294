/** @file event_log.h Structured log: one JSON line for each change of state, over Boost.Log. */

#pragma once

#include "adapter/log/log_type.h"

#include <chrono>
#include <ostream>
#include <string>

namespace wisteriahoist {

/**
 * Logs a change of state. May be called from any duty thread; it does not wait for the output: a
 * full queue drops the line.
 */
void logEvent(LogEvent event, LogFields fields = {});

/** @return The line for an event: time, severity, event, then the fields in their order. */
std::string formatLogLine(LogEvent event, LogFields fields,
                          std::chrono::system_clock::time_point time);

/** Writes log lines to a stream while it exists; without one, nothing is logged. */
class LogOutput
{
public:
    /** @param least Events below it are dropped. @pre @p stream outlives this object. */
    LogOutput(std::ostream &stream, LogSeverity least);

    /** Writes what is queued and ends the writing thread. */
    ~LogOutput();
    LogOutput(const LogOutput &) = delete;
    LogOutput &operator=(const LogOutput &) = delete;
};

} // namespace wisteriahoist
