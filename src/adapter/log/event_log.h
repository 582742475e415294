/** @file event_log.h Structured logging: one JSON line per event, over Boost.Log. */

#pragma once

#include "adapter/log/log_type.h"

#include <chrono>
#include <ostream>
#include <string>

namespace wisteriahoist {

/**
 * Logs an event. May be called from any thread and never blocks on the output: if the queue is full
 * the line is dropped.
 */
void logEvent(LogEvent event, LogFields fields = {});

/** @return The JSON line of an event: time, severity, event, then @p fields in order. */
std::string formatLogLine(LogEvent event, LogFields fields,
                          std::chrono::system_clock::time_point time);

/** Writes log lines to a stream during its lifetime; without an instance, nothing is logged. */
class LogOutput
{
public:
    /** @param threshold Minimum severity to log. @pre @p stream outlives this object. */
    LogOutput(std::ostream &stream, LogSeverity threshold);

    /** Writes the queued lines and stops the writer thread. */
    ~LogOutput();
    LogOutput(const LogOutput &) = delete;
    LogOutput &operator=(const LogOutput &) = delete;
};

} // namespace wisteriahoist
