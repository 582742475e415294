/** @file backend_monitor_test.cpp The current incarnation of a backend server with late reports. */

#include "decision/member/backend_monitor.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

BackendReport makeReport(const std::string &backend, uint64_t sequence,
                         BackendState state = BackendState::Ready)
{
    BackendReport report;
    report.backend = backend;
    report.service = "s";
    report.state = state;
    report.slots = 12;
    report.sequence = sequence;
    return report;
}

} // namespace

Test(backend_monitor, reports)
{
    BackendMonitor monitor{MonitorLimits{}};
    cr_assert(monitor.onReport(makeReport("i-1", 1), Start));
    cr_assert(monitor.state() == BackendState::Ready);
    SECTION("an identical one changes nothing")
    {
        cr_assert(!monitor.onReport(makeReport("i-1", 2), Start));
    }
    SECTION("draining is permanent, even if an older report arrives late")
    {
        cr_assert(monitor.onReport(makeReport("i-1", 4, BackendState::Draining), Start));
        cr_assert(!monitor.onReport(makeReport("i-1", 3), Start));
        cr_assert(!monitor.onReport(makeReport("i-1", 5), Start));
        cr_assert(monitor.state() == BackendState::Draining);
    }
    SECTION("a deregistration without draining counts as draining")
    {
        BackendMonitor notDraining{MonitorLimits{}};
        (void)notDraining.onReport(makeReport("i-1", 1), Start);
        cr_assert(notDraining.onDeregister("i-1"));
        cr_assert(notDraining.state() == BackendState::Draining);
    }
}

// The backend server crashes and restarts; a report of the earlier incarnation is delayed by a
// partition and arrives last. If it were applied, requests would name an incarnation that has ended
// and all be refused.
Test(backend_monitor, late_report_of_an_ended_incarnation_is_ignored)
{
    BackendMonitor monitor{MonitorLimits{}};
    (void)monitor.onReport(makeReport("i-1", 9), Start);
    (void)monitor.onReport(makeReport("i-2", 1), Start);
    cr_assert(!monitor.onReport(makeReport("i-1", 10), Start));
    cr_assert(monitor.backend() == "i-2");
}

// Guards against a log that does not tell why a node ignores the heartbeats of its backend server.
Test(backend_monitor, reports_without_effect_are_told_apart)
{
    BackendMonitor monitor{MonitorLimits{}};
    cr_assert(monitor.standingOf(makeReport("i-1", 1)) == ReportStanding::Newest);
    (void)monitor.onReport(makeReport("i-1", 9), Start);
    cr_assert(monitor.standingOf(makeReport("i-1", 9)) == ReportStanding::Outdated);
    cr_assert(monitor.standingOf(makeReport("i-1", 10)) == ReportStanding::Newest);
    cr_assert(monitor.standingOf(makeReport("i-2", 1)) == ReportStanding::OtherIncarnation);
    (void)monitor.onReport(makeReport("i-2", 1), Start);
    cr_assert(monitor.standingOf(makeReport("i-1", 10)) == ReportStanding::Ended);
}

// Guards against a request that reached a backend server 2.2 s after its deregistration had been
// acknowledged: its node had just restarted, received the deregistration of an incarnation that it
// did not know yet, and then a late report of this incarnation with the state ready.
Test(backend_monitor, deregistration_before_the_first_report_is_kept)
{
    BackendMonitor monitor{MonitorLimits{}};
    (void)monitor.onDeregister("i-1");
    (void)monitor.onReport(makeReport("i-1", 7), Start);
    cr_assert(monitor.state() == BackendState::Draining);
    SECTION("also if the incarnation becomes known by a health check")
    {
        BackendMonitor polled{MonitorLimits{}};
        (void)polled.onDeregister("i-1");
        (void)polled.onOtherIncarnation("i-1", Start);
        cr_assert(polled.state() == BackendState::Draining);
    }
}

