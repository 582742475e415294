/** @file trace_context_test.cpp Parsing of the traceparent header and trace sampling. */

#include "adapter/trace/trace_context.h"
#include "support/test_section.h"

#include <array>

using namespace wisteriahoist;

namespace {

/** Returns consecutive numbers from a given one. */
class CountingSource : public RandomSource
{
public:
    explicit CountingSource(uint64_t first) : next_(first) { }
    uint64_t next() override { return next_++; }

private:
    uint64_t next_;
};

const std::string Valid = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

} // namespace

Test(signals, traceparentCorpus)
{
    SECTION("accepted")
    {
        const auto context = parseTraceparent(Valid);
        cr_assert(context.has_value());
        cr_assert_eq(context->trace.high, 0x4bf92f3577b34da6);
        cr_assert_eq(context->trace.low, 0xa3ce929d0e0e4736);
        cr_assert_eq(context->span, 0x00f067aa0ba902b7);
        cr_assert(context->sampled);
        cr_assert(formatTraceparent(*context) == Valid);
        cr_assert(!parseTraceparent(Valid.substr(0, 53) + "00")->sampled);
        cr_assert(parseTraceparent(Valid.substr(0, 53) + "03")->sampled);
        cr_assert(parseTraceparent("01" + Valid.substr(2) + "-more").has_value());
    }
    SECTION("rejected")
    {
        const std::array<std::string, 11> rejected{
                "",
                Valid.substr(0, 54),
                Valid + "0",
                Valid + "-more",
                "ff" + Valid.substr(2),
                "01" + Valid.substr(2) + "x",
                "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
                "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
                "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
                "00-4bf92f3577b34da6a3ce929d0e0e473g-00f067aa0ba902b7-01",
                "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        };
        for (const std::string &text : rejected) {
            cr_assert_not(parseTraceparent(text).has_value(), "%s", text.c_str());
        }
    }
}

Test(signals, samplingHonoursTheIncomingFlag)
{
    CountingSource source(0);
    SECTION("the caller's flag is kept, independent of the sample ratio")
    {
        TraceSampler never(source, 0);
        TraceSampler always(source, 1);
        cr_assert(never.begin(Valid).sampled);
        cr_assert_not(always.begin(Valid.substr(0, 53) + "00").sampled);
    }
    SECTION("a request without a valid traceparent starts a trace with non-zero ids")
    {
        TraceSampler always(source, 1);
        const TraceContext context = always.begin("rubbish");
        cr_assert(context.sampled);
        cr_assert_eq(context.span, 0);
        cr_assert_neq(context.trace.low, 0);
        TraceSampler never(source, 0);
        cr_assert_not(never.begin("").sampled);
    }
    SECTION("a span id is never zero, even if the random source returns zero")
    {
        CountingSource zero(0);
        cr_assert_eq(TraceSampler(zero, 1).makeSpanId(), 1);
    }
}
