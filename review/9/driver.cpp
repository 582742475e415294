/** @file driver.cpp After a final fault, one liveness report that names no instance to use reaches
 * each node; the nodes do not use their instances any more. */

#include "../world-2/fleet.h"

#include <boost/json/src.hpp>

using namespace world;

namespace {

constexpr int64_t Recovery = 15000;

struct Sent {
    int64_t at = 0;
    int status = 0;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    Fleet fleet(argv[1], argv[2]);
    fleet.heartbeat = 870;
    fleet.saysBorn = true;
    fleet.store->put("config", "main",
                     makeConfig(7, {{"r-sign", "sign.example", "/modules/", false, "certify", 1500, 2}},
                                {{"certify", false}}));
    for (const char *zone : {"zone-a", "zone-b", "zone-c"}) {
        fleet.add(zone, "certify", false);
    }
    for (const auto &node : fleet.nodes) {
        fleet.startNode(*node);
        fleet.startInstance(*node, {"--work", "140"});
    }
    fleet.awaitReady();
    sleepMs(3000);

    std::mutex mutex;
    std::vector<Sent> sent;
    std::atomic<bool> ends{false};
    std::vector<std::thread> clients;
    for (const auto &node : fleet.nodes) {
        clients.emplace_back([&, node = node.get()]() {
            while (!ends) {
                const int64_t at = nowMs();
                const Answer answer = fleet.request(*node, "POST", "sign.example", "/modules/3",
                                                    2000, -1, "signed");
                {
                    const std::lock_guard lock(mutex);
                    sent.push_back({at, answer.status});
                }
                sleepMs(150);
            }
        });
    }
    sleepMs(6000);
    fleet.record.line("final fault: the processes of all nodes are killed");
    const int64_t fault = nowMs();
    for (const auto &node : fleet.nodes) {
        fleet.kill(node->node);
    }
    sleepMs(1200);
    for (const auto &node : fleet.nodes) {
        fleet.startNode(*node);
    }
    const int64_t back = nowMs();
    sleepMs(4000);
    for (const auto &node : fleet.nodes) {
        if (!hasTrouble()) {
            break;
        }
        // The field `address` is missing, and `zone` is of another type.
        const json::object report{{"service", "certify"}, {"zone", 7}, {"version", "v1"},
                                  {"slots", 9}, {"state", "ready"}, {"cold_remaining", "0ms"},
                                  {"sequence", 1}, {"born", int64_t(time(nullptr)) * 1000}};
        const auto reply = call({node->ip, ControlPort},
                                makeRequest("POST", "/-/instances/i-of-another-writer/heartbeat",
                                            "control", "Content-Type: application/json\r\n",
                                            json::serialize(report)),
                                1000);
        fleet.record.line("odd report to " + node->name + ": " + json::serialize(report)
                          + " is answered " + std::to_string(reply ? reply->status() : 0));
    }
    while (nowMs() < back + Recovery + 10000) {
        sleepMs(100);
    }
    ends = true;
    for (std::thread &client : clients) {
        client.join();
    }
    int before = 0, servedBefore = 0, after = 0, servedAfter = 0;
    for (const Sent &entry : sent) {
        before += entry.at < fault - 2000;
        servedBefore += entry.at < fault - 2000 && entry.status == 200;
        after += entry.at > back + Recovery;
        servedAfter += entry.at > back + Recovery && entry.status == 200;
    }
    const std::string sum = "sum: before the final fault " + std::to_string(servedBefore) + " of "
                            + std::to_string(before) + " served; later than recovery after it "
                            + std::to_string(servedAfter) + " of " + std::to_string(after);
    fleet.record.line(sum);
    printf("%s\n", sum.c_str());
    if (before < 20 || after < 20 || servedBefore * 4 < before) {
        fleet.fail("too few requests were served before the final fault");
    }
    const bool broken = servedAfter * 4 < after;
    if (broken) {
        fleet.record.line("BROKEN RECOVER less than a quarter is served");
    }
    fleet.end(broken ? 1 : 0);
}
