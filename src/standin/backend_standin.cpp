/** @file backend_standin.cpp A small stand-in for a backend server. */

#include "standin/backend_standin.h"

#include "adapter/clock/boot_clock_adapter.h"
#include "core/hash_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace wisteriahoist {

namespace {

constexpr milliseconds AnnounceInterval{200};

std::string headerText(const HttpRequest &request, std::string_view name)
{
    return std::string(request[name]);
}

uint64_t headerNumber(const HttpRequest &request, std::string_view name)
{
    const std::string text = headerText(request, name);
    uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

int64_t bootMicroseconds()
{
    const TimePoint now = BootClockAdapter().now();
    return std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
}

/** @return How long a request may run: to its deadline, and to the end of its grant if that is
 * checked. */
milliseconds allowedTime(const HttpRequest &request, bool checksGrant)
{
    milliseconds allowed = milliseconds::max();
    if (request.find("Wisteriahoist-Deadline-Ms") != request.end()) {
        allowed = milliseconds(headerNumber(request, "Wisteriahoist-Deadline-Ms"));
    }
    if (checksGrant && request.find("Wisteriahoist-Grant-Expires-Ms") != request.end()) {
        allowed = std::min(allowed,
                           milliseconds(headerNumber(request, "Wisteriahoist-Grant-Expires-Ms")));
    }
    return allowed;
}

HttpResponse makeNotRun(std::string_view type)
{
    HttpResponse response = makeProblemResponse(
            {http::status::service_unavailable, type, "not run", milliseconds(100)});
    response.set("Not-Run", "1");
    return response;
}

} // namespace

std::string makeBackendBody(std::string_view key, std::string_view requestId,
                            std::string_view requestBody)
{
    const std::string content = std::string(key) + "|" + std::string(requestId) + "|"
                                + std::to_string(requestBody.size());
    return content + "|" + std::to_string(hashKey(content, 0).value());
}

BackendStandin::BackendStandin(asio::io_context &context, const std::string &ip, uint16_t port,
                               BackendBehaviour behaviour)
    : context_(context), behaviour_(std::move(behaviour)), ip_(ip),
      started_(std::chrono::steady_clock::now())
{
    const CancellableHttpHandler handler
            = [this](HttpRequest request, std::shared_ptr<DisconnectSignal> caller) {
                  return handle(std::move(request), std::move(caller));
              };
    server_ = std::make_shared<HttpServer>(context, ip, port, HttpLimits{}, handler);
}

void BackendStandin::start()
{
    server_->start();
}

void BackendStandin::stop()
{
    stopping_ = true;
    server_->stop();
}

void BackendStandin::announceTo(const std::string &ip, uint16_t adminPort)
{
    asio::co_spawn(
            context_, [this, ip, adminPort]() { return announceLoop(ip, adminPort); },
            asio::detached);
}

asio::awaitable<void> BackendStandin::announceLoop(std::string ip, uint16_t adminPort)
{
    HttpClient client(context_.get_executor(), ip, adminPort);
    asio::steady_timer timer(context_);
    while (!stopping_) {
        boost::json::object body;
        body["service"] = behaviour_.service;
        body["ip"] = ip_;
        body["port"] = port();
        body["slots"] = behaviour_.slots;
        body["fenced"] = behaviour_.fenced;
        body["draining"] = behaviour_.draining;
        HttpRequest request(http::verb::post, "/announce", 11);
        request.body() = boost::json::serialize(body);
        (void)co_await client.exchange(std::move(request), milliseconds(1000));
        timer.expires_after(AnnounceInterval);
        beast::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<HttpResponse> BackendStandin::handle(HttpRequest request,
                                                     std::shared_ptr<DisconnectSignal> caller)
{
    const auto target = request.target();
    if (target == "/_log") {
        co_return makeLog();
    }
    if (target == "/_health") {
        co_return makeHealth();
    }
    if (target == "/_control") {
        applyControl(request);
        co_return makeHealth();
    }
    co_return co_await run(std::move(request), std::move(caller));
}

asio::awaitable<HttpResponse> BackendStandin::run(HttpRequest request,
                                                  std::shared_ptr<DisconnectSignal> caller)
{
    const bool cold = std::chrono::steady_clock::now() - started_ < behaviour_.coldStart;
    if (behaviour_.shedding || cold || running_ >= behaviour_.slots) {
        ++shed_;
        co_return makeNotRun("shed");
    }
    const std::string key = headerText(request, "Wisteriahoist-Key");
    const uint64_t epoch = headerNumber(request, "Wisteriahoist-Epoch");
    if (allowedTime(request, behaviour_.fenced && !key.empty()) == milliseconds(0)) {
        ++fencedOff_;
        co_return makeNotRun("grant-over");
    }
    if (behaviour_.fenced && !key.empty()) {
        uint64_t &highest = highestEpoch_[key];
        if (epoch < highest) {
            ++fencedOff_;
            co_return makeNotRun("fenced-off");
        }
        highest = epoch;
    }
    ++running_;
    const size_t index = runs_.size();
    const std::string requestId = headerText(request, "Request-Id");
    runs_.push_back({requestId, headerText(request, "Idempotency-Key"), key, epoch,
                     bootMicroseconds(), false});
    const milliseconds allowed = allowedTime(request, behaviour_.fenced && !key.empty());
    asio::steady_timer timer(context_, std::min(behaviour_.workTime, allowed));
    beast::error_code ignored;
    caller->onDisconnect([&timer]() { timer.cancel(); });
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    caller->onDisconnect(nullptr);
    --running_;
    if (allowed < behaviour_.workTime || caller->isDisconnected()) {
        // It began, so nobody may say that it was not run; it ends here and does no more.
        ++cutRuns_;
        co_return makeProblemResponse({http::status::gateway_timeout, "run-cut",
                                       "its deadline or grant is over, or it was cancelled"});
    }
    runs_[index].finished = true;
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "text/plain");
    response.body() = makeBackendBody(key, requestId, request.body());
    co_return response;
}

HttpResponse BackendStandin::makeLog() const
{
    boost::json::array runs;
    for (const BackendRun &run : runs_) {
        boost::json::object entry;
        entry["request_id"] = run.requestId;
        entry["idempotency_key"] = run.idempotencyKey;
        entry["key"] = run.key;
        entry["epoch"] = run.epoch;
        entry["started_us"] = run.startedUs;
        entry["finished"] = run.finished;
        runs.push_back(std::move(entry));
    }
    HttpResponse response(http::status::ok, 11);
    response.body() = boost::json::serialize(runs);
    return response;
}

HttpResponse BackendStandin::makeHealth()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - healthAt_ >= behaviour_.healthLag) {
        healthAt_ = now;
        healthRunning_ = running_;
    }
    boost::json::object health;
    health["running"] = behaviour_.claimedLoad >= 0 ? behaviour_.claimedLoad
                                                    : static_cast<int32_t>(healthRunning_);
    health["shed"] = shed_;
    health["fenced_off"] = fencedOff_;
    health["cut"] = cutRuns_;
    HttpResponse response(http::status::ok, 11);
    response.body() = boost::json::serialize(health);
    return response;
}

void BackendStandin::applyControl(const HttpRequest &request)
{
    boost::system::error_code error;
    const auto parsed = boost::json::parse(request.body(), error);
    if (error || !parsed.is_object()) {
        return;
    }
    const auto &object = parsed.get_object();
    if (const auto *draining = object.if_contains("draining")) {
        behaviour_.draining = draining->as_bool();
    }
    if (const auto *shedding = object.if_contains("shedding")) {
        behaviour_.shedding = shedding->as_bool();
    }
    if (const auto *work = object.if_contains("work_ms")) {
        behaviour_.workTime = milliseconds(work->to_number<int64_t>());
    }
    if (const auto *lag = object.if_contains("health_lag_ms")) {
        behaviour_.healthLag = milliseconds(lag->to_number<int64_t>());
    }
    if (const auto *load = object.if_contains("claimed_load")) {
        behaviour_.claimedLoad = load->to_number<int32_t>();
    }
}

} // namespace wisteriahoist
