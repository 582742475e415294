/** @file main.cpp The command line of wisteriahoist. */

#include "program/node_program.h"
#include "program/operator_program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(std::string, config, "", "node: the settings file");
ABSL_FLAG(std::string, f, "", "check, apply: the folder of declarations");
ABSL_FLAG(std::string, node_ip, "127.0.0.1", "operators' commands: IP number of any node");
ABSL_FLAG(uint16_t, admin_port, 0, "operators' commands: admin port of that node");

namespace {

constexpr int BadUsage = 2;

int reportUsage(const char *message)
{
    std::cerr << message << '\n'
              << "usage: wisteriahoist node --config FILE | check --f FOLDER |"
                 " apply --f FOLDER --admin_port N | status --admin_port N\n";
    return BadUsage;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("a router for servers that own keys exclusively");
    const std::vector<char *> words = absl::ParseCommandLine(argc, argv);
    if (words.size() != 2) {
        return reportUsage("one command is needed");
    }
    const std::string command = words[1];
    const wisteriahoist::OperatorTarget target{absl::GetFlag(FLAGS_node_ip),
                                               absl::GetFlag(FLAGS_admin_port)};
    if (command == "node") {
        return wisteriahoist::runNode(absl::GetFlag(FLAGS_config));
    }
    if (command == "check") {
        return wisteriahoist::runCheck(absl::GetFlag(FLAGS_f));
    }
    if (command == "apply") {
        return wisteriahoist::runApply(absl::GetFlag(FLAGS_f), target);
    }
    if (command == "status") {
        return wisteriahoist::runStatus(target);
    }
    return reportUsage("unknown command");
}
