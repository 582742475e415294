/** @file span_type.h One step of a request, and the bounded ring to the exporter. */

#pragma once

#include "adapter/metrics/metric_type.h"
#include "adapter/trace/trace_context.h"

#include "core/time_type.h"

#include <boost/lockfree/spsc_queue.hpp>

namespace wisteriahoist {

/** The steps of a request that get a span. */
enum class SpanStep {
    Ingress, ///< From the caller's whole request to the whole answer.
    Queue,   ///< Waiting for a slot.
    Hop,     ///< On its way to another node and back.
    Gate,    ///< From its arrival at the owner gate to the gate's answer.
    Backend, ///< At the backend server.
};

/** One finished step. */
struct Span {
    SpanStep step = SpanStep::Ingress;
    TraceContext context; ///< Its own span id.
    uint64_t parent = 0;  ///< 0: the trace begins here.
    TimePoint start;
    TimePoint end;
    std::string service;
    std::string outcome; ///< done, not-run, unknown or refused.
    bool failed = false;
};

/** From one duty to the exporter. A full ring drops the span, so that no request waits for it. */
class SpanRing
{
public:
    static constexpr size_t Capacity = 1024;

    explicit SpanRing(Counter &dropped) : dropped_(dropped), spans_(Capacity) { }

    /** Hands @p span over if its trace is sampled. Producing duty's thread. */
    void push(const Span &span)
    {
        if (span.context.sampled && !spans_.push(span)) {
            dropped_.add();
        }
    }

    /** Takes the oldest span. Exporter's thread. @return Whether there was one. */
    bool pop(Span &span) { return spans_.pop(span); }

private:
    Counter &dropped_;
    boost::lockfree::spsc_queue<Span> spans_;
};

} // namespace wisteriahoist
