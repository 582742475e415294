/** @file trace_context.h W3C trace context of a request (header traceparent). */

#pragma once

#include "port/random_source.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisteriahoist {

inline constexpr std::string_view TraceparentHeader = "traceparent";

/** Trace id of 16 bytes. Invariant: not all zero. */
struct TraceId {
    uint64_t high = 0;
    uint64_t low = 0;
    bool operator==(const TraceId &) const = default;
};

/** Trace of a request and its parent span. */
struct TraceContext {
    TraceId trace;
    uint64_t span = 0;    ///< 0: no parent; the trace starts here.
    bool sampled = false; ///< Sampled flag; all nodes follow it.
    bool operator==(const TraceContext &) const = default;
};

/**
 * Parses a traceparent header of version 00, or the version 00 fields of a later version.
 * @return nullopt if it is malformed; the request then starts a new trace.
 */
std::optional<TraceContext> parseTraceparent(std::string_view text);

/** @return The header value in version 00. @pre The ids are not zero. */
std::string formatTraceparent(const TraceContext &context);

/** @return 32 lower-case hexadecimal digits. */
std::string formatTraceId(const TraceId &id);

/** @return 16 lower-case hexadecimal digits. */
std::string formatSpanId(uint64_t id);

/** Decides which traces are sampled and generates span ids. Used by one thread. */
class TraceSampler
{
public:
    /** @param ratio Fraction of the requests without a traceparent to sample, from 0 to 1. */
    TraceSampler(RandomSource &random, double ratio);

    /**
     * @param header The incoming traceparent; empty if absent.
     * @return The caller's context with unchanged sampled flag if @p header is valid; otherwise a
     *         new trace.
     */
    TraceContext begin(std::string_view header);

    /** @return A new span id, never zero. */
    uint64_t makeSpanId();

private:
    RandomSource &random_;
    double sampleRatio_;
};

} // namespace wisteriahoist
