/** @file sidecar_start_test.cpp Real nodes that start, or run, while something happens around them.
 */

#include "adapter/clock/boot_clock_adapter.h"
#include "adapter/settings/node_settings.h"
#include "platform/standin/settings_writer.h"
#include "standin/child_process.h"
#include "support/test_section.h"

#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;
using boost::asio::ip::tcp;

namespace {

constexpr milliseconds Patience{20000}; ///< For what is expected to happen.
constexpr milliseconds Poll{20};
constexpr milliseconds WriteTime{1000}; ///< In which a node has written its log lines.

/** Waits until @p holds returns true. @return Whether it did. */
bool awaitThat(const std::function<bool()> &holds, milliseconds longest = Patience)
{
    const BootClockAdapter clock;
    const TimePoint end = clock.now() + longest;
    bool held = holds();
    while (!held && clock.now() < end) {
        std::this_thread::sleep_for(Poll);
        held = holds();
    }
    return held;
}

/** One node with a settings file and addresses of its own; there is no store. */
class StartingNode
{
public:
    explicit StartingNode(milliseconds shutdownTimeout = milliseconds(6000))
        : directory_(std::filesystem::temp_directory_path()
                     / ("wisteriahoist-start-" + std::to_string(getpid())))
    {
        // Each test has a process of its own, so no two have the same address.
        settings.metrics.ip = "127.67." + std::to_string(getpid() / 256 % 256) + "."
                              + std::to_string(getpid() % 256);
        const std::string &ip = settings.metrics.ip;
        settings.name = "node";
        settings.failureDomain = "domain";
        settings.service = "one";
        settings.backend = {ip, 8628};
        settings.callers = {ip, 8629};
        settings.peers = {ip, 8624};
        settings.readiness = {ip, 8625};
        settings.reports = {ip, 8620};
        settings.store = {ip, 8627};
        settings.shutdownTimeout = shutdownTimeout;
        std::filesystem::create_directories(directory_);
        writeSettings();
    }
    ~StartingNode() { std::filesystem::remove_all(directory_); }
    StartingNode(const StartingNode &) = delete;
    StartingNode &operator=(const StartingNode &) = delete;

    /** @param outputFile Where its log goes; empty: to this process, which need not read it. */
    void start(const std::string &outputFile = {})
    {
        process.emplace(std::vector<std::string>{std::getenv("WISTERIAHOIST_BIN"), "sidecar",
                                                 "--config=" + settingsFile()},
                        path("errors"), outputFile);
    }

    /** Starts the node with a pipe as its settings file.
     *  @return The writing end, once the node reads; the file is a whole one again then. */
    int startReadingPipe()
    {
        std::filesystem::remove(settingsFile());
        cr_assert_eq(mkfifo(settingsFile().c_str(), 0600), 0);
        start(path("log"));
        int end = -1;
        cr_assert(awaitThat([&]() {
            end = open(settingsFile().c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            return end >= 0;
        }));
        writeSettings();
        return end;
    }

    void writeSettings() const
    {
        std::ofstream(path("new")) << platform::encodeSettings(settings);
        std::filesystem::rename(path("new"), settingsFile());
    }

    /** @return Whether all its addresses accept connections before long. */
    bool listens() const
    {
        return awaitThat([this]() {
            boost::asio::io_context context;
            for (const Endpoint &address :
                 {settings.callers, settings.peers, settings.readiness, settings.reports}) {
                tcp::socket socket(context);
                boost::system::error_code error;
                socket.connect({boost::asio::ip::make_address(address.ip), address.port}, error);
                if (error) {
                    return false;
                }
            }
            return true;
        });
    }

    /** @return Its exit code, once it has ended; -1 if it doesn't. */
    int awaitEnd()
    {
        return awaitThat([this]() { return process->hasEnded(); }) ? process->wait() : -1;
    }

    std::string contentOf(const std::string &file) const
    {
        std::vector<Finding> ignored;
        return readTextFile(path(file), ignored);
    }

    bool isLogged(const std::string &text) const
    {
        return contentOf("log").find(text) != std::string::npos;
    }

    std::string path(const std::string &name) const { return (directory_ / name).string(); }
    std::string settingsFile() const { return path("settings.toml"); }

    SidecarSettings settings;
    std::optional<ChildProcess> process;

private:
    std::filesystem::path directory_;
};

/** Another process that listens at an address. */
class PortHolder
{
public:
    explicit PortHolder(const Endpoint &address)
        : acceptor_(context_, {boost::asio::ip::make_address(address.ip), address.port})
    { }

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
};

/** Writes @p text to the pipe and closes it. */
void finish(int pipe, const std::string &text)
{
    cr_assert_eq(write(pipe, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    close(pipe);
}

} // namespace

// Guards against a node that is ended by a signal, since it has just been started.
Test(sidecar_start, signals_during_a_start)
{
    SECTION("that tell of changed settings: the node goes on")
    {
        StartingNode node;
        const int pipe = node.startReadingPipe();
        node.process->signal(SIGHUP);
        finish(pipe, platform::encodeSettings(node.settings));
        cr_assert(node.listens());
        cr_assert(!node.process->hasEnded());
    }
    SECTION("that tell it to end: it ends in order")
    {
        StartingNode node;
        const int pipe = node.startReadingPipe();
        node.process->signal(SIGTERM);
        finish(pipe, platform::encodeSettings(node.settings));
        cr_assert_eq(node.awaitEnd(), 0);
        cr_assert(node.isLogged("node-stopped"));
    }
}

// Guards against a node that ends with the reader of its output, such as a log collector.
Test(sidecar_start, output_that_nobody_reads)
{
    StartingNode node;
    node.start();
    cr_assert(node.listens());
    node.process->closeOutput();
    node.settings.shutdownTimeout -= milliseconds(1);
    node.writeSettings();
    node.process->signal(SIGHUP); // The changed settings are logged.
    cr_assert(!awaitThat([&]() { return node.process->hasEnded(); }, WriteTime));
    cr_assert(node.listens());
}

// Guards against a node that doesn't start, since the process before it still ends.
Test(sidecar_start, address_that_is_still_in_use)
{
    SECTION("for a while: the node waits for it")
    {
        StartingNode node;
        std::optional<PortHolder> holder(std::in_place, node.settings.peers);
        node.start(node.path("log"));
        cr_assert(awaitThat([&]() { return node.isLogged("address-awaited"); }));
        holder.reset();
        cr_assert(node.listens());
    }
    SECTION("for longer than a process may take to end: the node names it")
    {
        StartingNode node(milliseconds(300));
        const PortHolder holder(node.settings.readiness);
        node.start(node.path("log"));
        cr_assert_eq(node.awaitEnd(), 1);
        const std::string address = node.settings.readiness.ip + ":8625";
        cr_assert(node.isLogged("node-failed") && node.isLogged(address));
        cr_assert(node.contentOf("errors").find(address) != std::string::npos);
    }
}

// Guards against a node that doesn't start, since its settings file is just being written.
Test(sidecar_start, settings_that_are_being_written)
{
    SECTION("they are read again")
    {
        StartingNode node;
        const std::string whole = platform::encodeSettings(node.settings);
        finish(node.startReadingPipe(), whole.substr(0, whole.size() / 2));
        cr_assert(node.listens());
    }
    SECTION("settings that stay invalid are findings")
    {
        StartingNode node;
        node.settings.name.clear();
        node.writeSettings();
        node.start(node.path("log"));
        cr_assert_eq(node.awaitEnd(), 2);
        cr_assert(node.contentOf("errors").find("node_name") != std::string::npos);
        cr_assert(node.isLogged("settings-refused"));
    }
}
