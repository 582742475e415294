/** @file soak_node.cpp One VM of the soak. */

#include "soak/soak_node.h"

#include "platform/standin/settings_writer.h"

#include <csignal>
#include <fstream>

namespace wisteriahoist::soak {

namespace {

constexpr uint16_t CallersPort = 8629;
constexpr uint16_t PeersPort = 8624;
constexpr uint16_t ReadinessPort = 8625;
constexpr uint16_t ReportsPort = 8620;
constexpr uint16_t BackendPort = 8628;
constexpr size_t FailureDomains = 3;
constexpr double CpuShare = 0.2;       ///< CPU cores that a node may use.
constexpr double StrongCpuShare = 0.5; ///< That of nodes which are preferred as feeders.
/** Every other backend server's clock is as slow as the platform allows. */
constexpr double SlowClock = 0.98;

/** Addresses of a VM itself, of what stands before it, of the store. */
enum class Net { Vm = 0, Proxy = 1, Store = 2 };

std::string addressOf(const SoakSettings &settings, Net net, size_t index)
{
    return "127." + std::to_string(settings.slot) + "." + std::to_string(static_cast<int>(net))
           + "." + std::to_string(index + 1);
}

SidecarSettings makeSettings(const SoakSettings &soak, size_t index, const std::string &service)
{
    const std::string ip = addressOf(soak, Net::Vm, index);
    SidecarSettings settings;
    settings.name = "node-" + std::to_string(index);
    settings.failureDomain = "domain-" + std::to_string(index % FailureDomains);
    settings.service = service;
    settings.backend = {ip, BackendPort};
    settings.callers = {ip, CallersPort};
    settings.peers = {ip, PeersPort};
    settings.readiness = {ip, ReadinessPort};
    settings.reports = {ip, ReportsPort};
    settings.metrics.ip = ip;
    settings.heartbeat = milliseconds(400);
    settings.maxHoldTime = milliseconds(10000);
    settings.shutdownTimeout = milliseconds(6000);
    if (soak.memoryBound > 0) {
        settings.memoryBytes = soak.memoryBound;
    }
    settings.cpuShare = index < soak.strongNodes ? StrongCpuShare : CpuShare;
    return settings;
}

platform::BackendIdentity makeIdentity(const SoakSettings &soak, const SidecarSettings &settings,
                                       size_t index, bool sharded)
{
    platform::BackendIdentity identity;
    identity.service = settings.service;
    identity.failureDomain = settings.failureDomain;
    identity.sharded = sharded;
    identity.grantsByHeartbeat = soak.grantsByHeartbeat;
    identity.keepsIdOnRestart
            = soak.grantsByHeartbeat; // Both are new in the same form of the platform.
    identity.address = settings.backend;
    identity.reports = settings.reports;
    identity.heartbeat = settings.heartbeat;
    identity.clockRate = index % 2 == 0 ? 1 : SlowClock;
    return identity;
}

} // namespace

SoakNode::SoakNode(asio::io_context &context, const SoakSettings &settings, size_t index,
                   const std::string &service, bool sharded, platform::ObjectStoreStandin &store,
                   platform::BackendObserver &observer)
    : directory_(settings.directory), binary_(settings.nodeBinary),
      settings_(makeSettings(settings, index, service)),
      storeLink_(context, addressOf(settings, Net::Proxy, index),
                 {addressOf(settings, Net::Store, 0),
                  store.addEndpoint(addressOf(settings, Net::Store, 0))}),
      peerLink_(context, addressOf(settings, Net::Proxy, index), settings_.peers),
      backend_(context, makeIdentity(settings, settings_, index, sharded), observer,
               settings.seed + index)
{
    backend_.faults().endlessAnswers = settings.endlessAnswers;
    if (settings.crashingRequests) {
        backend_.faults().crashingTarget = CrashingTarget;
    }
    settings_.store = storeLink_.address();
    std::ofstream file(directory_ + "/" + settings_.name + ".toml");
    file << platform::encodeSettings(settings_);
}

void SoakNode::start()
{
    const Endpoint announced = peerLink_.address();
    const std::string base = directory_ + "/" + settings_.name;
    process_ = std::make_unique<ChildProcess>(
            std::vector<std::string>{binary_, "sidecar", "--config=" + base + ".toml",
                                     "--announced_peers=" + announced.ip + ":"
                                             + std::to_string(announced.port)},
            base + ".err", base + ".log");
}

uint64_t SoakNode::memory() const
{
    std::ifstream status("/proc/" + std::to_string(process_->id()) + "/status");
    constexpr std::string_view Field = "VmRSS:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(Field)) {
            return std::stoull(line.substr(Field.size())) * 1024;
        }
    }
    return 0;
}

void SoakNode::kill()
{
    if (process_) {
        process_->signal(SIGKILL);
        process_->wait();
    }
}

} // namespace wisteriahoist::soak
