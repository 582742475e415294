/** @file foreign_bytes_test.cpp Fuzz tests of the decoders of external data. */

#include "adapter/codec/record_codec.h"
#include "platform/backend_calls.h"
#include "platform/json_fields.h"
#include "platform/json_splitter.h"
#include "platform/route_config_decoder.h"
#include "platform/settings_reader.h"
#include "support/test_section.h"
#include "wisteriahoist/v1/control.pb.h"

#include <random>

using namespace wisteriahoist;
using namespace wisteriahoist::platform;

namespace {

constexpr uint32_t Seed = 20261;        ///< Fixed, so that each run tries the same inputs.
constexpr int MutationsPerInput = 4000; ///< About one second under the sanitizers.

/**
 * Mutates texts: changes bytes, replaces values by others of another type, truncates, duplicates
 * parts.
 */
class Mutator
{
public:
    std::string mutate(std::string text)
    {
        const int times = 1 + draw(3);
        for (int time = 0; time < times && !text.empty(); ++time) {
            mutateOnce(text);
        }
        return text;
    }

private:
    int draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }

    void mutateOnce(std::string &text)
    {
        const auto at = static_cast<size_t>(draw(static_cast<int>(text.size()) - 1));
        switch (draw(4)) {
        case 0:
            text[at] = static_cast<char>(draw(255));
            break;
        case 1:
            text.resize(at);
            break;
        case 2:
            text.insert(at, text.substr(at / 2, 20));
            break;
        default:
            replaceValue(text, at);
            break;
        }
    }

    /** Replaces the value behind the next colon or comma. */
    void replaceValue(std::string &text, size_t from)
    {
        static const std::vector<std::string> values{"null",
                                                     "-1",
                                                     "1e400",
                                                     "18446744073709551616",
                                                     "0.5",
                                                     "\"\"",
                                                     "\"x\"",
                                                     "[]",
                                                     "{}",
                                                     "true",
                                                     "[[0,65536,-1]]",
                                                     "[[5,1,\"\"]]",
                                                     "\"9999999999999999999999s\"",
                                                     "\"nans\""};
        const size_t begin = text.find_first_of(":,", from);
        const size_t end
                = begin == std::string::npos ? begin : text.find_first_of(",}]", begin + 1);
        if (end != std::string::npos) {
            const int value = draw(static_cast<int>(values.size()) - 1);
            text.replace(begin + 1, end - begin - 1, values[static_cast<size_t>(value)]);
        }
    }

    std::mt19937 random_{Seed};
};

/** Decodes mutated forms of @p text. @return How many were accepted. */
template <typename Decode>
int decodeMutations(const std::string &text, Decode decode)
{
    Mutator mutator;
    int read = 0;
    for (int number = 0; number < MutationsPerInput; ++number) {
        read += decode(mutator.mutate(text)) ? 1 : 0;
    }
    return read;
}

bool isTable(const RangeTable &table)
{
    for (size_t index = 1; index < table.entries.size(); ++index) {
        if (table.entries[index - 1].first >= table.entries[index].first) {
            return false;
        }
    }
    return table.entries.empty() || table.entries.front().first == ShardKey(0);
}

} // namespace

// Guards against misreading data of other writers: one such entry could end the registered
// incarnation of the backend server or make the range table unusable, so that requests for all keys
// are rejected. Every input is either rejected or decoded completely, and decoded values satisfy
// the invariants of their type.
Test(foreign_bytes, heartbeats)
{
    const std::string beat
            = R"({"service":"s","address":"10.1.0.41:8628","zone":"z","version":"v1","slots":12,"state":"ready","sequence":4,"born":1700,)"
              R"("cold_remaining":"0ms","holds":[[0,4095,7]],)"
              R"("released":[[5001,6000,"5c0e"]]})";
    const int read = decodeMutations(beat, [](const std::string &text) {
        HttpRequest request(http::verb::post, "/-/instances/i-7/heartbeat", 11);
        request.body() = text;
        const auto call = decodeReport(request);
        if (!call) {
            cr_assert(call.assume_error().code == FailureCode::Malformed);
            return false;
        }
        const BackendReport &report = call.assume_value().report;
        if (report.holding) {
            for (const HeldKeys &row : report.holding->holds) {
                cr_assert(row.span.first <= row.span.last && row.span.last <= LastShardKey);
            }
        }
        return report.state == BackendState::Ready || report.state == BackendState::Draining;
    });
    cr_assert(read > 0 && read < MutationsPerInput);
}

