/** @file operators_test.cpp The operators' commands against a fleet of real processes. */

#include "adapter/http/http_client.h"
#include "adapter/settings/node_settings.h"
#include "standin/fleet.h"
#include "support/test_section.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace wisteriahoist;

namespace {

/** What one command said. */
struct CommandResult {
    int exitCode = -1;
    std::string output;
    std::string errors;
};

/** A fleet, a folder of declarations, and commands to its first node. */
class OperatorStory
{
public:
    explicit OperatorStory(const std::string &name)
        : directory_(std::filesystem::temp_directory_path()
                     / ("wisteriahoist-" + name + "-" + std::to_string(getpid()))),
          fleet_(makeSettings())
    { }
    ~OperatorStory() { std::filesystem::remove_all(directory_); }
    OperatorStory(const OperatorStory &) = delete;
    OperatorStory &operator=(const OperatorStory &) = delete;

    /** Declares exactly these services. */
    void declare(const std::vector<std::string> &services) const
    {
        std::filesystem::create_directories(folder());
        std::ofstream file(folder() + "/services.toml");
        for (const std::string &service : services) {
            file << "[[service]]\nname = \"" << service << "\"\nhost = \"" << service
                 << ".example\"\n[service.key_space]\nhash_seed = 1\n[[service.route]]\n";
        }
    }

    CommandResult run(std::vector<std::string> words, const std::string &keyFile)
    {
        words.insert(words.begin(), std::getenv("WISTERIAHOIST_BIN"));
        words.push_back("--admin-port=" + std::to_string(fleet_.nodes().front()->adminPort));
        if (!keyFile.empty()) {
            words.push_back("--key-file=" + keyFile);
        }
        const std::string errorFile = path("errors.log");
        ChildProcess command(words, errorFile);
        CommandResult result;
        for (std::string line = command.readLine(); !line.empty(); line = command.readLine()) {
            result.output += line + "\n";
        }
        result.exitCode = command.wait();
        std::vector<Finding> ignored;
        result.errors = readTextFile(errorFile, ignored);
        return result;
    }

    CommandResult run(const std::vector<std::string> &words)
    {
        return run(words, path("fleet.key"));
    }

    std::string folder() const { return path("declarations"); }
    std::string path(const std::string &name) const { return (directory_ / name).string(); }
    Fleet &fleet() { return fleet_; }

private:
    FleetSettings makeSettings() const
    {
        FleetSettings settings;
        settings.nodeBinary = std::getenv("WISTERIAHOIST_BIN");
        settings.standinBinary = std::getenv("WISTERIAHOIST_STANDIN_BIN");
        settings.directory = directory_.string();
        settings.nodes = 3;
        settings.service = "notes";
        return settings;
    }

    std::filesystem::path directory_;
    Fleet fleet_;
};

HttpResponse exchangeWith(uint16_t adminPort, HttpRequest request)
{
    asio::io_context context;
    HttpClient client(context.get_executor(), "127.0.0.1", adminPort);
    HttpResponse response(http::status::unknown, 11);
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                Result<HttpResponse> answer
                        = co_await client.exchange(std::move(request), milliseconds(10000));
                if (answer) {
                    response = std::move(answer.assume_value());
                }
            },
            asio::detached);
    context.run();
    return response;
}

/** @return The status with which the node answers the announcement of a backend server at @p ip. */
unsigned announceFrom(const std::string &ip, uint16_t adminPort)
{
    HttpRequest request(http::verb::post, "/announce", 11);
    request.body() = R"({"service": "notes", "port": 9, "slots": 1, "ip": ")" + ip + "\"}";
    return exchangeWith(adminPort, std::move(request)).result_int();
}

