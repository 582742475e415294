/** @file fleet_test.cpp Real processes on loopback under kill, pause, outage and drain. */

#include "standin/fleet_client.h"
#include "support/test_section.h"

#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace wisteriahoist;

namespace {

constexpr uint32_t KeyCount = 40;
constexpr size_t Nodes = 4;

/** The indexes of all nodes but @p left; Nodes leaves none out. */
std::vector<size_t> nodesWithout(size_t left)
{
    std::vector<size_t> indexes;
    for (size_t index = 0; index < Nodes; ++index) {
        if (index != left) {
            indexes.push_back(index);
        }
    }
    return indexes;
}

const std::vector<size_t> AllNodes = nodesWithout(Nodes);

std::string environmentText(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

FleetSettings makeSettings(const std::string &name)
{
    FleetSettings settings;
    settings.nodeBinary = environmentText("WISTERIAHOIST_BIN");
    settings.standinBinary = environmentText("WISTERIAHOIST_STANDIN_BIN");
    settings.directory = "build/test/process-" + name;
    settings.nodes = Nodes;
    return settings;
}

/** A fleet, its callers, and a story that runs to its end on one thread. */
class FleetStory
{
public:
    explicit FleetStory(const std::string &name) : fleet(makeSettings(name)), client(context, fleet)
    { }

    void tell(asio::awaitable<void> (*story)(FleetStory &))
    {
        bool ended = false;
        asio::co_spawn(context, story(*this), [&ended](const std::exception_ptr &error) {
            cr_assert(!error, "the story ended with an exception");
            ended = true;
        });
        context.run();
        cr_assert(ended);
    }

    int apply()
    {
        return fleet.runOperator(
                {"apply", std::string("--f=") + WH_SOURCE_DIR + "/examples/poteglad",
                 "--admin_port=" + std::to_string(fleet.nodes().back()->adminPort)});
    }

    asio::awaitable<void> becomeReady()
    {
        cr_assert(apply() == 0);
        const bool ready = co_await client.waitReady(AllNodes, Nodes);
        cr_assert(ready);
        const bool served = co_await client.waitServed(AllNodes, KeyCount);
        cr_assert(served);
    }

    asio::awaitable<void> checkPromises()
    {
        co_await client.stopLoad();
        const AuditResult audit = co_await client.audit();
        cr_assert(audit.answered > 0);
        cr_assert(audit.lost == 0, "lost %lu", audit.lost);
        cr_assert(audit.duplicated == 0, "duplicated %lu", audit.duplicated);
        cr_assert(audit.notRunButRan == 0, "told not run but ran %lu", audit.notRunButRan);
        cr_assert(audit.wrongOwner == 0, "wrong owner %lu", audit.wrongOwner);
    }

    asio::io_context context;
    Fleet fleet;
    FleetClient client;
};

CallerLoad makeLoad()
{
    CallerLoad load;
    load.workersPerNode = 1;
    load.keys = KeyCount;
    load.pause = milliseconds(10);
    return load;
}

/** Ends once the key of @p name has another owner than @p before. */
asio::awaitable<bool> hasMoved(FleetStory &story, size_t asked, std::string name, size_t before)
{
    const size_t owner = co_await story.client.findOwner(asked, name);
    co_return owner != before &&owner < Nodes;
}

/** Ends once no key is owned by @p left. */
asio::awaitable<bool> ownsNothing(FleetStory &story, size_t asked, size_t left)
{
    for (uint32_t key = 0; key < KeyCount; ++key) {
        const size_t owner = co_await story.client.findOwner(asked, FleetClient::keyName(key));
        if (owner == left || owner >= Nodes) {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<void> tellOwnerKilled(FleetStory &story)
{
    co_await story.becomeReady();
    story.client.startLoad(makeLoad());
    SECTION("when an owner is killed, its keys are served by others")
    {
        const size_t owner = co_await story.client.findOwner(3, FleetClient::keyName(0));
        const size_t victim = owner == 3 ? 2 : owner;
        story.fleet.nodes()[victim]->node->signal(SIGKILL);
        const std::vector<size_t> others = nodesWithout(victim);
        const bool served = co_await story.client.waitServed(others, KeyCount);
        cr_assert(served);
    }
    co_await story.checkPromises();
}

asio::awaitable<void> tellOwnerPaused(FleetStory &story)
{
    co_await story.becomeReady();
    story.client.startLoad(makeLoad());
    const std::string key = FleetClient::keyName(1);
    const size_t owner = co_await story.client.findOwner(0, key);
    const size_t asked = owner == 0 ? 1 : 0;
    SECTION("while it is stopped, another node takes its keys over")
    {
        story.fleet.nodes()[owner]->node->signal(SIGSTOP);
        const FleetClient::Condition moved
                = std::bind(hasMoved, std::ref(story), asked, key, owner);
        const bool hasNewOwner = co_await story.client.waitUntil(moved);
        cr_assert(hasNewOwner);
    }
    SECTION("when it goes on, it runs nothing under its old epoch")
    {
        story.fleet.nodes()[owner]->node->signal(SIGCONT);
        const bool served = co_await story.client.waitServed(AllNodes, KeyCount);
        cr_assert(served);
    }
    co_await story.checkPromises();
}

asio::awaitable<void> tellPlatformDown(FleetStory &story)
{
    co_await story.becomeReady();
    co_await story.client.controlPlatform("{\"down\": true}");
    SECTION("owners serve on for longer than a lease")
    {
        for (int round = 0; round < 8; ++round) {
            const bool served = co_await story.client.waitServed(AllNodes, KeyCount);
            cr_assert(served);
            co_await story.client.pause(milliseconds(300));
        }
    }
    SECTION("a change is refused, and accepted after the outage")
    {
        cr_assert(story.apply() == 1);
        co_await story.client.controlPlatform("{\"down\": false}");
        cr_assert(story.apply() == 0);
    }
    co_await story.checkPromises();
}

asio::awaitable<void> tellReplyLost(FleetStory &story)
{
    co_await story.becomeReady();
    story.client.startLoad(makeLoad());
    co_await story.client.controlPlatform("{\"lose_replies\": 1}");
    story.fleet.nodes()[1]->node->signal(SIGKILL);
    const std::vector<size_t> others = nodesWithout(1);
    const bool served = co_await story.client.waitServed(others, KeyCount);
    cr_assert(served);
    co_await story.checkPromises();
}

asio::awaitable<void> tellNodeLeaves(FleetStory &story)
{
    co_await story.becomeReady();
    story.client.startLoad(makeLoad());
    co_await story.client.pause(milliseconds(200));
    story.fleet.nodes()[2]->node->signal(SIGTERM);
    const std::vector<size_t> others = nodesWithout(2);
    const bool served = co_await story.client.waitServed(others, KeyCount);
    cr_assert(served);
    cr_assert(story.fleet.nodes()[2]->node->wait() == 0);
    co_await story.checkPromises();
}

asio::awaitable<void> tellBackendDrains(FleetStory &story)
{
    co_await story.becomeReady();
    story.client.startLoad(makeLoad());
    co_await story.client.controlBackend(1, "{\"draining\": true}");
    const FleetClient::Condition empty = std::bind(ownsNothing, std::ref(story), 0, 1);
    const bool moved = co_await story.client.waitUntil(empty);
    cr_assert(moved);
    co_await story.checkPromises();
}

} // namespace

// The caller sees: some requests not run or unknown for a while, then all keys answered again.
// An owner is killed while requests run; its members' lease is outwaited, its ranges get new
// owners with higher epochs, and no key is ever run by two of them.
Test(fleet, owner_killed)
{
    FleetStory("owner-killed").tell(tellOwnerKilled);
}

// The caller sees: answers from the new owner only, although the old one comes back believing.
// An owner is stopped for longer than its lease, its ranges move, then it goes on. Its first act
// must be to find its lease lapsed: the boot clock ran on while it was stopped.
Test(fleet, owner_paused_beyond_its_lease)
{
    FleetStory("owner-paused").tell(tellOwnerPaused);
}

// The caller sees: nothing at all of the outage. The platform is down; owners go on under leases
// that need no platform call; an operator's change is refused by type; later it is accepted.
Test(fleet, platform_down)
{
    FleetStory("platform-down").tell(tellPlatformDown);
}

// The caller sees: some requests not run, then all answered. A write of the assignment takes
// effect but its reply is lost; the coordinator must read it back instead of guessing.
Test(fleet, platform_reply_lost)
{
    FleetStory("reply-lost").tell(tellReplyLost);
}

// The caller sees: answers throughout; what is in flight at the signal is finished. A node gets
// SIGTERM while requests run: it hands its ranges over and ends by itself with code 0.
Test(fleet, node_leaves_gracefully)
{
    FleetStory("node-leaves").tell(tellNodeLeaves);
}

// The caller sees: answers throughout. A backend server announces that it leaves; its ranges move
// by revoke and answer, so that nothing waits for a lease to lapse and nothing is cut.
Test(fleet, backend_drains)
{
    FleetStory("backend-drains").tell(tellBackendDrains);
}

Test(fleet, bad_settings)
{
    SECTION("every finding is printed, the exit code is 2 and nothing is started")
    {
        std::filesystem::create_directories("build/test/process-settings");
        std::ofstream("build/test/process-settings/bad.toml") << "[node]\nid = 0\n";
        ChildProcess node({environmentText("WISTERIAHOIST_BIN"), "node",
                           "--config=build/test/process-settings/bad.toml"},
                          "build/test/process-settings/bad.log");
        cr_assert(node.readLine().empty());
        cr_assert(node.wait() == 2);
    }
}
