/** @file trace_log_test.cpp Merging of one request's log lines from several processes. */

#include "program/trace_log.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

std::string makeLine(const std::string &second, const std::string &rest)
{
    return R"({"time":"2026-01-07T22:34:)" + second + R"(.000000Z","severity":"info",)" + rest
           + "}";
}

const std::string Moved = makeLine("10", R"("event":"range-leaving","first":5)");
const std::string Refused
        = makeLine("11", R"("event":"request-ended","request":"9c41","status":503)");
const std::string Nested
        = makeLine("12", R"("event":"request-ended","request":"9c41.7","status":200)");
const std::string Other = makeLine("11", R"("event":"request-ended","request":"77","status":200)");
const std::string LongAgo = makeLine("01", R"("event":"node-started")");

} // namespace

Test(trace_log, lines_of_request_and_state_changes)
{
    const std::vector<LogSource> sources{{"a", {Refused, Other, "not json"}},
                                         {"b", {LongAgo, Moved, Nested}}};
    const auto merged = traceRequest(sources, "9c41", milliseconds(2000));
    cr_assert(merged.has_value());
    const std::vector<std::string> expected{"b " + Moved, "a " + Refused, "b " + Nested};
    cr_assert(merged.assume_value() == expected);
    SECTION("a request without log lines is not found")
    {
        const auto none = traceRequest(sources, "88", milliseconds(2000));
        cr_assert(!none && none.assume_error().code == FailureCode::NotFound);
    }
}
