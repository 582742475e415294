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
#include <malloc.h>

ABSL_FLAG(std::string, config, "", "node: the settings file");
ABSL_FLAG(std::string, announced_peers, "",
          "sidecar: IP:PORT at which other nodes reach this one, if not the listening address");
ABSL_FLAG(std::string, f, "", "check, diff, apply: the folder of declarations");
ABSL_FLAG(std::string, node_ip, "127.0.0.1", "commands that call a node: its IP address");
ABSL_FLAG(uint16_t, admin_port, 0, "commands that call a node: its admin port");
ABSL_FLAG(std::string, key_file, "",
          "commands that call a node: file with the fleet's key, see keygen");
ABSL_FLAG(std::string, output, "text", "output format: text or json");
ABSL_FLAG(std::string, service, "", "explain: the service that the key belongs to");
ABSL_FLAG(bool, dry_run, false, "apply: validate and compare only");
ABSL_FLAG(bool, wait, false,
          "apply: wait until each member has applied the change; drain: until the node owns no "
          "range");
ABSL_FLAG(uint32_t, wait_ms, 30000, "--wait: timeout in milliseconds");
ABSL_FLAG(bool, cancel, false, "drain: cancel the drain");
ABSL_FLAG(uint64_t, term, 0,
          "confirm-lost: the term up to which members that do not respond are lost");
ABSL_FLAG(std::string, confirmed_by, "", "confirm-lost: who confirms it, for the record");
ABSL_FLAG(bool, allow_delete, false, "apply: allow removal of declared services");
ABSL_FLAG(bool, allow_rehash, false, "apply: allow changes of the key spaces of declared services");
ABSL_FLAG(bool, allow_unfence, false, "apply: allow services to change from fenced to unchecked");
ABSL_FLAG(int64_t, expected_version, -1, "apply: fail if another version is stored");

namespace wisteriahoist {

namespace {

constexpr const char *Usage = R"(a router for servers that own keys exclusively

  wisteriahoist node    --config FILE
  wisteriahoist sidecar [--config FILE] [--announced-peers IP:PORT]
                        on the users' platform; default FILE: the one that the
                        platform names
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
  wisteriahoist trace-log REQUEST FILE...   all log lines of one request, from several logs

Commands that call a node also accept --node-ip, --key-file and --output text|json.
Exit codes: 0 success; 1 rejected or failed; 2 invalid usage, settings or declarations.
--helpfull lists every flag.
)";

int reportUsage(const std::string &message)
{
    std::cerr << message << "\n\n" << Usage;
    return ExitBadUsage;
}

/** Allows - for _ in flag names, as in --dry-run. */
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
    apply.waitTimeout = milliseconds(absl::GetFlag(FLAGS_wait_ms));
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
int runNodeCommand(const std::string &command, const std::string &argument)
{
    OperatorOptions options;
    options.target = {absl::GetFlag(FLAGS_node_ip), absl::GetFlag(FLAGS_admin_port)};
    const std::string output = absl::GetFlag(FLAGS_output);
    if (output != "text" && output != "json") {
        return reportUsage("--output: expected text or json");
    }
    options.format = output == "json" ? OutputFormat::Json : OutputFormat::Text;
    if (options.target.port == 0) {
        return reportUsage("--admin-port is required");
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
        return reportUsage("-f is required");
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
        return reportUsage("explain: KEY and --service are required");
    }
    return runExplain(service, argument, options);
}

int run(const std::vector<char *> &arguments)
{
    const std::string command = arguments.size() > 1 ? arguments[1] : "";
    if (command == "trace-log" && arguments.size() > 3) {
        return runTraceLog(arguments[2], {arguments.begin() + 3, arguments.end()});
    }
    const size_t expected = command == "explain" || command == "keygen" ? 3 : 2;
    if (arguments.size() != expected) {
        return reportUsage(command.empty() ? "missing command"
                                           : command + ": wrong number of arguments");
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
        return folder.empty() ? reportUsage("-f is required") : runCheck(folder);
    }
    if (command == "keygen") {
        return runKeygen(arguments[2]);
    }
    const std::vector<std::string> nodeCommands{"diff",   "apply", "status",      "explain",
                                                "export", "drain", "confirm-lost"};
    if (std::find(nodeCommands.begin(), nodeCommands.end(), command) == nodeCommands.end()) {
        return reportUsage("unknown command " + command);
    }
    return runNodeCommand(command, arguments.size() > 2 ? arguments[2] : "");
}

} // namespace

} // namespace wisteriahoist

namespace {

/** Larger blocks are returned to the system when they are freed. Left alone, the threshold grows
 *  with each such block, up to 32 MB, and the memory of large bodies stays with the process. */
constexpr int MappedBlockBytes = 128 * 1024;

} // namespace

int main(int argc, char **argv)
{
    mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
    wisteriahoist::normalizeFlags(argc, argv);
    absl::SetProgramUsageMessage(wisteriahoist::Usage);
    return wisteriahoist::run(absl::ParseCommandLine(argc, argv));
}
