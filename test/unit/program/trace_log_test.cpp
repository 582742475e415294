/** @file trace_log_test.cpp The story of one request out of the logs of several processes. */

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

Test(trace_log, lines_of_the_request_and_what_decided_it)
{
    const std::vector<LogSource> sources{{"a", {Refused, Other, "not json"}},
                                         {"b", {LongAgo, Moved, Nested}}};
    const auto story = traceRequest(sources, "9c41", milliseconds(2000));
    cr_assert(story.has_value());
    const std::vector<std::string> expected{"b " + Moved, "a " + Refused, "b " + Nested};
    cr_assert(story.assume_value() == expected);
    SECTION("a request that nobody logged is told so")
    {
        const auto none = traceRequest(sources, "88", milliseconds(2000));
        cr_assert(!none && none.assume_error().code == FailureCode::NotFound);
    }
}
