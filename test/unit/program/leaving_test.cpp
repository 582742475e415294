/** @file leaving_test.cpp Backend servers that leave, and processes of nodes that end. */

#include "adapter/codec/record_codec.h"
#include "core/hash_func.h"
#include "platform/backend_calls.h"
#include "platform/request_headers.h"
#include "program/sidecar_program.h"
#include "support/raw_http_client.h"
#include "support/scripted_store.h"
#include "support/test_section.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <unistd.h>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds AckTime{1000};   ///< A backend server waits so long for an acknowledgement.
constexpr milliseconds TestTime{10000}; ///< Far above what a step takes.
constexpr std::string_view Acknowledged = "HTTP/1.1 200";
constexpr std::string_view Refused = "HTTP/1.1 503";

/** A backend server that only answers health checks. */
class HealthBackend final : public BackendControl
{
public:
    asio::awaitable<ControlReply> grant(GrantRequest, milliseconds) override
    {
        co_return ControlReply();
    }
    asio::awaitable<ControlReply> release(ReleaseRequest, milliseconds) override
    {
        co_return ControlReply();
    }
    asio::awaitable<BackendStatus> pollOnce(milliseconds) override { co_return status; }
    asio::awaitable<BackendStatus> identify(milliseconds) override { co_return status; }

    BackendStatus status; ///< What a health check shows.
};

/** Below the ports that the kernel gives to connections, which other tests could get between the
 *  choice of a port and its use. Each test is a process of its own. */
uint16_t findFreePort()
{
    constexpr uint16_t FirstPort = 20000;
    constexpr uint16_t Ports = 12000;
    constexpr uint16_t PortsPerTest = 16;
    static uint16_t next = static_cast<uint16_t>(getpid() % (Ports / PortsPerTest) * PortsPerTest);
    asio::io_context context;
    while (true) {
        const auto port = static_cast<uint16_t>(FirstPort + next++ % Ports);
        tcp::acceptor acceptor(context, tcp::v4());
        beast::error_code error;
        acceptor.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), error);
        if (!error) {
            return port;
        }
    }
}

SidecarSettings makeSettings(const std::string &name)
{
    SidecarSettings settings;
    settings.name = name;
    settings.failureDomain = "domain";
    settings.service = "one";
    const Endpoint any{"127.0.0.1", 0};
    settings.backend = {"127.0.0.1", 1};
    settings.callers = any;
    settings.peers = {"127.0.0.1", findFreePort()};
    settings.readiness = any;
    settings.reports = {"127.0.0.1", findFreePort()};
    settings.metrics = any;
    return settings;
}

Result<BackendCall> decodeCall(const HttpRequest &request)
{
    Result<platform::ReportCall> call = platform::decodeReport(request);
    if (!call) {
        return std::move(call).as_failure();
    }
    return BackendCall{call.assume_value().report,
                       call.assume_value().kind == platform::ReportCall::Kind::Deregister};
}

/** One process of a node. */
struct NodeProcess {
    NodeProcess(ScriptedStore &store, const SidecarSettings &settings)
        : ports{store,
                backend,
                protocol,
                "main",
                [](std::string_view) -> Result<RouteConfig> {
                    return Failure{FailureCode::Malformed, "none here"};
                },
                decodeCall,
                platform::makeReportAck,
                calls},
          program(context, settings, ports)
    {
        program.start();
    }

    asio::io_context context{1};
    HealthBackend backend;
    platform::RequestHeaders protocol;
    StoreCallCounts calls;
    SidecarPorts ports;
    SidecarProgram program;
};

/** Nodes with a backend server each, that share one store. */
struct Fleet {
    explicit Fleet(size_t nodes)
    {
        for (size_t index = 0; index < nodes; ++index) {
            settings.push_back(makeSettings("n-" + std::to_string(index)));
            processes.push_back(nullptr);
            start(index);
        }
        for (size_t index = 0; index < nodes; ++index) {
            (void)report(index, 1);
        }
        cr_assert(runUntil([&]() {
            return std::count_if(settings.begin(), settings.end(),
                                 [&](const SidecarSettings &node) {
                                     return stateOf(node.name) == BackendState::Ready;
                                 })
                   == static_cast<ptrdiff_t>(nodes);
        }));
        (void)runFor(milliseconds(300)); // Until all nodes know all others.
    }

    void start(size_t index)
    {
        processes[index] = std::make_unique<NodeProcess>(store, settings[index]);
    }

    /** The process ends with all that it knows. */
    void kill(size_t index) { processes[index] = nullptr; }

    bool runUntil(const std::function<bool()> &holds, milliseconds longest = TestTime)
    {
        const auto end = std::chrono::steady_clock::now() + longest;
        while (!holds() && std::chrono::steady_clock::now() < end) {
            for (const auto &process : processes) {
                if (process) {
                    process->context.restart();
                    process->context.run_for(milliseconds(1));
                }
            }
        }
        return holds();
    }

