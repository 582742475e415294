/** @file trace_settings.h Which requests are traced, and where their spans go. */

#pragma once

#include <cstdint>
#include <string>

namespace wisteriahoist {

/** Address and file both empty: nothing is recorded, contexts are still passed on. */
struct TraceSettings {
    double sampleRatio = 0; ///< Of the requests that come without a traceparent, from 0 to 1.
    std::string otlpIp;     ///< Collector's IP number; empty: none.
    uint16_t otlpPort = 0;
    std::string file; ///< One batch a line; empty: none.

    bool isEnabled() const { return !otlpIp.empty() || !file.empty(); }
};

} // namespace wisteriahoist
