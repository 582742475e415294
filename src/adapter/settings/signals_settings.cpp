/** @file signals_settings.cpp The table [signals] of a node's settings. */

#include "adapter/settings/signals_settings.h"

#include <boost/asio/ip/address.hpp>

namespace wisteriahoist {

namespace {

constexpr uint64_t MaxPort = 65535;
constexpr uint64_t WholePermille = 1000;

/** In the order of the enumerators of LogSeverity. */
const std::vector<std::string_view> Severities{"debug", "info", "warning", "error"};

TraceSettings readTrace(TomlReader &reader)
{
    TraceSettings trace;
    const uint64_t permille = reader.number("sample_permille", 0, 0, WholePermille);
    trace.sampleRatio = static_cast<double>(permille) / static_cast<double>(WholePermille);
    trace.otlpIp = reader.text("otlp_ip", "");
    trace.otlpPort = static_cast<uint16_t>(reader.number("otlp_port", 4318, 1, MaxPort));
    trace.file = reader.text("trace_file", "");
    boost::system::error_code error;
    boost::asio::ip::make_address(trace.otlpIp, error);
    if (error && !trace.otlpIp.empty()) {
        reader.report("otlp_ip", "found " + trace.otlpIp + ", expected an IP address");
    }
    if (!trace.otlpIp.empty() && !trace.file.empty()) {
        reader.report("trace_file", "otlp_ip and trace_file are mutually exclusive");
    }
    return trace;
}

} // namespace

SignalsSettings readSignals(TomlReader &reader)
{
    SignalsSettings settings;
    const auto fallback = static_cast<size_t>(LogSeverity::Info);
    settings.severity
            = static_cast<LogSeverity>(reader.choice("log_severity", Severities, fallback));
    settings.trace = readTrace(reader);
    return settings;
}

} // namespace wisteriahoist
