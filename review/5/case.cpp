// After the end of all node processes, the delayed liveness report of an instance's earlier lifetime
// makes the node refuse the present lifetime for good.
#include "../world/world.h"

#include <random>

using namespace world;

namespace {

constexpr int Machines = 5;
constexpr double Recovery = 15; // seconds, as the settings say
std::atomic<bool> stops{false};
std::mutex mutex;

struct Sent {
    double at = 0;
    int status = 0;
};
std::vector<Sent> sent;

/** Eight of ten requests go to the reports, as many as one instance serves easily. */
void client(const Machine &machine, unsigned seed)
{
    std::mt19937 random(seed);
    while (!stops) {
        sleepMs(std::uniform_int_distribution<>(300, 700)(random));
        Call call;
        call.host = "jepu9.example";
        const int draw = std::uniform_int_distribution<>(0, 9)(random);
        call.target = draw < 8 ? "/reports/2f" : draw == 8 ? "/scheduler/2f" : "/fixtures/2f";
        call.deadlineMs = 1500;
        const double at = seconds();
        const int status = exchange(machine, call);
        std::lock_guard<std::mutex> lock(mutex);
        sent.push_back({at, status});
    }
}

double servedShare(double from, double to, size_t &count)
{
    std::lock_guard<std::mutex> lock(mutex);
    size_t served = 0;
    count = 0;
    for (const Sent &each : sent) {
        if (each.at >= from && each.at < to) {
            ++count;
            served += each.status == 200 ? 1 : 0;
        }
    }
    return count == 0 ? 0 : static_cast<double>(served) / static_cast<double>(count);
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = readArguments(argc, argv);
    const std::string net = freeNet();
    const std::string storeIp = net + "12";
    Store store(storeIp, 8627);
    const std::vector<std::string> names{"reports", "scheduler", "scheduler", "fixtures", "fixtures"};
    json::array routes;
    json::array services;
    for (const std::string name : {"reports", "scheduler", "fixtures"}) {
        routes.push_back(makeRoute("r-" + name, "/" + name + "/", "idempotent", name, 1500, 600));
        services.push_back(makeService(name, false));
    }
    store.put("config", "main", makeConfig(routes, services));

    const std::vector<std::string> zones{"hall-north", "hall-south", "hall-annex"};
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < Machines; ++i) {
        const Machine machine{net + std::to_string(i + 1), zones[static_cast<size_t>(i) % 3],
                              names[static_cast<size_t>(i)], "sidecar-" + std::to_string(i + 1)};
        instances.push_back(std::make_unique<Instance>(machine, "i-" + std::to_string(i + 1) + "-first", false, 100));
        nodes.push_back(std::make_unique<Node>(machine, arguments.binary, arguments.directory, storeIp + ":8627"));
        nodes.back()->start();
        instances.back()->startReports();
    }
    const bool served = waitFor(20000, [&]() {
        return std::all_of(names.begin(), names.end(), [&](const std::string &name) {
            Call call;
            call.host = "jepu9.example";
            call.target = "/" + name + "/2f";
            return exchange(nodes[4]->machine(), call) == 200;
        });
    });
    if (!served) {
        note("the deployment doesn't serve");
        for (auto &node : nodes) {
            node->kill();
        }
        return 2;
    }
    sleepMs(3000);
    std::vector<std::thread> clients;
    for (int i = 0; i < Machines * 4; ++i) {
        clients.emplace_back(client, nodes[static_cast<size_t>(i % Machines)]->machine(), 7U + static_cast<unsigned>(i));
    }
    const double before = seconds();
    sleepMs(6000);
    const double fault = seconds();
    Instance &first = *instances[0];
    std::unique_ptr<Instance> second;
    const uint64_t delayed = first.sequence() + 1;
    if (arguments.trouble) {
        note("the instance " + first.id() + " is cut off from control; its report " + std::to_string(delayed)
             + " is on its way");
        first.crash();
        sleepMs(1000);
        second = std::make_unique<Instance>(first.machine(), "i-1-second", false, 100);
        sleepMs(500);
    }
    note("final fault: all node processes are killed");
    for (auto &node : nodes) {
        node->kill();
    }
    sleepMs(1000);
    for (auto &node : nodes) {
        node->start(false);
    }
    const bool back = waitFor(10000, [&]() {
        return std::all_of(nodes.begin(), nodes.end(), [](const auto &node) { return node->isReady(); });
    });
    note(back ? "all nodes are ready" : "not all nodes are ready");
    if (arguments.trouble) {
        sleepMs(1500);
        note("the cut is over: the present lifetime " + second->id() + " reports");
        second->startReports();
        sleepMs(700);
        const int answer = first.report(delayed);
        note("the delayed report of " + first.id() + " arrives, and is answered " + std::to_string(answer));
    }
    const double healed = seconds();
    const double judged = healed + Recovery;
    sleepMs(static_cast<int64_t>(Recovery * 1000) + 15000);
    const double end = seconds() - 2;
    stops = true;
    for (std::thread &thread : clients) {
        thread.join();
    }
    size_t countBefore = 0;
    size_t countAfter = 0;
    const double shareBefore = servedShare(before, fault, countBefore);
    const double shareAfter = servedShare(judged, end, countAfter);
    for (auto &node : nodes) {
        node->kill();
    }
    const bool broken = shareBefore >= 0.25 && shareAfter < 0.25;
    char result[200];
    snprintf(result, sizeof result, "before: requests=%zu served=%.3f after recovery: requests=%zu served=%.3f",
             countBefore, shareBefore, countAfter, shareAfter);
    note(std::string(broken ? "BROKEN: " : "") + result);
    printf("%s\n", result);
    fflush(stdout);
    _exit(broken ? 1 : shareBefore >= 0.25 && countAfter > 0 ? 0 : 2);
}
