/** @file signals_settings.h The table [signals] of a node's settings: log and traces. */

#pragma once

#include "adapter/log/log_type.h"
#include "adapter/settings/toml_reader.h"
#include "adapter/trace/trace_settings.h"

namespace wisteriahoist {

/** How a node tells what it does. */
struct SignalsSettings {
    LogSeverity severity = LogSeverity::Info; ///< Less severe events are not logged.
    TraceSettings trace;
};

/** Reads the table; what is wrong becomes a finding of @p reader. */
SignalsSettings readSignals(TomlReader &reader);

} // namespace wisteriahoist
