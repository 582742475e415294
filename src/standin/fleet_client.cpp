/** @file fleet_client.cpp Callers of a fleet of real processes, and the records for the audit. */

#include "standin/fleet_client.h"

#include "adapter/auth/fleet_authenticator.h"
#include "adapter/clock/sleep_func.h"
#include "standin/backend_standin.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace wisteriahoist {

namespace {

constexpr milliseconds CallTimeout{8000};
constexpr milliseconds WaitBound{60000};
constexpr milliseconds PollInterval{50};
constexpr uint64_t KeyStride = 7919; ///< A prime: each worker goes through all keys.
const std::string LocalIp = "127.0.0.1";

ToldOutcome toldOutcome(const HttpResponse &response)
{
    const auto outcome = response["Wisteriahoist-Outcome"];
    if (outcome == "done") {
        return ToldOutcome::Done;
    }
    return outcome == "not-run" ? ToldOutcome::NotRun : ToldOutcome::Unknown;
}

/** @return Whether every range of @p name has an owner; other services may have no instance. */
bool knowsAllOwners(const v1::StatusReply &reply, const std::string &name)
{
    for (const v1::ServiceAssignment &service : reply.services()) {
        if (service.service() == name) {
            return std::all_of(service.slices().begin(), service.slices().end(),
                               [](const v1::Slice &slice) { return slice.owner_node() != 0; });
        }
    }
    return false;
}

} // namespace

FleetClient::FleetClient(asio::io_context &context, Fleet &fleet) : context_(context), fleet_(fleet)
{ }

asio::awaitable<void> FleetClient::pause(milliseconds duration)
{
    co_await sleepFor(duration);
}

asio::awaitable<bool> FleetClient::waitUntil(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + WaitBound;
    while (std::chrono::steady_clock::now() < end) {
        if (co_await condition()) {
            co_return true;
        }
        co_await pause(PollInterval);
    }
    co_return false;
}

asio::awaitable<HttpResponse> FleetClient::ask(HttpClient &client, std::string key,
                                               http::verb method)
{
    const std::string requestId = "r" + std::to_string(++lastRequest_);
    HttpRequest request(method, "/profiles/" + key, 11);
    request.set(http::field::host, "profiles.poteglad.example");
    request.set("Request-Id", requestId);
    if (method == http::verb::post) {
        request.set("Idempotency-Key", "\"" + requestId + "\";age=0");
    }
    Result<HttpResponse> answer = co_await client.exchange(std::move(request), CallTimeout);
    CallerRecord record;
    record.requestId = requestId;
    record.mustNotRepeat = method == http::verb::post;
    HttpResponse response(http::status::service_unavailable, 11);
    if (answer) {
        response = std::move(answer.assume_value());
        record.outcome = toldOutcome(response);
        record.ownBytes = response.body() == makeBackendBody(key, requestId, "");
    } else if (answer.assume_error().code == FailureCode::Unavailable) {
        // The connection was refused: not a byte of the request was sent.
        record.outcome = ToldOutcome::NotRun;
    }
    callers_.push_back(record);
    co_return response;
}

asio::awaitable<HttpResponse> FleetClient::askNode(size_t index, std::string key)
{
    HttpClient client(context_.get_executor(), LocalIp, fleet_.nodes()[index]->callerPort);
    co_return co_await ask(client, std::move(key));
}

