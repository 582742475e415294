/** @file fleet.cpp A small fleet of real processes on loopback. */

#include "standin/fleet.h"

#include "adapter/settings/node_settings.h"

#include <filesystem>
#include <fstream>

namespace wisteriahoist {

Fleet::Fleet(FleetSettings settings) : settings_(std::move(settings))
{
    std::filesystem::create_directories(settings_.directory);
    keys_.keys = {{"k1", randomBytes(FleetSecretBytes)}};
    std::ofstream(settings_.directory + "/fleet.key") << formatKey(keys_.keys.front());
    platform_ = std::make_unique<ChildProcess>(
            std::vector<std::string>{settings_.standinBinary, "platform"},
            settings_.directory + "/platform.log");
    platformPort_ = static_cast<uint16_t>(numberAfter(platform_->readLine(), "port"));
    for (uint64_t id = 1; id <= settings_.nodes; ++id) {
        addNode(id);
    }
}

std::string Fleet::writeSettings(uint64_t id) const
{
    std::string file = settings_.directory + "/node-" + std::to_string(id) + ".toml";
    std::ofstream stream(file);
    stream << "[node]\nid = " << id << "\nfailure_domain = \"domain-"
           << id % settings_.failureDomains << "\"\nip = \"127.0.0.1\"\ncaller_port = 0\n"
           << "peer_port = 0\nadmin_port = 0\n\n[platform]\nip = \"127.0.0.1\"\nport = "
           << platformPort_ << "\n\n[[fleet.key]]\nfile = \"" << settings_.directory
           << "/fleet.key\"\n\n"
           << settings_.extraSettings;
    return file;
}

void Fleet::startNode(FleetNode &entry)
{
    entry.node = std::make_unique<ChildProcess>(
            std::vector<std::string>{settings_.nodeBinary, "node",
                                     "--config=" + writeSettings(entry.id)},
            settings_.directory + "/node-" + std::to_string(entry.id) + ".log");
    const std::string line = entry.node->readLine();
    entry.callerPort = static_cast<uint16_t>(numberAfter(line, "caller_port"));
    entry.adminPort = static_cast<uint16_t>(numberAfter(line, "admin_port"));
}

FleetNode &Fleet::addNode(uint64_t id)
{
    nodes_.push_back(std::make_unique<FleetNode>());
    FleetNode &entry = *nodes_.back();
    entry.id = id;
    startNode(entry);
    std::vector<std::string> arguments{settings_.standinBinary, "backend",
                                       "--service=" + settings_.service,
                                       "--node_admin_port=" + std::to_string(entry.adminPort)};
    arguments.insert(arguments.end(), settings_.backendFlags.begin(), settings_.backendFlags.end());
    entry.backend = std::make_unique<ChildProcess>(
            arguments, settings_.directory + "/backend-" + std::to_string(id) + ".log");
    entry.backendPort = static_cast<uint16_t>(numberAfter(entry.backend->readLine(), "port"));
    return entry;
}

void Fleet::restartNode(FleetNode &entry)
{
    startNode(entry);
}

int Fleet::runOperator(const std::vector<std::string> &arguments)
{
    std::vector<std::string> words{settings_.nodeBinary};
    words.insert(words.end(), arguments.begin(), arguments.end());
    words.push_back("--key_file=" + settings_.directory + "/fleet.key");
    ChildProcess command(words,
                         settings_.directory + "/command-" + std::to_string(++commands_) + ".log");
    return command.wait();
}

} // namespace wisteriahoist
