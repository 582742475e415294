/** @file rate_limited_event_test.cpp Lines that a budget leaves out are counted in the log. */

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

// A log with lines missing read as if nothing had happened meanwhile.
Test(signals, a_row_of_dropped_lines_ends_with_one_that_counts_them)
{
    RateLimitedEvent event(LogEvent::RangesOffered, 1, 2);
    const auto logAt = [&event](TimePoint now) {
        if (event.tryTake(now)) {
            event.log({{"ranges", uint64_t(1)}});
        }
    };
    SECTION("nothing is dropped within the budget")
    {
        const auto lines = linesOf([&]() {
            logAt(Start);
            logAt(Start);
            event.logDropped(Start);
        });
        cr_assert_eq(lines.size(), 2);
    }
    SECTION("beyond it lines are dropped, and nothing is said at once")
    {
        const auto lines = linesOf([&]() {
            logAt(Start + milliseconds(100));
            logAt(Start + milliseconds(200));
            event.logDropped(Start + milliseconds(300));
        });
        cr_assert(lines.empty());
        cr_assert_eq(event.dropped(), 2);
    }
    SECTION("a second later the count comes before the next line, or without one")
    {
        const auto lines = linesOf([&]() { logAt(Start + std::chrono::seconds(3)); });
        cr_assert_eq(lines.size(), 2);
        cr_assert(lines.front().at("event").as_string() == "lines-dropped");
        cr_assert(lines.front().at("of").as_string() == "ranges-offered");
        cr_assert_eq(lines.front().at("lines").to_number<int>(), 2);
        cr_assert_eq(lines.front().at("since_ms").to_number<int>(), 2900);
        cr_assert(linesOf([&]() { event.logDropped(Start + std::chrono::seconds(9)); }).empty());
    }
    SECTION("while lines go on being dropped, the counts leave room for the event's own lines")
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
