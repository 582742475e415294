/** @file request_bench.cpp Measures what a hop costs, and goodput above the slots' capacity. */

#include "standin/backend_standin.h"
#include "standin/node_duties.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>
#include <iostream>

using namespace wisteriahoist;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr NodeId First{1};
constexpr NodeId Second{2};
constexpr uint32_t Slots = 12;
constexpr size_t RingLength = 1024;
constexpr uint32_t Samples = 2000;
constexpr milliseconds WorkTime{10};
constexpr milliseconds LoadTime{3000};
constexpr milliseconds WarmUp{2500}; ///< Longer than the slow start.

/**
 * Two nodes and a backend server beside the second, which owns every key. All of it runs on one
 * loop, so that processor time is that of one thread.
 */
struct Bench {
    Bench(milliseconds workTime, milliseconds queueTimeout, RetryLimits retries)
        : first(context, First, RingLength, retries), second(context, Second, RingLength, retries),
          backend(context, "127.0.0.1", 0, makeBehaviour(workTime))
    {
        backend.start();
        RouteRule rule;
        rule.repetition = Repetition::Idempotent;
        rule.deadline = milliseconds(1000);
        rule.queueTimeout = queueTimeout;
        ServiceDeclaration service;
        service.name = "profiles";
        service.host = "s";
        service.routes = {rule};
        routing->declarations.services = {service};
        routing->tables["profiles"] = SliceTable({{KeyHash(0), Second, Epoch(1)}});
        routing->members[First] = first.describe("profiles", Slots);
        routing->members[Second] = second.describe("profiles", Slots);
    }

    static BackendBehaviour makeBehaviour(milliseconds workTime)
    {
        BackendBehaviour behaviour;
        behaviour.slots = Slots;
        behaviour.workTime = workTime;
        return behaviour;
    }

    asio::awaitable<void> begin()
    {
        co_await first.ingress.onRouting(routing);
        co_await second.ingress.onRouting(routing);
        GateGrant grant;
        grant.routing = routing;
        grant.leaseUntil = second.clock.now() + std::chrono::hours(1);
        grant.backend = {"127.0.0.1", backend.port(), "profiles", Slots, GrantMode::Fenced, false};
        co_await second.gate.onGrant(grant);
        co_await pause(WarmUp);
    }

