/** @file otlp_encoder.h Spans in the JSON form of OTLP/HTTP (ExportTraceServiceRequest). */

#pragma once

#include "adapter/trace/span_type.h"
#include "core/id_type.h"

#include <vector>

namespace wisteriahoist {

/** The process that the spans come from. */
struct SpanResource {
    NodeId node;
    std::string failureDomain;
    std::string build;
    std::chrono::system_clock::time_point bootAt; ///< Wall time at the clock's origin.
};

std::string_view spanStepName(SpanStep step);

/** @return The body of a POST to /v1/traces: ids in hexadecimal, times as strings. */
std::string encodeOtlp(const SpanResource &resource, const std::vector<Span> &spans);

} // namespace wisteriahoist