Test(foreign_bytes, store_records)
{
    const RangeHolder holder{NodeId(1), Incarnation(2), {"b-1", 1700}};
    RangeRecord ranges;
    ranges.table = makeRangeTable({{holder, 1}, {{NodeId(2), Incarnation(1), "b-2"}, 1}});
    (void)decodeMutations(encodeRangeRecord(ranges), [](const std::string &text) {
        const auto record = decodeRangeRecord(text);
        cr_assert(!record || record.assume_value().isBlock()
                  || isTable(record.assume_value().table));
        return record.has_value();
    });
    MemberRecord member;
    member.node = NodeId(1);
    member.peerPort = 8624;
    member.backend = {"b-1", 1700};
    (void)decodeMutations(encodeMember(member), [](const std::string &text) {
        const auto record = decodeMember(text);
        cr_assert(!record || record.assume_value().node != InvalidNode);
        return record.has_value();
    });
    LeaseRecord lease;
    lease.node = NodeId(1);
    lease.witnesses = {NodeId(2), NodeId(3)};
    (void)decodeMutations(encodeLease(lease),
                          [](const std::string &text) { return decodeLease(text).has_value(); });
}

Test(foreign_bytes, answers_of_the_store)
{
    const std::string page
            = R"({"items":[{"metadata":{"name":"a","revision":5},"spec":{"x":["]}\"",)"
              R"({}]}},{"metadata":{"name":"b","revision":6},"spec":null}],)"
              R"("has_more":false,"store_revision":9})";
    const int read = decodeMutations(page, [](const std::string &text) {
        const auto members = splitObject(text);
        const auto items = members ? splitArray(textOfMember(*members, "items")) : std::nullopt;
        if (!items) {
            return false;
        }
        cr_assert_eq(readScalars(*members).size(), members->size());
        for (const std::string_view item : *items) {
            const auto object = splitObject(item);
            cr_assert(!object || readScalars(*object).size() == object->size());
        }
        return true;
    });
    cr_assert(read > 0 && read < MutationsPerInput);
}

Test(foreign_bytes, configurations_and_settings)
{
    const std::string config
            = R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/",)"
              R"("kind":"idempotent","timeout":"1500ms","target_latency":"800ms","priority":1,)"
              R"("service":"s","max_attempts":2}],"services":[{"name":"s","sharded":true,)"
              R"("grants":"heartbeat"}],"limits":{"max_header_bytes":1000,"idle_timeout":"9s"}})";
    (void)decodeMutations(config, [](const std::string &text) {
        const auto decoded = decodeRouteConfig(text);
        cr_assert(!decoded || decoded.assume_value().routes.empty()
                  || !decoded.assume_value().routes.front().targets.empty());
        return decoded.has_value();
    });
    const std::string settings
            = "node_name = \"n\"\nzone = \"z\"\nservice = \"s\"\nip = \"10.0.0.1\"\n"
              "app_addr = \"10.0.0.1:80\"\nheartbeat = \"870ms\"\n"
              "bounds = [\"grace=6s\"]\n[platform]\naddress = \"10.0.0.2:81\"\n";
    (void)decodeMutations(settings, [](const std::string &text) {
        std::vector<Finding> findings;
        (void)decodeSettings(text, "local.toml", findings);
        return findings.empty();
    });
}

Test(foreign_bytes, invalid_durations)
{
    for (const std::string text : {"nans", "infms", "1e300s", "-1ms", "5", "ms", "5 ms"}) {
        cr_assert(!parseTime(text), "%s", text.c_str());
    }
    cr_assert(parseTime("2.5s") == milliseconds(2500));
}

Test(foreign_bytes, messages_between_nodes)
{
    v1::HopRequest hop;
    hop.set_service("s");
    hop.set_attempt_id("q");
    hop.set_deadline_left_ms(500);
    hop.set_body("body");
    (void)decodeMutations(hop.SerializeAsString(), [](const std::string &text) {
        v1::HopRequest decoded;
        return decoded.ParseFromString(text);
    });
}
