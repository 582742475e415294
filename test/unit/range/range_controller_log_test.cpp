/** @file range_controller_log_test.cpp The log says on what proof a range goes to another holder.
 */

#include "adapter/log/event_log.h"
#include "support/json_text.h"
#include "support/ownership_fleet.h"
#include "support/test_section.h"

#include <sstream>

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

constexpr std::chrono::seconds Patience{20};

using Lines = std::vector<boost::json::object>;

/** @return The lines of @p event that are logged while @p run runs. */
Lines logged(LogEvent event, const std::function<void()> &run)
{
    std::stringstream stream;
    {
        const LogOutput output(stream, LogSeverity::Info);
        run();
    }
    Lines lines;
    for (std::string line; std::getline(stream, line);) {
        boost::json::object object = boost::json::parse(line).as_object();
        if (object.at("event").as_string() == logEventName(event)) {
            lines.push_back(std::move(object));
        }
    }
    return lines;
}

bool names(const boost::json::object &line, std::string_view field, std::string_view text)
{
    return line.at(field).as_string() == text;
}

uint64_t numberOf(const boost::json::object &line, std::string_view field)
{
    return line.at(field).to_number<uint64_t>();
}

bool servesAll(const OwnershipFleet &fleet)
{
    return fleet.admitting(ShardKey(5)).size() == 1 && fleet.admitting(ShardKey(65000)).size() == 1;
}

/** @return The keys of all spans that @p lines name. */
uint32_t countNamedKeys(const Lines &lines)
{
    uint32_t keys = 0;
    for (const boost::json::object &line : lines) {
        std::istringstream spans(std::string(line.at("spans").as_string()));
        for (std::string span; spans >> span;) {
            const size_t dash = span.find('-');
            keys += std::stoul(span.substr(dash + 1)) - std::stoul(span) + 1;
        }
    }
    return keys;
}

/** @return A table that gives @p holder all keys in ranges of 2,048, each under a fence of its own.
 */
RangeTable makeManyRanges(const RangeHolder &holder)
{
    RangeTable table = makeRangeTable({{holder, 1}});
    for (uint32_t first = 0; first <= LastShardKey.value(); first += 2048) {
        table = giveRange(std::move(table), {ShardKey(first), ShardKey(first + 2047)}, holder, {});
    }
    return table;
}

bool hasGivenAll(const OwnershipNode &node)
{
    return countKeys(node.view.findTable("s")->table, node.record.node) == 0;
}

} // namespace

Test(range_duty_log, a_range_whose_release_was_answered_says_so)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    cr_assert(fleet.reaches([&]() { return servesAll(fleet); }, Patience));
    const Lines lines = logged(LogEvent::RangeGivenOn, [&]() {
        (void)first.monitor.onDeregister("b-1");
        first.duty.wake();
        cr_assert(fleet.reaches([&]() { return hasGivenAll(first); }, Patience));
    });
    cr_assert(!lines.empty() && names(lines.front(), "proof", "release-answered"));
    cr_assert(numberOf(lines.front(), "unanswered_ms") == 0);
    cr_assert(numberOf(lines.front(), "grant_runs_ms") > 0);
}

Test(range_duty_log, a_range_whose_grants_have_run_out_says_so)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    fleet.add(2, "b-2");
    cr_assert(fleet.reaches([&]() { return servesAll(fleet); }, Patience));
    const Lines lines = logged(LogEvent::RangeGivenOn, [&]() {
        first.backend.crash();
        (void)first.monitor.onRefusedConnection();
        (void)first.monitor.onRefusedConnection();
        cr_assert(fleet.reaches([&]() { return hasGivenAll(first); }, Patience));
    });
    cr_assert(!lines.empty() && names(lines.front(), "proof", "grants-run-out"));
    cr_assert(numberOf(lines.front(), "grant_runs_ms") == 0);
    cr_assert(numberOf(lines.front(), "granted_ms_ago")
              >= static_cast<uint64_t>(GrantTimes{}.hold.count()));
}

