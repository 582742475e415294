/** @file standin_main.cpp The stand-ins' command line: platform, backend, demo. */

#include "standin/backend_standin.h"
#include "standin/demo_program.h"
#include "standin/platform_standin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>
#include <iostream>

ABSL_FLAG(std::string, ip, "127.0.0.1", "platform, backend: IP number to listen on");
ABSL_FLAG(uint16_t, port, 0, "platform, backend: port to listen on; 0 takes any");
ABSL_FLAG(std::string, service, "profiles", "backend: the service it serves");
ABSL_FLAG(uint32_t, slots, 12, "backend: requests at once");
ABSL_FLAG(uint32_t, work_ms, 1, "backend: time of one request");
ABSL_FLAG(uint32_t, cold_ms, 0, "backend: cold start, during which requests are shed");
ABSL_FLAG(bool, fenced, true, "backend: checks grants");
ABSL_FLAG(uint16_t, node_admin_port, 0, "backend: the admin port of the node beside it");
ABSL_FLAG(std::string, node_binary, "", "demo: the product's program");
ABSL_FLAG(std::string, directory, "build/demo", "demo: where settings and logs go");
ABSL_FLAG(std::string, declarations, "", "demo: the folder of declarations");

namespace wisteriahoist {

namespace {

/** Runs @p context until SIGTERM or SIGINT. */
void runUntilSignal(asio::io_context &context)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
}

int runPlatform()
{
    asio::io_context context;
    const auto platform = std::make_shared<PlatformStandin>(
            context, absl::GetFlag(FLAGS_ip), absl::GetFlag(FLAGS_port), PlatformStandin::Limits{});
    platform->start();
    std::cout << "platform port=" << platform->port() << std::endl;
    runUntilSignal(context);
    return 0;
}

int runBackend()
{
    asio::io_context context;
    BackendBehaviour behaviour;
    behaviour.service = absl::GetFlag(FLAGS_service);
    behaviour.slots = absl::GetFlag(FLAGS_slots);
    behaviour.workTime = milliseconds(absl::GetFlag(FLAGS_work_ms));
    behaviour.coldStart = milliseconds(absl::GetFlag(FLAGS_cold_ms));
    behaviour.fenced = absl::GetFlag(FLAGS_fenced);
    BackendStandin backend(context, absl::GetFlag(FLAGS_ip), absl::GetFlag(FLAGS_port), behaviour);
    backend.start();
    backend.announceTo(absl::GetFlag(FLAGS_ip), absl::GetFlag(FLAGS_node_admin_port));
    std::cout << "backend port=" << backend.port() << std::endl;
    runUntilSignal(context);
    return 0;
}

int runDemoCommand()
{
    DemoSettings settings;
    settings.nodeBinary = absl::GetFlag(FLAGS_node_binary);
    settings.directory = absl::GetFlag(FLAGS_directory);
    settings.declarations = absl::GetFlag(FLAGS_declarations);
    return runDemo(settings);
}

} // namespace

} // namespace wisteriahoist

int main(int argc, char **argv)
{
    const std::vector<char *> words = absl::ParseCommandLine(argc, argv);
    const std::string command = words.size() == 2 ? words[1] : "";
    if (command == "platform") {
        return wisteriahoist::runPlatform();
    }
    if (command == "backend") {
        return wisteriahoist::runBackend();
    }
    if (command == "demo") {
        return wisteriahoist::runDemoCommand();
    }
    std::cerr << "usage: wisteriahoist-standin platform | backend | demo [flags]\n";
    return 2;
}