    bool runFor(milliseconds time)
    {
        return runUntil([]() { return false; }, time);
    }

    /** @return Whether the answer to the call begins with @p status, in time. */
    bool call(size_t index, const std::string &action, const std::string &body,
              std::string_view status)
    {
        return callAs("i-" + std::to_string(index), index, action, body, status);
    }

    bool callAs(const std::string &backend, size_t index, const std::string &action,
                const std::string &body, std::string_view status)
    {
        RawHttpClient client(settings[index].reports.port);
        client.send("POST /-/instances/" + backend + "/" + action
                    + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size())
                    + "\r\n\r\n" + body);
        return runUntil(
                [&]() {
                    client.pollOnce();
                    return client.count(status) == 1;
                },
                AckTime);
    }

    bool report(size_t index, uint64_t sequence, const std::string &state = "ready",
                std::string_view status = Acknowledged)
    {
        return call(index, "heartbeat", makeBody(sequence, state), status);
    }

    static std::string makeBody(uint64_t sequence, const std::string &state)
    {
        return R"({"service":"one","address":"127.0.0.1:1","zone":"domain","version":"v1",)"
               R"("slots":4,"state":")"
               + state + R"(","cold_remaining":"0ms","sequence":)" + std::to_string(sequence) + "}";
    }

    /** @return Why a request of another node is not run there. */
    std::string askForRequest(size_t index)
    {
        asio::io_context context;
        PeerLink caller(context, "127.0.0.1", 0);
        MemberRecord member;
        member.node = NodeId(
                hashKey(settings[index].name + "@" + settings[index].peers.ip, 0).value() | 1U);
        member.ip = settings[index].peers.ip;
        member.peerPort = settings[index].peers.port;
        v1::HopRequest request;
        request.set_service("one");
        request.set_method("GET");
        request.set_target("/x");
        request.set_attempt_id("q");
        request.set_deadline_left_ms(AckTime.count());
        std::optional<Result<std::string>> bytes;
        const auto call = [&]() -> asio::awaitable<void> {
            bytes.emplace(co_await caller.call(member, "/hop", request.SerializeAsString(),
                                               CallTimes(AckTime)));
        };
        asio::co_spawn(context, call, asio::detached);
        (void)runUntil([&]() {
            context.restart();
            context.run_for(milliseconds(1));
            return bytes.has_value();
        });
        v1::HopReply reply;
        cr_assert(bytes && *bytes && reply.ParseFromString(bytes->assume_value()));
        return reply.reason();
    }

    bool deregister(size_t index, std::string_view status)
    {
        return call(index, "deregister", "", status);
    }

    /** @return The state in the store of the backend server beside the node @p name. */
    BackendState stateOf(const std::string &name) const
    {
        for (const StoredRecord &record : store.records(RecordKind::Members)) {
            const Result<MemberRecord> member = decodeMember(record.content);
            if (member && member.assume_value().name == name) {
                return member.assume_value().state;
            }
        }
        return BackendState::Absent;
    }

    asio::io_context unused;
    ScriptedStore store{unused};
    std::vector<SidecarSettings> settings;
    std::vector<std::unique_ptr<NodeProcess>> processes;
};

} // namespace

// Guards against a leaving that is acknowledged while the store is down and forgotten with the
// process: after a late report, requests reached the backend server until it ended.
Test(leaving, acknowledgement_outlasts_the_process_while_the_store_is_down)
{
    Fleet fleet(3);
    fleet.store.setDown(true);
    cr_assert(fleet.deregister(0, Acknowledged));
    fleet.kill(0);
    fleet.start(0);
    cr_assert(fleet.report(0, 2), "a report that was sent before");
    fleet.store.setDown(false);
    cr_assert(fleet.runUntil([&]() { return fleet.stateOf("n-0") == BackendState::Draining; }));
    (void)fleet.runFor(milliseconds(500));
    cr_assert(fleet.stateOf("n-0") == BackendState::Draining);
}

namespace {

/** A fleet in which the leaving of one backend server is acknowledged while the store is down, and
 *  all processes end; the store is back once all have started again. */
struct LostFleet : Fleet {
    explicit LostFleet(size_t nodes) : Fleet(nodes)
    {
        store.setDown(true);
        cr_assert(deregister(0, Acknowledged));
        for (size_t index = 0; index < nodes; ++index) {
            kill(index);
        }
        for (size_t index = 0; index < nodes; ++index) {
            start(index);
        }
        (void)runFor(milliseconds(500)); // Until the outage is seen.
    }

