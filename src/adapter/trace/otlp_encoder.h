/** @file otlp_encoder.h Encodes spans as OTLP/HTTP JSON (ExportTraceServiceRequest). */

#pragma once

#include "adapter/trace/span_type.h"
#include "core/id_type.h"

#include <vector>

namespace wisteriahoist {

/** Resource attributes: the process that produces the spans. */
struct SpanResource {
    NodeId node;
    std::string failureDomain;
    std::string build;
    std::chrono::system_clock::time_point bootTime; ///< Wall-clock time at the origin of TimePoint.
};

std::string_view spanStepName(SpanStep step);

/** @return The body of a POST to /v1/traces, with ids in hexadecimal and times as strings. */
std::string encodeOtlp(const SpanResource &resource, const std::vector<Span> &spans);

} // namespace wisteriahoist
