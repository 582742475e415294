/** @file trace_context.cpp W3C trace context: parsing, formatting and sampling. */

#include "adapter/trace/trace_context.h"

#include <algorithm>
#include <array>

namespace wisteriahoist {

namespace {

// version "-" trace-id "-" parent-id "-" trace-flags
constexpr size_t VersionOffset = 0;
constexpr size_t TraceIdOffset = 3;
constexpr size_t SpanIdOffset = 36;
constexpr size_t FlagsOffset = 53;
constexpr size_t TraceparentLength = 55;
constexpr size_t DigitsPerWord = 16;
constexpr uint64_t SampledFlag = 1;
constexpr uint64_t InvalidVersion = 0xff;

/** @return The value of @p digits; nullopt unless all are lower-case hexadecimal digits. */
std::optional<uint64_t> parseHex(std::string_view digits)
{
    uint64_t number = 0;
    for (const char digit : digits) {
        if (digit >= '0' && digit <= '9') {
            number = number * 16 + static_cast<uint64_t>(digit - '0');
        } else if (digit >= 'a' && digit <= 'f') {
            number = number * 16 + static_cast<uint64_t>(digit - 'a') + 10;
        } else {
            return std::nullopt;
        }
    }
    return number;
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view text)
{
    if (text.size() < TraceparentLength) {
        return std::nullopt;
    }
    const std::optional<uint64_t> version = parseHex(text.substr(VersionOffset, 2));
    if (!version || *version == InvalidVersion) {
        return std::nullopt;
    }
    // Only versions above 00 may have further fields.
    const bool tooLong
            = text.size() > TraceparentLength && (*version == 0 || text[TraceparentLength] != '-');
    const bool separated = text[TraceIdOffset - 1] == '-' && text[SpanIdOffset - 1] == '-'
                           && text[FlagsOffset - 1] == '-';
    if (tooLong || !separated) {
        return std::nullopt;
    }
    const std::optional<uint64_t> high = parseHex(text.substr(TraceIdOffset, DigitsPerWord));
    const std::optional<uint64_t> low
            = parseHex(text.substr(TraceIdOffset + DigitsPerWord, DigitsPerWord));
    const std::optional<uint64_t> span = parseHex(text.substr(SpanIdOffset, DigitsPerWord));
    const std::optional<uint64_t> flags = parseHex(text.substr(FlagsOffset, 2));
    if (!high || !low || !span || !flags || *span == 0 || (*high == 0 && *low == 0)) {
        return std::nullopt;
    }
    return TraceContext{{*high, *low}, *span, (*flags & SampledFlag) != 0};
}

std::string formatSpanId(uint64_t id)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text(DigitsPerWord, '0');
    for (size_t index = DigitsPerWord; index > 0; --index, id /= 16) {
        text[index - 1] = Digits[id % 16];
    }
    return text;
}

std::string formatTraceId(const TraceId &id)
{
    return formatSpanId(id.high) + formatSpanId(id.low);
}

std::string formatTraceparent(const TraceContext &context)
{
    return "00-" + formatTraceId(context.trace) + "-" + formatSpanId(context.span)
           + (context.sampled ? "-01" : "-00");
}

TraceSampler::TraceSampler(RandomSource &random, double ratio)
    : random_(random), sampleRatio_(std::clamp(ratio, 0.0, 1.0))
{ }

uint64_t TraceSampler::makeSpanId()
{
    uint64_t id = random_.next();
    while (id == 0) {
        id = random_.next();
    }
    return id;
}

TraceContext TraceSampler::begin(std::string_view header)
{
    if (const std::optional<TraceContext> incoming = parseTraceparent(header)) {
        return *incoming;
    }
    constexpr double Range = 18446744073709551616.0; // 2^64
    TraceContext context;
    context.trace = {random_.next(), makeSpanId()};
    context.sampled = static_cast<double>(random_.next()) < sampleRatio_ * Range;
    return context;
}

} // namespace wisteriahoist
