/** @file backend_monitor_test.cpp Which life of the backend server counts, under late reports. */

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
    SECTION("an equal one changes nothing")
    {
        cr_assert(!monitor.onReport(makeReport("i-1", 2), Start));
    }
    SECTION("draining is for good, also if an older report comes late")
    {
        cr_assert(monitor.onReport(makeReport("i-1", 4, BackendState::Draining), Start));
        cr_assert(!monitor.onReport(makeReport("i-1", 3), Start));
        cr_assert(!monitor.onReport(makeReport("i-1", 5), Start));
        cr_assert(monitor.state() == BackendState::Draining);
    }
    SECTION("who deregisters without draining leaves as well")
    {
        BackendMonitor abrupt{MonitorLimits{}};
        (void)abrupt.onReport(makeReport("i-1", 1), Start);
        cr_assert(abrupt.onDeregister("i-1"));
        cr_assert(abrupt.state() == BackendState::Draining);
    }
}

// The backend server crashes and starts again; a report of its old life was held up by a partition
// and arrives last. Taken for news, requests would name a life that is gone and all be refused.
Test(backend_monitor, a_late_report_of_an_ended_life_is_ignored)
{
    BackendMonitor monitor{MonitorLimits{}};
    (void)monitor.onReport(makeReport("i-1", 9), Start);
    (void)monitor.onReport(makeReport("i-2", 1), Start);
    cr_assert(!monitor.onReport(makeReport("i-1", 10), Start));
    cr_assert(monitor.backend() == "i-2");
}

// A request reaches a backend server 2.2 s after its leaving was acknowledged: its node had just
// restarted, took the deregistration of a life that it did not know yet, and then a late report
// of that life, which said that it was ready.
Test(backend_monitor, a_deregistration_ahead_of_the_first_report_counts)
{
    BackendMonitor monitor{MonitorLimits{}};
    (void)monitor.onDeregister("i-1");
    (void)monitor.onReport(makeReport("i-1", 7), Start);
    cr_assert(monitor.state() == BackendState::Draining);
    SECTION("also if a look at the address is what makes the life known")
    {
        BackendMonitor looking{MonitorLimits{}};
        (void)looking.onDeregister("i-1");
        (void)looking.onOtherIncarnation("i-1", Start);
        cr_assert(looking.state() == BackendState::Draining);
    }
}

Test(backend_monitor, ends)
{
    BackendMonitor monitor{MonitorLimits{}};
    (void)monitor.onReport(makeReport("i-1", 1), Start);
    SECTION("one refused connection may be a chance, after two in a row it counts as down")
    {
        cr_assert(!monitor.onRefusedConnection());
        cr_assert(monitor.onRefusedConnection());
        cr_assert(monitor.refusesConnections() && monitor.state() == BackendState::Down);
    }
    SECTION("none counts while it works on requests: it has too many connections")
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
    SECTION("silence is no proof that it holds nothing")
    {
        BackendMonitor silent{MonitorLimits{}};
        (void)silent.onReport(makeReport("i-1", 1), Start);
        cr_assert(silent.onNoResponse());
        cr_assert(silent.state() == BackendState::Down && !silent.refusesConnections());
        cr_assert(silent.onAnswer(Start));
        cr_assert(silent.state() == BackendState::Ready);
    }
}

// Callers are refused until the next heartbeat of the new life: the backend server has crashed and
// started again under its id, and counts its heartbeats from 1. Taken for old ones, they would be
// ignored for as long as the earlier life had lived.
Test(backend_monitor, a_life_may_come_back_under_its_id)
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
    SECTION("a late heartbeat of the earlier life changes nothing")
    {
        cr_assert(!monitor.onReport(reportOf(1000, 41), Start));
        cr_assert(monitor.isNewest(reportOf(2000, 1)) && !monitor.isNewest(reportOf(1000, 41)));
    }
    SECTION("nor does one of a life that this node has never known, if it began earlier")
    {
        BackendReport unknown = makeReport("i-0", 9);
        unknown.backend.born = 500;
        cr_assert(!monitor.onReport(unknown, Start));
    }
    SECTION("a deregistration of the earlier life does not end this one")
    {
        cr_assert(!monitor.onDeregister({"i-1", 1000}));
        cr_assert(monitor.state() == BackendState::Ready);
        cr_assert(monitor.onDeregister({"i-1", 2000}));
    }
    SECTION("a look shows only the id: the first heartbeat tells the rest, without another life")
    {
        BackendMonitor looking{MonitorLimits{}};
        (void)looking.onOtherIncarnation("i-1", Start);
        cr_assert(!looking.hasReported());
        (void)looking.onReport(reportOf(2000, 7), Start);
        cr_assert(looking.backend() == BackendIncarnation("i-1", 2000) && looking.hasReported());
    }
}
