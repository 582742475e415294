/** @file trace_duty.cpp Records spans and exports them. */

#include "duty/trace_duty.h"

#include "adapter/log/event_log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>

namespace wisteriahoist {

namespace {

constexpr milliseconds ExportInterval{1000};
constexpr size_t MaxBatch = 2048; ///< Spans; bounds the body to about a megabyte.

} // namespace

TraceMetrics::TraceMetrics(MetricRegistry &registry)
    : dropped(registry.addCounter("wisteriahoist_spans_dropped_total",
                                  "Spans dropped because the ring to the exporter was full.")),
      exported(registry.addCounter("wisteriahoist_spans_exported_total",
                                   "Spans that the collector or file took over.")),
      exportFailures(registry.addCounter("wisteriahoist_span_export_failures_total",
                                         "Batches of spans that were lost."))
{ }

DutyTracer::DutyTracer(const Clock &clock, std::unique_ptr<RandomSource> random,
                       const TraceSettings &settings, Counter &dropped)
    : clock_(clock), recording_(settings.isEnabled()), random_(std::move(random)),
      sampler_(*random_, recording_ ? settings.sampleRatio : 0), ring_(dropped)
{ }

Span DutyTracer::start(SpanStep step, const TraceContext &parent, const std::string &service)
{
    Span span;
    span.step = step;
    span.context = parent;
    span.context.span = sampler_.makeSpanId();
    span.parent = parent.span;
    if (parent.sampled) {
        span.start = clock_.now();
        span.service = service;
    }
    return span;
}

Span DutyTracer::startFromHop(SpanStep step, v1::HopRequest &request)
{
    for (v1::HeaderField &field : *request.mutable_headers()) {
        if (boost::beast::iequals(field.name(), TraceparentHeader)) {
            Span span = start(step, begin(field.value()), request.service());
            field.set_value(formatTraceparent(span.context));
            return span;
        }
    }
    Span span = start(step, begin(""), request.service());
    v1::HeaderField *field = request.add_headers();
    field->set_name(std::string(TraceparentHeader));
    field->set_value(formatTraceparent(span.context));
    return span;
}

void DutyTracer::finish(Span span, std::string_view outcome, bool failed)
{
    if (!span.context.sampled || !recording_) {
        return;
    }
    span.end = clock_.now();
    span.outcome = outcome;
    span.failed = failed;
    ring_.push(span);
}

TraceDuty::TraceDuty(asio::io_context &context, SpanResource resource,
                     std::unique_ptr<SpanSink> sink, TraceMetrics &metrics,
                     std::vector<DutyTracer *> tracers)
    : context_(context), resource_(std::move(resource)), sink_(std::move(sink)), metrics_(metrics),
      tracers_(std::move(tracers))
{ }

void TraceDuty::start()
{
    asio::co_spawn(context_, exportLoop(), asio::detached);
}

std::vector<Span> TraceDuty::drain()
{
    std::vector<Span> spans;
    Span span;
    for (DutyTracer *tracer : tracers_) {
        while (spans.size() < MaxBatch && tracer->ring().pop(span)) {
            spans.push_back(std::move(span));
        }
    }
    return spans;
}

asio::awaitable<void> TraceDuty::exportOnce()
{
    const std::vector<Span> spans = drain();
    if (spans.empty()) {
        co_return;
    }
    const bool taken = co_await sink_->write(encodeOtlp(resource_, spans));
    if (taken) {
        metrics_.exported.add(spans.size());
    } else {
        // The batch is lost, not kept: a collector that is away must not make memory grow.
        metrics_.exportFailures.add();
    }
    if (taken == failing_) {
        failing_ = !taken;
        logEvent(taken ? LogEvent::TraceExportBack : LogEvent::TraceExportFailing);
    }
}

asio::awaitable<void> TraceDuty::exportLoop()
{
    asio::steady_timer timer(context_);
    boost::system::error_code ignored;
    for (;;) {
        timer.expires_after(ExportInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_await exportOnce();
    }
}

} // namespace wisteriahoist