Test(backend_monitor, ends)
{
    BackendMonitor monitor{MonitorLimits{}};
    (void)monitor.onReport(makeReport("i-1", 1), Start);
    SECTION("it is considered down after two consecutive refused connections, not after one")
    {
        cr_assert(!monitor.onRefusedConnection());
        cr_assert(monitor.onRefusedConnection());
        cr_assert(monitor.refusesConnections() && monitor.state() == BackendState::Down);
    }
    SECTION("refused connections are ignored while it runs requests: it has too many connections")
    {
        BackendMonitor busy{MonitorLimits{}};
        bool working = true;
        busy.setBusyCheck([&working]() { return working; });
        (void)busy.onReport(makeReport("i-1", 1), Start);
        cr_assert(!busy.onRefusedConnection() && !busy.onRefusedConnection());
        cr_assert(!busy.refusesConnections() && busy.state() == BackendState::Ready);
        working = false;
        cr_assert(!busy.onRefusedConnection());
        cr_assert(busy.onRefusedConnection());
    }
    SECTION("after a timeout it is down, but without proof that it holds no keys")
    {
        BackendMonitor silent{MonitorLimits{}};
        (void)silent.onReport(makeReport("i-1", 1), Start);
        cr_assert(silent.onNoResponse());
        cr_assert(silent.state() == BackendState::Down && !silent.refusesConnections());
        cr_assert(silent.onAnswer(Start));
        cr_assert(silent.state() == BackendState::Ready);
    }
}

// The backend server crashes and restarts with the same id, and numbers its heartbeats from 1
// again. If they were considered outdated, they would be ignored for as long as the earlier
// incarnation had run, and callers be refused.
Test(backend_monitor, restart_with_the_same_id_is_recognised)
{
    const auto reportOf = [](uint64_t born, uint64_t sequence) {
        BackendReport report = makeReport("i-1", sequence);
        report.backend.born = born;
        return report;
    };
    BackendMonitor monitor{MonitorLimits{}};
    (void)monitor.onReport(reportOf(1000, 40), Start);
    cr_assert(monitor.onReport(reportOf(2000, 1), Start));
    cr_assert(monitor.backend() == BackendIncarnation("i-1", 2000));
    SECTION("a late heartbeat of the earlier incarnation changes nothing")
    {
        cr_assert(!monitor.onReport(reportOf(1000, 41), Start));
        cr_assert(monitor.isNewest(reportOf(2000, 1)) && !monitor.isNewest(reportOf(1000, 41)));
    }
    SECTION("nor does one of an unknown incarnation that started earlier")
    {
        BackendReport unknown = makeReport("i-0", 9);
        unknown.backend.born = 500;
        cr_assert(!monitor.onReport(unknown, Start));
    }
    SECTION("a deregistration of the earlier incarnation does not affect the current one")
    {
        cr_assert(!monitor.onDeregister({"i-1", 1000}));
        cr_assert(monitor.state() == BackendState::Ready);
        cr_assert(monitor.onDeregister({"i-1", 2000}));
    }
    SECTION("a health check returns only the id; the first heartbeat completes the same "
            "incarnation")
    {
        BackendMonitor polled{MonitorLimits{}};
        (void)polled.onOtherIncarnation("i-1", Start);
        cr_assert(!polled.hasReported());
        (void)polled.onReport(reportOf(2000, 7), Start);
        cr_assert(polled.backend() == BackendIncarnation("i-1", 2000) && polled.hasReported());
    }
}

// Guards against a backend server that crashes under its first requests: it is cold after its start
// and whenever it says so, and may be so before it can say it.
Test(backend_monitor, a_backend_server_is_cold_as_long_as_it_says)
{
    BackendMonitor monitor{MonitorLimits{}};
    BackendReport report = makeReport("i-1", 1);
    report.warmUpLeft = milliseconds(3000);
    (void)monitor.onReport(report, Start);
    cr_assert(monitor.isCold(Start + milliseconds(2999)));
    cr_assert(!monitor.isCold(Start + milliseconds(3000)));
    const TimePoint later = Start + std::chrono::seconds(10);
    SECTION("it turns cold again while it runs")
    {
        report.sequence = 2;
        (void)monitor.onReport(report, later);
        cr_assert(monitor.isCold(later));
        SECTION("and warm before that time")
        {
            (void)monitor.onReport(makeReport("i-1", 3), later + milliseconds(500));
            cr_assert(!monitor.isCold(later + milliseconds(500)));
        }
    }
    SECTION("it answers again after it was down: cold until its reports can show it")
    {
        (void)monitor.onNoResponse();
        (void)monitor.onAnswer(later);
        (void)monitor.onReport(makeReport("i-1", 4), later + milliseconds(100));
        cr_assert(monitor.isCold(later + milliseconds(1000)));
        cr_assert(!monitor.isCold(later + milliseconds(2000)));
    }
}
