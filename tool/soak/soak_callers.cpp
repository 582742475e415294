/** @file soak_callers.cpp Callers that keep sending requests to every node over open connections.
 */

#include "soak/soak_callers.h"

#include "adapter/clock/boot_clock_adapter.h"
#include "adapter/clock/sleep_func.h"
#include "standin/task_func.h"

namespace wisteriahoist::soak {

namespace {

constexpr milliseconds Patience{2500};
constexpr milliseconds ShortPatience{25}; ///< Less than the work takes: such callers leave it.
constexpr milliseconds LeastPause{5};
constexpr uint64_t PauseSpread = 40;       ///< Milliseconds.
constexpr milliseconds LongestReturn{300}; ///< What Retry-After asks for, up to this.
constexpr uint64_t KeyCount = LastShardKey.value() + 1;
constexpr milliseconds CrashPause{1000};    ///< Between two crashing requests of one caller.
constexpr uint64_t CrashPauseSpread = 2000; ///< Milliseconds.
constexpr ShardKey CrashingKey(4242);
constexpr uint64_t MegabytesPerBody = 48; ///< Of the largest body.
constexpr size_t Megabyte = 1024 * 1024;
constexpr milliseconds LargePause{1500}; ///< Between two large bodies of one caller.
constexpr milliseconds ProbeStep{50};
constexpr uint64_t ProbedKeys = 16; ///< Spread evenly, so that every holder is asked.

TimePoint presentTime()
{
    return BootClockAdapter().now();
}

} // namespace

SoakCallers::SoakCallers(asio::io_context &context, SoakAudit &audit, uint64_t seed)
    : context_(context), audit_(audit), random_(seed)
{ }

void SoakCallers::addCallers(size_t index, SoakNode &node, size_t count)
{
    for (size_t caller = 0; caller < count; ++caller) {
        startTask(context_, callLoop(index, node));
    }
}

void SoakCallers::addLargeCaller(size_t index, SoakNode &node)
{
    startTask(context_, largeLoop(index, node));
}

void SoakCallers::addCrashingCaller(size_t index, SoakNode &node)
{
    startTask(context_, crashLoop(index, node));
}

SentRequest SoakCallers::makeRequest(size_t index, const SoakNode &node, const RequestShape &shape)
{
    SentRequest request;
    request.attempt = node.name() + "-" + std::to_string(++sent_);
    request.node = index;
    request.callerService = node.service();
    request.method = shape.mayRepeat ? "GET" : "POST";
    request.path = shape.path + std::to_string(sent_);
    request.mayRepeat = shape.mayRepeat;
    request.maxAttempts = shape.maxAttempts;
    request.timeLimit = impatient_ ? ShortPatience : Patience;
    return request;
}

asio::awaitable<platform::CallerAnswer> SoakCallers::send(HttpClient &client, SentRequest request,
                                                          std::optional<ShardKey> key,
                                                          size_t bodyBytes)
{
    request.at = presentTime();
    audit_.onSent(request);
    platform::CallerRequest message;
    message.attempt = request.attempt;
    message.host = "shop.example";
    message.path = request.path;
    message.changesState = !request.mayRepeat;
    message.key = key;
    message.timeLimit = request.timeLimit;
    message.bodyBytes = bodyBytes;
    ++waiting_;
    const std::string attempt = request.attempt;
    platform::CallerAnswer answer = co_await platform::sendAsCaller(client, std::move(message));
    --waiting_;
    audit_.onAnswered(attempt, answer, presentTime());
    co_return answer;
}

asio::awaitable<void> SoakCallers::callLoop(size_t index, SoakNode &node)
{
    HttpClient client(context_.get_executor(), node.callers().ip, node.callers().port);
    while (!stopping_) {
        const RequestShape shape = shapes_[random_() % shapes_.size()];
        std::optional<ShardKey> key;
        if (shape.keyed) {
            key = ShardKey(static_cast<uint32_t>(random_() % KeyCount));
        }
        SentRequest request = makeRequest(index, node, shape);
        const platform::CallerAnswer answer = co_await send(client, std::move(request), key);
        const milliseconds pause
                = LeastPause + milliseconds(static_cast<int64_t>(random_() % PauseSpread));
        co_await sleepFor(std::max(pause, std::min(answer.retryAfter, LongestReturn)));
    }
}

asio::awaitable<void> SoakCallers::largeLoop(size_t index, SoakNode &node)
{
    HttpClient client(context_.get_executor(), node.callers().ip, node.callers().port);
    const std::vector<RequestShape> shapes{{"/order/", false, true}, {"/book/", false, false}};
    while (!stopping_) {
        const RequestShape &shape = shapes[random_() % shapes.size()];
        const size_t bytes = (1 + random_() % MegabytesPerBody) * Megabyte;
        std::optional<ShardKey> key;
        if (shape.keyed) {
            key = ShardKey(static_cast<uint32_t>(random_() % KeyCount));
        }
        SentRequest request = makeRequest(index, node, shape);
        (void)co_await send(client, std::move(request), key, bytes);
        co_await sleepFor(LargePause);
    }
}

asio::awaitable<void> SoakCallers::crashLoop(size_t index, SoakNode &node)
{
    HttpClient client(context_.get_executor(), node.callers().ip, node.callers().port);
    const std::vector<RequestShape> shapes{{"/look/", true, false}, {"/keyed/", true, true}};
    while (!stopping_) {
        co_await sleepFor(CrashPause
                          + milliseconds(static_cast<int64_t>(random_() % CrashPauseSpread)));
        const RequestShape &shape = shapes[random_() % shapes.size()];
        SentRequest request = makeRequest(index, node, shape);
        request.path = shape.path + std::string(CrashingTarget) + "1";
        const auto key = shape.keyed ? std::optional(CrashingKey) : std::nullopt;
        (void)co_await send(client, std::move(request), key);
    }
}

asio::awaitable<std::string> SoakCallers::probe(size_t index, SoakNode &node)
{
    HttpClient client(context_.get_executor(), node.callers().ip, node.callers().port);
    HttpClient readiness(context_.get_executor(), node.readiness().ip, node.readiness().port);
    const bool ready = co_await platform::isNodeReady(readiness);
    if (!ready) {
        co_return node.name() + " is not ready";
    }
    const std::vector<RequestShape> shapes = shapes_;
    for (const RequestShape &shape : shapes) {
        const uint64_t keys = shape.keyed ? ProbedKeys : 1;
        for (uint64_t number = 0; number < keys; ++number) {
            std::optional<ShardKey> key;
            if (shape.keyed) {
                key = ShardKey(static_cast<uint32_t>(number * KeyCount / ProbedKeys));
            }
            SentRequest request = makeRequest(index, node, shape);
            const std::string path = request.path;
            const platform::CallerAnswer answer = co_await send(client, std::move(request), key);
            if (answer.status / 100 != 2) {
                co_return node.name() + " answers " + std::to_string(answer.status) + " to " + path
                        + (key ? " key " + std::to_string(key->value()) : std::string());
            }
        }
    }
    co_return std::string();
}

asio::awaitable<void> SoakCallers::probeOne(size_t index, SoakNode &node,
                                            std::vector<std::optional<std::string>> &missing)
{
    missing[index] = co_await probe(index, node);
}

asio::awaitable<std::string> SoakCallers::probeAll(SoakFleet &fleet)
{
    std::vector<std::optional<std::string>> missing(fleet.size());
    for (size_t index = 0; index < fleet.size(); ++index) {
        startTask(context_, probeOne(index, fleet.node(index), missing));
    }
    const auto isOpen = [](const auto &result) { return !result.has_value(); };
    while (std::any_of(missing.begin(), missing.end(), isOpen)) {
        co_await sleepFor(ProbeStep);
    }
    const auto found = std::find_if(missing.begin(), missing.end(),
                                    [](const auto &result) { return !result->empty(); });
    co_return found == missing.end() ? std::string() : **found;
}

} // namespace wisteriahoist::soak
