/** @file event_log_test.cpp Format and severity filter of the JSON log. */

#include "adapter/log/event_log.h"
#include "support/json_text.h"
#include "support/test_section.h"

#include <algorithm>
#include <sstream>

using namespace wisteriahoist;

Test(signals, logLineIsJsonWithTypedFields)
{
    const auto time = std::chrono::system_clock::time_point(std::chrono::microseconds(1500000));
    const std::string line = formatLogLine(
            LogEvent::TermWon,
            {{"term", uint64_t(3)}, {"cell", "a\"b\n"}, {"share", 0.5}, {"draining", true}}, time);
    cr_assert_eq(line.find('\n'), std::string::npos);
    const boost::json::object object = boost::json::parse(line).as_object();
    cr_assert(object.at("time").as_string() == "1970-01-01T00:00:01.500000Z");
    cr_assert(object.at("severity").as_string() == "info");
    cr_assert(object.at("event").as_string() == "term-won");
    cr_assert_eq(object.at("term").to_number<uint64_t>(), 3);
    cr_assert(object.at("cell").as_string() == "a\"b\n");
    cr_assert(object.at("draining").as_bool());
}

Test(signals, logOutputFiltersBySeverity)
{
    std::ostringstream stream;
    {
        const LogOutput output(stream, LogSeverity::Warning);
        logEvent(LogEvent::TermWon, {{"term", uint64_t(3)}});
        logEvent(LogEvent::TermLost, {{"term", uint64_t(3)}});
    }
    logEvent(LogEvent::TermLost);
    const std::string text = stream.str();
    cr_assert_eq(text.find("term-won"), std::string::npos);
    cr_assert_neq(text.find("term-lost"), std::string::npos);
    cr_assert_eq(std::count(text.begin(), text.end(), '\n'), 1);
}

Test(signals, severityNamesAreParsed)
{
    cr_assert(parseLogSeverity("warning") == LogSeverity::Warning);
    cr_assert(!parseLogSeverity("loud").has_value());
}
