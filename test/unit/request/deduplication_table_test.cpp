/** @file deduplication_table_test.cpp A key that must not be repeated runs at most once. */

#include "decision/request/deduplication_table.h"
#include "support/test_section.h"

#include <rapidcheck.h>

using namespace wisteriahoist;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

KeyedAttempt makeAttempt(const std::string &key, std::optional<milliseconds> age)
{
    KeyedAttempt attempt;
    attempt.service = "booking";
    attempt.idempotencyKey = key;
    attempt.fingerprint = "f";
    attempt.age = age;
    attempt.epochSince = Start;
    return attempt;
}

} // namespace

Test(request_deduplication, within_one_epoch)
{
    DeduplicationTable table{DeduplicationLimits{}};
    const KeyedAttempt first = makeAttempt("k", milliseconds(0));
    cr_assert(table.begin(first, Start).step == DeduplicationStep::Run);
    SECTION("a repeat meets the first in progress")
    {
        cr_assert(table.begin(first, Start).step == DeduplicationStep::InProgress);
    }
    SECTION("after the run it gets the stored answer")
    {
        table.finish("booking", "k", "answer", Start);
        const auto decision = table.begin(makeAttempt("k", milliseconds(900)), Start);
        cr_assert(decision.step == DeduplicationStep::Replay && decision.answer == "answer");
    }
    SECTION("another request with the same key is refused")
    {
        KeyedAttempt other = first;
        other.fingerprint = "g";
        cr_assert(table.begin(other, Start).step == DeduplicationStep::Reused);
    }
    SECTION("a run without a known end stays unknown")
    {
        cr_assert(table.begin(makeAttempt("u", milliseconds(0)), Start).step
                  == DeduplicationStep::Run);
        table.finish("booking", "u", std::nullopt, Start);
        cr_assert(table.begin(makeAttempt("u", milliseconds(5)), Start).step
                  == DeduplicationStep::OutcomeUnknown);
    }
    SECTION("a key that provably did not run may be used again")
    {
        cr_assert(table.begin(makeAttempt("n", milliseconds(0)), Start).step
                  == DeduplicationStep::Run);
        table.forget("booking", "n");
        cr_assert(table.begin(makeAttempt("n", milliseconds(0)), Start).step
                  == DeduplicationStep::Run);
    }
}

Test(request_deduplication, across_a_change_of_owner)
{
    // The caller confirms a booking; the owner runs it and dies before it answers. Its table is
    // gone with it. The caller repeats the key at the new owner, which has never seen it: without
    // the epoch rule it would run the booking a second time.
    DeduplicationTable newOwner{DeduplicationLimits{}};
    const TimePoint repeatAt = Start + milliseconds(300);
    SECTION("a repeat older than the ownership is refused as unknown")
    {
        const auto decision = newOwner.begin(makeAttempt("k", milliseconds(1500)), repeatAt);
        cr_assert(decision.step == DeduplicationStep::OlderThanEpoch);
    }
    SECTION("a repeat whose way here may hide its age is refused too")
    {
        // Sent 200 ms after the first sending, but 400 ms on the way: the first lies before Start.
        const auto decision = newOwner.begin(makeAttempt("k", milliseconds(200)), repeatAt);
        cr_assert(decision.step == DeduplicationStep::OlderThanEpoch);
    }
    SECTION("a key without an age is refused while the ownership is young")
    {
        cr_assert(newOwner.begin(makeAttempt("k", std::nullopt), repeatAt).step
                  == DeduplicationStep::OlderThanEpoch);
        const TimePoint later = Start + DeduplicationLimits{}.timeToLive;
        cr_assert(newOwner.begin(makeAttempt("k", std::nullopt), later).step
                  == DeduplicationStep::Run);
    }
    SECTION("a first sending runs at once")
    {
        cr_assert(newOwner.begin(makeAttempt("new", milliseconds(0)), repeatAt).step
                  == DeduplicationStep::Run);
    }
    SECTION("a repeat that began under this ownership runs")
    {
        const TimePoint later = Start + milliseconds(7000);
        cr_assert(newOwner.begin(makeAttempt("late", milliseconds(1500)), later).step
                  == DeduplicationStep::Run);
    }
}

Test(request_deduplication, bounds)
{
    DeduplicationLimits limits;
    limits.entries = 2;
    limits.bytes = 700;
    DeduplicationTable table(limits);
    cr_assert(table.begin(makeAttempt("a", milliseconds(0)), Start).step == DeduplicationStep::Run);
    cr_assert(table.begin(makeAttempt("b", milliseconds(0)), Start).step == DeduplicationStep::Run);
    SECTION("a full table refuses a new key rather than forget an old one")
    {
        cr_assert(table.begin(makeAttempt("c", milliseconds(0)), Start).step
                  == DeduplicationStep::TableFull);
    }
    SECTION("an answer over the bytes' bound leaves its key as unknown")
    {
        table.finish("booking", "a", std::string(600, 'x'), Start);
        cr_assert(table.begin(makeAttempt("a", milliseconds(1)), Start).step
                  == DeduplicationStep::OutcomeUnknown);
    }
    SECTION("time to live frees entries and bytes")
    {
        table.finish("booking", "b", "y", Start);
        const TimePoint later = Start + limits.timeToLive;
        cr_assert(table.begin(makeAttempt("c", milliseconds(0)), later).step
                  == DeduplicationStep::Run);
        cr_assert(table.bytes() <= limits.bytes && table.size() == 1);
    }
}

Test(request_deduplication, header)
{
    SECTION("well-formed")
    {
        cr_assert(parseIdempotencyHeader("\"a-1\"")->key == "a-1");
        cr_assert(!parseIdempotencyHeader("a-1")->age.has_value());
        cr_assert(parseIdempotencyHeader("\"a\";age=1500")->age == milliseconds(1500));
    }
    SECTION("malformed")
    {
        for (const char *text :
             {"", "\"", "\"\"", "\"a", "a\"", "\"a\" ", "\"a\";age=", "a,b", "\"a\";age=-1",
              "\"a\";age=1x", "\"a\";max=1", "a b", "\"a\\\"\"", "\"a\";age=99999999999"}) {
            cr_assert(!parseIdempotencyHeader(text).has_value(), "%s", text);
        }
        cr_assert(!parseIdempotencyHeader(std::string(256, 'k')).has_value());
    }
    SECTION("any bytes are either refused or give a key that is part of them")
    {
        setenv("RC_PARAMS", "seed=17 max_success=300", 1);
        const bool held = rc::check("header", [](const std::string &text) {
            const auto header = parseIdempotencyHeader(text);
            if (header) {
                RC_ASSERT(!header->key.empty() && header->key.size() <= 255U);
                RC_ASSERT(text.find(header->key) != std::string::npos);
            }
        });
        cr_assert(held);
    }
}
