/** @file span_type.h Spans of a request and the ring buffer to the exporter. */

#pragma once

#include "adapter/metrics/metric_type.h"
#include "adapter/trace/trace_context.h"

#include "core/time_type.h"

#include <boost/lockfree/spsc_queue.hpp>

namespace wisteriahoist {

/** Steps of a request that are recorded as spans. */
enum class SpanStep {
    Ingress, ///< From the complete request of the caller to the complete response.
    Queue,   ///< Waiting in the admission queue.
    Hop,     ///< Forwarded to another node, until its reply.
    Gate,    ///< From arrival at the owner's gate to the gate's reply.
    Backend, ///< Processing by the backend server.
};

/** A finished span. */
struct Span {
    SpanStep step = SpanStep::Ingress;
    TraceContext context; ///< Trace id and the id of this span.
    uint64_t parent = 0;  ///< Span id of the parent; 0: root span.
    TimePoint start;
    TimePoint end;
    std::string service;
    std::string outcome; ///< done, not-run, unknown or refused.
    bool failed = false;
};

/** Single-producer, single-consumer ring buffer from one duty thread to the exporter. Drops spans
 *  when full, so that no request waits for the exporter. */
class SpanRing
{
public:
    static constexpr size_t Capacity = 1024;

    explicit SpanRing(Counter &dropped) : dropped_(dropped), spans_(Capacity) { }

    /** Adds @p span if its trace is sampled. Called by the producer thread. */
    void push(const Span &span)
    {
        if (span.context.sampled && !spans_.push(span)) {
            dropped_.add();
        }
    }

    /** Removes the oldest span. Called by the exporter thread. @return Whether there was one. */
    bool pop(Span &span) { return spans_.pop(span); }

private:
    Counter &dropped_;
    boost::lockfree::spsc_queue<Span> spans_;
};

} // namespace wisteriahoist