std::string getPage(uint16_t adminPort, const std::string &target)
{
    return exchangeWith(adminPort, HttpRequest(http::verb::get, target, 11)).body();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(operators, a_change_from_file_to_force)
{
    OperatorStory story("change");
    const std::string folder = "-f=" + story.folder();
    story.declare({"notes", "table"});
    SECTION("a change is accepted, and in force at each member")
    {
        cr_assert(story.run({"apply", folder, "--wait"}).exitCode == 0);
        const CommandResult status = story.run({"status"});
        cr_assert(contains(status.output, "configuration 1  stored 1"));
        cr_assert(!contains(status.output, "lags"));
    }
    SECTION("what is exported is what was declared")
    {
        const CommandResult exported = story.run({"export", "--output=json"});
        cr_assert(contains(exported.output, "\"version\":\"1\""));
        const CommandResult difference = story.run({"diff", folder});
        cr_assert(difference.exitCode == 0);
        cr_assert(contains(difference.output, "0 changes against version 1"));
    }
    SECTION("an operator who expected another version gets the conflict, with both versions")
    {
        story.declare({"notes", "table", "reviews"});
        const CommandResult refused = story.run({"apply", folder, "--expected-version=0"});
        cr_assert(refused.exitCode == 1);
        cr_assert(contains(refused.errors,
                           "version-conflict: expected_version: expected 0, stored 1"));
    }
    SECTION("a service disappears only with the flag")
    {
        story.declare({"notes"});
        const CommandResult refused = story.run({"apply", folder});
        cr_assert(refused.exitCode == 1);
        cr_assert(contains(refused.errors, "needs-allow-delete: services[table]"));
        cr_assert(story.run({"apply", folder, "--allow-delete"}).exitCode == 0);
    }
    SECTION("a key is explained")
    {
        const CommandResult explained = story.run({"explain", "kari", "--service=notes"});
        cr_assert(explained.exitCode == 0);
        cr_assert(contains(explained.output, "reason "));
        cr_assert(story.run({"explain", "kari", "--service=none"}).exitCode == 1);
    }
}

// A VM is to be replaced. Its node is told to drain and gives its ranges to the two others; only
// when it owns none is the operator told that it may be stopped.
Test(operators, drain)
{
    OperatorStory story("drain");
    story.declare({"notes"});
    cr_assert(story.run({"apply", "-f=" + story.folder(), "--wait"}).exitCode == 0);
    CommandResult explained;
    for (int tries = 0; tries < 300 && !contains(explained.output, "reason assigned"); ++tries) {
        explained = story.run({"explain", "kari", "--service=notes"});
    }
    cr_assert(contains(explained.output, "reason assigned"));
    const CommandResult drained = story.run({"drain", "--wait"});
    cr_assert(drained.exitCode == 0, "%s", drained.errors.c_str());
    cr_assert(drained.output == "draining  ranges 0\n");
    const CommandResult back = story.run({"drain", "--cancel"});
    cr_assert(back.output.starts_with("serving"));
}

// The platform is lost for good after a change. An apply is told that nothing was done; status goes
// on from what the node knows and says that the stored version is unknown; nothing reverts.
Test(operators, platform_down)
{
    OperatorStory story("down");
    story.declare({"notes"});
    cr_assert(story.run({"apply", "-f=" + story.folder(), "--wait"}).exitCode == 0);
    story.fleet().platform().signal(SIGKILL);
    (void)story.fleet().platform().wait();
    story.declare({"notes", "table"});
    const CommandResult refused = story.run({"apply", "-f=" + story.folder()});
    cr_assert(refused.exitCode == 1);
    cr_assert(contains(refused.errors, "unavailable") || contains(refused.errors, "ambiguous"));
    const CommandResult status = story.run({"status"});
    cr_assert(status.exitCode == 0);
    cr_assert(contains(status.output, "configuration 1  stored unknown"));
}

// Someone without the fleet's key, with a key of his own by the right name, and with a key that the
// fleet does not list calls a node; a process on another VM announces itself as the backend server.
// All are refused by type; the configuration is not touched.
Test(operators, strangers)
{
    OperatorStory story("strangers");
    story.declare({"notes"});
    const std::vector<std::string> apply{"apply", "-f=" + story.folder()};
    SECTION("calls")
    {
        const std::string forged = story.path("forged.key");
        std::ofstream(forged) << formatKey({"k1", std::string(FleetSecretBytes, 'x')});
        const std::string old = story.path("old.key");
        std::ofstream(old) << formatKey({"k0", std::string(FleetSecretBytes, 'x')});
        const CommandResult unsignedCall = story.run(apply, "");
        cr_assert(unsignedCall.exitCode == 1);
        cr_assert(contains(unsignedCall.errors, "unauthorized"));
        cr_assert(contains(story.run(apply, forged).errors, "wrong-signature"));
        cr_assert(contains(story.run(apply, old).errors, "unknown-key"));
        const std::string metrics = getPage(story.fleet().nodes().front()->adminPort, "/metrics");
        cr_assert(contains(metrics, "{side=\"operator\",cause=\"missing\"} 1"));
        cr_assert(contains(metrics, "{side=\"operator\",cause=\"unknown-key\"} 1"));
        const CommandResult exported = story.run({"export", "--output=json"});
        cr_assert(exported.exitCode == 0);
        cr_assert(!contains(exported.output, "notes"));
    }
    SECTION("announcements")
    {
        const uint16_t port = story.fleet().nodes().front()->adminPort;
        cr_assert(announceFrom("127.0.0.2", port) == 403);
        cr_assert(announceFrom("127.0.0.1", port) == 200);
    }
}
