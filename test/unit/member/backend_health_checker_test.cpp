/** @file backend_health_checker_test.cpp What looks at the backend server find out. */

#include "duty/backend_health_checker.h"
#include "support/ownership_fleet.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

// Callers are turned away by a node whose backend server lives: it has refused two connections, and
// its next heartbeat comes late. Nothing else would show the node that it takes connections again.
Test(backend_health_checker, one_that_refused_connections_is_looked_at_until_it_answers)
{
    constexpr milliseconds Heartbeat{20};
    constexpr std::chrono::seconds Patience{10}; // Far above what it takes; no test times it.
    boost::asio::io_context context{1};
    const BootClockAdapter clock;
    FakeGrantingBackend backend(clock);
    BackendMonitor monitor{MonitorLimits{}};
    BackendReport report;
    report.backend = "b-1";
    report.service = "s";
    report.sequence = 1;
    (void)monitor.onReport(report, clock.now());
    BackendHealthChecker watch(context, clock, backend, monitor, Heartbeat, []() {});
    watch.start();
    const auto reaches = [&](BackendState state) {
        const TimePoint end = clock.now() + Patience;
        while (monitor.state() != state && clock.now() < end) {
            context.run_for(std::chrono::milliseconds(1));
        }
        return monitor.state() == state;
    };
    backend.crash();
    watch.requestCheck();
    cr_assert(reaches(BackendState::Down));
    cr_assert(monitor.refusesConnections());
    backend.revive();
    cr_assert(reaches(BackendState::Ready));
}
