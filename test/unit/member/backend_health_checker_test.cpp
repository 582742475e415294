/** @file backend_health_checker_test.cpp Active health checks of the backend server. */

#include "duty/backend_health_checker.h"
#include "support/ownership_fleet.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds Heartbeat{20};
constexpr std::chrono::seconds Timeout{10}; // Far above the expected time.

/** A backend server with the incarnation "b-1", its monitor and its health checks. */
struct Fixture {
    Fixture()
    {
        report("b-1", 1);
        checker.start();
    }

    void report(const std::string &incarnation, uint64_t sequence)
    {
        BackendReport report;
        report.backend = incarnation;
        report.service = "s";
        report.sequence = sequence;
        (void)monitor.onReport(report, clock.now());
        checker.wake();
    }

    bool reaches(const std::function<bool()> &holds)
    {
        const TimePoint end = clock.now() + Timeout;
        while (!holds() && clock.now() < end) {
            context.run_for(std::chrono::milliseconds(1));
        }
        return holds();
    }

    boost::asio::io_context context{1};
    BootClockAdapter clock;
    FakeGrantingBackend backend{clock};
    BackendMonitor monitor{MonitorLimits{}};
    BackendHealthChecker checker{context, clock, backend, monitor, Heartbeat, []() {}};
};

} // namespace

// Guards against refused callers at a node whose backend server is up: it has refused two
// connections, and its next heartbeat is late. Only a health check shows the node that it accepts
// connections again.
Test(backend_health_checker, checks_continue_after_refused_connections_until_it_answers)
{
    Fixture fixture;
    fixture.backend.crash();
    fixture.checker.requestCheck();
    cr_assert(fixture.reaches([&]() { return fixture.monitor.state() == BackendState::Down; }));
    cr_assert(fixture.monitor.refusesConnections());
    fixture.backend.revive();
    cr_assert(fixture.reaches([&]() { return fixture.monitor.state() == BackendState::Ready; }));
}

// Guards against a node that believes a late heartbeat instead of its backend server.
Test(backend_health_checker, backend_server_is_asked_which_incarnation_it_is)
{
    Fixture fixture;
    fixture.backend.nameItself("b-1");
    cr_assert(fixture.reaches([&]() { return fixture.monitor.isConfirmed(); }));
    SECTION("a heartbeat of another one changes nothing while it names itself")
    {
        fixture.report("b-0", 40);
        cr_assert(
                fixture.reaches([&]() { return !fixture.monitor.isInDoubt(fixture.clock.now()); }));
        cr_assert(fixture.monitor.backend() == "b-1");
    }
    SECTION("and is not asked about again")
    {
        const int before = fixture.backend.identifications();
        fixture.report("b-0", 41);
        fixture.report("b-1", 2);
        fixture.context.run_for(Heartbeat);
        cr_assert_eq(fixture.backend.identifications(), before);
    }
    SECTION("the next incarnation is current as soon as it has named itself")
    {
        fixture.backend.nameItself("b-2");
        fixture.report("b-2", 1);
        cr_assert(fixture.reaches([&]() { return fixture.monitor.backend() == "b-2"; }));
        cr_assert(fixture.monitor.state() == BackendState::Ready);
    }
    SECTION("also if its first heartbeat is lost")
    {
        fixture.backend.nameItself("b-3");
        fixture.checker.requestCheck();
        cr_assert(fixture.reaches([&]() { return fixture.monitor.backend() == "b-3"; }));
    }
}
