// The address of an instance goes to an instance of another service; requests that begin on that
// machine are still sent in the name of the former service.
#include "../world/world.h"

using namespace world;

namespace {

std::mutex mutex;
std::map<std::string, std::string> callers; ///< Caller service that an instance was told, by attempt.

bool look(Instance &instance, Conn &, const Message &request)
{
    const std::string attempt = request.get("X-Wisteriahoist-Attempt-Id");
    if (!attempt.empty()) {
        std::lock_guard<std::mutex> lock(mutex);
        callers[attempt] = request.get("X-Wisteriahoist-Caller-Service");
        note("instance " + instance.id() + " gets " + attempt + " for the caller " + callers[attempt]);
    }
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = readArguments(argc, argv);
    const std::string net = freeNet();
    const std::string storeIp = net + "12";
    Store store(storeIp, 8627);
    json::array routes;
    json::array services;
    for (const std::string name : {"reports", "scheduler", "fixtures"}) {
        routes.push_back(makeRoute("r-" + name, "/" + name + "/", "idempotent", name, 1500, 600));
        services.push_back(makeService(name, false));
    }
    store.put("config", "main", makeConfig(routes, services));

    const std::vector<std::string> names{"fixtures", "reports", "scheduler", "fixtures", "reports", "scheduler"};
    const std::vector<std::string> zones{"hall-north", "hall-south", "hall-annex"};
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<std::unique_ptr<Node>> nodes;
    for (size_t i = 0; i < names.size(); ++i) {
        const Machine machine{net + std::to_string(i + 1), zones[i % 3], names[i], "sidecar-" + std::to_string(i + 1)};
        instances.push_back(std::make_unique<Instance>(machine, "i-" + std::to_string(i + 1), false, 50, look));
        nodes.push_back(std::make_unique<Node>(machine, arguments.binary, arguments.directory, storeIp + ":8627"));
        nodes.back()->start();
        instances.back()->startReports();
    }
    const auto send = [&](const Machine &machine, const std::string &service) {
        Call call;
        call.host = "jepu9.example";
        call.target = "/" + service + "/2f";
        call.deadlineMs = 1500;
        return std::pair(call.attempt, exchange(machine, call));
    };
    const bool served = waitFor(20000, [&]() {
        return std::all_of(names.begin(), names.end(),
                           [&](const std::string &name) { return send(nodes[0]->machine(), name).second == 200; });
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
    Machine changed = nodes[0]->machine();
    std::unique_ptr<Instance> next;
    if (arguments.trouble) {
        note("the instance at sidecar-1 ends for good");
        instances[0]->crash();
        sleepMs(3000); // addr_reuse is 2 s
        changed.service = "scheduler";
        note("its address goes to the service scheduler: the settings file says so, SIGHUP");
        nodes[0]->rewrite(changed);
        nodes[0]->signal(SIGHUP);
        sleepMs(500);
        next = std::make_unique<Instance>(changed, "i-7", false, 50, look);
        next->startReports();
    }
    // Far beyond the time for changes: the file is read again every few seconds at the latest.
    sleepMs(12000);
    int wrong = 0;
    int sent = 0;
    int ran = 0;
    for (int n = 0; n < 60; ++n) {
        const auto [attempt, status] = send(changed, n % 2 == 0 ? "reports" : "fixtures");
        ++sent;
        std::lock_guard<std::mutex> lock(mutex);
        const auto found = callers.find(attempt);
        ran += status == 200 ? 1 : 0;
        if (found != callers.end() && found->second != changed.service) {
            ++wrong;
            note("BROKEN: " + attempt + " began on the machine of " + changed.service + " and came for the caller "
                 + found->second);
        }
        sleepMs(50);
    }
    const int served2 = next ? next->ran.load() : 0;
    stop();
    const std::string result = "sent=" + std::to_string(sent) + " served=" + std::to_string(ran)
                               + " with_another_caller_service=" + std::to_string(wrong);
    note(result + " run_by_the_new_instance=" + std::to_string(served2));
    printf("%s\n", result.c_str());
    fflush(stdout);
    _exit(wrong > 0 ? 1 : ran > 0 ? 0 : 2);
}
