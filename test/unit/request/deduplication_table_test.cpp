/** @file deduplication_table_test.cpp A request with an idempotency key runs at most once. */

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
    SECTION("a retry while the first attempt is running")
    {
        cr_assert(table.begin(first, Start).step == DeduplicationStep::InProgress);
    }
    SECTION("a retry after the run gets the stored response")
    {
        table.finish("booking", "k", "answer", Start);
        const auto decision = table.begin(makeAttempt("k", milliseconds(900)), Start);
        cr_assert(decision.step == DeduplicationStep::Replay && decision.response == "answer");
    }
    SECTION("a different request with the same key is refused")
    {
        KeyedAttempt other = first;
        other.fingerprint = "g";
        cr_assert(table.begin(other, Start).step == DeduplicationStep::Reused);
    }
    SECTION("a run whose end is not known stays unknown")
    {
        cr_assert(table.begin(makeAttempt("u", milliseconds(0)), Start).step
                  == DeduplicationStep::Run);
        table.finish("booking", "u", std::nullopt, Start);
        cr_assert(table.begin(makeAttempt("u", milliseconds(5)), Start).step
                  == DeduplicationStep::OutcomeUnknown);
    }
    SECTION("the key of a request that provably did not run may be used again")
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
    // The owner runs a booking and crashes before it answers; its table is lost. The caller retries
    // with the same key at the new owner, which does not know it. Without the epoch rule the
    // booking would run a second time.
    DeduplicationTable newOwner{DeduplicationLimits{}};
    const TimePoint retryAt = Start + milliseconds(300);
    SECTION("a retry whose key is older than the ownership is refused as unknown")
    {
        const auto decision = newOwner.begin(makeAttempt("k", milliseconds(1500)), retryAt);
        cr_assert(decision.step == DeduplicationStep::OlderThanEpoch);
    }
    SECTION("a retry whose transit time may hide the age of its key is refused too")
    {
        // Sent 200 ms after the first attempt, with 400 ms of transit: the first was before Start.
        const auto decision = newOwner.begin(makeAttempt("k", milliseconds(200)), retryAt);
        cr_assert(decision.step == DeduplicationStep::OlderThanEpoch);
    }
    SECTION("a key without an age is refused until the ownership is older than the time to live")
    {
        cr_assert(newOwner.begin(makeAttempt("k", std::nullopt), retryAt).step
                  == DeduplicationStep::OlderThanEpoch);
        const TimePoint later = Start + DeduplicationLimits{}.timeToLive;
        cr_assert(newOwner.begin(makeAttempt("k", std::nullopt), later).step
                  == DeduplicationStep::Run);
    }
    SECTION("a first attempt runs at once")
    {
        cr_assert(newOwner.begin(makeAttempt("new", milliseconds(0)), retryAt).step
                  == DeduplicationStep::Run);
    }
    SECTION("a retry whose first attempt was made under this ownership runs")
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
    SECTION("a full table refuses new keys and keeps the old ones")
    {
        cr_assert(table.begin(makeAttempt("c", milliseconds(0)), Start).step
                  == DeduplicationStep::TableFull);
    }
    SECTION("a response that exceeds the byte limit is dropped, and its key stays as unknown")
    {
        table.finish("booking", "a", std::string(600, 'x'), Start);
        cr_assert(table.begin(makeAttempt("a", milliseconds(1)), Start).step
                  == DeduplicationStep::OutcomeUnknown);
    }
    SECTION("expiry frees entries and bytes")
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
    SECTION("any input is either refused or gives a key that is a part of it")
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
