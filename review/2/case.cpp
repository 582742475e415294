// Additional bytes after a complete answer are given to the next client as its answer.
#include "../world/world.h"

#include <random>

using namespace world;

namespace {

constexpr int Machines = 5;
constexpr int Garbling = 3;          // share 0.6 of five instances
constexpr double GarbleShare = 0.03; // x of their answers
constexpr double GarbleSeconds = 5.0;
constexpr int WorkMs = 48;
const char *const Service = "fixtures";

std::atomic<bool> garbles{false};
std::atomic<bool> stops{false};
std::mutex mutex;
int requests = 0;
int answered = 0;
int foreign = 0;

struct Behaviour {
    bool garbling = false;
    std::mutex guard;
    int answers = 0;
    int extras = 0;
    std::map<Conn *, std::string> late;

    bool handle(Instance &instance, Conn &conn, const Message &request)
    {
        const std::string attempt = request.get("X-Wisteriahoist-Attempt-Id");
        if (attempt.empty() || request.get("X-Wisteriahoist-Expect-Instance") != instance.id()) {
            instance.ordinary(conn, request);
            return true;
        }
        std::string extra;
        {
            std::lock_guard<std::mutex> lock(guard);
            if (const auto found = late.find(&conn); found != late.end()) {
                extra = found->second;
                late.erase(found);
            }
        }
        if (!extra.empty()) {
            note("instance " + instance.id() + " sends additional bytes where the answer to " + attempt + " is due");
            conn.send(extra);
        }
        instance.run(conn, request);
        std::lock_guard<std::mutex> lock(guard);
        answers += garbles ? 1 : 0;
        if (garbling && garbles && extras + 1 <= answers * GarbleShare) {
            ++extras;
            late[&conn] = response(200, {{"X-Wisteriahoist-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"}},
                                   "done " + attempt);
            note("instance " + instance.id() + " will send the answer to " + attempt + " again, without its id");
        }
        return true;
    }
};

void client(const Machine &machine, unsigned seed)
{
    std::mt19937 random(seed);
    std::unique_ptr<Conn> conn;
    while (!stops) {
        sleepMs(std::uniform_int_distribution<>(60, 180)(random));
        if (!conn) {
            conn = Conn::open(machine.ip, Machine::Outbound);
            if (!conn) {
                continue;
            }
        }
        Call call;
        call.host = "jepu9.example";
        call.target = "/fixtures/2f";
        call.deadlineMs = 2000;
        Message answer;
        const int status = exchange(*conn, call, machine.name, &answer);
        {
            std::lock_guard<std::mutex> lock(mutex);
            ++requests;
            answered += status == 200 ? 1 : 0;
            if (status == 200 && answer.body != "done " + call.attempt) {
                ++foreign;
                note("BROKEN: the client of " + call.attempt + " gets 200 with \"" + answer.body + "\"");
            }
        }
        if (status == 0 || lower(answer.get("Connection")) == "close") {
            conn.reset();
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = readArguments(argc, argv);
    const std::string net = freeNet();
    const std::string storeIp = net + "12";
    Store store(storeIp, 8627);
    json::array routes;
    routes.push_back(makeRoute("r-fixtures", "/fixtures/", "idempotent", Service, 2500, 1500));
    json::array services;
    services.push_back(makeService(Service, false));
    store.put("config", "main", makeConfig(routes, services));

    const std::vector<std::string> zones{"hall-north", "hall-south", "hall-annex"};
    std::vector<std::unique_ptr<Behaviour>> behaviours;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < Machines; ++i) {
        const Machine machine{net + std::to_string(i + 1), zones[static_cast<size_t>(i) % 3], Service,
                              "sidecar-" + std::to_string(i + 1)};
        behaviours.push_back(std::make_unique<Behaviour>());
        Behaviour *each = behaviours.back().get();
        each->garbling = i < Garbling;
        instances.push_back(std::make_unique<Instance>(
                machine, "i-" + std::to_string(i + 1), false, WorkMs,
                [each](Instance &a, Conn &b, const Message &c) { return each->handle(a, b, c); }));
        nodes.push_back(std::make_unique<Node>(machine, arguments.binary, arguments.directory, storeIp + ":8627"));
        nodes.back()->start();
        instances.back()->startReports();
    }
    const auto stop = [&]() {
        for (auto &node : nodes) {
            node->kill();
        }
    };
    const bool served = waitFor(20000, [&]() {
        return std::all_of(nodes.begin(), nodes.end(), [](const auto &node) {
            Call call;
            call.host = "jepu9.example";
            call.target = "/fixtures/2f";
            return exchange(node->machine(), call) == 200;
        });
    });
    if (!served) {
        note("the deployment doesn't serve");
        stop();
        return 2;
    }
    sleepMs(3000);
    std::vector<std::thread> clients;
    for (int i = 0; i < Machines * 4; ++i) {
        clients.emplace_back(client, nodes[static_cast<size_t>(i % Machines)]->machine(),
                             100U + static_cast<unsigned>(i));
    }
    sleepMs(3000);
    for (int window = 0; window < 3; ++window) {
        garbles = arguments.trouble;
        note(garbles ? "instances send additional bytes after answers" : "instances send sound answers");
        sleepMs(static_cast<int64_t>(GarbleSeconds * 1000));
        garbles = false;
        note("that is over");
        sleepMs(5000);
    }
    stops = true;
    for (std::thread &thread : clients) {
        thread.join();
    }
    stop();
    int extras = 0;
    for (const auto &behaviour : behaviours) {
        extras += behaviour->extras;
    }
    const std::string result = "requests=" + std::to_string(requests) + " answered=" + std::to_string(answered)
                               + " additional_answers=" + std::to_string(extras) + " foreign=" + std::to_string(foreign);
    note(result);
    printf("%s\n", result.c_str());
    fflush(stdout);
    _exit(foreign > 0 ? 1 : answered > 0 ? 0 : 2);
}