    asio::awaitable<void> pause(Duration duration)
    {
        asio::steady_timer timer(context, duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::io_context context;
    NodeDuties first;
    NodeDuties second;
    BackendStandin backend;
    std::shared_ptr<RoutingSnapshot> routing = std::make_shared<RoutingSnapshot>();
};

HttpRequest makeRequest(uint64_t index)
{
    HttpRequest request(http::verb::get, "/kari" + std::to_string(index), 11);
    request.set(http::field::host, "s");
    request.set("Request-Id", std::to_string(index));
    return request;
}

struct Cost {
    double p50 = 0;       ///< Microseconds.
    double p99 = 0;       ///< Microseconds.
    double processor = 0; ///< Microseconds of a core for each request, caller included.
    double opened = 0;    ///< Connections for each 1,000 requests, by the caller.
};

asio::awaitable<Cost> measurePath(Bench &bench, uint16_t port)
{
    HttpClient client(bench.context.get_executor(), "127.0.0.1", port);
    std::vector<double> taken;
    const std::clock_t processor = std::clock();
    for (uint32_t sample = 0; sample < Samples; ++sample) {
        const auto start = SteadyClock::now();
        (void)co_await client.exchange(makeRequest(sample), milliseconds(2000));
        const std::chrono::duration<double, std::micro> time = SteadyClock::now() - start;
        taken.push_back(time.count());
    }
    Cost cost;
    cost.processor = 1e6 * static_cast<double>(std::clock() - processor) / CLOCKS_PER_SEC / Samples;
    std::sort(taken.begin(), taken.end());
    cost.p50 = taken[taken.size() / 2];
    cost.p99 = taken[taken.size() * 99 / 100];
    cost.opened = 1000.0 * static_cast<double>(client.connectionsOpened()) / Samples;
    co_return cost;
}

void print(const char *path, const Cost &cost, const Cost &alone)
{
    std::cout << "hop: path=" << path << " p50_us=" << cost.p50 << " p99_us=" << cost.p99
              << " cpu_us=" << cost.processor << " p50_ratio=" << cost.p50 / alone.p50
              << " p99_ratio=" << cost.p99 / alone.p99
              << " cpu_ratio=" << cost.processor / alone.processor
              << " opened_per_1000=" << cost.opened << '\n';
}

void measureHop()
{
    Bench bench(milliseconds(0), milliseconds(300), RetryLimits{});
    const auto work = [&bench]() -> asio::awaitable<void> {
        co_await bench.begin();
        const Cost alone = co_await measurePath(bench, bench.backend.port());
        const Cost own = co_await measurePath(bench, bench.second.ingress.port());
        const Cost forwarded = co_await measurePath(bench, bench.first.ingress.port());
        print("backend", alone, alone);
        print("owner", own, alone);
        print("forwarded", forwarded, alone);
        bench.context.stop();
    };
    asio::co_spawn(bench.context, work, asio::detached);
    bench.context.run();
}

struct Goodput {
    uint64_t asked = 0;
    uint64_t done = 0;
    uint64_t notRun = 0;
    uint64_t unknown = 0;
    std::vector<double> doneTimes; ///< Milliseconds.
};

asio::awaitable<void> askOnce(HttpClient &client, Goodput &goodput)
{
    const auto start = SteadyClock::now();
    Result<HttpResponse> answer
            = co_await client.exchange(makeRequest(++goodput.asked), milliseconds(1500));
    const std::string outcome(answer ? answer.assume_value()["Wisteriahoist-Outcome"] : "unknown");
    if (outcome == "done") {
        ++goodput.done;
        const std::chrono::duration<double, std::milli> time = SteadyClock::now() - start;
        goodput.doneTimes.push_back(time.count());
    } else if (outcome == "not-run") {
        ++goodput.notRun;
    } else {
        ++goodput.unknown;
    }
}

void measureLoad(double multiple, const char *name, milliseconds queueTimeout, RetryLimits retries)
{
    Bench bench(WorkTime, queueTimeout, retries);
    Goodput goodput;
    const double capacity = Slots / std::chrono::duration<double>(WorkTime).count();
    const auto work = [&]() -> asio::awaitable<void> {
        co_await bench.begin();
        HttpClient client(bench.context.get_executor(), "127.0.0.1", bench.first.ingress.port());
        const auto start = SteadyClock::now();
        const auto end = start + LoadTime;
        uint64_t sent = 0;
        while (SteadyClock::now() < end) {
            const std::chrono::duration<double> elapsed = SteadyClock::now() - start;
            const auto due = static_cast<uint64_t>(elapsed.count() * capacity * multiple);
            for (; sent < due; ++sent) {
                asio::co_spawn(bench.context, askOnce(client, goodput), asio::detached);
            }
            co_await bench.pause(milliseconds(1));
        }
        co_await bench.pause(milliseconds(1600));
        bench.context.stop();
    };
    asio::co_spawn(bench.context, work, asio::detached);
    bench.context.run();
    std::sort(goodput.doneTimes.begin(), goodput.doneTimes.end());
    const double p99 = goodput.doneTimes.empty()
                               ? 0
                               : goodput.doneTimes[goodput.doneTimes.size() * 99 / 100];
    const double seconds = std::chrono::duration<double>(LoadTime).count();
    std::cout << "goodput: variant=" << name << " load=" << multiple << " asked=" << goodput.asked
              << " done=" << goodput.done << " not_run=" << goodput.notRun
              << " unknown=" << goodput.unknown
              << " share_of_capacity=" << static_cast<double>(goodput.done) / (capacity * seconds)
              << " done_p99_ms=" << p99 << " backend_runs=" << bench.backend.runs().size() << '\n';
}

void printSizes()
{
    std::cout << "bytes: hop_request=" << sizeof(v1::HopRequest)
              << " hop_reply=" << sizeof(v1::HopReply) << '\n';
}

} // namespace

int main()
{
    measureHop();
    RetryLimits unbounded;
    unbounded.reserve = 1e9;
    unbounded.attempts = 10;
    for (const double multiple : {1.0, 2.0, 4.0}) {
        measureLoad(multiple, "queue+budget", milliseconds(100), RetryLimits{});
        measureLoad(multiple, "no-queue", milliseconds(0), RetryLimits{});
        measureLoad(multiple, "no-budget", milliseconds(100), unbounded);
    }
    printSizes();
    return 0;
}
