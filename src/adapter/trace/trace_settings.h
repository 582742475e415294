/** @file trace_settings.h Settings of trace sampling and export. */

#pragma once

#include <cstdint>
#include <string>

namespace wisteriahoist {

/** If address and file are both empty, no spans are recorded; trace contexts are still propagated.
 */
struct TraceSettings {
    double sampleRatio = 0; ///< Fraction of the requests without a traceparent, from 0 to 1.
    std::string otlpIp;     ///< IP address of the collector; empty: none.
    uint16_t otlpPort = 0;
    std::string file; ///< Output file, one batch per line; empty: none.

    bool isEnabled() const { return !otlpIp.empty() || !file.empty(); }
};

} // namespace wisteriahoist
