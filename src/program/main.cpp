/** @file main.cpp The command line of wisteriahoist. */

#include "platform/sidecar_command.h"
#include "program/node_program.h"
#include "program/operator_program.h"
#include "program/trace_log.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <iostream>

ABSL_FLAG(std::string, config, "", "node: the settings file");
ABSL_FLAG(std::string, announced_peers, "",
          "sidecar: IP:PORT where other nodes reach this one, if not where it listens");
ABSL_FLAG(std::string, f, "", "check, diff, apply: the folder of declarations");
ABSL_FLAG(std::string, node_ip, "127.0.0.1", "commands that call a node: its IP number");
ABSL_FLAG(uint16_t, admin_port, 0, "commands that call a node: its admin port");
ABSL_FLAG(std::string, key_file, "", "commands that call a node: the fleet's key, see keygen");
ABSL_FLAG(std::string, output, "text", "what is printed: text or json");
ABSL_FLAG(std::string, service, "", "explain: the service of the key");
ABSL_FLAG(bool, dry_run, false, "apply: check and compare only");
ABSL_FLAG(bool, wait, false,
          "apply: until each member has the change in force; drain: until the node owns no range");
ABSL_FLAG(uint32_t, wait_ms, 30000, "--wait: milliseconds after which it fails");
ABSL_FLAG(bool, cancel, false, "drain: serve again");
ABSL_FLAG(uint64_t, term, 0, "confirm-lost: the term up to which silent members are gone");
ABSL_FLAG(std::string, confirmed_by, "", "confirm-lost: who says so, for the record");
ABSL_FLAG(bool, allow_delete, false, "apply: declared services may disappear");
ABSL_FLAG(bool, allow_rehash, false, "apply: key spaces of declared services may change");
ABSL_FLAG(bool, allow_unfence, false, "apply: services may go from fenced to unchecked");
ABSL_FLAG(int64_t, expected_version, -1, "apply: refused if another version is stored");

namespace wisteriahoist {

namespace {

constexpr const char *Usage = R"(a router for servers that own keys exclusively

