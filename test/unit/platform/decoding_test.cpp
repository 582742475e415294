/** @file decoding_test.cpp Decoding of settings, configuration, heartbeats and headers. */

#include "platform/backend_calls.h"
#include "platform/request_headers.h"
#include "platform/route_config_decoder.h"
#include "platform/settings_reader.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::platform;

namespace {

constexpr std::string_view Settings = R"(
node_name = "sidecar-1"
zone = "hall-north"
service = "huvo11a"
app_addr = "10.1.0.41:8628"
ip = "10.1.0.41"
heartbeat = "1500ms"
something_new = 7
bounds = ["grace=6s","retry_budget_ratio=0.2","budget_window=10s","budget_slack=62","hold_max=10000ms"]
[listen]
inbound = "10.1.0.41:8624"
outbound = "10.1.0.41:8629"
ready = "10.1.0.41:8625"
control = "10.1.0.41:8620"
[platform]
address = "10.200.1.7:8627"
)";

constexpr std::string_view Config = R"({"version":7,"routes":[
{"name":"r-1","host":"a.example","path_prefix":"/b/","kind":"non_idempotent","timeout":"1200ms",
 "target_latency":"800ms","priority":1,"service":"one","max_attempts":2},
{"name":"r-2","host":"a.example","path_prefix":"/","kind":"idempotent","timeout":"1.5s",
 "weighted_targets":[{"service":"one","weight":90},{"service":"two","weight":10}]}],
"services":[{"name":"one","max_connections":84,"sharded":true},{"name":"two"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout":"3000ms",
 "idle_timeout":"15000ms"},"base_version":5})";

HttpRequest makeCall(const std::string &target, const std::string &body)
{
    HttpRequest request(http::verb::post, target, 11);
    request.body() = body;
    return request;
}

HttpResponse makeAnswer(unsigned status, const std::string &id, bool sealed)
{
    HttpResponse response(http::int_to_status(status), 11);
    response.set("X-Wisteriahoist-Attempt-Id", id);
    if (sealed) {
        response.set("X-Wisteriahoist-Server-Seal", "3e1b");
    }
    return response;
}

} // namespace

Test(platform_settings, decodes_and_validates)
{
    std::vector<Finding> findings;
    const SidecarSettings settings = decodeSettings(Settings, "s.toml", findings);
    cr_assert(findings.empty());
    cr_assert(settings.callers == Endpoint({"10.1.0.41", 8629}));
    cr_assert(settings.peers == Endpoint({"10.1.0.41", 8624}));
    cr_assert(settings.store == Endpoint({"10.200.1.7", 8627}));
    cr_assert(settings.heartbeat == milliseconds(1500));
    cr_assert(settings.maxHoldTime == milliseconds(10000));
    cr_assert(settings.retries.slack == 62);
    SECTION("all missing and invalid entries are reported together")
    {
        (void)decodeSettings("node_name = 3\nheartbeat = \"1 hour\"\n", "s.toml", findings);
        cr_assert(findings.size() >= 10);
    }
    SECTION("a syntax error is reported as one finding with its line")
    {
        findings.clear();
        (void)decodeSettings("ip = \n", "s.toml", findings);
        cr_assert(findings.size() == 1 && findings[0].line == 1);
    }
}

Test(platform_config, decodes)
{
    const auto config = decodeRouteConfig(Config);
    cr_assert(config.has_value());
    const RouteConfig &value = config.assume_value();
    cr_assert(value.version == 7 && value.routes.size() == 2);
    cr_assert(value.routes[0].kind == RequestKind::NonIdempotent);
    cr_assert(value.routes[0].latencyObjective == milliseconds(800));
    cr_assert(value.routes[1].timeout == milliseconds(1500));
    cr_assert(value.routes[1].targets.size() == 2 && value.routes[1].targets[1].weight == 10);
    cr_assert(value.services.at("one").sharded && !value.services.at("two").sharded);
    cr_assert(value.limits.bodyBytes == 1000);
    SECTION("an invalid configuration is rejected as a whole, with the reason")
    {
        const auto broken
                = decodeRouteConfig(R"({"version":8,"routes":[{"name":"r"}],"services":[]})");
        cr_assert(!broken && broken.assume_error().code == FailureCode::Malformed);
        cr_assert(broken.assume_error().context.find("path_prefix") != std::string::npos);
        cr_assert(!decodeRouteConfig("[]") && !decodeRouteConfig("{") && !decodeRouteConfig(""));
    }
}

