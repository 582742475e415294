/** @file liveness_evidence_test.cpp What shows that a backend server does not leave. */

#include "decision/member/liveness_evidence.h"

#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr milliseconds Heartbeat{1000};

/** Evidence about the backend server "i-1", which reports to a process that started at Start. */
struct Fixture {
    void report(milliseconds afterStart, const BackendIncarnation &backend = "i-1")
    {
        BackendReport report;
        report.backend = backend;
        report.sequence = ++sequence;
        evidence.onReport(report, Start + afterStart);
    }

    bool suffices() const { return evidence.suffices("i-1"); }

    LivenessEvidence evidence{EvidenceLimits{}, Heartbeat, Start};
    uint64_t sequence = 40;
};

} // namespace

// Guards against requests to a backend server whose leaving was acknowledged by a process that was
// lost together with all nodes that knew of it.
Test(liveness_evidence, one_late_heartbeat_is_not_enough)
{
    SECTION("alone")
    {
        Fixture late;
        late.report(milliseconds(4000));
        cr_assert(!late.suffices());
    }
    SECTION("nor beside a healthy answer, if the store did not answer before")
    {
        Fixture late;
        late.evidence.onStoreOutage();
        late.evidence.onHealthy("i-1");
        late.report(milliseconds(1200));
        cr_assert(!late.suffices());
    }
    SECTION("nor beside the healthy answer of another backend server")
    {
        Fixture late;
        late.evidence.onHealthy("i-2");
        late.report(milliseconds(1200));
        cr_assert(!late.suffices());
    }
    SECTION("nor are several that were held up and arrive together")
    {
        Fixture late;
        late.evidence.onStoreOutage();
        late.evidence.onHealthy("i-1");
        for (int number = 0; number < 4; ++number) {
            late.report(milliseconds(1200 + number));
        }
        cr_assert(!late.suffices());
    }
    SECTION("nor several that were on their way when the process started")
    {
        Fixture late;
        for (int number = 0; number < 5; ++number) {
            late.report(milliseconds(100) + number * Heartbeat);
        }
        cr_assert(!late.suffices());
    }
    SECTION("nor is a healthy answer alone")
    {
        Fixture silent;
        silent.evidence.onHealthy("i-1");
        cr_assert(!silent.suffices());
    }
}

// Guards against backend servers that stay and get no requests after the loss of all nodes.
Test(liveness_evidence, backend_server_that_stays_is_used)
{
    SECTION("at its first heartbeat if it says that it is healthy")
    {
        Fixture sound;
        sound.report(milliseconds(400));
        sound.evidence.onHealthy("i-1");
        cr_assert(sound.suffices());
    }
    SECTION("at its second one if the store did not answer")
    {
        Fixture sound;
        sound.evidence.onStoreOutage();
        sound.evidence.onHealthy("i-1");
        sound.report(milliseconds(400));
        sound.report(milliseconds(1400));
        cr_assert(sound.suffices());
    }
    SECTION("soon after, even if its health answers are wrong")
    {
        Fixture sound;
        for (int number = 0; number < 6; ++number) {
            sound.report(milliseconds(400) + number * Heartbeat);
        }
        cr_assert(sound.suffices());
    }
    SECTION("another incarnation begins anew")
    {
        Fixture restarted;
        restarted.evidence.onHealthy("i-1");
        restarted.report(milliseconds(400), "i-0");
        cr_assert(!restarted.suffices());
        restarted.report(milliseconds(500));
        cr_assert(restarted.suffices());
    }
}
