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

/** The backend server names itself on a connection of its own. */
void identify(BackendMonitor &monitor, const std::string &backend)
{
    (void)monitor.onIdentity(backend, monitor.question(), Start);
}

/** @return A monitor whose current incarnation has reported and named itself. */
BackendMonitor makeConfirmed(const std::string &backend)
{
    BackendMonitor monitor{MonitorLimits{}};
    (void)monitor.onReport(makeReport(backend, 1), Start);
    identify(monitor, backend);
    return monitor;
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
        cr_assert(notDraining.onDeregister("i-1", Start));
        cr_assert(notDraining.state() == BackendState::Draining);
    }
}

// Guards against a draining report that is acknowledged without effect: requests reached the
// backend server for seconds after the acknowledgement, since another report had a higher sequence
// number.
Test(backend_monitor, draining_counts_whatever_its_sequence_number)
{
    SECTION("of the current incarnation")
    {
        BackendMonitor monitor = makeConfirmed("i-1");
        (void)monitor.onReport(makeReport("i-1", 1000), Start);
        cr_assert(!monitor.onReport(makeReport("i-1", 2), Start));
        cr_assert(monitor.onReport(makeReport("i-1", 3, BackendState::Draining), Start));
        cr_assert(monitor.state() == BackendState::Draining);
        cr_assert(!monitor.onReport(makeReport("i-1", 4, BackendState::Draining), Start));
    }
    SECTION("of one that was taken for ended and runs after all")
    {
        BackendMonitor monitor = makeConfirmed("i-1");
        identify(monitor, "i-2");
        (void)monitor.onReport(makeReport("i-1", 2, BackendState::Draining), Start);
        identify(monitor, "i-1");
        cr_assert(monitor.state() == BackendState::Draining);
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
    identify(monitor, "i-2");
    cr_assert(!monitor.onReport(makeReport("i-1", 10), Start));
    cr_assert(monitor.backend() == "i-2");
    cr_assert(!monitor.isInDoubt(Start), "the backend server is not asked again");
}

// Guards against a backend server that is not used any more: a late report of its former
// incarnation, or one of another writer, replaced the one that runs until the node started again.
Test(backend_monitor, only_the_backend_server_itself_ends_its_incarnation)
{
    BackendMonitor monitor = makeConfirmed("i-2");
    cr_assert(!monitor.onReport(makeReport("i-1", 40), Start));
    cr_assert(monitor.backend() == "i-2" && monitor.state() == BackendState::Ready);
    cr_assert(monitor.isInDoubt(Start) && monitor.isClaimed("i-1", Start));
    SECTION("no answer comes: the doubt ends, and the one in use stays")
    {
        const TimePoint later = Start + MonitorLimits().claimTime;
        cr_assert(!monitor.isInDoubt(later) && !monitor.isClaimed("i-1", later));
    }
    SECTION("an answer to a question of before does not count")
    {
        const uint64_t question = monitor.question();
        (void)monitor.onReport(makeReport("i-4", 1), Start);
        cr_assert(!monitor.onIdentity("i-1", question, Start) && monitor.backend() == "i-2");
        cr_assert(monitor.isInDoubt(Start));
    }
    SECTION("it is still the same: the other ones have no effect from then on")
    {
        identify(monitor, "i-2");
        cr_assert(!monitor.onReport(makeReport("i-1", 41), Start) && !monitor.isInDoubt(Start));
        cr_assert(!monitor.onReport(makeReport("i-4", 2), Start) && !monitor.isInDoubt(Start));
        cr_assert(monitor.onReport(makeReport("i-2", 2, BackendState::Draining), Start));
    }
}

// Guards against a new incarnation whose first report has no effect.
Test(backend_monitor, incarnation_that_the_backend_server_names_is_current)
{
    SECTION("its report takes effect then")
    {
        BackendMonitor monitor = makeConfirmed("i-1");
        (void)monitor.onReport(makeReport("i-2", 1), Start);
        identify(monitor, "i-2");
        cr_assert(monitor.backend() == "i-2" && monitor.state() == BackendState::Ready);
        cr_assert(monitor.hasReported() && monitor.slots() == 12 && monitor.isConfirmed());
    }
    SECTION("its report is still to come")
    {
        BackendMonitor monitor = makeConfirmed("i-1");
        identify(monitor, "i-3");
        cr_assert(monitor.backend() == "i-3" && monitor.state() == BackendState::Absent);
        cr_assert(monitor.onReport(makeReport("i-3", 1), Start));
        cr_assert(monitor.state() == BackendState::Ready);
    }
    SECTION("also if it was taken for ended")
    {
        BackendMonitor monitor = makeConfirmed("i-1");
        identify(monitor, "i-2");
        cr_assert(monitor.standingOf(makeReport("i-1", 2)) == ReportStanding::Ended);
        identify(monitor, "i-1");
        cr_assert(monitor.onReport(makeReport("i-1", 2), Start));
        cr_assert(monitor.backend() == "i-1" && monitor.state() == BackendState::Ready);
    }
    SECTION("one that left before still leaves")
    {
        BackendMonitor monitor = makeConfirmed("i-1");
        (void)monitor.onReport(makeReport("i-1", 2, BackendState::Draining), Start);
        identify(monitor, "i-2");
        identify(monitor, "i-1");
        (void)monitor.onReport(makeReport("i-1", 3), Start);
        cr_assert(monitor.state() == BackendState::Draining);
    }
}

// Guards against a node that has just started and is told first of an incarnation that has ended.
Test(backend_monitor, first_incarnation_is_in_doubt_until_the_backend_server_names_it)
{
    BackendMonitor monitor{MonitorLimits{}};
    (void)monitor.onReport(makeReport("i-1", 40), Start);
    cr_assert(monitor.state() == BackendState::Ready,
              "requests name it, so no other one runs them");
    cr_assert(monitor.isInDoubt(Start) && !monitor.isConfirmed());
    (void)monitor.onReport(makeReport("i-2", 1), Start);
    identify(monitor, "i-2");
    cr_assert(monitor.backend() == "i-2" && monitor.isConfirmed() && !monitor.isInDoubt(Start));
}

// Guards against late bytes after an answer that name another incarnation.
Test(backend_monitor, answer_that_names_another_incarnation_is_a_claim)
{
    SECTION("it does not end the current one")
    {
        BackendMonitor monitor = makeConfirmed("i-1");
        cr_assert(!monitor.onNamed("i-2", Start) && monitor.backend() == "i-1");
        cr_assert(monitor.isInDoubt(Start));
    }
    SECTION("nor does one without a name")
    {
        BackendMonitor monitor = makeConfirmed("i-1");
        cr_assert(!monitor.onNamed("", Start) && !monitor.isInDoubt(Start));
        cr_assert(monitor.backend() == "i-1");
    }
    SECTION("if that one has reported as well, it is used before a health check gets a slot")
    {
        BackendMonitor monitor = makeConfirmed("i-1");
        (void)monitor.onReport(makeReport("i-2", 1), Start);
        cr_assert(monitor.onNamed("i-2", Start));
        cr_assert(monitor.backend() == "i-2" && monitor.state() == BackendState::Ready);
        cr_assert(monitor.isInDoubt(Start) && !monitor.isConfirmed());
    }
    SECTION("the backend server is asked also about one that was taken for ended")
    {
        BackendMonitor monitor = makeConfirmed("i-1");
        identify(monitor, "i-2");
        (void)monitor.onNamed("i-1", Start);
        cr_assert(monitor.isInDoubt(Start));
    }
}

// Guards against a new incarnation that waits for a health check though the former one has ended.
Test(backend_monitor, report_replaces_an_incarnation_that_refuses_connections)
{
    BackendMonitor monitor = makeConfirmed("i-1");
    (void)monitor.onRefusedConnection();
    (void)monitor.onRefusedConnection();
    cr_assert(monitor.onReport(makeReport("i-2", 1), Start));
    cr_assert(monitor.backend() == "i-2" && monitor.state() == BackendState::Ready);
    cr_assert(monitor.isInDoubt(Start), "it is asked, since the report may be another one's");
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
    identify(monitor, "i-2");
    cr_assert(monitor.standingOf(makeReport("i-1", 10)) == ReportStanding::Ended);
}

// Guards against a request that reached a backend server 2.2 s after its deregistration had been
// acknowledged: its node had just restarted, received the deregistration of an incarnation that it
// did not know yet, and then a late report of this incarnation with the state ready.
Test(backend_monitor, deregistration_before_the_first_report_is_kept)
{
    BackendMonitor monitor{MonitorLimits{}};
    (void)monitor.onDeregister("i-1", Start);
    (void)monitor.onReport(makeReport("i-1", 7), Start);
    cr_assert(monitor.state() == BackendState::Draining);
    SECTION("also if the incarnation becomes known by a health check")
    {
        BackendMonitor polled{MonitorLimits{}};
        (void)polled.onDeregister("i-1", Start);
        identify(polled, "i-1");
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
        cr_assert(!monitor.onDeregister({"i-1", 1000}, Start));
        cr_assert(monitor.state() == BackendState::Ready);
        cr_assert(monitor.onDeregister({"i-1", 2000}, Start));
    }
    SECTION("a health check returns only the id; the first heartbeat completes the same "
            "incarnation")
    {
        BackendMonitor polled{MonitorLimits{}};
        identify(polled, "i-1");
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