    void setHealth(size_t index, bool healthy)
    {
        processes[index]->backend.status = {true, healthy, false, "i-" + std::to_string(index)};
    }

    /** @return Whether requests of other nodes are run at the node @p index, once the store is
     *          back and the node has written its record. */
    bool isUsed(size_t index)
    {
        store.setDown(false);
        (void)runFor(milliseconds(2500));
        const bool used = askForRequest(index) != "no-backend";
        const auto isTold
                = [&]() { return used == (stateOf(settings[index].name) == BackendState::Ready); };
        cr_assert(runUntil(isTold), "the record in the store says the same");
        return used;
    }
};

} // namespace

// Guards against a leaving that is acknowledged while the store is down and forgotten when the
// processes of all nodes end: after a late report, requests reached the backend server.
Test(leaving, acknowledgement_outlasts_the_processes_of_all_nodes)
{
    SECTION("the backend server says that it leaves")
    {
        LostFleet fleet(3);
        fleet.setHealth(0, false);
        cr_assert(fleet.report(0, 2), "a report that was sent before");
        cr_assert(!fleet.isUsed(0));
    }
    SECTION("its health answers are wrong")
    {
        LostFleet fleet(3);
        fleet.setHealth(0, true);
        cr_assert(fleet.report(0, 2), "a report that was sent before");
        cr_assert(!fleet.isUsed(0));
    }
    SECTION("it does not answer health checks")
    {
        LostFleet fleet(3);
        cr_assert(fleet.report(0, 2), "a report that was sent before");
        cr_assert(!fleet.isUsed(0));
    }
    SECTION("the processes end once more")
    {
        LostFleet fleet(3);
        fleet.kill(0);
        fleet.kill(1);
        fleet.start(0);
        fleet.start(1);
        fleet.setHealth(0, false);
        cr_assert(fleet.report(0, 2), "a report that was sent before");
        cr_assert(!fleet.isUsed(0));
    }
    SECTION("one that stays is used")
    {
        LostFleet fleet(3);
        fleet.setHealth(1, true);
        cr_assert(fleet.report(1, 2));
        (void)fleet.runFor(milliseconds(700));
        cr_assert(fleet.report(1, 3));
        cr_assert(fleet.isUsed(1));
    }
}

// Guards against the same if the store is back before the processes are.
Test(leaving, acknowledgement_outlasts_the_processes_of_all_nodes_and_the_outage)
{
    const auto lose = [](Fleet &fleet) {
        fleet.store.setDown(true);
        cr_assert(fleet.deregister(0, Acknowledged));
        for (size_t index = 0; index < fleet.settings.size(); ++index) {
            fleet.kill(index);
        }
        fleet.store.setDown(false);
        for (size_t index = 0; index < fleet.settings.size(); ++index) {
            fleet.start(index);
            fleet.processes[index]->backend.status
                    = {true, index != 0, false, "i-" + std::to_string(index)};
        }
        (void)fleet.runFor(milliseconds(500));
    };
    Fleet fleet(3);
    lose(fleet);
    cr_assert(fleet.report(0, 2), "a report that was sent before");
    for (const uint64_t sequence : {2U, 3U}) {
        cr_assert(fleet.report(1, sequence));
        (void)fleet.runFor(milliseconds(1000));
    }
    cr_assert(fleet.askForRequest(0) == "no-backend");
    cr_assert(fleet.askForRequest(1) != "no-backend", "its backend server stays");
}

// Guards against an acknowledgement that is lost since the nodes that keep it end one after the
// other while the store is down.
Test(leaving, acknowledgement_outlasts_nodes_that_keep_it_one_after_the_other)
{
    Fleet fleet(3);
    fleet.store.setDown(true);
    cr_assert(fleet.deregister(0, Acknowledged));
    for (const size_t keeper : {1U, 2U}) {
        fleet.kill(keeper);
        fleet.start(keeper);
        (void)fleet.runFor(milliseconds(2500));
    }
    fleet.kill(0);
    fleet.start(0);
    cr_assert(fleet.report(0, 2), "a report that was sent before");
    fleet.store.setDown(false);
    cr_assert(fleet.runUntil([&]() { return fleet.stateOf("n-0") == BackendState::Draining; }));
}

// Guards against an acknowledgement that nothing but the process knows of.
Test(leaving, is_not_acknowledged_if_nothing_records_it)
{
    Fleet fleet(1);
    fleet.store.setDown(true);
    cr_assert(fleet.deregister(0, Refused));
    SECTION("nor a heartbeat that says so")
    {
        cr_assert(fleet.report(0, 2, "draining", Refused));
    }
    SECTION("until the store is back")
    {
        fleet.store.setDown(false);
        cr_assert(fleet.runUntil([&]() { return fleet.stateOf("n-0") == BackendState::Draining; }));
        cr_assert(fleet.deregister(0, Acknowledged));
    }
}

