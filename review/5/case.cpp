// An instance's leaving is acknowledged while the store is down; after the restart of its node the
// acknowledgement is forgotten.
#include "../world/world.h"

using namespace world;

namespace {
std::atomic<bool> stops{false};
std::mutex mutex;
std::vector<std::pair<double, std::string>> arrivals; ///< At the instance that leaves.
} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = readArguments(argc, argv);
    const std::string net = freeNet();
    const std::string storeIp = net + "12";
    Store store(storeIp, 8627);
    json::array routes;
    routes.push_back(makeRoute("r-fixtures", "/fixtures/", "idempotent", "fixtures", 1500, 600));
    json::array services;
    services.push_back(makeService("fixtures", false));
    store.put("config", "main", makeConfig(routes, services));

    const std::vector<std::string> zones{"hall-north", "hall-north", "hall-south", "hall-annex"};
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<std::unique_ptr<Node>> nodes;
    for (size_t i = 0; i < 4; ++i) {
        const Machine machine{net + std::to_string(i + 1), zones[i], "fixtures", "sidecar-" + std::to_string(i + 1)};
        instances.push_back(std::make_unique<Instance>(
                machine, "i-" + std::to_string(i + 1), false, 50, [i](Instance &, Conn &, const Message &request) {
                    if (i == 0) {
                        std::lock_guard<std::mutex> lock(mutex);
                        arrivals.emplace_back(seconds(), request.get("X-Wisteriahoist-Attempt-Id"));
                    }
                    return false;
                }));
        nodes.push_back(std::make_unique<Node>(machine, arguments.binary, arguments.directory, storeIp + ":8627"));
        nodes.back()->start();
        instances.back()->startReports();
    }
    const auto send = [&](const Machine &machine) {
        Call call;
        call.host = "jepu9.example";
        call.target = "/fixtures/2f";
        call.deadlineMs = 1500;
        return exchange(machine, call);
    };
    const bool served = waitFor(20000, [&]() {
        return std::all_of(nodes.begin(), nodes.end(),
                           [&](const auto &node) { return send(node->machine()) == 200; });
    });
    const auto stop = [&]() {
        for (auto &node : nodes) {
            node->kill();
        }
    };
    if (!served) {
        note("the deployment doesn't serve");
        stop();
        return 2;
    }
    sleepMs(3000);
    std::vector<std::thread> clients;
    std::atomic<int> answered{0};
    std::atomic<int> sent{0};
    for (size_t i = 1; i < 4; ++i) { // the clients of the machine that leaves have gone
        clients.emplace_back([&, i]() {
            while (!stops) {
                ++sent;
                answered += send(nodes[i]->machine()) == 200 ? 1 : 0;
                sleepMs(40);
            }
        });
    }
    sleepMs(3000);
    Instance &leaving = *instances[0];
    if (arguments.trouble) {
        note("the store is down (silent)");
        store.setDown(true);
    }
    const double down = seconds();
    sleepMs(600);
    const uint64_t late = leaving.sequence() + 1; // sent just now, held up on its way
    leaving.stopReports();
    leaving.leaving = true;
    const int ack = leaving.call("/-/instances/" + leaving.id() + "/deregister", "");
    const double acked = seconds();
    note("the instance " + leaving.id() + " says that it leaves, and is answered " + std::to_string(ack));
    if (arguments.trouble) {
        sleepMs(500);
        note("the node of sidecar-1 is killed");
        nodes[0]->kill();
        sleepMs(500);
        nodes[0]->start(false);
        sleepMs(1000);
        leaving.leaving = false; // as when the report was sent
        const int answer = leaving.report(late);
        leaving.leaving = true;
        note("a report of " + leaving.id() + " that was sent before arrives, and is answered "
             + std::to_string(answer));
        while (seconds() < down + 4.5) {
            sleepMs(20);
        }
        store.setDown(false);
        note("the store is back");
    }
    // In touch again: stable_window (3 s) after the store is back and the node was started.
    const double inTouch = arguments.trouble ? seconds() + 3.0 : seconds();
    while (seconds() < acked + 15) {
        sleepMs(50);
    }
    note("the instance " + leaving.id() + " ends");
    stops = true;
    for (std::thread &client : clients) {
        client.join();
    }
    stop();
    int broken = 0;
    double last = 0;
    for (const auto &[at, attempt] : arrivals) {
        if (at > acked + 2.0 && at > inTouch + 1.5) { // also sent by machines in touch
            ++broken;
            last = at - acked;
            note("BROKEN: " + attempt + " reached the leaving instance " + std::to_string(at - acked)
                 + " s after the ack");
        }
    }
    const std::string result = "sent=" + std::to_string(sent) + " answered=" + std::to_string(answered) + " ack="
                               + std::to_string(ack) + " reached_the_leaving_instance_after_drain="
                               + std::to_string(broken) + " last_s=" + std::to_string(last);
    note(result);
    printf("%s\n", result.c_str());
    fflush(stdout);
    _exit(ack != 200 ? 2 : broken > 0 ? 1 : answered > 0 ? 0 : 2);
}
