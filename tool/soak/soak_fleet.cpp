/** @file soak_fleet.cpp The nodes and backend servers of one soak. */

#include "soak/soak_fleet.h"

#include "adapter/clock/sleep_func.h"
#include "soak/soak_configuration.h"

#include <csignal>

namespace wisteriahoist::soak {

namespace {

constexpr milliseconds Step{50};
/** A node that has been told to end is killed then. */
constexpr milliseconds EndBound{8000};
/** A backend server that has crashed under a request is down for so long. */
constexpr milliseconds CrashDownTime{1500};

} // namespace

SoakFleet::SoakFleet(asio::io_context &context, const SoakSettings &settings,
                     platform::ObjectStoreStandin &store, SoakAudit &audit, const Clock &clock,
                     SoakLog &log)
    : audit_(audit), clock_(clock), log_(log)
{
    for (size_t index = 0; index < settings.nodes; ++index) {
        const std::string service = serviceOf(index);
        nodes_.push_back(std::make_unique<SoakNode>(context, settings, index, service,
                                                    isSharded(service), store, audit));
    }
}

bool SoakFleet::isSteady(size_t index)
{
    return nodes_[index]->isRunning() && expectedDown_.count(index) == 0;
}

void SoakFleet::startNode(size_t index)
{
    audit_.onNodeStarted(index);
    nodes_[index]->start();
    expectedDown_.erase(index);
    note("start " + nodes_[index]->name());
}

void SoakFleet::startBackend(size_t index)
{
    platform::BackendServerStandin &backend = nodes_[index]->backend();
    if (!backend.isUp()) {
        backend.start();
        audit_.onBackendStarted(backend.id(), index);
        note("start " + backend.id());
    }
}

void SoakFleet::killNode(size_t index)
{
    expectedDown_.insert(index);
    nodes_[index]->kill();
}

asio::awaitable<void> SoakFleet::startNodeAfter(size_t index, milliseconds wait)
{
    co_await sleepFor(wait);
    if (!nodes_[index]->isRunning()) {
        startNode(index);
    }
}

asio::awaitable<void> SoakFleet::restartNode(size_t index)
{
    SoakNode &node = *nodes_[index];
    const TimePoint begun = clock_.now();
    expectedDown_.insert(index);
    node.signal(SIGTERM);
    while (node.isRunning() && clock_.now() - begun < EndBound) {
        co_await sleepFor(Step);
    }
    if (node.isRunning()) {
        note(node.name() + " did not end in time");
        node.kill();
    }
    startNode(index);
}

void SoakFleet::heal()
{
    for (size_t index = 0; index < nodes_.size(); ++index) {
        nodes_[index]->signal(SIGCONT);
        if (!nodes_[index]->isRunning()) {
            startNode(index);
        }
        startBackend(index);
    }
}

asio::awaitable<void> SoakFleet::watch()
{
    while (watching_) {
        for (size_t index = 0; index < nodes_.size(); ++index) {
            if (expectedDown_.count(index) == 0 && !nodes_[index]->isRunning()) {
                audit_.onNotRecovered(nodes_[index]->name() + " ended by itself with "
                                              + std::to_string(nodes_[index]->exitCode()),
                                      clock_.now());
                startNode(index);
            }
            restartCrashedBackend(index);
        }
        co_await sleepFor(Step);
    }
}

void SoakFleet::restartCrashedBackend(size_t index)
{
    const std::optional<TimePoint> crashedAt = nodes_[index]->backend().crashedAt();
    if (crashedAt && clock_.now() - *crashedAt >= CrashDownTime) {
        startBackend(index);
    }
}

void SoakFleet::killAll()
{
    for (size_t index = 0; index < nodes_.size(); ++index) {
        killNode(index);
        nodes_[index]->backend().kill();
    }
}

void SoakFleet::delayLinks(milliseconds store, milliseconds peers)
{
    for (auto &node : nodes_) {
        node->storeLink().faults().delay = store;
        node->peerLink().faults().delay = peers;
    }
}

} // namespace wisteriahoist::soak
