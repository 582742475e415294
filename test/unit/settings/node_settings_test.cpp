/** @file node_settings_test.cpp All errors in the settings are reported together. */

#include "adapter/settings/node_settings.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

constexpr std::string_view Good = R"([node]
id = 3
failure_domain = "osl-a"
ip = "127.0.0.1"
caller_port = 0
peer_port = 0
admin_port = 0
[platform]
ip = "127.0.0.1"
port = 8000
[fleet]
allow_unauthenticated = true
)";

} // namespace

Test(node_settings, findings)
{
    SECTION("valid settings have no findings")
    {
        std::vector<Finding> findings;
        const NodeSettings settings = parseNodeSettings(Good, "n.toml", findings);
        cr_assert(findings.empty());
        cr_assert(settings.id == NodeId(3));
    }
    SECTION("invalid, missing and unknown entries are reported together, with their lines")
    {
        std::vector<Finding> findings;
        parseNodeSettings("[node]\nid = 0\nfailure_domain = \"a\"\nip = \"127.0.0.1\"\n"
                          "caller_port = 0\npeer_port = 0\ncolour = 1\n"
                          "[platform]\nip = \"here\"\nport = 1\n"
                          "[fleet]\nallow_unauthenticated = true\n",
                          "n.toml", findings);
        cr_assert(findings.size() == 4);
        cr_assert(formatFinding(findings[0]).starts_with("n.toml:2: node.id: found 0"));
        cr_assert(formatFinding(findings[1]).find("node.admin_port: missing") != std::string::npos);
        cr_assert(formatFinding(findings[2]) == "n.toml:7: node.colour: unknown entry");
        cr_assert(formatFinding(findings[3]).starts_with("n.toml:9: platform.ip: found here"));
    }
    SECTION("a syntax error is reported as one finding with its line")
    {
        std::vector<Finding> findings;
        parseNodeSettings("[node]\nid = = 1\n", "n.toml", findings);
        cr_assert(findings.size() == 1);
        cr_assert(findings[0].line == 2);
    }
}

Test(node_settings, fleet_keys)
{
    const std::string secret(64, 'a');
    const auto parse = [](const std::string &fleet, std::vector<Finding> &findings) {
        const std::string good(Good.substr(0, Good.find("[fleet]")));
        return parseNodeSettings(good + fleet, "n.toml", findings).fleetKeys;
    };
    SECTION("settings without the fleet table or its keys are rejected")
    {
        std::vector<Finding> findings;
        parse("", findings);
        cr_assert(findings.size() == 1);
        cr_assert(findings[0].message == "fleet: missing");
        findings.clear();
        parse("[fleet]\n", findings);
        cr_assert(findings.size() == 1);
        cr_assert(findings[0].message.starts_with("fleet.key: missing"));
    }
    SECTION("the first key signs, all keys are accepted")
    {
        std::vector<Finding> findings;
        const FleetKeys keys
                = parse("[[fleet.key]]\nid = \"k2\"\nsecret = \"" + secret
                                + "\"\n[[fleet.key]]\nid = \"k1\"\nsecret = \"" + secret + "\"\n",
                        findings);
        cr_assert(findings.empty());
        cr_assert(keys.keys.front().id == "k2");
        cr_assert(keys.find("k1") != nullptr);
    }
    SECTION("an invalid secret is reported without printing it")
    {
        std::vector<Finding> findings;
        parse("[[fleet.key]]\nid = \"k 1\"\nsecret = \"abcd\"\n", findings);
        cr_assert(findings.size() == 2);
        cr_assert(findings[1].message.find("abcd") == std::string::npos);
    }
}
