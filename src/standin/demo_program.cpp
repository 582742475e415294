/** @file demo_program.cpp The demo: a fleet of processes, requests through every node, faults. */

#include "standin/demo_program.h"

#include "adapter/auth/fleet_authenticator.h"
#include "adapter/http/http_client.h"
#include "standin/backend_standin.h"
#include "standin/fleet.h"
#include "standin/request_audit.h"
#include "wisteriahoist/v1/operator.pb.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace wisteriahoist {

namespace {

constexpr milliseconds CallTimeout{5000};
constexpr milliseconds ReadyTimeout{20000};
constexpr milliseconds RecoveryTimeout{10000};
constexpr uint32_t KeyCount = 200;
constexpr uint32_t WorkersPerNode = 2;

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

/** @return Whether the first range of @p service has an owner. */
bool isServed(const v1::StatusReply &reply, const std::string &service)
{
    return std::any_of(reply.services().begin(), reply.services().end(),
                       [&service](const v1::ServiceAssignment &entry) {
                           return entry.service() == service && entry.slices_size() > 0
                                  && entry.slices(0).owner_node() != 0;
                       });
}

/** One run of the demo. */
class Demo
{
public:
    explicit Demo(DemoSettings settings)
        : settings_(std::move(settings)), fleet_(makeFleetSettings(settings_))
    { }

    int run();

private:
    static FleetSettings makeFleetSettings(const DemoSettings &settings);
    asio::awaitable<void> story();
    asio::awaitable<void> worker(FleetNode &node, uint32_t index);
    asio::awaitable<HttpResponse> ask(HttpClient &client, const std::string &key,
                                      const std::string &requestId);
    asio::awaitable<bool> waitReady();
    asio::awaitable<Result<v1::StatusReply>> status(const FleetNode &node);
    asio::awaitable<void> measureLatency();
    asio::awaitable<int64_t> killOwnerAndMeasure();
    asio::awaitable<void> collectLogs();
    asio::awaitable<void> pause(milliseconds duration);
    int apply(const std::string &folder);
    std::string makeChangedDeclarations() const;

