/** @file span_sink.h Where batches of spans go: a collector over HTTP, or a file. */

#pragma once

#include "adapter/http/http_client.h"
#include "core/failure_type.h"

#include <memory>
#include <string>

namespace wisteriahoist {

/** Takes one encoded batch at a time. Runs on the exporter's thread. */
class SpanSink
{
public:
    virtual ~SpanSink() = default;

    /** @return Whether the batch was taken over. */
    virtual asio::awaitable<bool> write(std::string batch) = 0;
};

/** Where to export to; both empty: spans are not recorded. */
struct TraceSettings {
    double sampleShare = 0; ///< Of the requests that come without a traceparent, from 0 to 1.
    std::string otlpIp;     ///< Collector's IP number; empty: none.
    uint16_t otlpPort = 0;
    std::string file; ///< One batch a line; empty: none.

    bool isEnabled() const { return !otlpIp.empty() || !file.empty(); }
};

/** @return The sink that @p settings name. @pre settings.isEnabled() */
std::unique_ptr<SpanSink> makeSpanSink(const TraceSettings &settings,
                                       asio::any_io_executor executor);

} // namespace wisteriahoist
