/** @file trace_context.h The W3C trace context that a request carries (header traceparent). */

#pragma once

#include "port/random_source.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisteriahoist {

inline constexpr std::string_view TraceparentHeader = "traceparent";

/** 16 bytes that name a trace. Invariant: not all zero. */
struct TraceId {
    uint64_t high = 0;
    uint64_t low = 0;
    bool operator==(const TraceId &) const = default;
};

/** Which trace a request belongs to, and the span that it comes from. */
struct TraceContext {
    TraceId trace;
    uint64_t span = 0;    ///< 0: no span yet, a trace that begins here.
    bool sampled = false; ///< The flag that every node honours.
    bool operator==(const TraceContext &) const = default;
};

/**
 * Parses a traceparent header of version 00, or of a later version as far as 00 goes.
 * @return Nothing if it is malformed; the request then begins a trace of its own.
 */
std::optional<TraceContext> parseTraceparent(std::string_view text);

/** @return The header's value, version 00. @pre The ids are not zero. */
std::string formatTraceparent(const TraceContext &context);

/** @return 32 lower-case hexadecimal digits. */
std::string formatTraceId(const TraceId &id);

/** @return 16 lower-case hexadecimal digits. */
std::string formatSpanId(uint64_t id);

/** Decides which traces are recorded, and makes ids. Used by one duty's thread. */
class TraceSampler
{
public:
    /** @param share Of the requests without a traceparent, from 0 to 1. */
    TraceSampler(RandomSource &random, double share);

    /**
     * @param header The incoming traceparent; empty if absent.
     * @return The caller's context if there is one, its flag unchanged; else a new trace.
     */
    TraceContext begin(std::string_view header);

    /** @return A new span id, never zero. */
    uint64_t makeSpanId();

private:
    RandomSource &random_;
    double share_;
};

} // namespace wisteriahoist