    DemoSettings settings_;
    Fleet fleet_;
    asio::io_context context_;
    std::vector<CallerRecord> callers_;
    std::vector<ServerRecord> runs_;
    uint64_t lastRequest_ = 0;
    uint32_t workersRunning_ = 0;
    bool working_ = true;
    bool failed_ = false;
    int64_t recoveredMs_ = -1;
};

FleetSettings Demo::makeFleetSettings(const DemoSettings &settings)
{
    FleetSettings fleet;
    fleet.nodeBinary = settings.nodeBinary;
    fleet.standinBinary = std::filesystem::read_symlink("/proc/self/exe").string();
    fleet.directory = settings.directory;
    return fleet;
}

asio::awaitable<void> Demo::pause(milliseconds duration)
{
    asio::steady_timer timer(context_, duration);
    beast::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

int Demo::apply(const std::string &folder)
{
    return fleet_.runOperator({"apply", "--f=" + folder,
                               "--admin_port=" + std::to_string(fleet_.nodes().back()->adminPort)});
}

asio::awaitable<Result<v1::StatusReply>> Demo::status(const FleetNode &node)
{
    HttpClient client(context_.get_executor(), "127.0.0.1", node.adminPort);
    HttpRequest request(http::verb::post, "/wisteriahoist.v1.OperatorService/Status", 11);
    SignedCall call;
    call.method = "POST";
    call.target = "/wisteriahoist.v1.OperatorService/Status";
    call.audience = "127.0.0.1:" + std::to_string(node.adminPort);
    const auto now = std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
    request.set(boost::string_view(SignatureHeader.data(), SignatureHeader.size()),
                signCall(fleet_.keys(), call, now));
    Result<HttpResponse> answer = co_await client.exchange(std::move(request), CallTimeout);
    if (!answer) {
        co_return std::move(answer).as_failure();
    }
    v1::StatusReply reply;
    if (!reply.ParseFromString(answer.assume_value().body())) {
        co_return Failure{FailureCode::Malformed, "status"};
    }
    co_return reply;
}

asio::awaitable<bool> Demo::waitReady()
{
    const auto end = SteadyClock::now() + ReadyTimeout;
    while (SteadyClock::now() < end) {
        size_t ready = 0;
        for (const auto &node : fleet_.nodes()) {
            Result<v1::StatusReply> reply = co_await status(*node);
            const bool isReady = reply && reply.assume_value().lease_left_ms() > 0
                                 && static_cast<size_t>(reply.assume_value().roster_size())
                                            == fleet_.nodes().size()
                                 && isServed(reply.assume_value(), "profiles");
            ready += isReady ? 1 : 0;
        }
        if (ready == fleet_.nodes().size()) {
            co_return true;
        }
        co_await pause(milliseconds(100));
    }
    co_return false;
}

asio::awaitable<HttpResponse> Demo::ask(HttpClient &client, const std::string &key,
                                        const std::string &requestId)
{
    HttpRequest request(http::verb::get, "/profiles/" + key, 11);
    request.set(http::field::host, "profiles.poteglad.example");
    request.set("Request-Id", requestId);
    CallerRecord record;
    record.requestId = requestId;
    Result<HttpResponse> answer = co_await client.exchange(std::move(request), CallTimeout);
    HttpResponse response;
    if (answer) {
        response = std::move(answer.assume_value());
        const auto outcome = response["Wisteriahoist-Outcome"];
        record.outcome = outcome == "done"      ? ToldOutcome::Done
                         : outcome == "not-run" ? ToldOutcome::NotRun
                                                : ToldOutcome::Unknown;
        record.ownBytes = response.body() == makeBackendBody(key, requestId, "");
    } else {
        // A node that was killed tells nothing; a connection that was refused ran nothing.
        record.outcome = answer.assume_error().code == FailureCode::Unavailable
                                 ? ToldOutcome::NotRun
                                 : ToldOutcome::Unknown;
        response.result(http::status::service_unavailable);
    }
    callers_.push_back(record);
    co_return response;
}

asio::awaitable<void> Demo::worker(FleetNode &node, uint32_t index)
{
    ++workersRunning_;
    HttpClient client(context_.get_executor(), "127.0.0.1", node.callerPort);
    uint64_t count = index;
    while (working_) {
        const uint64_t request = ++lastRequest_;
        const std::string key = "sitter-" + std::to_string(count++ * 7919 % KeyCount);
        co_await ask(client, key, "r" + std::to_string(request));
        co_await pause(milliseconds(3));
    }
    --workersRunning_;
}

asio::awaitable<void> Demo::measureLatency()
{
    constexpr uint32_t Samples = 300;
    std::vector<SteadyClock::duration> direct;
    std::vector<SteadyClock::duration> forwarded;
    std::vector<SteadyClock::duration> alone;
    FleetNode &node = *fleet_.nodes().front();
    HttpClient client(context_.get_executor(), "127.0.0.1", node.callerPort);
    HttpClient backend(context_.get_executor(), "127.0.0.1", node.backendPort);
    for (uint32_t sample = 0; sample < Samples; ++sample) {
        const std::string key = "sitter-" + std::to_string(sample % KeyCount);
        auto start = SteadyClock::now();
        const HttpResponse response
                = co_await ask(client, key, "r" + std::to_string(++lastRequest_));
        const auto taken = SteadyClock::now() - start;
        const bool own = response["Wisteriahoist-Owner"].starts_with(std::to_string(node.id) + ";");
        (own ? direct : forwarded).push_back(taken);
        start = SteadyClock::now();
        (void)co_await backend.exchange(HttpRequest(http::verb::get, "/alone", 11), CallTimeout);
        alone.push_back(SteadyClock::now() - start);
    }
    const int64_t base = std::max<int64_t>(1, medianMicroseconds(alone));
    std::cout << "latency median: backend server alone " << base << " us; direct "
              << medianMicroseconds(direct) << " us (" << std::fixed
              << static_cast<double>(medianMicroseconds(direct)) / static_cast<double>(base)
              << " times); forwarded " << medianMicroseconds(forwarded) << " us ("
              << static_cast<double>(medianMicroseconds(forwarded)) / static_cast<double>(base)
              << " times)" << std::endl;
}

asio::awaitable<int64_t> Demo::killOwnerAndMeasure()
{
    FleetNode &victim = *fleet_.nodes()[2];
    FleetNode &asked = *fleet_.nodes()[4];
    HttpClient client(context_.get_executor(), "127.0.0.1", asked.callerPort);
    std::string key;
    for (uint32_t index = 0; index < KeyCount && key.empty(); ++index) {
        const std::string candidate = "sitter-" + std::to_string(index);
        const HttpResponse response
                = co_await ask(client, candidate, "r" + std::to_string(++lastRequest_));
        if (response["Wisteriahoist-Owner"].starts_with(std::to_string(victim.id) + ";")) {
            key = candidate;
        }
    }
    if (key.empty()) {
        co_return -1;
    }
    std::cout << "killing node " << victim.id << ", owner of " << key << std::endl;
    const auto start = SteadyClock::now();
    victim.node->signal(SIGKILL);
    victim.node->wait();
    while (SteadyClock::now() - start < RecoveryTimeout) {
        const HttpResponse response
                = co_await ask(client, key, "r" + std::to_string(++lastRequest_));
        if (response["Wisteriahoist-Outcome"] == "done") {
            co_return std::chrono::duration_cast<milliseconds>(SteadyClock::now() - start).count();
        }
        co_await pause(milliseconds(10));
    }
    co_return -1;
}

std::string Demo::makeChangedDeclarations() const
{
    std::string folder = settings_.directory + "/changed";
    std::filesystem::remove_all(folder);
    std::filesystem::copy(settings_.declarations, folder);
    std::ofstream extra(folder + "/extra.toml");
    extra << "[[service]]\nname = \"reviews\"\nhost = \"reviews.poteglad.example\"\n"
          << "[service.key_space]\nhash_seed = 9\n[[service.route]]\npath_prefix = \"/\"\n";
    return folder;
}

asio::awaitable<void> Demo::collectLogs()
{
    for (const auto &node : fleet_.nodes()) {
        HttpClient client(context_.get_executor(), "127.0.0.1", node->backendPort);
        Result<HttpResponse> answer
                = co_await client.exchange(HttpRequest(http::verb::get, "/_log", 11), CallTimeout);
        if (!answer) {
            failed_ = true;
            continue;
        }
        const boost::json::value log = boost::json::parse(answer.assume_value().body());
        for (const auto &entry : log.as_array()) {
            ServerRecord run;
            run.server = node->id;
            run.requestId = entry.at("request_id").as_string().c_str();
            run.key = entry.at("key").as_string().c_str();
            run.epoch = entry.at("epoch").to_number<uint64_t>();
            run.finished = entry.at("finished").as_bool();
            if (!run.requestId.empty()) {
                runs_.push_back(std::move(run));
            }
        }
    }
}

asio::awaitable<void> Demo::story()
{
    if (apply(settings_.declarations) != 0 || !co_await waitReady()) {
        std::cout << "the fleet did not become ready" << std::endl;
        failed_ = true;
        co_return;
    }
    std::cout << fleet_.nodes().size() << " nodes ready" << std::endl;
    co_await measureLatency();
    uint32_t index = 0;
    for (const auto &node : fleet_.nodes()) {
        for (uint32_t worker = 0; worker < WorkersPerNode; ++worker) {
            asio::co_spawn(context_, this->worker(*node, index++ * 31), asio::detached);
        }
    }
    co_await pause(milliseconds(1000));
    recoveredMs_ = co_await killOwnerAndMeasure();
    failed_ = failed_ || recoveredMs_ < 0;
    co_await pause(milliseconds(500));
    failed_ = failed_ || apply(makeChangedDeclarations()) != 0;
    std::cout << "declaration changed while requests run" << std::endl;
    co_await pause(milliseconds(1000));
    HttpClient drained(context_.get_executor(), "127.0.0.1", fleet_.nodes()[1]->backendPort);
    HttpRequest drain(http::verb::post, "/_control", 11);
    drain.body() = "{\"draining\": true}";
    (void)co_await drained.exchange(std::move(drain), CallTimeout);
    std::cout << "backend server of node 2 drains" << std::endl;
    co_await pause(milliseconds(3000));
    working_ = false;
    while (workersRunning_ > 0) {
        co_await pause(milliseconds(10));
    }
    co_await collectLogs();
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
    const AuditResult audit = auditRequests(callers_, runs_);
    if (audit.notRunButRan > 0) {
        std::cout << "told not run, but ran: " << audit.notRunButRan << std::endl;
    }
    std::cout << "demo: requests=" << audit.requests << " answered=" << audit.answered
              << " not_run=" << audit.notRun << " unknown=" << audit.unknown
              << " lost=" << audit.lost << " duplicated=" << audit.duplicated
              << " wrong_owner=" << audit.wrongOwner << " recovered_ms=" << recoveredMs_
              << std::endl;
    return failed_ || !audit.clean() ? 1 : 0;
}

} // namespace

int runDemo(const DemoSettings &settings)
{
    Demo demo(settings);
    return demo.run();
}

} // namespace wisteriahoist
