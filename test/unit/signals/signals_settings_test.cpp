/** @file signals_settings_test.cpp Reading of the [signals] table of a node's settings. */

#include "adapter/settings/signals_settings.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

SignalsSettings read(const std::string &text, std::vector<Finding> &findings)
{
    const toml::table table = toml::parse(text);
    TomlReader reader(table, "node.toml", "signals", findings);
    SignalsSettings settings = readSignals(reader);
    reader.reportUnknown();
    return settings;
}

} // namespace

Test(signals, settingsAreReadAndChecked)
{
    std::vector<Finding> findings;
    SECTION("defaults: tracing disabled, log severity info")
    {
        const SignalsSettings settings = read("", findings);
        cr_assert(findings.empty());
        cr_assert_not(settings.trace.isEnabled());
        cr_assert(settings.severity == LogSeverity::Info);
    }
    SECTION("a collector and a sample ratio in permille")
    {
        const SignalsSettings settings = read("log_severity = \"warning\"\nsample_permille = 10\n"
                                              "otlp_ip = \"127.0.0.1\"\notlp_port = 4318\n",
                                              findings);
        cr_assert(findings.empty());
        cr_assert(settings.trace.isEnabled());
        cr_assert_float_eq(settings.trace.sampleRatio, 0.01, 1e-9);
        cr_assert(settings.severity == LogSeverity::Warning);
    }
    SECTION("host name instead of IP address, two sinks, unknown entry: all are reported")
    {
        read("otlp_ip = \"collector\"\ntrace_file = \"spans\"\nverbose = true\n", findings);
        cr_assert_eq(findings.size(), 3);
    }
}
