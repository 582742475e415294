/** @file object_store_test.cpp The object store client against the in-memory store. */

#include "platform/object_store.h"
#include "platform/standin/object_store_standin.h"
#include "support/random_text.h"
#include "support/scripted_backend.h"
#include "support/slow_link.h"
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
            conflictKind = kind;
            conflictRecord = record;
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
    std::optional<RecordKind> conflictKind;
    StoredRecord conflictRecord;
};

} // namespace

Test(object_store, reads_written_records)
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

// Guards against rejecting requests for moving keys longer than necessary: after a conflict the
// client does not wait for the watch, since the conflict response contains the stored record.
Test(object_store, write_conflict_reports_stored_record)
{
    Fixture fixture;
    const StoreRevision first = fixture.create("a", R"({"x":1})");
    const auto second
            = fixture.run(fixture.client.replace(RecordKind::Ranges, "a", first, R"({"x":2})"));
    cr_assert(second.has_value() && second.assume_value() > first);

    SECTION("a replace with an older revision")
    {
        const auto late
                = fixture.run(fixture.client.replace(RecordKind::Ranges, "a", first, R"({"x":3})"));
        cr_assert(late.assume_error().code == FailureCode::VersionConflict);
        cr_assert(fixture.conflictKind == RecordKind::Ranges);
        cr_assert(fixture.conflictRecord.revision == second.assume_value());
        cr_assert(fixture.conflictRecord.content == R"({"x":2})");
    }
    SECTION("a create of an existing record")
    {
        fixture.conflictRecord = {};
        const auto again
                = fixture.run(fixture.client.create(RecordKind::Ranges, "a", R"({"x":4})"));
        cr_assert(again.assume_error().code == FailureCode::VersionConflict);
        cr_assert(fixture.conflictRecord.content == R"({"x":2})");
    }
}

Test(object_store, watch_returns_changes)
{
    Fixture fixture;
    const StoreRevision first = fixture.create("a", R"({"x":1})");
    SECTION("no change")
    {
        const auto none = fixture.run(fixture.client.watch(RecordKind::Ranges, first, Wait));
        cr_assert(none.has_value() && none.assume_value().changes.empty());
    }
    SECTION("one change")
    {
        (void)fixture.run(fixture.client.replace(RecordKind::Ranges, "a", first, R"({"x":2})"));
        const auto one = fixture.run(fixture.client.watch(RecordKind::Ranges, first, Wait));
        cr_assert(one.has_value() && one.assume_value().changes.size() == 1);
        cr_assert(one.assume_value().changes[0].record.content == R"({"x":2})");
    }
    SECTION("the history has been compacted")
    {
        fixture.store.compact();
        const auto gone = fixture.run(fixture.client.watch(RecordKind::Ranges, first, Wait));
        cr_assert(gone.assume_error().code == FailureCode::HistoryGone);
    }
}

Test(object_store, failure_codes)
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

// Guards against a large configuration that is never read over a slow link, since each call ends
// while the response arrives.
Test(object_store, response_that_keeps_arriving_is_not_cut_off)
{
    constexpr size_t LargeBytes = 400 * 1024;
    constexpr size_t PartBytes = 16 * 1024;
    constexpr milliseconds PartInterval{20};
    constexpr milliseconds SilenceLimit{150};
    Fixture fixture;
    const std::string content = "\"" + makeRandomText(LargeBytes) + "\"";
    const StoreRevision before = fixture.create("a", R"({"x":1})");
    (void)fixture.create("b", content);
    auto link = std::make_shared<SlowLink>(fixture.context, fixture.store.addEndpoint("127.0.0.1"),
                                           PartBytes, PartInterval);
    link->start();
    ObjectStore client(fixture.context.get_executor(),
                       {"127.0.0.1", link->port(), SilenceLimit, SilenceLimit});
    SECTION("of a list")
    {
        const auto listed = fixture.run(client.list(RecordKind::Ranges));
        cr_assert(listed.has_value() && listed.assume_value().records.size() == 2);
    }
    SECTION("of a watch")
    {
        const auto seen = fixture.run(client.watch(RecordKind::Ranges, before, Wait));
        cr_assert(seen.has_value() && seen.assume_value().changes.size() == 1);
    }
    SECTION("but one that has stopped")
    {
        link->fallSilentAfter(LargeBytes / 4);
        const auto listed = fixture.run(client.list(RecordKind::Ranges));
        cr_assert(!listed && listed.assume_error().code == FailureCode::DeadlineExceeded);
    }
}

// Guards against taking bytes that are no response for an answer of the store.
Test(object_store, bytes_that_are_no_response_are_rejected)
{
    const std::string body = R"({"items":[],"events":[],"has_more":false,"store_revision":9,)"
                             R"("metadata":{"name":"a","revision":9},"spec":{}})";
    const std::string rest = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (const std::string head :
         {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 20 OK\r\n",
          "HTTP/1.1 200 OK\r\nNa me: x\r\n"}) {
        asio::io_context context;
        const auto server = std::make_shared<ScriptedBackend>(
                context, std::vector<BackendScript>{{head + rest}});
        server->start();
        ObjectStore client(context.get_executor(), {"127.0.0.1", server->port()});
        constexpr RecordKind Kind = RecordKind::Ranges;
        const StoreRevision known(1);
        cr_assert(!runUntil(context, client.list(Kind)), "%s", head.c_str());
        cr_assert(!runUntil(context, client.read(Kind, "a")));
        cr_assert(!runUntil(context, client.create(Kind, "a", "{}")));
        cr_assert(!runUntil(context, client.replace(Kind, "a", known, "{}")));
        cr_assert(!runUntil(context, client.watch(Kind, known, Wait)));
        cr_assert(runUntilHolds(context, [&]() { return server->lostConnections() == 5; }), "%s",
                  head.c_str());
    }
}