Test(platform_reports, decodes)
{
    const std::string beat = R"({"service":"huvo11a","address":"10.1.0.41:8628","zone":"z",)"
                             R"("version":"v1","slots":12,"state":"draining",)"
                             R"("cold_remaining":"2.5s","sequence":4})";
    const auto call = decodeReport(makeCall("/-/instances/i-7/heartbeat", beat));
    cr_assert(call.has_value());
    cr_assert(call.assume_value().report.backend == "i-7");
    cr_assert(call.assume_value().report.state == BackendState::Draining);
    cr_assert(call.assume_value().report.warmUpLeft == milliseconds(2500));
    const auto leave = decodeReport(makeCall("/-/instances/i-7/deregister", ""));
    cr_assert(leave.assume_value().kind == ReportCall::Kind::Deregister);
    cr_assert(decodeReport(makeCall("/-/else", "")).assume_error().code == FailureCode::NotFound);
    cr_assert(decodeReport(makeCall("/-/instances/i-7/heartbeat", "{}")).assume_error().code
              == FailureCode::Malformed);
}

Test(platform_reports, decodes_held_keys)
{
    const std::string beat
            = R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4,"born":1700,)"
              R"("holds":[[4096,5000,9],[0,4095,7]],"released":[[5001,6000,"5c0e"]]})";
    const auto call = decodeReport(makeCall("/-/instances/i-7/heartbeat", beat));
    cr_assert(call.has_value());
    const BackendReport &report = call.assume_value().report;
    cr_assert(report.backend == BackendIncarnation("i-7", 1700));
    const HeldKeysReport expected{{{{ShardKey(0), ShardKey(4095)}, Epoch(7)},
                                   {{ShardKey(4096), ShardKey(5000)}, Epoch(9)}},
                                  {{{ShardKey(5001), ShardKey(6000)}, "5c0e"}},
                                  4};
    cr_assert(report.holding == expected);
    SECTION("heartbeats of an unsharded service have no key lists")
    {
        const std::string plain
                = R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4})";
        const auto other = decodeReport(makeCall("/-/instances/i-7/heartbeat", plain));
        cr_assert(other && !other.assume_value().report.holding);
    }
    SECTION("a deregistration may contain the start time of the incarnation")
    {
        const auto named
                = decodeReport(makeCall("/-/instances/i-7/deregister", R"({"born":1700})"));
        cr_assert(named.assume_value().report.backend == BackendIncarnation("i-7", 1700));
    }
    SECTION("the response contains granted rows, or no key list")
    {
        const GrantReply order{{{{ShardKey(0), ShardKey(4095)}, Epoch(7), ""},
                                {{ShardKey(9000), ShardKey(9999)}, Epoch(12), "7a21"}},
                               milliseconds(4000)};
        cr_assert(makeReportAck(order).body()
                  == R"({"holds":[[0,4095,7,""],[9000,9999,12,"7a21"]],"hold_time":"4000ms"})");
        cr_assert(makeReportAck(std::nullopt).body() == "{}");
    }
    SECTION("the maximum number of rows of maximum length fits into 4 KiB")
    {
        GrantReply order;
        order.hold = milliseconds(10000);
        order.rows.resize(GrantTimes{}.rows,
                          {{ShardKey(65535), LastShardKey}, Epoch(99999999), "0123456789abcdef"});
        cr_assert_leq(makeReportAck(order).body().size(), 4096U);
    }
}

