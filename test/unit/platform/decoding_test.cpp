/** @file decoding_test.cpp The platform's settings, configuration, reports and headers, decoded
 * once. */

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

Test(platform_settings, decoded_and_checked_whole)
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
    SECTION("every missing or wrong entry is a finding, in one go")
    {
        (void)decodeSettings("node_name = 3\nheartbeat = \"1 hour\"\n", "s.toml", findings);
        cr_assert(findings.size() >= 10);
    }
    SECTION("a syntax error is one finding with its line")
    {
        findings.clear();
        (void)decodeSettings("ip = \n", "s.toml", findings);
        cr_assert(findings.size() == 1 && findings[0].line == 1);
    }
}

Test(platform_config, decoded)
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
    SECTION("what cannot be read is refused whole, and says why")
    {
        const auto broken
                = decodeRouteConfig(R"({"version":8,"routes":[{"name":"r"}],"services":[]})");
        cr_assert(!broken && broken.assume_error().code == FailureCode::Malformed);
        cr_assert(broken.assume_error().context.find("path_prefix") != std::string::npos);
        cr_assert(!decodeRouteConfig("[]") && !decodeRouteConfig("{") && !decodeRouteConfig(""));
    }
}

Test(platform_reports, decoded)
{
    const std::string beat = R"({"service":"huvo11a","slots":12,"state":"draining",)"
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

Test(platform_reports, keys_that_a_backend_server_holds)
{
    const std::string beat
            = R"({"service":"s","slots":12,"state":"ready","sequence":4,"born":1700,)"
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
    SECTION("a service that is not divided by key says nothing of keys")
    {
        const std::string plain = R"({"service":"s","slots":12,"state":"ready","sequence":4})";
        const auto other = decodeReport(makeCall("/-/instances/i-7/heartbeat", plain));
        cr_assert(other && !other.assume_value().report.holding);
    }
    SECTION("a deregistration may name the life, and need not")
    {
        const auto named
                = decodeReport(makeCall("/-/instances/i-7/deregister", R"({"born":1700})"));
        cr_assert(named.assume_value().report.backend == BackendIncarnation("i-7", 1700));
    }
    SECTION("the answer grants rows, or says nothing of keys at all")
    {
        const GrantReply order{{{{ShardKey(0), ShardKey(4095)}, Epoch(7), ""},
                                {{ShardKey(9000), ShardKey(9999)}, Epoch(12), "7a21"}},
                               milliseconds(4000)};
        cr_assert(makeReportAck(order).body()
                  == R"({"holds":[[0,4095,7,""],[9000,9999,12,"7a21"]],"hold_time":"4000ms"})");
        cr_assert(makeReportAck(std::nullopt).body() == "{}");
    }
    SECTION("the longest rows that are granted at once fit into 4 KiB")
    {
        GrantReply order;
        order.hold = milliseconds(10000);
        order.rows.resize(GrantTimes{}.rows,
                          {{ShardKey(65535), LastShardKey}, Epoch(99999999), "0123456789abcdef"});
        cr_assert_leq(makeReportAck(order).body().size(), 4096U);
    }
}

// A heartbeat of another writer would end the life that is there: its keys would move and its
// requests would be refused. What can't be read names no backend server, whatever is wrong with it.
Test(platform_reports, of_a_foreign_writer)
{
    const std::vector<std::string> bodies{
            "",
            "{",
            "[]",
            "null",
            "\xff\xfe",
            R"({"service":7,"slots":12,"state":"ready"})",
            R"({"service":"s","slots":12,"state":"resting","sequence":4})",
            R"({"service":"s","slots":12,"sequence":4})",
            R"({"service":"s","slots":"12","state":"ready","sequence":4})",
            R"({"service":"s","slots":12,"state":"ready","sequence":-4})",
            R"({"service":"s","slots":12,"state":"ready","sequence":4,"born":"1700"})",
            R"({"service":"s","slots":12,"state":"ready","sequence":4,"born":17.5})",
            R"({"service":"s","slots":12,"state":"ready","sequence":4,"born":null})",
            R"({"service":"s","slots":12,"state":"ready","sequence":4,"holds":[[0,1,2]]})",
            R"({"service":"s","slots":12,"state":"ready","sequence":4,"holds":[[5,1,2]],"released":[]})",
            R"({"service":"s","slots":12,"state":"ready","sequence":4,"holds":[[0,65536,2]],"released":[]})",
            R"({"service":"s","slots":12,"state":"ready","sequence":4,"holds":[[0,1,"2"]],"released":[]})",
            R"({"service":"s","slots":12,"state":"ready","sequence":4,"holds":7,"released":[]})",
            R"({"service":"s","slots":12,"state":"ready","sequence":4,"holds":[],"released":[[0,1]]})"};
    for (const std::string &body : bodies) {
        const auto call = decodeReport(makeCall("/-/instances/i-7/heartbeat", body));
        cr_assert(!call && call.assume_error().code == FailureCode::Malformed, "%s", body.c_str());
    }
}

Test(platform_headers, terms)
{
    const RequestHeaders headers;
    HttpRequest request(http::verb::get, "/b/1", 11);
    cr_assert(!headers.readMetadata(request));
    request.set("X-Wisteriahoist-Attempt-Id", "9c41");
    request.set("X-Wisteriahoist-Deadline-Ms", "1500");
    request.set("X-Wisteriahoist-Shard-Key", "65535");
    const auto terms = headers.readMetadata(request);
    cr_assert(terms.has_value() && terms.assume_value().timeLeft == milliseconds(1500));
    cr_assert(terms.assume_value().shardKey == LastShardKey);
    request.set("X-Wisteriahoist-Shard-Key", "65536");
    cr_assert(!headers.readMetadata(request));
    SECTION("what the caller claims about the service beside it does not count")
    {
        request.set("X-Wisteriahoist-Caller-Service", "forged");
        headers.setMetadata(request, {milliseconds(700), "i-7", "mine"});
        cr_assert(request["X-Wisteriahoist-Caller-Service"] == "mine");
        cr_assert(request["X-Wisteriahoist-Deadline-Ms"] == "700");
        cr_assert(request["X-Wisteriahoist-Expect-Instance"] == "i-7");
    }
}

Test(platform_headers, answers)
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
    SECTION("Retry-After is in seconds with a fraction")
    {
        HttpResponse response(http::status::service_unavailable, 11);
        headers.setRetryAfter(response, milliseconds(1050));
        cr_assert(response[http::field::retry_after] == "1.050");
    }
}