// Guards against an acknowledgement that precedes the write.
Test(leaving, acknowledgement_follows_the_write)
{
    Fleet fleet(2);
    cr_assert(fleet.deregister(0, Acknowledged));
    cr_assert(fleet.stateOf("n-0") == BackendState::Draining);
    SECTION("so the next process knows it, whatever report arrives first")
    {
        fleet.kill(0);
        fleet.start(0);
        (void)fleet.report(0, 2);
        (void)fleet.runFor(milliseconds(500));
        cr_assert(fleet.stateOf("n-0") == BackendState::Draining);
    }
    SECTION("and a heartbeat is acknowledged in the same way")
    {
        cr_assert(fleet.report(1, 2, "draining"));
        cr_assert(fleet.stateOf("n-1") == BackendState::Draining);
    }
}

// Guards against backend servers that get no requests for as long as the store is down, since their
// nodes were restarted meanwhile.
Test(leaving, process_that_starts_while_the_store_is_down_asks_the_backend_server)
{
    Fleet fleet(2);
    fleet.store.setDown(true);
    fleet.kill(0);
    fleet.start(0);
    HealthBackend &backend = fleet.processes[0]->backend;
    cr_assert(fleet.report(0, 2));
    (void)fleet.runFor(milliseconds(1000));
    cr_assert(fleet.askForRequest(0) == "no-backend");

    SECTION("one that leaves gets none")
    {
        backend.status.answered = true;
        backend.status.backend = "i-0";
        (void)fleet.runFor(milliseconds(1000));
        cr_assert(fleet.askForRequest(0) == "no-backend");
    }
    SECTION("one that is healthy does")
    {
        backend.status.healthy = true;
        cr_assert(fleet.report(0, 3));
        (void)fleet.runFor(milliseconds(1000));
        const std::string reason = fleet.askForRequest(0);
        cr_assert(reason == "unreachable", "%s", reason.c_str());
    }
}

// Guards against a leaving that is acknowledged and has no effect, since the node takes another
// incarnation for the current one.
Test(leaving, of_an_incarnation_in_doubt_is_acknowledged_once_the_backend_server_has_named_itself)
{
    const auto leave = [](Fleet &fleet, std::string_view status) {
        return fleet.callAs("i-next", 0, "heartbeat", Fleet::makeBody(1, "draining"), status);
    };
    Fleet fleet(1);
    HealthBackend &backend = fleet.processes[0]->backend;
    cr_assert(leave(fleet, Refused), "it does not answer");
    cr_assert(fleet.stateOf("n-0") != BackendState::Draining);
    SECTION("if it is that one, the leaving is recorded before")
    {
        backend.status = {true, true, false, "i-next"};
        cr_assert(leave(fleet, Acknowledged));
        cr_assert(fleet.stateOf("n-0") == BackendState::Draining);
    }
    SECTION("if it is not, nothing changes")
    {
        Fleet other(1);
        other.processes[0]->backend.status = {true, true, false, "i-0"};
        cr_assert(leave(other, Acknowledged));
        cr_assert(other.stateOf("n-0") == BackendState::Ready);
    }
}

// Guards against a deregistration that is acknowledged, but kept by the process alone, since the
// node takes another incarnation for the current one.
Test(leaving,
     deregistration_of_another_incarnation_is_acknowledged_once_the_backend_server_is_asked)
{
    const auto deregister = [](Fleet &fleet, std::string_view status) {
        return fleet.callAs("i-next", 0, "deregister", "", status);
    };
    Fleet fleet(1);
    HealthBackend &backend = fleet.processes[0]->backend;
    cr_assert(deregister(fleet, Refused), "it does not answer");
    SECTION("if it is that one, the leaving is recorded before")
    {
        backend.status = {true, true, false, "i-next"};
        cr_assert(deregister(fleet, Acknowledged));
        cr_assert(fleet.stateOf("n-0") == BackendState::Draining);
    }
    SECTION("if it is not, nothing changes")
    {
        Fleet other(1);
        other.processes[0]->backend.status = {true, true, false, "i-0"};
        cr_assert(deregister(other, Acknowledged));
        cr_assert(other.stateOf("n-0") == BackendState::Ready);
    }
    SECTION("also if that one was taken for ended")
    {
        Fleet taken(1);
        HealthBackend &server = taken.processes[0]->backend;
        server.status = {true, true, false, "i-0"};
        cr_assert(
                taken.callAs("i-next", 0, "heartbeat", Fleet::makeBody(1, "ready"), Acknowledged));
        server.status = {true, true, false, "i-next"};
        cr_assert(deregister(taken, Acknowledged));
        cr_assert(taken.stateOf("n-0") == BackendState::Draining);
    }
}
