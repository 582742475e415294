/** @file object_store_test.cpp The store's client against a store that speaks the platform's calls.
 */

#include "platform/object_store.h"
#include "platform/standin/object_store_standin.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::platform;
using namespace wisteriahoist::testing;

namespace {

constexpr milliseconds Wait{20};

struct Fixture {
    Fixture()
    {
        client.onConflict([this](RecordKind kind, const StoredRecord &record) {
            standingKind = kind;
            standing = record;
        });
    }

    template <typename T>
    T run(asio::awaitable<T> work)
    {
        return runUntil(context, std::move(work));
    }

    StoreRevision create(const std::string &name, const std::string &content)
    {
        return run(client.create(RecordKind::Ranges, name, content)).assume_value();
    }

    asio::io_context context;
    ObjectStoreStandin store{context, 1};
    ObjectStore client{context.get_executor(), {"127.0.0.1", store.addEndpoint("127.0.0.1")}};
    std::optional<RecordKind> standingKind;
    StoredRecord standing;
};

} // namespace

Test(object_store, reads_what_it_has_written)
{
    Fixture fixture;
    const StoreRevision first = fixture.create("a", R"({"x":1})");
    const auto read = fixture.run(fixture.client.read(RecordKind::Ranges, "a"));
    cr_assert(read.has_value() && read.assume_value().revision == first);
    cr_assert(read.assume_value().content == R"({"x":1})");
    const auto listed = fixture.run(fixture.client.list(RecordKind::Ranges));
    cr_assert(listed.has_value() && listed.assume_value().records.size() == 1);
    cr_assert(fixture.run(fixture.client.list(RecordKind::Members)).assume_value().records.empty());
    const auto missing = fixture.run(fixture.client.read(RecordKind::Ranges, "b"));
    cr_assert(missing.assume_error().code == FailureCode::NotFound);
}

// Callers of keys that move are turned down for longer than needed: a refused write waited for the
// news by the watch. The answer that refuses it holds the record that was there first.
Test(object_store, a_refused_write_tells_what_stands)
{
    Fixture fixture;
    const StoreRevision first = fixture.create("a", R"({"x":1})");
    const auto second
            = fixture.run(fixture.client.replace(RecordKind::Ranges, "a", first, R"({"x":2})"));
    cr_assert(second.has_value() && second.assume_value() > first);

    SECTION("a change of an older revision")
    {
        const auto late
                = fixture.run(fixture.client.replace(RecordKind::Ranges, "a", first, R"({"x":3})"));
        cr_assert(late.assume_error().code == FailureCode::VersionConflict);
        cr_assert(fixture.standingKind == RecordKind::Ranges);
        cr_assert(fixture.standing.revision == second.assume_value());
        cr_assert(fixture.standing.content == R"({"x":2})");
    }
    SECTION("a creation of what exists")
    {
        fixture.standing = {};
        const auto again
                = fixture.run(fixture.client.create(RecordKind::Ranges, "a", R"({"x":4})"));
        cr_assert(again.assume_error().code == FailureCode::VersionConflict);
        cr_assert(fixture.standing.content == R"({"x":2})");
    }
}

Test(object_store, watches_tell_what_has_changed)
{
    Fixture fixture;
    const StoreRevision first = fixture.create("a", R"({"x":1})");
    SECTION("nothing")
    {
        const auto none = fixture.run(fixture.client.watch(RecordKind::Ranges, first, Wait));
        cr_assert(none.has_value() && none.assume_value().changes.empty());
    }
    SECTION("a change since")
    {
        (void)fixture.run(fixture.client.replace(RecordKind::Ranges, "a", first, R"({"x":2})"));
        const auto one = fixture.run(fixture.client.watch(RecordKind::Ranges, first, Wait));
        cr_assert(one.has_value() && one.assume_value().changes.size() == 1);
        cr_assert(one.assume_value().changes[0].record.content == R"({"x":2})");
    }
    SECTION("that the history is gone")
    {
        fixture.store.compact();
        const auto gone = fixture.run(fixture.client.watch(RecordKind::Ranges, first, Wait));
        cr_assert(gone.assume_error().code == FailureCode::HistoryGone);
    }
}

Test(object_store, each_refusal_has_its_type)
{
    Fixture fixture;
    fixture.store.faults().down = true;
    const auto down = fixture.run(fixture.client.list(RecordKind::Ranges));
    cr_assert(down.assume_error().code == FailureCode::Unavailable);
    fixture.store.faults().down = false;
    fixture.store.faults().rejectedEndpoints = {0};
    const auto refused = fixture.run(fixture.client.list(RecordKind::Ranges));
    cr_assert(refused.assume_error().code == FailureCode::Unavailable);
}
