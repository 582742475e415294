/** @file otlp_encoder.cpp Encodes spans as OTLP/HTTP JSON. */

#include "adapter/trace/otlp_encoder.h"

#include <boost/json.hpp>

namespace wisteriahoist {

namespace {

namespace json = boost::json;

// Enumerations of opentelemetry.proto.trace.v1.
constexpr int KindInternal = 1;
constexpr int KindServer = 2;
constexpr int KindClient = 3;
constexpr int StatusOk = 1;
constexpr int StatusError = 2;

int spanKind(SpanStep step)
{
    switch (step) {
    case SpanStep::Ingress:
    case SpanStep::Gate:
        return KindServer;
    case SpanStep::Hop:
    case SpanStep::Backend:
        return KindClient;
    case SpanStep::Queue:
        return KindInternal;
    }
    return KindInternal;
}

json::object makeAttribute(std::string_view key, std::string_view value)
{
    json::object attribute;
    attribute["key"] = key;
    attribute["value"] = json::object{{"stringValue", value}};
    return attribute;
}

/** @return Unix time in nanoseconds, as a string because JSON numbers cannot represent it exactly.
 */
std::string formatTime(std::chrono::system_clock::time_point bootTime, TimePoint time)
{
    const Duration sinceEpoch = bootTime.time_since_epoch() + time.time_since_epoch();
    return std::to_string(sinceEpoch.count());
}

json::object makeSpan(std::chrono::system_clock::time_point bootTime, const Span &span)
{
    json::object object;
    object["traceId"] = formatTraceId(span.context.trace);
    object["spanId"] = formatSpanId(span.context.span);
    if (span.parent != 0) {
        object["parentSpanId"] = formatSpanId(span.parent);
    }
    object["name"] = spanStepName(span.step);
    object["kind"] = spanKind(span.step);
    object["startTimeUnixNano"] = formatTime(bootTime, span.start);
    object["endTimeUnixNano"] = formatTime(bootTime, span.end);
    json::array attributes;
    attributes.push_back(makeAttribute("wisteriahoist.service", span.service));
    attributes.push_back(makeAttribute("wisteriahoist.outcome", span.outcome));
    object["attributes"] = std::move(attributes);
    object["status"] = json::object{{"code", span.failed ? StatusError : StatusOk}};
    return object;
}

} // namespace

std::string_view spanStepName(SpanStep step)
{
    switch (step) {
    case SpanStep::Ingress:
        return "ingress";
    case SpanStep::Queue:
        return "queue";
    case SpanStep::Hop:
        return "hop";
    case SpanStep::Gate:
        return "gate";
    case SpanStep::Backend:
        return "backend";
    }
    return "unknown";
}

std::string encodeOtlp(const SpanResource &resource, const std::vector<Span> &spans)
{
    json::array encoded;
    for (const Span &span : spans) {
        encoded.push_back(makeSpan(resource.bootTime, span));
    }
    json::object scopeSpans;
    scopeSpans["scope"] = json::object{{"name", "wisteriahoist"}, {"version", resource.build}};
    scopeSpans["spans"] = std::move(encoded);
    json::array attributes;
    attributes.push_back(makeAttribute("service.name", "wisteriahoist"));
    attributes.push_back(makeAttribute("service.version", resource.build));
    attributes.push_back(
            makeAttribute("service.instance.id", std::to_string(resource.node.value())));
    attributes.push_back(makeAttribute("wisteriahoist.failure_domain", resource.failureDomain));
    json::object resourceSpans;
    resourceSpans["resource"] = json::object{{"attributes", std::move(attributes)}};
    resourceSpans["scopeSpans"] = json::array{std::move(scopeSpans)};
    json::object body;
    body["resourceSpans"] = json::array{std::move(resourceSpans)};
    return json::serialize(body);
}

} // namespace wisteriahoist
