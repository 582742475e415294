/** @file trace_duty.h Records spans on the duties and exports them from a thread of its own. */

#pragma once

#include "adapter/metrics/metric_registry.h"
#include "adapter/trace/otlp_encoder.h"
#include "adapter/trace/span_sink.h"
#include "port/clock.h"
#include "wisteriahoist/v1/control.pb.h"

#include <memory>
#include <vector>

namespace wisteriahoist {

/** What the tracing of a node counts. */
struct TraceMetrics {
    explicit TraceMetrics(MetricRegistry &registry);

    Counter &dropped;        ///< Spans, because a ring was full.
    Counter &exported;       ///< Spans that the sink took over.
    Counter &exportFailures; ///< Batches that it did not.
};

/** Makes the spans of one duty. Used by that duty's thread only. */
class DutyTracer
{
public:
    /** @param settings If they name no sink, contexts are made and passed on but no span kept. */
    DutyTracer(const Clock &clock, std::unique_ptr<RandomSource> random,
               const TraceSettings &settings, Counter &dropped);

    /** @return The context that a request came with, or a new one. */
    TraceContext begin(std::string_view traceparent) { return sampler_.begin(traceparent); }

    /** Starts a step of @p parent's trace; costs nothing worth naming if it is not sampled. */
    Span start(SpanStep step, const TraceContext &parent, const std::string &service);

    /**
     * Starts a step of a request on its way: the parent is read from its traceparent header field,
     * which is then replaced, so that the next step becomes a child of this one.
     */
    Span startFromHop(SpanStep step, v1::HopRequest &request);

    /** Ends the step and hands it to the exporter. */
    void finish(Span span, std::string_view outcome, bool failed);

    SpanRing &ring() { return ring_; }

private:
    const Clock &clock_;
    const bool recording_;
    std::unique_ptr<RandomSource> random_;
    TraceSampler sampler_;
    SpanRing ring_;
};

/** Drains the duties' rings about once a second and writes batches to the sink. */
class TraceDuty
{
public:
    /** @pre @p tracers outlive this object. */
    TraceDuty(asio::io_context &context, SpanResource resource, std::unique_ptr<SpanSink> sink,
              TraceMetrics &metrics, std::vector<DutyTracer *> tracers);

    void start();

private:
    asio::awaitable<void> exportLoop();
    asio::awaitable<void> exportOnce();
    std::vector<Span> drain();

    asio::io_context &context_;
    SpanResource resource_;
    std::unique_ptr<SpanSink> sink_;
    TraceMetrics &metrics_;
    std::vector<DutyTracer *> tracers_;
    bool failing_ = false; ///< The latest batch was not taken over.
};

} // namespace wisteriahoist
