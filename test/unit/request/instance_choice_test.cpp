/** @file instance_choice_test.cpp Choice of instances for keyless requests; in-flight requests. */

#include "decision/request/inflight_registry.h"
#include "decision/request/keyless_balancer.h"
#include "decision/request/outlier_detector.h"
#include "support/test_section.h"

#include <array>
#include <deque>
#include <random>

using namespace wisteriahoist;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
const std::vector<NodeId> Three{NodeId(1), NodeId(2), NodeId(3)};

void fail(OutlierDetector &detector, NodeId instance, int count)
{
    for (int failure = 0; failure < count; ++failure) {
        detector.onFailure(instance, Start);
    }
}

RoutingSnapshot makeRouting(NodeId owner, Epoch epoch)
{
    RoutingSnapshot routing;
    routing.tables["s"] = SliceTable({{KeyHash(0), owner, epoch}});
    return routing;
}

} // namespace

Test(request_outlier, only_own_observations_eject)
{
    OutlierDetector detector{OutlierLimits{}};
    SECTION("a health report alone ejects no instance")
    {
        detector.onReport(NodeId(1), false);
        cr_assert(detector.usable(Three, Start).size() == 3);
    }
    SECTION("own failures eject for a limited time")
    {
        fail(detector, NodeId(1), 5);
        cr_assert(detector.usable(Three, Start).size() == 2);
        cr_assert(detector.usable(Three, Start + milliseconds(1000)).size() == 3);
    }
    SECTION("fewer failures are sufficient if the instance reports itself unhealthy")
    {
        detector.onReport(NodeId(2), false);
        fail(detector, NodeId(2), 2);
        cr_assert(detector.usable(Three, Start).size() == 2);
    }
    SECTION("failures of all instances eject at most a share of them")
    {
        for (const NodeId instance : Three) {
            fail(detector, instance, 5);
        }
        cr_assert(detector.usable(Three, Start).size() == 2);
        cr_assert(detector.usable({NodeId(1)}, Start).size() == 1);
    }
}

Test(request_balancer, choice)
{
    InstanceLoad near;
    near.id = NodeId(1);
    near.failureDomain = "a";
    near.slots = 12;
    InstanceLoad far = near;
    far.id = NodeId(2);
    far.failureDomain = "b";
    const BalancerLimits limits;
    const auto choose = [&]() {
        return *chooseInstance({near, far}, "a", limits, 0.0, 0.0, Start);
    };
    cr_assert(choose() == near.id);
    SECTION("another failure domain is chosen if the own one has more load")
    {
        near.outstanding = 6;
        cr_assert(choose() == far.id);
    }
    SECTION("a stale report of no load does not attract requests")
    {
        far.reportedAt = Start - milliseconds(5000);
        far.reportedRunning = 0;
        far.outstanding = 4;
        near.outstanding = 4;
        cr_assert(choose() == near.id);
    }
    SECTION("a report is corrected by the requests sent since")
    {
        InstanceLoad sent = near;
        sent.reportedAt = Start;
        sent.reportedRunning = 2;
        sent.outstanding = 3;
        sent.sentSinceReport = 3;
        cr_assert(estimateLoad(sent, limits, Start) > 0.4);
    }
    cr_assert(!chooseInstance({}, "a", limits, 0.9, 0.9, Start).has_value());
}

Test(request_inflight, lost_ranges_drain)
{
    // A range moves while one of its requests is running. If the old owner confirmed at once, the
    // new owner would run the key's next request at the same time, and the states of the two
    // backend servers would diverge.
    InflightRegistry registry;
    const TimePoint deadline = Start + milliseconds(100);
    const uint64_t id = registry.begin({"s", KeyHash(5), Epoch(3), deadline});
    const RoutingSnapshot kept = makeRouting(NodeId(1), Epoch(3));
    const RoutingSnapshot moved = makeRouting(NodeId(2), Epoch(4));
    const RoutingSnapshot back = makeRouting(NodeId(1), Epoch(5));
    cr_assert(registry.lastLostDeadline(&kept, NodeId(1), Start) == NeverTime);
    cr_assert(registry.lastLostDeadline(&moved, NodeId(1), Start) == deadline);
    cr_assert(registry.lastLostDeadline(&back, NodeId(1), Start) == deadline);
    cr_assert(registry.lastLostDeadline(nullptr, NodeId(1), Start) == deadline);
    SECTION("a request whose end was not observed is waited for until its deadline")
    {
        registry.end(id, false, Start);
        cr_assert(registry.lastLostDeadline(&moved, NodeId(1), Start) == deadline);
        cr_assert(registry.lastLostDeadline(&moved, NodeId(1), deadline) == NeverTime);
    }
    SECTION("a complete response ends the wait")
    {
        const uint64_t other = registry.begin({"s", KeyHash(5), Epoch(3), deadline});
        registry.end(other, true, Start);
        registry.end(id, true, Start);
        cr_assert(registry.lastLostDeadline(&moved, NodeId(1), Start) == NeverTime);
    }
}

// Traffic between failure domains is charged for and adds latency. The load is balanced: 1,000
// requests per second run for 0.1 s each on 24 instances of 12 slots in four domains, with exact
// reports. With both choices drawn from all instances, more than half of the requests would leave
// their domain although no instance there has more load.
Test(request_balancer, requests_stay_in_their_domain_while_it_has_capacity)
{
    constexpr size_t Instances = 24;
    constexpr size_t Domains = 4;
    constexpr size_t Running = 100; // At the same time: 1,000 per second for 0.1 s.
    constexpr size_t Requests = 20000;
    const std::array<std::string, Domains> names{"a", "b", "c", "d"};
    std::vector<InstanceLoad> instances(Instances);
    for (size_t index = 0; index < Instances; ++index) {
        instances[index].id = NodeId(index + 1);
        instances[index].failureDomain = names[index % Domains];
        instances[index].slots = 12;
        instances[index].reportedAt = Start;
    }
    std::mt19937_64 random(20261);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::deque<size_t> running;
    size_t stayed = 0;
    double most = 0;
    const auto place = [&](size_t request, size_t domains) {
        const std::string &domain = names[request % domains];
        const NodeId chosen = *chooseInstance(instances, domain, BalancerLimits{}, uniform(random),
                                              uniform(random), Start);
        const size_t index = chosen.value() - 1;
        instances[index].reportedRunning += 1;
        running.push_back(index);
        stayed += instances[index].failureDomain == domain ? 1 : 0;
        most = std::max(most, instances[index].reportedRunning);
        if (running.size() > Running) {
            instances[running.front()].reportedRunning -= 1;
            running.pop_front();
        }
    };
    for (size_t request = 0; request < Requests; ++request) {
        place(request, Domains);
    }
    cr_assert_gt(static_cast<double>(stayed) / Requests, 0.7);
    cr_assert_leq(most, 10.0);
    SECTION("if all requests come from one domain, the others take their share")
    {
        most = 0;
        for (size_t request = 0; request < Requests; ++request) {
            place(request, 1);
        }
        cr_assert_leq(most, 10.0);
    }
}
