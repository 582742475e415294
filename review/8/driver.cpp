/** @file driver.cpp The acknowledgement that an instance leaves, given while the store is down, is
 * forgotten when the processes of all nodes are killed. */

#include "../world-2/fleet.h"

#include <boost/json/src.hpp>

using namespace world;

namespace {

constexpr int64_t Drain = 2000;
/** stable_window after the store is back, and a half. */
constexpr int64_t InTouchAfter = 4500;

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    Fleet fleet(argv[1], argv[2]);
    fleet.store->put("config", "main",
                     makeConfig(7, {{"r-book", "book.example", "/slots/", true, "scheduler", 1200, 2}},
                                {{"scheduler", false}}));
    for (const char *zone : {"zone-a", "zone-b", "zone-c"}) {
        fleet.add(zone, "scheduler", false);
    }
    for (const auto &node : fleet.nodes) {
        const bool leaves = node == fleet.nodes.front();
        fleet.startNode(*node);
        fleet.startInstance(*node, leaves ? std::vector<std::string>{"--deregisters", "1",
                                                                     "--late-report",
                                                                     hasTrouble() ? "3500" : "0",
                                                                     "--serve-longer", "14000"}
                                          : std::vector<std::string>{});
    }
    fleet.awaitReady();
    sleepMs(6000);

    std::atomic<bool> ends{false};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (const auto &node : fleet.nodes) {
        for (int client = 0; client < 4; ++client) {
            clients.emplace_back([&, node = node.get()]() {
                while (!ends) {
                    const Answer answer
                            = fleet.request(*node, "GET", "book.example", "/slots/1", 2000);
                    served += answer.status == 200 ? 1 : 0;
                    sleepMs(50);
                }
            });
        }
    }
    sleepMs(3000);
    Fleet::Node &leaving = *fleet.nodes.front();
    const int64_t begun = nowMs();
    if (hasTrouble()) {
        fleet.store->down = true;
        fleet.record.line("the store is down");
    }
    sleepMs(300);
    ::kill(leaving.instance, SIGUSR1);
    sleepMs(1400);
    if (hasTrouble()) {
        fleet.record.line("the processes of all nodes are killed");
        for (const auto &node : fleet.nodes) {
            fleet.kill(node->node);
        }
        sleepMs(1000);
        for (const auto &node : fleet.nodes) {
            fleet.startNode(*node);
        }
    }
    sleepMs(begun + 4500 - nowMs());
    fleet.store->down = false;
    const int64_t back = nowMs();
    fleet.record.line("the store is up");
    const int64_t end = nowMs() + 20000;
    while (nowMs() < end && fleet.runs(leaving.instance)) {
        sleepMs(50);
    }
    leaving.instance = -1;
    sleepMs(1500);
    ends = true;
    for (std::thread &client : clients) {
        client.join();
    }
    int64_t acked = 0;
    int late = 0;
    int64_t latest = 0;
    for (const std::string &line : fleet.lines()) {
        std::istringstream words(line);
        int64_t at = 0;
        std::string who, id, what, attempt;
        words >> at >> who >> id >> what >> attempt;
        if (who != "instance" || id != leaving.instanceId) {
            continue;
        }
        acked = what == "leaving-acked" ? at : acked;
        // Sent when all machines were in touch: a client waits for 2000 ms at most.
        if (what == "run" && acked != 0 && at > acked + Drain && at > back + InTouchAfter) {
            ++late;
            latest = at - acked;
            fleet.record.line("BROKEN DRAIN " + attempt + " reached " + id + " "
                              + std::to_string(at - acked) + " ms after the ack of its leaving");
        }
    }
    const std::string sum = "sum: served=" + std::to_string(served) + " acked="
                            + (acked == 0 ? "no" : "yes") + " later_than_drain="
                            + std::to_string(late) + " latest_ms_after_ack="
                            + std::to_string(latest);
    fleet.record.line(sum);
    printf("%s\n", sum.c_str());
    if (served < 50 || acked == 0) {
        fleet.fail("too few requests were served, or the leaving has no ack");
    }
    fleet.end(late > 0 ? 1 : 0);
}
