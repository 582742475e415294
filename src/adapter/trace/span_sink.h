/** @file span_sink.h Interface: destination of exported spans, a collector over HTTP or a file. */

#pragma once

#include "adapter/http/http_client.h"
#include "adapter/trace/trace_settings.h"

#include <memory>
#include <string>

namespace wisteriahoist {

/** Writes encoded batches, one at a time. Runs on the exporter's thread. */
class SpanSink
{
public:
    virtual ~SpanSink() = default;

    /** @return Whether the batch was accepted. */
    virtual asio::awaitable<bool> write(std::string batch) = 0;
};

/** @return The sink selected by @p settings. @pre settings.isEnabled() */
std::unique_ptr<SpanSink> makeSpanSink(const TraceSettings &settings,
                                       asio::any_io_executor executor);

} // namespace wisteriahoist
