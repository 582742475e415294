/** @file ownership_faults.cpp Which keys are busy, who crashes, stands still or is cut off. */

#include "support/ownership_node.h"
#include "support/ownership_world.h"

namespace wisteriahoist::testing {

namespace {

/** Longer than a takeover takes. */
constexpr int64_t LongCutMs = 8000;
constexpr int64_t LongCrashMs = 5000;
/** Longer than a grant lasts. */
constexpr int64_t LongPauseMs = 6000;
constexpr milliseconds WorkEvery{40};

} // namespace

/** Requests for keys that the nodes admit; for a while most of them are about one key. */
void OwnershipWorld::drawWork()
{
    if (dice_.oneIn(100)) {
        hotKey_ = ShardKey(static_cast<uint32_t>(dice_.below(LastShardKey.value() + 1)));
    }
    for (size_t index = 0; index < NodeCount; ++index) {
        const ShardKey any(static_cast<uint32_t>(dice_.below(LastShardKey.value() + 1)));
        const ShardKey key = dice_.oneIn(2) ? any : hotKey_;
        if (!nodes_[index] || isPaused(index) || !nodes_[index]->admits(key)) {
            continue;
        }
        const milliseconds busy = dice_.between(20, 1500);
        if (backends_[index].work(key, busy, agenda_.now())) {
            nodes_[index]->recordBusyTime(key, busy);
        }
    }
    agenda_.after(WorkEvery, [this]() { drawWork(); });
}

void OwnershipWorld::planFault()
{
    agenda_.after(dice_.between(50, 2500), [this]() {
        if (!calm_) {
            breakSomething();
            planFault();
        }
    });
}

void OwnershipWorld::breakSomething()
{
    const size_t index = dice_.below(NodeCount);
    switch (dice_.below(10)) {
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
        tell("node cut off from the others", index);
        links_[index].cutUntil = agenda_.now() + dice_.between(500, LongCutMs);
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

/** The VM stands still: neither the node nor its backend server does anything. */
void OwnershipWorld::pause(size_t index)
{
    tell("VM stands still", index);
    links_[index].pausedUntil = agenda_.now() + dice_.between(50, LongPauseMs);
    agenda_.at(links_[index].pausedUntil, [this, index]() { tell("VM goes on", index); });
}

/** The backend server says that it leaves for good, and ends a while later. */
void OwnershipWorld::leave(size_t index)
{
    if (!backends_[index].isAlive() || !nodes_[index]) {
        return;
    }
    tell("backend server leaves", index);
    nodes_[index]->onDeregister();
    agenda_.after(dice_.between(500, 3000), [this, index, life = lives_[index]]() {
        if (lives_[index] == life) {
            crashBackend(index);
        }
    });
}

/** It lives all the while; some calls and looks find out that it refuses. */
void OwnershipWorld::refuseConnections(size_t index)
{
    tell("backend server refuses connections", index);
    links_[index].refusesUntil = agenda_.now() + dice_.between(5, 60);
    for (int look = 0; look < 3; ++look) {
        agenda_.after(dice_.between(1, 100), [this, index]() {
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
    tell("node crashes", index);
    nodes_[index].reset();
    ++nodeLives_[index];
    agenda_.after(dice_.between(100, LongCrashMs), [this, index]() { startNode(index); });
}

/** The node gives its keys away and ends; a new one starts. */
void OwnershipWorld::stopNode(size_t index)
{
    if (!nodes_[index]) {
        return;
    }
    tell("node is told to stop", index);
    nodes_[index]->beginStop();
    agenda_.after(dice_.between(1000, LongCrashMs), [this, index, life = nodeLives_[index]]() {
        if (nodeLives_[index] == life) {
            crashNode(index);
        }
    });
}

} // namespace wisteriahoist::testing
