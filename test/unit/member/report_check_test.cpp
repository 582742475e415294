/** @file report_check_test.cpp Which heartbeats a node believes, its own server's and a foreign
 * writer's.
 */

#include "decision/member/report_check.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

constexpr uint64_t Born = 1700000000000;

RouteTable makeRoutes(const std::string &service)
{
    RouteConfig config;
    config.version = 1;
    config.services[service] = {service, 0, true, GrantDelivery::Call};
    return RouteTable(std::make_shared<const RouteConfig>(std::move(config)));
}

BackendReport makeReport(const BackendIncarnation &backend, const std::string &service)
{
    BackendReport report;
    report.backend = backend;
    report.service = service;
    report.slots = 12;
    report.sequence = 1;
    return report;
}

} // namespace

// Callers lose their requests at a backend server that is up: a foreign writer reports a life of a
// service that no configuration names. It would count as the successor of the life that is there,
// which is then taken for ended, and its keys are given on while it still holds them. Refused, the
// heartbeat changes nothing.
Test(report_check, a_service_that_is_not_configured)
{
    const RouteTable routes = makeRoutes("shelf");
    const std::optional<Failure> refusal
            = checkReport(makeReport("foreign", "ghost"), "i-1", routes);
    cr_assert(refusal && refusal->code == FailureCode::Malformed);
    cr_assert(refusal->context == "heartbeat.service: not in the configuration");
    SECTION("a node that knows no life yet refuses it too")
    {
        cr_assert(checkReport(makeReport("foreign", "ghost"), BackendIncarnation(), routes));
    }
    SECTION("a configured one is believed, of the present life and of the next")
    {
        cr_assert(!checkReport(makeReport("i-1", "shelf"), "i-1", routes));
        cr_assert(!checkReport(makeReport("i-2", "shelf"), "i-1", routes));
    }
    SECTION("the present life is believed after its service has left the configuration")
    {
        cr_assert(!checkReport(makeReport("i-1", "ghost"), "i-1", routes));
    }
    SECTION("before the first configuration every service is believed")
    {
        cr_assert(!checkReport(makeReport("foreign", "ghost"), "i-1", RouteTable()));
    }
}

// Two backend servers run requests for one key: lives that keep their id are told apart by the time
// of their start alone. A heartbeat under that id without a start would count as another life, and
// end the one that is there although it works on. So once a start is known, one without is refused.
Test(report_check, a_start_that_is_missing_after_one_was_told)
{
    const RouteTable routes = makeRoutes("shelf");
    const BackendIncarnation present("i-1", Born);
    const std::optional<Failure> refusal = checkReport(makeReport("i-1", "shelf"), present, routes);
    cr_assert(refusal && refusal->code == FailureCode::Malformed);
    cr_assert(refusal->context == "heartbeat.born: missing, earlier ones had it");
    SECTION("under another id and before the first configuration as well")
    {
        cr_assert(checkReport(makeReport("i-2", "shelf"), present, routes));
        cr_assert(checkReport(makeReport("i-1", "shelf"), present, RouteTable()));
    }
    SECTION("the same start and a later one are believed")
    {
        cr_assert(!checkReport(makeReport(present, "shelf"), present, routes));
        cr_assert(!checkReport(makeReport({"i-1", Born + 1}, "shelf"), present, routes));
    }
    SECTION("a server that never tells its start is believed, and may begin to tell it")
    {
        cr_assert(!checkReport(makeReport("i-1", "shelf"), "i-1", routes));
        cr_assert(!checkReport(makeReport(present, "shelf"), "i-1", routes));
    }
}

// A heartbeat can be wrong in both ways; the log names the service, which shows a foreign writer.
Test(report_check, the_service_is_judged_first)
{
    const std::optional<Failure> refusal = checkReport(
            makeReport("i-1", "ghost"), BackendIncarnation("i-1", Born), makeRoutes("shelf"));
    cr_assert(refusal && refusal->context == "heartbeat.service: not in the configuration");
}