Test(range_duty_log, a_range_that_is_not_listed_any_more_names_the_heartbeats)
{
    OwnershipFleet fleet;
    OwnershipNode &first = fleet.add(1, "b-1");
    OwnershipNode &second = fleet.add(2, "b-2");
    first.grantByHeartbeat();
    second.grantByHeartbeat();
    std::optional<GrantReply> order;
    uint64_t sequence = 1;
    const auto beat = [&](const HeldKeysReport &report) {
        HeldKeysReport sent = report;
        sent.sequence = ++sequence;
        order = fleet.heartbeat(first, "b-1", sequence, sent);
        return order.has_value();
    };
    const Lines offered = logged(LogEvent::RangesOffered, [&]() {
        cr_assert(fleet.reaches([&]() { return beat({}) && !order->rows.empty(); }, Patience));
    });
    cr_assert(!offered.empty() && numberOf(offered.back(), "sequence") == sequence);
    HeldKeysReport holding;
    HeldKeysReport released;
    for (const GrantedKeys &row : order->rows) {
        holding.holds.push_back({row.span, row.fence});
        released.released.push_back({row.span, "token"});
    }
    cr_assert(beat(holding));
    const uint64_t shownIn = sequence;
    const Lines lines = logged(LogEvent::RangeGivenOn, [&]() {
        (void)first.monitor.onDeregister("b-1");
        first.duty.wake();
        cr_assert(fleet.reaches(
                [&]() {
                    return first.duty.check(ShardKey(5), fleet.clock().now()) != RequestEnd::None;
                },
                Patience));
        (void)beat(released);
        cr_assert(fleet.reaches([&]() { return hasGivenAll(first); }, Patience));
    });
    cr_assert(!lines.empty() && names(lines.front(), "proof", "not-listed"));
    cr_assert_eq(numberOf(lines.front(), "shown_in"), shownIn);
    cr_assert_eq(numberOf(lines.front(), "told_in"), sequence);
    cr_assert_eq(numberOf(lines.front(), "left_out_of"), sequence);
}

// Keys held twice whose grant stood in no line, since a line named 12 ranges at most.
Test(range_duty_log, each_range_that_is_newly_granted_is_named)
{
    OwnershipFleet fleet;
    OwnershipNode &node = fleet.add(1, "b-1");
    const auto putTable = [&]() {
        RangeRecord record;
        record.table = makeManyRanges({NodeId(1), node.duty.session(), node.monitor.backend()});
        fleet.store().put(RecordKind::Ranges, "s", encodeRangeRecord(record));
    };
    SECTION("by calls")
    {
        const Lines lines = logged(LogEvent::RangesOffered, [&]() {
            putTable();
            cr_assert(fleet.reaches([&]() { return servesAll(fleet); }, Patience));
            cr_assert(fleet.reaches([&]() { return node.backend.grants() > 64; }, Patience));
        });
        cr_assert_eq(countNamedKeys(lines), LastShardKey.value() + 1);
        cr_assert(numberOf(lines.front(), "hold_ms") > 0);
    }
    SECTION("in the answer to a heartbeat")
    {
        node.grantByHeartbeat();
        std::optional<GrantReply> order;
        uint64_t sequence = 1;
        Lines lines = logged(LogEvent::RangesOffered, [&]() {
            putTable();
            cr_assert(fleet.reaches(
                    [&]() {
                        HeldKeysReport report;
                        report.sequence = ++sequence;
                        order = fleet.heartbeat(node, "b-1", sequence, report);
                        return order.has_value() && order->rows.size() == 32;
                    },
                    Patience));
        });
        std::erase_if(lines, [&](const boost::json::object &line) {
            return numberOf(line, "sequence") != sequence;
        });
        cr_assert_eq(lines.size(), 3);
        cr_assert_eq(countNamedKeys(lines), LastShardKey.value() + 1);
    }
}

Test(range_duty_log, a_lease_that_is_taken_away_says_on_what_evidence)
{
    OwnershipFleet fleet;
    fleet.add(1, "b-1");
    OwnershipNode &lost = fleet.add(2, "b-2");
    fleet.add(3, "b-3");
    cr_assert(fleet.reaches([&]() { return servesAll(fleet); }, Patience));
    const Lines lines = logged(LogEvent::LeaseRevoked, [&]() {
        fleet.silence(lost);
        cr_assert(fleet.reaches(
                [&]() {
                    const StoredRecord *table = fleet.store().find(RecordKind::Ranges, "s");
                    return countKeys(decodeRangeRecord(table->content).assume_value().table,
                                     NodeId(2))
                           == 0;
                },
                Patience));
    });
    cr_assert(!lines.empty() && names(lines.front(), "evidence", "fenced at all witnesses"));
}
