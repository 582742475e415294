/** @file rate_limited_event_test.cpp Rate limit of log events and the report of dropped lines.
 */

#include "adapter/log/rate_limited_event.h"
#include "support/json_text.h"
#include "support/test_section.h"

#include <sstream>

using namespace wisteriahoist;

namespace {

constexpr TimePoint Start = TimePoint() + std::chrono::hours(1);

/** @return The lines that @p run logs. */
std::vector<boost::json::object> linesOf(const std::function<void()> &run)
{
    std::stringstream stream;
    {
        const LogOutput output(stream, LogSeverity::Info);
        run();
    }
    std::vector<boost::json::object> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(boost::json::parse(line).as_object());
    }
    return lines;
}

} // namespace

// Guards against silent gaps in the log: without a report of dropped lines, the log looked as if
// nothing had happened in the meantime.
Test(signals, dropped_log_lines_are_reported)
{
    RateLimitedEvent event(LogEvent::RangesOffered, 1, 2);
    const auto logAt = [&event](TimePoint now) {
        if (event.tryTake(now)) {
            event.log({{"ranges", uint64_t(1)}});
        }
    };
    SECTION("no line is dropped within the rate limit")
    {
        const auto lines = linesOf([&]() {
            logAt(Start);
            logAt(Start);
            event.logDropped(Start);
        });
        cr_assert_eq(lines.size(), 2);
    }
    SECTION("above the limit, lines are dropped and not reported immediately")
    {
        const auto lines = linesOf([&]() {
            logAt(Start + milliseconds(100));
            logAt(Start + milliseconds(200));
            event.logDropped(Start + milliseconds(300));
        });
        cr_assert(lines.empty());
        cr_assert_eq(event.dropped(), 2);
    }
    SECTION("after a second, the count is logged before the next line or by logDropped")
    {
        const auto lines = linesOf([&]() { logAt(Start + std::chrono::seconds(3)); });
        cr_assert_eq(lines.size(), 2);
        cr_assert(lines.front().at("event").as_string() == "lines-dropped");
        cr_assert(lines.front().at("of").as_string() == "ranges-offered");
        cr_assert_eq(lines.front().at("lines").to_number<int>(), 2);
        cr_assert_eq(lines.front().at("since_ms").to_number<int>(), 2900);
        cr_assert(linesOf([&]() { event.logDropped(Start + std::chrono::seconds(9)); }).empty());
    }
    SECTION("the reports do not count against the rate limit of the event's own lines")
    {
        const auto lines = linesOf([&]() {
            for (int tenth = 0; tenth < 100; ++tenth) {
                logAt(Start + std::chrono::seconds(20) + milliseconds(100) * tenth);
            }
        });
        const auto counts = std::count_if(lines.begin(), lines.end(), [](const auto &line) {
            return line.at("event").as_string() == "lines-dropped";
        });
        cr_assert(counts >= 8 && counts <= 10);
        cr_assert(static_cast<ptrdiff_t>(lines.size()) - counts >= 10);
    }
}
