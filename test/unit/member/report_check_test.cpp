/** @file report_check_test.cpp Validation of heartbeats from the local backend server and from
 * foreign processes.
 */

#include "decision/member/report_check.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

constexpr uint64_t Born = 1700000000000;
const std::string Address = "10.1.0.41:8628";

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
    report.address = Address;
    report.slots = 12;
    report.sequence = 1;
    return report;
}

/** Checks @p report at a node whose settings name its service. */
std::optional<Failure> check(const BackendReport &report, const BackendIncarnation &present,
                             const RouteTable &routes)
{
    return checkReport(report, present, routes, {Address, report.service});
}

} // namespace

// Guards against lost requests at a backend server that is up: a foreign process sends a heartbeat
// for a service that is not configured. Were it accepted, the current incarnation would be
// considered ended and its keys be granted to others while it still holds them. A rejected
// heartbeat changes nothing.
Test(report_check, unconfigured_service_is_rejected)
{
    const RouteTable routes = makeRoutes("shelf");
    const std::optional<Failure> refusal = check(makeReport("foreign", "ghost"), "i-1", routes);
    cr_assert(refusal && refusal->code == FailureCode::Malformed);
    cr_assert(refusal->context == "heartbeat.service: service is not in the configuration");
    SECTION("also by a node that knows no incarnation yet")
    {
        cr_assert(check(makeReport("foreign", "ghost"), BackendIncarnation(), routes));
    }
    SECTION("a configured service is accepted, from the current incarnation and from the next")
    {
        cr_assert(!check(makeReport("i-1", "shelf"), "i-1", routes));
        cr_assert(!check(makeReport("i-2", "shelf"), "i-1", routes));
    }
    SECTION("the current incarnation is accepted after its service was removed from the "
            "configuration")
    {
        cr_assert(!check(makeReport("i-1", "ghost"), "i-1", routes));
    }
    SECTION("any service is accepted before the first configuration")
    {
        cr_assert(!check(makeReport("foreign", "ghost"), "i-1", RouteTable()));
    }
}

// Guards against two backend servers that run requests for one key: incarnations with the same id
// are distinguished only by their start time. A heartbeat with that id but no start time would be
// attributed to another incarnation and end the current one, which is still running. Therefore it
// is rejected once a start time is known.
Test(report_check, missing_start_time_is_rejected_once_one_is_known)
{
    const RouteTable routes = makeRoutes("shelf");
    const BackendIncarnation present("i-1", Born);
    const std::optional<Failure> refusal = check(makeReport("i-1", "shelf"), present, routes);
    cr_assert(refusal && refusal->code == FailureCode::Malformed);
    cr_assert(refusal->context == "heartbeat.born: missing, but present in earlier heartbeats");
    SECTION("also with another id, and before the first configuration")
    {
        cr_assert(check(makeReport("i-2", "shelf"), present, routes));
        cr_assert(check(makeReport("i-1", "shelf"), present, RouteTable()));
    }
    SECTION("the same start time and a later one are accepted")
    {
        cr_assert(!check(makeReport(present, "shelf"), present, routes));
        cr_assert(!check(makeReport({"i-1", Born + 1}, "shelf"), present, routes));
    }
    SECTION("a server that has never sent a start time is accepted, and may begin to send one")
    {
        cr_assert(!check(makeReport("i-1", "shelf"), "i-1", routes));
        cr_assert(!check(makeReport(present, "shelf"), "i-1", routes));
    }
}

// If a heartbeat is wrong in both ways, the log names the service, which reveals a foreign process.
Test(report_check, service_is_checked_first)
{
    const std::optional<Failure> refusal = check(
            makeReport("i-1", "ghost"), BackendIncarnation("i-1", Born), makeRoutes("shelf"));
    cr_assert(refusal
              && refusal->context == "heartbeat.service: service is not in the configuration");
}

// Guards against heartbeats of another backend server that change what is known of this node's own
// one, or keep its later ones from counting.
Test(report_check, report_of_another_backend_server_is_rejected)
{
    const RouteTable routes = makeRoutes("shelf");
    const LocalBackend local{Address, "shelf"};
    cr_assert(!checkReport(makeReport("i-1", "shelf"), "i-1", routes, local));
    SECTION("another address, or none")
    {
        for (const char *address : {"10.1.0.42:8628", "10.1.0.41:8629", ""}) {
            BackendReport report = makeReport("i-1", "shelf");
            report.address = address;
            const std::optional<Failure> refusal = checkReport(report, "i-1", routes, local);
            cr_assert(refusal && refusal->code == FailureCode::Malformed, "%s", address);
        }
    }
    SECTION("another service, also with the id of the current incarnation")
    {
        cr_assert(checkReport(makeReport("i-1", "other"), "i-1", makeRoutes("other"), local));
    }
}
