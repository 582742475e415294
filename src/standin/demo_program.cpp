/** @file demo_program.cpp The demo: a fleet of processes, requests through every node, faults. */

#include "standin/demo_program.h"

#include "standin/fleet_client.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace wisteriahoist {

namespace {

constexpr milliseconds CallTimeout{5000};
constexpr milliseconds RecoveryBound{20000};
constexpr uint32_t KeyCount = 200;
constexpr uint32_t LatencySamples = 300;
constexpr size_t KilledNode = 2; ///< Index; its keys must be served by another.
constexpr size_t DrainedNode = 1;
constexpr size_t AskedNode = 4; ///< Through this one recovery is watched.
constexpr int64_t NotRecovered = -1;

using SteadyClock = std::chrono::steady_clock;

/** @return The middle value of @p values in microseconds; 0 if there are none. */
int64_t medianMicroseconds(std::vector<SteadyClock::duration> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return std::chrono::duration_cast<std::chrono::microseconds>(*middle).count();
}

std::vector<size_t> allIndexes(size_t count)
{
    std::vector<size_t> indexes(count);
    for (size_t index = 0; index < count; ++index) {
        indexes[index] = index;
    }
    return indexes;
}

/** One run of the demo. */
class Demo
{
public:
    explicit Demo(DemoSettings settings)
        : settings_(std::move(settings)), fleet_(makeFleetSettings(settings_)),
          client_(context_, fleet_)
    { }

    int run();

private:
    static FleetSettings makeFleetSettings(const DemoSettings &settings);
    asio::awaitable<void> story();
    asio::awaitable<void> measureLatency();
    asio::awaitable<int64_t> killOwnerAndMeasure();
    asio::awaitable<bool> drainBackend();
    int apply(const std::string &folder);
    std::string makeChangedDeclarations() const;
    void require(bool holds, const char *what);

