/** @file trace_log.cpp Merges the log lines of one request from several processes. */

#include "program/trace_log.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>

namespace wisteriahoist {

namespace {

using std::chrono::microseconds;

/**
 * State changes this long before the first and after the last line of the request are included.
 * Keys of a failed node are unavailable for at most 3.5 s.
 */
constexpr milliseconds TraceMargin{2000};

struct ParsedLine {
    microseconds time{0}; ///< Time of day.
    std::string request;  ///< Empty for a state change of the process.
    std::string text;
};

/** @return The time of day of 2026-01-07T22:34:59.053926Z; nothing if the form differs. */
std::optional<microseconds> parseTimeOfDay(std::string_view text)
{
    constexpr size_t TimeAt = 11;
    constexpr size_t Length = 27;
    if (text.size() != Length) {
        return std::nullopt;
    }
    const auto number = [&text](size_t at, size_t count) {
        int64_t value = 0;
        for (size_t index = at; index < at + count; ++index) {
            value = value * 10 + (text[index] - '0');
        }
        return value;
    };
    return std::chrono::hours(number(TimeAt, 2)) + std::chrono::minutes(number(TimeAt + 3, 2))
           + std::chrono::seconds(number(TimeAt + 6, 2)) + microseconds(number(TimeAt + 9, 6));
}

std::optional<ParsedLine> parseLine(const std::string &name, const std::string &line)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(line, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const boost::json::object &object = value.as_object();
    const boost::json::value *time = object.if_contains("time");
    const auto timeOfDay
            = time != nullptr && time->is_string()
                      ? parseTimeOfDay({time->as_string().data(), time->as_string().size()})
                      : std::nullopt;
    if (!timeOfDay) {
        return std::nullopt;
    }
    ParsedLine parsed;
    parsed.time = *timeOfDay;
    parsed.text = name + " " + line;
    if (const boost::json::value *request = object.if_contains("request")) {
        parsed.request = request->is_string() ? std::string(request->as_string()) : "";
    }
    return parsed;
}

/**
 * Where backend servers follow the convention, the id of a nested call begins with its parent's id.
 */
bool belongsTo(const ParsedLine &line, const std::string &request)
{
    return line.request == request || line.request.starts_with(request + ".");
}

} // namespace

Result<std::vector<std::string>> traceRequest(const std::vector<LogSource> &sources,
                                              const std::string &request, milliseconds margin)
{
    std::vector<ParsedLine> lines;
    std::optional<microseconds> first;
    std::optional<microseconds> last;
    for (const LogSource &source : sources) {
        for (const std::string &line : source.lines) {
            auto parsed = parseLine(source.name, line);
            if (!parsed) {
                continue;
            }
            if (belongsTo(*parsed, request)) {
                first = std::min(first.value_or(parsed->time), parsed->time);
                last = std::max(last.value_or(parsed->time), parsed->time);
            }
            lines.push_back(std::move(*parsed));
        }
    }
    if (!first) {
        return Failure{FailureCode::NotFound, "no log line of request " + request};
    }
    std::erase_if(lines, [&](const ParsedLine &line) {
        const bool near = line.time >= *first - margin && line.time <= *last + margin;
        return !belongsTo(line, request) && !(line.request.empty() && near);
    });
    std::stable_sort(
            lines.begin(), lines.end(),
            [](const ParsedLine &left, const ParsedLine &right) { return left.time < right.time; });
    std::vector<std::string> merged;
    for (ParsedLine &line : lines) {
        merged.push_back(std::move(line.text));
    }
    return merged;
}

int runTraceLog(const std::string &request, const std::vector<std::string> &files)
{
    std::vector<LogSource> sources;
    for (const std::string &file : files) {
        std::ifstream input(file);
        if (!input) {
            std::cerr << file << ":0: cannot read file\n";
            return 2;
        }
        LogSource source{file, {}};
        for (std::string line; std::getline(input, line);) {
            source.lines.push_back(line);
        }
        sources.push_back(std::move(source));
    }
    const auto merged = traceRequest(sources, request, TraceMargin);
    if (!merged) {
        std::cerr << failureName(merged.assume_error().code) << ": "
                  << merged.assume_error().context << '\n';
        return 1;
    }
    for (const std::string &line : merged.assume_value()) {
        std::cout << line << '\n';
    }
    return 0;
}

} // namespace wisteriahoist
