/** @file refusal_log_test.cpp What the log tells of a request that is refused before it has a
 * route. */

#include "adapter/clock/boot_clock_adapter.h"
#include "adapter/log/event_log.h"
#include "duty/request_router.h"
#include "duty/stall_monitor.h"
#include "platform/request_headers.h"
#include "support/json_text.h"
#include "support/no_ownership.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

#include <sstream>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

/** A node that had its configuration from a feeder. */
class FedConfig final : public RevisionExchange
{
public:
    KnownRevisions news() const override { return {}; }
    void onPeerRevisions(NodeId, const KnownRevisions &, TimePoint) override { }
    ConfigStatus configStatus(TimePoint) const override
    {
        return {"feeder", StoreRevision(40), StoreRevision(77), milliseconds(900),
                milliseconds(5000)};
    }
};

struct Fixture {
    void configure()
    {
        RouteConfig config;
        config.version = 6;
        (void)view.onConfig(std::move(config));
    }

    /** @return The only line of @p event that one request leaves. */
    boost::json::object refusal(LogEvent event, const std::string &attemptId)
    {
        std::stringstream stream;
        {
            const LogOutput output(stream, LogSeverity::Info);
            HttpRequest request(http::verb::get, "/added/1", 11);
            request.set(http::field::host, "a.example");
            if (!attemptId.empty()) {
                request.set("X-Wisteriahoist-Attempt-Id", attemptId);
            }
            (void)runUntil(context, router.onRequest(std::move(request),
                                                     std::make_shared<DisconnectSignal>()));
        }
        boost::json::object found;
        for (std::string line; std::getline(stream, line);) {
            boost::json::object object = boost::json::parse(line).as_object();
            if (object.at("event").as_string() == logEventName(event)) {
                cr_assert(found.empty());
                found = std::move(object);
            }
        }
        cr_assert(!found.empty());
        return found;
    }

    asio::io_context context;
    BootClockAdapter clock;
    platform::RequestHeaders protocol;
    NoOwnership keys;
    BackendMonitor monitor{MonitorLimits{}};
    FleetView view;
    PeerLoads loads;
    PeerLink peers{context, "127.0.0.1", 0};
    CrashLedger crashes;
    BackendGate gate{context, clock, protocol, "127.0.0.1", 1, monitor, keys, crashes};
    RequestRouter router{context, clock,   protocol,
                         view,    loads,   gate,
                         peers,   crashes, {NodeId(1), "domain", "one", {}}};
    FedConfig config;
};

} // namespace

// Guards against a 404 for an added route of which the log names neither the request nor how the
// node came by its configuration.
Test(refusal_log, names_the_request_and_how_the_node_came_by_its_configuration)
{
    Fixture fixture;
    fixture.router.setRevisionExchange(fixture.config);

    SECTION("without a configuration")
    {
        const auto line = fixture.refusal(LogEvent::RequestRefused, "q7");
        cr_assert(line.at("request").as_string() == "q7");
        cr_assert(line.at("reason").as_string() == "no-configuration");
    }
    SECTION("without a route")
    {
        fixture.configure();
        const auto line = fixture.refusal(LogEvent::RouteUnknown, "q8");
        cr_assert(line.at("request").as_string() == "q8");
        cr_assert(line.at("host").as_string() == "a.example");
        cr_assert(line.at("target").as_string() == "/added/1");
        cr_assert_eq(line.at("config").to_number<int>(), 6);
        cr_assert(line.at("source").as_string() == "feeder");
        cr_assert_eq(line.at("revision").to_number<int>(), 40);
        cr_assert_eq(line.at("position").to_number<int>(), 77);
        cr_assert_eq(line.at("unconfirmed_ms").to_number<int>(), 900);
        cr_assert_eq(line.at("in_force_ms").to_number<int>(), 5000);
        cr_assert(line.contains("running_ms"));
    }
    SECTION("without an attempt id")
    {
        fixture.configure();
        RouteConfig config = *fixture.view.routes().config();
        Route route;
        route.host = "a.example";
        route.pathPrefix = "/added/";
        route.targets = {{"one", 1}};
        config.routes = {route};
        ++config.version;
        (void)fixture.view.onConfig(std::move(config));
        const auto line = fixture.refusal(LogEvent::RequestRefused, "");
        cr_assert(line.at("reason").as_string() == "attempt id missing");
    }
}

Test(stall_monitor, a_late_turn_is_a_stall)
{
    const StallLimits limits;
    StallMonitor monitor(limits);
    TimePoint now{milliseconds(1000)};
    cr_assert(!monitor.onTurn(now));
    now += limits.interval + limits.lateness - milliseconds(1);
    cr_assert(!monitor.onTurn(now));
    now += limits.interval + milliseconds(3000);
    cr_assert(monitor.onTurn(now) == milliseconds(3000));
    cr_assert(monitor.total() == milliseconds(3000));
}
