/** @file micro_benchmark.cpp Hot functions: lookup, resolving, codec, one hop over loopback. */

#include "micro_benchmark.h"

#include "adapter/codec/ownership_codec.h"
#include "adapter/http2/peer_transport.h"
#include "adapter/metrics/metric_registry.h"
#include "decision/request/route_resolver.h"
#include "duty/duty_thread.h"
#include "wisteriahoist/v1/control.pb.h"

#include <benchmark/benchmark.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <fstream>
#include <random>

namespace wisteriahoist::bench {

namespace {

constexpr uint64_t Seed = 7;
constexpr milliseconds CallTimeout{1000};
constexpr size_t Probes = 4096; ///< Random hashes, prepared before the timing.

void lookupSlice(benchmark::State &state)
{
    const SliceTable table = SliceTable::makeEven(static_cast<uint32_t>(state.range(0)));
    std::mt19937_64 random(Seed);
    std::vector<KeyHash> hashes;
    for (size_t index = 0; index < Probes; ++index) {
        hashes.emplace_back(random());
    }
    size_t next = 0;
    for (auto step : state) {
        benchmark::DoNotOptimize(table.find(hashes[next++ % Probes]));
    }
}
BENCHMARK(lookupSlice)->Arg(1000)->Arg(30000)->Arg(300000);

Declarations makeDeclarations(int64_t services)
{
    Declarations declarations;
    declarations.version = 1;
    for (int64_t index = 0; index < services; ++index) {
        ServiceDeclaration service;
        service.name = "service-" + std::to_string(index);
        service.host = service.name + ".example";
        service.routes.emplace_back();
        declarations.services.push_back(service);
    }
    return declarations;
}

void resolveOne(benchmark::State &state)
{
    const Declarations declarations = makeDeclarations(state.range(0));
    RequestHead head;
    head.method = "GET";
    head.target = "/sitter-4711/profile";
    head.host = declarations.services.back().host;
    head.header = [](std::string_view) { return std::string_view(); };
    for (auto step : state) {
        benchmark::DoNotOptimize(resolveRequest(declarations, head));
    }
}
BENCHMARK(resolveOne)->Arg(1)->Arg(10)->Arg(100);

RenewRequest makeRenewRequest()
{
    RenewRequest request;
    request.member.id = NodeId(17);
    request.member.incarnation = Incarnation(1700000000000);
    request.member.address = {"10.12.13.14", 8080, 8081, 8082};
    request.member.failureDomain = "domain-1";
    request.member.service = "profiles";
    request.member.slots = 12;
    request.acknowledgedTerm = Term(3);
    request.echoedHeartbeat = fromMillisecondCount(123456789);
    request.sentAt = fromMillisecondCount(123456999);
    return request;
}

void encodeAndDecodeRenew(benchmark::State &state)
{
    const RenewRequest request = makeRenewRequest();
    for (auto step : state) {
        benchmark::DoNotOptimize(decodeRenewRequest(encodeRenewRequest(request)));
    }
    state.counters["bytes"] = static_cast<double>(encodeRenewRequest(request).size());
}
BENCHMARK(encodeAndDecodeRenew);

void observeDistribution(benchmark::State &state)
{
    Distribution distribution;
    TimePoint now = fromMillisecondCount(0);
    for (auto step : state) {
        now += std::chrono::microseconds(100);
        distribution.observe(static_cast<double>(now.time_since_epoch().count() % 977), now);
    }
}
BENCHMARK(observeDistribution);

/** A listener and a caller on threads of their own, as two nodes have them. */
class Loopback
{
public:
    Loopback()
        : listener_(std::make_shared<PeerListener>(
                server_.context(), "127.0.0.1", uint16_t(0),
                [](std::string path, std::string body) { return answer(path, body); })),
          caller_(client_.context())
    {
        listener_->start();
        server_.start();
        client_.start();
    }

    ~Loopback()
    {
        client_.stop();
        server_.stop();
    }

    bool call(const std::string &body)
    {
        return asio::co_spawn(client_.context(), callOnce(body), asio::use_future).get();
    }

private:
    static asio::awaitable<std::string> answer(std::string, std::string body)
    {
        v1::HopRequest request;
        request.ParseFromString(body);
        v1::HopReply reply;
        reply.set_outcome(v1::HOP_OUTCOME_DONE);
        reply.set_body(request.body());
        co_return reply.SerializeAsString();
    }

    asio::awaitable<bool> callOnce(std::string body)
    {
        const PeerEndpoint peer{"127.0.0.1", listener_->port()};
        const Result<std::string> reply = co_await caller_.call(peer, "/hop", body, CallTimeout);
        co_return reply.has_value();
    }

    DutyThread server_{"bench-server"};
    DutyThread client_{"bench-client"};
    std::shared_ptr<PeerListener> listener_;
    PeerCaller caller_;
};

void hopOverLoopback(benchmark::State &state)
{
    Loopback loopback;
    v1::HopRequest request;
    request.set_service("profiles");
    request.set_key("sitter-4711");
    request.set_method("GET");
    request.set_target("/sitter-4711/profile");
    request.set_body(std::string(512, 'x'));
    const std::string body = request.SerializeAsString();
    for (auto step : state) {
        if (!loopback.call(body)) {
            state.SkipWithError("the hop failed");
            break;
        }
    }
}
BENCHMARK(hopOverLoopback)->UseRealTime();

/** Prints as usual and keeps the times. */
class KeepingReporter : public benchmark::ConsoleReporter
{
public:
    KeepingReporter() : ConsoleReporter(OO_Tabular) { }

    void ReportRuns(const std::vector<Run> &runs) override
    {
        ConsoleReporter::ReportRuns(runs);
        for (const Run &run : runs) {
            const double perIteration = run.GetAdjustedRealTime();
            times_[run.benchmark_name()] = perIteration;
        }
    }

    const std::map<std::string, double> &times() const { return times_; }

private:
    std::map<std::string, double> times_;
};

} // namespace

std::map<std::string, double> runMicroBenchmarks(const std::string &folder)
{
    std::string program = "bench";
    std::string minimumTime = "--benchmark_min_time=0.1";
    std::vector<char *> words{program.data(), minimumTime.data()};
    int count = static_cast<int>(words.size());
    benchmark::Initialize(&count, words.data());
    KeepingReporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    std::ofstream csv(folder + "/micro.csv");
    csv << "name,ns\n";
    for (const auto &[name, time] : reporter.times()) {
        csv << name << "," << time << "\n";
    }
    return reporter.times();
}

} // namespace wisteriahoist::bench
