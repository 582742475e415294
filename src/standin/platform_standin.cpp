/** @file platform_standin.cpp A small stand-in for the platform's object API. */

#include "standin/platform_standin.h"

#include "adapter/clock/sleep_func.h"
#include "port/platform_store.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace wisteriahoist {

namespace {

uint64_t parseNumber(std::string_view text)
{
    uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

uint64_t headerNumber(const HttpRequest &request, std::string_view name)
{
    const auto value = request[name];
    return parseNumber({value.data(), value.size()});
}

std::string withoutQuotes(beast::string_view text)
{
    std::string plain(text);
    std::erase(plain, '"');
    return plain;
}

} // namespace

PlatformStandin::PlatformStandin(asio::io_context &context, const std::string &ip, uint16_t port,
                                 Limits limits)
    : context_(context), limits_(limits)
{
    HttpLimits httpLimits;
    httpLimits.bodyBytes = 2 * MaxObjectBytes;
    server_ = std::make_shared<HttpServer>(
            context, ip, port, httpLimits,
            [this](HttpRequest request) { return handle(std::move(request)); });
}

void PlatformStandin::start()
{
    server_->start();
}

void PlatformStandin::stop()
{
    server_->stop();
}

bool PlatformStandin::takeQuota(bool isWrite)
{
    const auto now = std::chrono::steady_clock::now();
    if (now - windowStart_ >= std::chrono::seconds(1)) {
        windowStart_ = now;
        windowReads_ = 0;
        windowWrites_ = 0;
    }
    uint32_t &used = isWrite ? windowWrites_ : windowReads_;
    const uint32_t limit = isWrite ? limits_.writesPerSecond : limits_.readsPerSecond;
    if (used >= limit) {
        return false;
    }
    ++used;
    ++(isWrite ? writeCount_ : readCount_);
    return true;
}

asio::awaitable<HttpResponse> PlatformStandin::handle(HttpRequest request)
{
    const std::string target(request.target());
    if (target == "/control") {
        co_return handleControl(request);
    }
    while (faults_.silent) {
        co_await sleepFor(milliseconds(50));
    }
    if (faults_.delay.count() > 0) {
        co_await sleepFor(faults_.delay);
    }
    if (faults_.down) {
        co_return makeProblemResponse({http::status::service_unavailable, "outage", "down"});
    }
    const bool isWrite
            = request.method() == http::verb::put || request.method() == http::verb::delete_;
    if (!takeQuota(isWrite)) {
        co_return makeProblemResponse({http::status::too_many_requests, "rate-limited",
                                       "too many calls", milliseconds(1000)});
    }
    if (target.starts_with("/list/")) {
        co_return handleList(target.substr(6));
    }
    if (target.starts_with("/watch/")) {
        co_return co_await handleWatch(request, target.substr(7));
    }
    if (!target.starts_with("/objects/")) {
        co_return makeProblemResponse({http::status::not_found, "no-such-path", target});
    }
    const std::string name = target.substr(9);
    if (isWrite) {
        co_return co_await handleWrite(request, name);
    }
    co_return makeObjectResponse(name);
}

HttpResponse PlatformStandin::makeObjectResponse(const std::string &name) const
{
    const auto found = objects_.find(name);
    if (found == objects_.end()) {
        return makeProblemResponse({http::status::not_found, "no-such-object", name});
    }
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::etag, "\"" + std::to_string(found->second.version.value()) + "\"");
    response.body() = found->second.content;
    response.prepare_payload();
    return response;
}

asio::awaitable<HttpResponse> PlatformStandin::handleWatch(const HttpRequest &request,
                                                           const std::string &name)
{
    const ObjectVersion known(headerNumber(request, "Known-Version"));
    const milliseconds wait(headerNumber(request, "Wait-Ms"));
    const auto end = std::chrono::steady_clock::now() + wait;
    while (std::chrono::steady_clock::now() < end && !faults_.down) {
        const auto found = objects_.find(name);
        if (found != objects_.end() && found->second.version > known) {
            break;
        }
        asio::steady_timer bound(context_);
        bound.expires_at(std::min(end, std::chrono::steady_clock::now() + milliseconds(20)));
        beast::error_code ignored;
        co_await bound.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (faults_.down) {
        co_return makeProblemResponse({http::status::service_unavailable, "outage", "down"});
    }
    co_return makeObjectResponse(name);
}

asio::awaitable<HttpResponse> PlatformStandin::handleWrite(const HttpRequest &request,
                                                           const std::string &name)
{
    if (request.body().size() > MaxObjectBytes) {
        co_return makeProblemResponse({http::status::payload_too_large, "too-large", name});
    }
    const auto found = objects_.find(name);
    const bool mustBeAbsent = request[http::field::if_none_match] == "*";
    const ObjectVersion expected(parseNumber(withoutQuotes(request[http::field::if_match])));
    const ObjectVersion stored = found == objects_.end() ? AbsentObject : found->second.version;
    if (stored != (mustBeAbsent ? AbsentObject : expected)) {
        co_return makeProblemResponse({http::status::precondition_failed, "version-conflict",
                                       "stored: " + std::to_string(stored.value())});
    }
    if (request.method() == http::verb::delete_) {
        objects_.erase(name);
    } else {
        objects_[name] = {ObjectVersion(++lastVersion_), request.body()};
    }
    if (faults_.loseReplies > 0) {
        --faults_.loseReplies;
        // The write took effect; the writer's call runs into its timeout.
        co_await sleepFor(milliseconds(10000));
    }
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::etag, "\"" + std::to_string(lastVersion_) + "\"");
    co_return response;
}

HttpResponse PlatformStandin::handleList(const std::string &prefix) const
{
    boost::json::array names;
    for (auto at = objects_.lower_bound(prefix);
         at != objects_.end() && at->first.starts_with(prefix); ++at) {
        names.emplace_back(at->first);
    }
    HttpResponse response(http::status::ok, 11);
    response.body() = boost::json::serialize(names);
    return response;
}

HttpResponse PlatformStandin::handleControl(const HttpRequest &request)
{
    boost::system::error_code error;
    const auto parsed = boost::json::parse(request.body(), error);
    if (!error && parsed.is_object()) {
        const auto &object = parsed.get_object();
        if (const auto *down = object.if_contains("down")) {
            faults_.down = down->as_bool();
        }
        if (const auto *silent = object.if_contains("silent")) {
            faults_.silent = silent->as_bool();
        }
        if (const auto *delay = object.if_contains("delay_ms")) {
            faults_.delay = milliseconds(delay->to_number<int64_t>());
        }
        if (const auto *lose = object.if_contains("lose_replies")) {
            faults_.loseReplies = lose->to_number<uint32_t>();
        }
    }
    boost::json::object counts;
    counts["reads"] = readCount_;
    counts["writes"] = writeCount_;
    HttpResponse response(http::status::ok, 11);
    response.body() = boost::json::serialize(counts);
    return response;
}

} // namespace wisteriahoist
