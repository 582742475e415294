/** @file backend_health_checker_test.cpp Active health checks of the backend server. */

#include "duty/backend_health_checker.h"
#include "support/ownership_fleet.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

// Guards against refused callers at a node whose backend server is up: it has refused two
// connections, and its next heartbeat is late. Only a health check shows the node that it accepts
// connections again.
Test(backend_health_checker, checks_continue_after_refused_connections_until_it_answers)
{
    constexpr milliseconds Heartbeat{20};
    constexpr std::chrono::seconds Timeout{10}; // Far above the expected time.
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
        const TimePoint end = clock.now() + Timeout;
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
