/** @file span_export_test.cpp OTLP encoding of spans and the ring buffer to the exporter. */

#include "adapter/trace/otlp_encoder.h"
#include "support/json_text.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

Span makeSpan()
{
    Span span;
    span.step = SpanStep::Gate;
    span.context = {{0x4bf92f3577b34da6, 0xa3ce929d0e0e4736}, 0xb7, true};
    span.parent = 0xa1;
    span.start = fromMillisecondCount(1);
    span.end = fromMillisecondCount(3);
    span.service = "profiles";
    span.outcome = "not-run";
    span.failed = true;
    return span;
}

} // namespace

Test(signals, otlpBodyMatchesTheSchema)
{
    SpanResource resource{NodeId(7), "domain-1", "0.1.0", {}};
    resource.bootTime = std::chrono::system_clock::time_point(std::chrono::seconds(1700000000));
    const auto body = boost::json::parse(encodeOtlp(resource, {makeSpan()}));
    const auto &resourceSpans = body.at("resourceSpans").at(0);
    SECTION("the resource identifies the node")
    {
        const auto &attributes = resourceSpans.at("resource").at("attributes").as_array();
        cr_assert(attributes.at(0).at("key").as_string() == "service.name");
        cr_assert(attributes.at(2).at("value").at("stringValue").as_string() == "7");
    }
    SECTION("ids are hexadecimal, times are strings of Unix nanoseconds")
    {
        const auto &span = resourceSpans.at("scopeSpans").at(0).at("spans").at(0);
        cr_assert(span.at("traceId").as_string() == "4bf92f3577b34da6a3ce929d0e0e4736");
        cr_assert(span.at("spanId").as_string() == "00000000000000b7");
        cr_assert(span.at("parentSpanId").as_string() == "00000000000000a1");
        cr_assert(span.at("startTimeUnixNano").as_string() == "1700000000001000000");
        cr_assert(span.at("endTimeUnixNano").as_string() == "1700000000003000000");
        cr_assert(span.at("name").as_string() == "gate");
        cr_assert_eq(span.at("kind").to_number<int>(), 2);
        cr_assert_eq(span.at("status").at("code").to_number<int>(), 2);
    }
}

Test(signals, fullRingDropsSpansAndCountsThem)
{
    // Guards against requests that wait for the collector: the exporter hangs and the ring becomes
    // full. Further spans must be dropped and counted, and the older ones kept.
    Counter dropped;
    SpanRing ring(dropped);
    for (size_t index = 0; index < SpanRing::Capacity + 3; ++index) {
        Span span = makeSpan();
        span.context.span = index + 1;
        ring.push(span);
    }
    cr_assert_eq(dropped.value(), 3);
    Span oldest;
    cr_assert(ring.pop(oldest));
    cr_assert_eq(oldest.context.span, 1);
    SECTION("a span of an unsampled trace is not added")
    {
        Span span = makeSpan();
        span.context.sampled = false;
        ring.push(span);
        cr_assert_eq(dropped.value(), 3);
    }
}