// Guards against reports of unrelated clients: read as a heartbeat, such a report would end the
// registered incarnation, so that its keys move and its requests are rejected. A report with any
// invalid field is rejected and identifies no backend server.
Test(platform_reports, rejects_invalid_reports)
{
    const std::vector<std::string> bodies{
            "",
            "{",
            "[]",
            "null",
            "\xff\xfe",
            R"({"service":7,"slots":12,"state":"ready"})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"resting","sequence":4})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"sequence":4})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":"12","state":"ready","sequence":4})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":-4})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4,"born":"1700"})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4,"born":17.5})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4,"born":null})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4,"holds":[[0,1,2]]})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4,"holds":[[5,1,2]],"released":[]})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4,"holds":[[0,65536,2]],"released":[]})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4,"holds":[[0,1,"2"]],"released":[]})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4,"holds":7,"released":[]})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4,"holds":[],"released":[[0,1]]})",
            R"({"service":"s","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":7,"version":"v1","slots":12,"state":"ready","sequence":4})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","slots":12,"state":"ready","sequence":4})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":0,"state":"ready","sequence":4})",
            R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":1000000000000000000,"state":"ready","sequence":4})"};
    for (const std::string &body : bodies) {
        const auto call = decodeReport(makeCall("/-/instances/i-7/heartbeat", body));
        cr_assert(!call && call.assume_error().code == FailureCode::Malformed, "%s", body.c_str());
    }
    SECTION("one without an id names none either")
    {
        const std::string sound
                = R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4})";
        cr_assert(decodeReport(makeCall("/-/instances/i-7/heartbeat", sound)).has_value());
        cr_assert(!decodeReport(makeCall("/-/instances//heartbeat", sound)).has_value());
        cr_assert(!decodeReport(makeCall("/-/instances//deregister", "")).has_value());
    }
}

Test(platform_headers, request_metadata)
{
    const RequestHeaders headers;
    HttpRequest request(http::verb::get, "/b/1", 11);
    cr_assert(!headers.readMetadata(request));
    request.set("X-Wisteriahoist-Attempt-Id", "9c41");
    request.set("X-Wisteriahoist-Deadline-Ms", "1500");
    request.set("X-Wisteriahoist-Shard-Key", "65535");
    const auto metadata = headers.readMetadata(request);
    cr_assert(metadata.has_value() && metadata.assume_value().timeLeft == milliseconds(1500));
    cr_assert(metadata.assume_value().shardKey == LastShardKey);
    request.set("X-Wisteriahoist-Shard-Key", "65536");
    cr_assert(!headers.readMetadata(request));
    SECTION("a caller-service header sent by the caller is overwritten")
    {
        request.set("X-Wisteriahoist-Caller-Service", "forged");
        headers.setMetadata(request, {milliseconds(700), "i-7", "mine"});
        cr_assert(request["X-Wisteriahoist-Caller-Service"] == "mine");
        cr_assert(request["X-Wisteriahoist-Deadline-Ms"] == "700");
        cr_assert(request["X-Wisteriahoist-Expect-Instance"] == "i-7");
    }
}

Test(platform_headers, response_classification)
{
    const RequestHeaders headers;
    cr_assert(headers.classifyResponse(makeAnswer(200, "9c41", true), "9c41")
              == ResponseKind::Complete);
    cr_assert(headers.classifyResponse(makeAnswer(500, "9c41", false), "9c41")
              == ResponseKind::Complete);
    cr_assert(headers.classifyResponse(makeAnswer(200, "9c41", false), "9c41")
              == ResponseKind::Unverified);
    cr_assert(headers.classifyResponse(makeAnswer(200, "77", true), "9c41")
              == ResponseKind::WrongRequest);
    HttpResponse shed = makeAnswer(503, "9c41", false);
    shed.set("X-Wisteriahoist-Not-Executed", "1");
    cr_assert(headers.classifyResponse(shed, "9c41") == ResponseKind::NotExecuted);
    SECTION("Retry-After is in fractional seconds")
    {
        HttpResponse response(http::status::service_unavailable, 11);
        headers.setRetryAfter(response, milliseconds(1050));
        cr_assert(response[http::field::retry_after] == "1.050");
    }
}