asio::awaitable<Result<v1::StatusReply>> FleetClient::status(size_t index)
{
    HttpClient client(context_.get_executor(), LocalIp, fleet_.nodes()[index]->adminPort);
    HttpRequest request(http::verb::post, "/wisteriahoist.v1.OperatorService/Status", 11);
    SignedCall call;
    call.method = "POST";
    call.target = "/wisteriahoist.v1.OperatorService/Status";
    call.audience = LocalIp + ":" + std::to_string(fleet_.nodes()[index]->adminPort);
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

asio::awaitable<bool> FleetClient::waitReady(std::vector<size_t> indexes, size_t members)
{
    const Condition condition = [this, indexes, members]() -> asio::awaitable<bool> {
        for (const size_t index : indexes) {
            Result<v1::StatusReply> reply = co_await status(index);
            if (!reply) {
                co_return false;
            }
            const v1::StatusReply &state = reply.assume_value();
            if (state.lease_left_ms() <= 0 || !knowsAllOwners(state, "profiles")
                || static_cast<size_t>(state.roster_size()) < members) {
                co_return false;
            }
        }
        co_return true;
    };
    co_return co_await waitUntil(condition);
}

asio::awaitable<bool> FleetClient::waitServed(std::vector<size_t> indexes, uint32_t keys)
{
    const Condition condition = [this, indexes, keys]() -> asio::awaitable<bool> {
        for (const size_t index : indexes) {
            HttpClient client(context_.get_executor(), LocalIp, fleet_.nodes()[index]->callerPort);
            for (uint32_t key = 0; key < keys; ++key) {
                const HttpResponse response = co_await ask(client, keyName(key));
                if (toldOutcome(response) != ToldOutcome::Done) {
                    co_return false;
                }
            }
        }
        co_return true;
    };
    co_return co_await waitUntil(condition);
}

asio::awaitable<size_t> FleetClient::findOwner(size_t askIndex, std::string key)
{
    const HttpResponse response = co_await askNode(askIndex, std::move(key));
    const std::string owner(response["Wisteriahoist-Owner"]);
    for (size_t index = 0; index < fleet_.nodes().size(); ++index) {
        if (owner.starts_with(std::to_string(fleet_.nodes()[index]->id) + ";")) {
            co_return index;
        }
    }
    co_return fleet_.nodes().size();
}

asio::awaitable<void> FleetClient::control(uint16_t port, std::string path, std::string switches)
{
    HttpClient client(context_.get_executor(), LocalIp, port);
    HttpRequest request(http::verb::post, path, 11);
    request.body() = std::move(switches);
    (void)co_await client.exchange(std::move(request), CallTimeout);
}

asio::awaitable<void> FleetClient::controlBackend(size_t index, std::string switches)
{
    co_await control(fleet_.nodes()[index]->backendPort, "/_control", std::move(switches));
}

asio::awaitable<void> FleetClient::controlPlatform(std::string switches)
{
    co_await control(fleet_.platformPort(), "/control", std::move(switches));
}

void FleetClient::startLoad(CallerLoad load)
{
    loading_ = true;
    for (size_t node = 0; node < fleet_.nodes().size(); ++node) {
        for (uint32_t index = 0; index < load.workersPerNode; ++index) {
            ++workersRunning_;
            const uint64_t seed = node * 31 + index * 17;
            asio::co_spawn(context_, worker(node, seed, load), asio::detached);
        }
    }
}

asio::awaitable<void> FleetClient::worker(size_t node, uint64_t seed, CallerLoad load)
{
    HttpClient client(context_.get_executor(), LocalIp, fleet_.nodes()[node]->callerPort);
    for (uint64_t count = seed; loading_; ++count) {
        const auto key = static_cast<uint32_t>(count * KeyStride % load.keys);
        // Every fourth request must not be repeated.
        const http::verb method = count % 4 == 0 ? http::verb::post : http::verb::get;
        co_await ask(client, keyName(key), method);
        co_await pause(load.pause);
    }
    --workersRunning_;
}

asio::awaitable<void> FleetClient::stopLoad()
{
    loading_ = false;
    while (workersRunning_ > 0) {
        co_await pause(PollInterval);
    }
}

asio::awaitable<void> FleetClient::collectLog(size_t index, std::vector<ServerRecord> &runs)
{
    HttpClient client(context_.get_executor(), LocalIp, fleet_.nodes()[index]->backendPort);
    HttpRequest request(http::verb::get, "/_log", 11);
    Result<HttpResponse> answer = co_await client.exchange(std::move(request), CallTimeout);
    if (!answer) {
        co_return;
    }
    const boost::json::value log = boost::json::parse(answer.assume_value().body());
    for (const auto &entry : log.as_array()) {
        ServerRecord run;
        run.server = fleet_.nodes()[index]->id;
        run.requestId = entry.at("request_id").as_string().c_str();
        run.key = entry.at("key").as_string().c_str();
        run.epoch = entry.at("epoch").to_number<uint64_t>();
        run.startedUs = entry.at("started_us").to_number<int64_t>();
        run.finished = entry.at("finished").as_bool();
        if (!run.requestId.empty()) {
            runs.push_back(std::move(run));
        }
    }
}

asio::awaitable<AuditResult> FleetClient::audit()
{
    std::vector<ServerRecord> runs;
    for (size_t index = 0; index < fleet_.nodes().size(); ++index) {
        co_await collectLog(index, runs);
    }
    co_return auditRequests(callers_, runs);
}

} // namespace wisteriahoist
