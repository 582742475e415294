/** @file ownership_faults.cpp Load on the keys, and faults of nodes, backend servers, VMs and
 * links. */

#include "support/ownership_node.h"
#include "support/ownership_world.h"

namespace wisteriahoist::testing {

namespace {

/** Longer than a takeover. */
constexpr int64_t LongCutMs = 8000;
constexpr int64_t LongCrashMs = 5000;
/** Longer than the hold time of a grant. */
constexpr int64_t LongPauseMs = 6000;
constexpr milliseconds WorkEvery{40};

} // namespace

/** Sends requests for keys that the nodes admit; for a while most of them are for one key. */
void OwnershipWorld::sendRequests()
{
    if (draws_.oneIn(100)) {
        hotKey_ = ShardKey(static_cast<uint32_t>(draws_.below(LastShardKey.value() + 1)));
    }
    for (size_t index = 0; index < NodeCount; ++index) {
        const ShardKey any(static_cast<uint32_t>(draws_.below(LastShardKey.value() + 1)));
        const ShardKey key = draws_.oneIn(2) ? any : hotKey_;
        if (!nodes_[index] || isPaused(index) || !nodes_[index]->admits(key)) {
            continue;
        }
        const milliseconds busy = draws_.between(20, 1500);
        if (backends_[index].work(key, busy, events_.now())) {
            nodes_[index]->recordBusyTime(key, busy);
        }
    }
    events_.after(WorkEvery, [this]() { sendRequests(); });
}

void OwnershipWorld::scheduleFault()
{
    events_.after(draws_.between(50, 2500), [this]() {
        if (!faultsEnded_) {
            injectFault();
            scheduleFault();
        }
    });
}

void OwnershipWorld::injectFault()
{
    const size_t index = draws_.below(NodeCount);
    switch (draws_.below(10)) {
    case 0:
    case 1:
        crashNode(index);
        break;
    case 2:
        crashBackend(index);
        break;
    case 3:
        leave(index);
        break;
    case 4:
    case 5:
        trace("node cut off from the others", index);
        links_[index].cutUntil = events_.now() + draws_.between(500, LongCutMs);
        break;
    case 6:
        pause(index);
        break;
    case 7:
        stopNode(index);
        break;
    default:
        refuseConnections(index);
    }
}

/** Pauses the VM: neither the node nor its backend server runs. */
void OwnershipWorld::pause(size_t index)
{
    trace("VM is paused", index);
    links_[index].pausedUntil = events_.now() + draws_.between(50, LongPauseMs);
    events_.at(links_[index].pausedUntil, [this, index]() { trace("VM resumes", index); });
}

/** The backend server announces that it leaves permanently, and ends some time later. */
void OwnershipWorld::leave(size_t index)
{
    if (!backends_[index].isAlive() || !nodes_[index]) {
        return;
    }
    deregister(index);
    events_.after(draws_.between(500, 3000), [this, index, life = lives_[index]]() {
        if (lives_[index] == life) {
            crashBackend(index);
        }
    });
}

/** The backend server keeps running; some calls and checks detect that it refuses connections. */
void OwnershipWorld::refuseConnections(size_t index)
{
    trace("backend server refuses connections", index);
    links_[index].refusesUntil = events_.now() + draws_.between(5, 60);
    for (int look = 0; look < 3; ++look) {
        events_.after(draws_.between(1, 100), [this, index]() {
            if (nodes_[index]) {
                nodes_[index]->onLook();
            }
        });
    }
}

void OwnershipWorld::crashNode(size_t index)
{
    if (!nodes_[index]) {
        return;
    }
    trace("node crashes", index);
    nodes_[index].reset();
    ++nodeLives_[index];
    events_.after(draws_.between(100, LongCrashMs), [this, index]() { startNode(index); });
}

/** The node moves its keys to others and ends; a new one starts. */
void OwnershipWorld::stopNode(size_t index)
{
    if (!nodes_[index]) {
        return;
    }
    trace("node is asked to stop", index);
    nodes_[index]->beginStop();
    events_.after(draws_.between(1000, LongCrashMs), [this, index, life = nodeLives_[index]]() {
        if (nodeLives_[index] == life) {
            crashNode(index);
        }
    });
}

} // namespace wisteriahoist::testing
