/** @file signals_settings.h The table [signals] of a node's settings: logging and tracing. */

#pragma once

#include "adapter/log/log_type.h"
#include "adapter/settings/toml_reader.h"
#include "adapter/trace/trace_settings.h"

namespace wisteriahoist {

/** Logging and tracing settings of a node. */
struct SignalsSettings {
    LogSeverity severity = LogSeverity::Info; ///< Lowest severity that is logged.
    TraceSettings trace;
};

/** Reads the table; problems are added to the findings of @p reader. */
SignalsSettings readSignals(TomlReader &reader);

} // namespace wisteriahoist
