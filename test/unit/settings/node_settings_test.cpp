/** @file node_settings_test.cpp Settings are checked whole: every finding at once. */

#include "adapter/settings/node_settings.h"
#include "support/story.h"

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
)";

} // namespace

Test(node_settings, findings)
{
    SECTION("good settings have none")
    {
        std::vector<Finding> findings;
        const NodeSettings settings = parseNodeSettings(Good, "n.toml", findings);
        cr_assert(findings.empty());
        cr_assert(settings.id == NodeId(3));
    }
    SECTION("a wrong, a missing and an unknown entry are reported together, with their lines")
    {
        std::vector<Finding> findings;
        parseNodeSettings("[node]\nid = 0\nfailure_domain = \"a\"\nip = \"127.0.0.1\"\n"
                          "caller_port = 0\npeer_port = 0\ncolour = 1\n"
                          "[platform]\nip = \"here\"\nport = 1\n",
                          "n.toml", findings);
        cr_assert(findings.size() == 4);
        cr_assert(formatFinding(findings[0]).starts_with("n.toml:2: node.id: found 0"));
        cr_assert(formatFinding(findings[1]).find("node.admin_port: missing") != std::string::npos);
        cr_assert(formatFinding(findings[2]) == "n.toml:7: node.colour: unknown entry");
        cr_assert(formatFinding(findings[3]).starts_with("n.toml:9: platform.ip: found here"));
    }
    SECTION("a syntax error is one finding with its line")
    {
        std::vector<Finding> findings;
        parseNodeSettings("[node]\nid = = 1\n", "n.toml", findings);
        cr_assert(findings.size() == 1);
        cr_assert(findings[0].line == 2);
    }
}