    DemoSettings settings_;
    Fleet fleet_;
    asio::io_context context_;
    FleetClient client_;
    AuditResult audit_;
    bool failed_ = false;
    int64_t recoveredMs_ = NotRecovered;
};

FleetSettings Demo::makeFleetSettings(const DemoSettings &settings)
{
    FleetSettings fleet;
    fleet.nodeBinary = settings.nodeBinary;
    fleet.standinBinary = std::filesystem::read_symlink("/proc/self/exe").string();
    fleet.directory = settings.directory;
    return fleet;
}

void Demo::require(bool holds, const char *what)
{
    if (!holds) {
        std::cout << "failed: " << what << std::endl;
        failed_ = true;
    }
}

int Demo::apply(const std::string &folder)
{
    return fleet_.runOperator(
            {"apply", "--f=" + folder,
             "--admin_port=" + std::to_string(fleet_.nodes()[AskedNode]->adminPort)});
}

asio::awaitable<void> Demo::measureLatency()
{
    std::vector<SteadyClock::duration> direct;
    std::vector<SteadyClock::duration> forwarded;
    std::vector<SteadyClock::duration> alone;
    FleetNode &node = *fleet_.nodes().front();
    HttpClient client(context_.get_executor(), "127.0.0.1", node.callerPort);
    HttpClient backend(context_.get_executor(), "127.0.0.1", node.backendPort);
    for (uint32_t sample = 0; sample < LatencySamples; ++sample) {
        auto start = SteadyClock::now();
        const HttpResponse response
                = co_await client_.ask(client, FleetClient::keyName(sample % KeyCount));
        const auto taken = SteadyClock::now() - start;
        const bool own = response["Wisteriahoist-Owner"].starts_with(std::to_string(node.id) + ";");
        (own ? direct : forwarded).push_back(taken);
        HttpRequest request(http::verb::get, "/alone", 11);
        start = SteadyClock::now();
        (void)co_await backend.exchange(std::move(request), CallTimeout);
        alone.push_back(SteadyClock::now() - start);
    }
    const auto base = static_cast<double>(std::max<int64_t>(1, medianMicroseconds(alone)));
    std::cout << "latency median: backend server alone " << medianMicroseconds(alone)
              << " us; direct " << static_cast<double>(medianMicroseconds(direct)) / base
              << " times; forwarded " << static_cast<double>(medianMicroseconds(forwarded)) / base
              << " times" << std::endl;
}

asio::awaitable<int64_t> Demo::killOwnerAndMeasure()
{
    std::string key;
    for (uint32_t index = 0; index < KeyCount && key.empty(); ++index) {
        if (co_await client_.findOwner(AskedNode, FleetClient::keyName(index)) == KilledNode) {
            key = FleetClient::keyName(index);
        }
    }
    if (key.empty()) {
        co_return NotRecovered;
    }
    std::cout << "killing node " << fleet_.nodes()[KilledNode]->id << ", owner of " << key
              << std::endl;
    const auto start = SteadyClock::now();
    fleet_.nodes()[KilledNode]->node->signal(SIGKILL);
    fleet_.nodes()[KilledNode]->node->wait();
    while (SteadyClock::now() - start < RecoveryBound) {
        const HttpResponse response = co_await client_.askNode(AskedNode, key);
        if (response["Wisteriahoist-Outcome"] == "done") {
            co_return std::chrono::duration_cast<milliseconds>(SteadyClock::now() - start).count();
        }
        co_await client_.pause(milliseconds(10));
    }
    co_return NotRecovered;
}

asio::awaitable<bool> Demo::drainBackend()
{
    std::cout << "backend server of node " << fleet_.nodes()[DrainedNode]->id << " drains"
              << std::endl;
    co_await client_.controlBackend(DrainedNode, "{\"draining\": true}");
    const FleetClient::Condition condition = [this]() -> asio::awaitable<bool> {
        Result<v1::StatusReply> reply = co_await client_.status(AskedNode);
        if (!reply) {
            co_return false;
        }
        for (const v1::ServiceAssignment &service : reply.assume_value().services()) {
            for (const v1::Slice &slice : service.slices()) {
                if (slice.owner_node() == fleet_.nodes()[DrainedNode]->id) {
                    co_return false;
                }
            }
        }
        co_return true;
    };
    co_return co_await client_.waitUntil(condition);
}

std::string Demo::makeChangedDeclarations() const
{
    std::string folder = settings_.directory + "/changed";
    std::filesystem::remove_all(folder);
    std::filesystem::copy(settings_.declarations, folder);
    std::ofstream extra(folder + "/extra.toml");
    extra << "[[service]]\nname = \"sitter-photos\"\nhost = \"photos.poteglad.example\"\n"
          << "[service.key_space]\nhash_seed = 9\n[[service.route]]\npath_prefix = \"/\"\n";
    return folder;
}

asio::awaitable<void> Demo::story()
{
    require(apply(settings_.declarations) == 0, "declarations accepted");
    const std::vector<size_t> all = allIndexes(fleet_.nodes().size());
    const bool ready = co_await client_.waitReady(all, all.size())
                       && co_await client_.waitServed(all, KeyCount);
    require(ready, "the fleet becomes ready");
    if (!ready) {
        co_return;
    }
    std::cout << fleet_.nodes().size() << " nodes ready" << std::endl;
    co_await measureLatency();
    CallerLoad load;
    load.keys = KeyCount;
    client_.startLoad(load);
    co_await client_.pause(milliseconds(1000));
    recoveredMs_ = co_await killOwnerAndMeasure();
    require(recoveredMs_ != NotRecovered, "the killed owner's key is served again");
    co_await client_.pause(milliseconds(500));
    require(apply(makeChangedDeclarations()) == 0, "the changed declaration is accepted");
    std::cout << "declaration changed while requests run" << std::endl;
    co_await client_.pause(milliseconds(500));
    require(co_await drainBackend(), "the drained backend server owns nothing");
    co_await client_.pause(milliseconds(500));
    co_await client_.stopLoad();
    audit_ = co_await client_.audit();
}

int Demo::run()
{
    asio::co_spawn(context_, story(), [](const std::exception_ptr &error) {
        if (error) {
            std::rethrow_exception(error);
        }
    });
    context_.run();
    for (const auto &node : fleet_.nodes()) {
        node->node->signal(SIGTERM);
        node->backend->signal(SIGTERM);
    }
    require(audit_.notRunButRan == 0, "told not run means not run");
    std::cout << "idempotent requests run again by a retry: " << audit_.repeated << std::endl;
    std::cout << "demo: requests=" << audit_.requests << " answered=" << audit_.answered
              << " not_run=" << audit_.notRun << " unknown=" << audit_.unknown
              << " lost=" << audit_.lost << " duplicated=" << audit_.duplicated
              << " wrong_owner=" << audit_.wrongOwner << " recovered_ms=" << recoveredMs_
              << std::endl;
    return failed_ || !audit_.clean() ? 1 : 0;
}

} // namespace

int runDemo(const DemoSettings &settings)
{
    Demo demo(settings);
    return demo.run();
}

} // namespace wisteriahoist