  wisteriahoist node    --config FILE
  wisteriahoist sidecar [--config FILE] [--announced-peers IP:PORT]
                        on the users' platform; default: the file that it names
  wisteriahoist check   -f FOLDER
  wisteriahoist diff    -f FOLDER --admin-port N
  wisteriahoist apply   -f FOLDER --admin-port N [--dry-run] [--wait] [--expected-version N]
                        [--allow-delete] [--allow-rehash] [--allow-unfence]
  wisteriahoist status  --admin-port N
  wisteriahoist explain KEY --service NAME --admin-port N
  wisteriahoist export  --admin-port N
  wisteriahoist drain   --admin-port N [--wait] [--cancel]
  wisteriahoist confirm-lost --admin-port N --term N --confirmed-by WHO
  wisteriahoist keygen  ID
  wisteriahoist trace-log REQUEST FILE...   the story of one request out of several logs

Commands that call a node take --node-ip, --key-file and --output text|json as well.
Exit codes: 0 done; 1 refused or failed; 2 bad usage, settings or declarations.
--helpfull lists every flag.
)";

int reportUsage(const std::string &message)
{
    std::cerr << message << "\n\n" << Usage;
    return ExitBadUsage;
}

/** Lets flags be written with - as well as with _, as in --dry-run. */
void normalizeFlags(int argc, char **argv)
{
    for (int index = 1; index < argc; ++index) {
        std::string_view word = argv[index];
        if (word == "--") {
            return;
        }
        if (!word.starts_with("--")) {
            continue;
        }
        char *name = argv[index] + 2;
        std::replace(name, name + std::min(word.find('='), word.size()) - 2, '-', '_');
    }
}

ApplyOptions readApplyOptions()
{
    ApplyOptions apply;
    apply.dryRun = absl::GetFlag(FLAGS_dry_run);
    apply.wait = absl::GetFlag(FLAGS_wait);
    apply.waitBound = milliseconds(absl::GetFlag(FLAGS_wait_ms));
    apply.allowDelete = absl::GetFlag(FLAGS_allow_delete);
    apply.allowRehash = absl::GetFlag(FLAGS_allow_rehash);
    apply.allowUnfence = absl::GetFlag(FLAGS_allow_unfence);
    const int64_t expected = absl::GetFlag(FLAGS_expected_version);
    if (expected >= 0) {
        apply.expectedVersion = static_cast<uint64_t>(expected);
    }
    return apply;
}

/** Runs a command that calls a node. */
int runCalling(const std::string &command, const std::string &argument)
{
    OperatorOptions options;
    options.target = {absl::GetFlag(FLAGS_node_ip), absl::GetFlag(FLAGS_admin_port)};
    const std::string output = absl::GetFlag(FLAGS_output);
    if (output != "text" && output != "json") {
        return reportUsage("--output: text or json is needed");
    }
    options.form = output == "json" ? OutputForm::Json : OutputForm::Text;
    if (options.target.port == 0) {
        return reportUsage("--admin-port is needed");
    }
    const std::string keyFile = absl::GetFlag(FLAGS_key_file);
    if (!keyFile.empty()) {
        std::vector<Finding> findings;
        const auto key = readKeyFile(keyFile, findings);
        if (!key) {
            return reportFindings(findings);
        }
        options.keys.keys = {*key};
    }
    const std::string folder = absl::GetFlag(FLAGS_f);
    if ((command == "diff" || command == "apply") && folder.empty()) {
        return reportUsage("-f is needed");
    }
    if (command == "diff") {
        return runDiff(folder, options);
    }
    if (command == "apply") {
        return runApply(folder, options, readApplyOptions());
    }
    if (command == "status") {
        return runStatus(options);
    }
    if (command == "export") {
        return runExport(options);
    }
    if (command == "drain") {
        return runDrain(options, {absl::GetFlag(FLAGS_cancel), absl::GetFlag(FLAGS_wait),
                                  milliseconds(absl::GetFlag(FLAGS_wait_ms))});
    }
    if (command == "confirm-lost") {
        return runConfirmLost(options, absl::GetFlag(FLAGS_term),
                              absl::GetFlag(FLAGS_confirmed_by));
    }
    const std::string service = absl::GetFlag(FLAGS_service);
    if (argument.empty() || service.empty()) {
        return reportUsage("explain: KEY and --service are needed");
    }
    return runExplain(service, argument, options);
}

int run(const std::vector<char *> &words)
{
    const std::string command = words.size() > 1 ? words[1] : "";
    if (command == "trace-log" && words.size() > 3) {
        return runTraceLog(words[2], {words.begin() + 3, words.end()});
    }
    const size_t expected = command == "explain" || command == "keygen" ? 3 : 2;
    if (words.size() != expected) {
        return reportUsage(command.empty() ? "a command is needed" : command + ": wrong arguments");
    }
    if (command == "sidecar") {
        return platform::runSidecarCommand(
                {absl::GetFlag(FLAGS_config), absl::GetFlag(FLAGS_announced_peers)});
    }
    if (command == "node") {
        return runNode(absl::GetFlag(FLAGS_config));
    }
    if (command == "check") {
        const std::string folder = absl::GetFlag(FLAGS_f);
        return folder.empty() ? reportUsage("-f is needed") : runCheck(folder);
    }
    if (command == "keygen") {
        return runKeygen(words[2]);
    }
    const std::vector<std::string> calling{"diff",   "apply", "status",      "explain",
                                           "export", "drain", "confirm-lost"};
    if (std::find(calling.begin(), calling.end(), command) == calling.end()) {
        return reportUsage("unknown command " + command);
    }
    return runCalling(command, words.size() > 2 ? words[2] : "");
}

} // namespace

} // namespace wisteriahoist

int main(int argc, char **argv)
{
    wisteriahoist::normalizeFlags(argc, argv);
    absl::SetProgramUsageMessage(wisteriahoist::Usage);
    return wisteriahoist::run(absl::ParseCommandLine(argc, argv));
}
