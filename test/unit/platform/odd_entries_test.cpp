/** @file odd_entries_test.cpp Entries that another writer has left among the records in the store.
 */

#include "adapter/clock/boot_clock_adapter.h"
#include "adapter/codec/record_codec.h"
#include "duty/store_sync.h"
#include "platform/object_store.h"
#include "platform/route_config_decoder.h"
#include "platform/standin/object_store_standin.h"
#include "support/scripted_backend.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::platform;
using namespace wisteriahoist::testing;

namespace {

constexpr size_t DeepLevels = 5000;
constexpr size_t ManyDigits = 5000;
constexpr uint16_t MemberPort = 8624;

std::string repeat(const std::string &text, size_t times)
{
    std::string repeated;
    for (size_t done = 0; done < times; ++done) {
        repeated += text;
    }
    return repeated;
}

/** Values that JSON allows and that programs read in different ways, or not at all. */
std::vector<std::string> makeOddValues()
{
    std::vector<std::string> values{"1e400",
                                    "-1e99999999999",
                                    "1" + repeat("0", ManyDigits),
                                    "18446744073709551616",
                                    "-1",
                                    "0.5",
                                    "null",
                                    "[]",
                                    R"("\ud800")",
                                    R"("\udc00\ud800")",
                                    R"("\u0000")",
                                    R"("]}\"\\")",
                                    "\"\xff\xfe\"",
                                    "\"" + repeat("x", 100000) + "\""};
    for (const size_t levels : {27U, 28U, 32U, 40U, 200U}) {
        values.push_back(repeat("[", levels) + repeat("]", levels));
    }
    values.push_back(repeat("[", DeepLevels) + repeat("]", DeepLevels));
    values.push_back(repeat(R"({"a":)", DeepLevels) + "1" + repeat("}", DeepLevels));
    values.push_back(repeat(R"([{"a":)", DeepLevels) + R"("}]")" + repeat("}]", DeepLevels));
    return values;
}

/** @return Objects, one for each place in which an entry may hold @p value. */
std::vector<std::string> makeOddObjects(const std::string &value)
{
    const std::string name = R"("name":"odd","revision":6)";
    return {R"({"metadata":{)" + name + R"(},"spec":)" + value + "}",
            R"({"metadata":{)" + name + R"(},"spec":{"x":)" + value + "}}",
            R"({"metadata":{)" + name + R"(},"status":)" + value + R"(,"spec":{"x":1}})",
            R"({"metadata":{"labels":)" + value + "," + name + R"(},"spec":{"x":1}})",
            R"({"other":)" + value + R"(,"metadata":{)" + name + R"(},"spec":{"x":1}})"};
}

/** @return Objects whose name or revision can't be read. */
std::vector<std::string> makeNamelessObjects()
{
    return {"1",
            "null",
            "[[]]",
            "{}",
            R"({"metadata":[]})",
            R"({"metadata":{"name":"x"}})",
            R"({"metadata":{"name":7,"revision":6}})",
            R"({"metadata":{"name":"x","revision":-1}})",
            R"({"metadata":{"name":"\ud800","revision":6}})",
            R"({"metadata":{"name":"x","revision":1e99999999999}})"};
}

/** @return A response with @p body, whatever it holds. */
std::string makeResponse(const std::string &body)
{
    return makeAnswer(body);
}

std::string makeItem(const std::string &name, uint64_t revision)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
           + R"(},"spec":{"x":[1,"y"]}})";
}

std::string makePage(const std::string &items, bool more = false)
{
    return makeResponse(R"({"items":[)" + items + R"(],"has_more":)" + (more ? "true" : "false")
                        + R"(,"store_revision":9})");
}

std::string makeEvent(const std::string &object)
{
    return R"({"object":)" + object + R"(,"deleted":false})";
}

/** A store whose responses are set by the test, and a client of it. */
struct RawStore {
    explicit RawStore(const std::vector<std::string> &answers)
    {
        std::vector<BackendScript> scripts;
        for (const std::string &answer : answers) {
            scripts.push_back({answer});
        }
        server = std::make_shared<ScriptedBackend>(context, std::move(scripts));
        server->start();
        client.emplace(context.get_executor(), ObjectStoreSettings{"127.0.0.1", server->port()});
    }

    Result<RecordListing> list() { return runUntil(context, client->list(RecordKind::Ranges)); }

    Result<RecordChanges> watch()
    {
        return runUntil(context,
                        client->watch(RecordKind::Ranges, StoreRevision(1), milliseconds(10)));
    }

    asio::io_context context;
    std::shared_ptr<ScriptedBackend> server;
    std::optional<ObjectStore> client;
};

bool isPlain(const StoredRecord &record, const std::string &name, uint64_t revision)
{
    return record.name == name && record.revision == StoreRevision(revision)
           && record.content == R"({"x":[1,"y"]})";
}

bool isOdd(const StoredRecord &record)
{
    return record.name == "odd" && record.revision == StoreRevision(6);
}

/** A node's copy of the store, with a configuration and two members. */
struct FollowingNode {
    FollowingNode()
    {
        store.put("config", "main", makeConfig(1));
        putMember(1);
        putMember(2);
    }

    static boost::json::object makeConfig(int version)
    {
        return boost::json::parse(R"({"version":)" + std::to_string(version)
                                  + R"(,"routes":[],"services":[]})")
                .as_object();
    }

    void putMember(uint64_t node, uint16_t port = MemberPort)
    {
        putMember(memberRecordName(NodeId(node)), node, port);
    }

    void putMember(const std::string &name, uint64_t node, uint16_t port)
    {
        MemberRecord member;
        member.node = NodeId(node);
        member.ip = "127.0.0.1";
        member.peerPort = port;
        store.put("wisteriahoist-members", name,
                  boost::json::parse(encodeMember(member)).as_object());
    }

    /** Leaves an odd entry of each kind. */
    void putOddEntries()
    {
        boost::json::value nested = nullptr;
        for (size_t level = 0; level < 100; ++level) {
            nested = boost::json::array{nested};
        }
        for (const std::string kind : {"config", "wisteriahoist-members", "wisteriahoist-ranges",
                                       "wisteriahoist-leases", "evacuations"}) {
            store.put(kind, "odd", {{"x", nested}});
            store.put(kind, "odder", {{"peerPort", 70000}, {"nodeId", -1}, {"slots", 1e300}});
        }
    }

    bool reaches(uint64_t version, size_t members)
    {
        return runUntilHolds(context, [&]() {
            return view.routes().version() == version && view.members().size() == members;
        });
    }

    asio::io_context context;
    ObjectStoreStandin store{context, 1};
    ObjectStore client{context.get_executor(), {"127.0.0.1", store.addEndpoint("127.0.0.1")}};
    BootClockAdapter clock;
    FleetView view;
    StoreSync sync{context, client, clock, view, "main", decodeRouteConfig};
};

} // namespace

// Guards against records that are no longer followed since one among them can't be read.
Test(odd_entries, other_records_are_read)
{
    for (const std::string &value : makeOddValues()) {
        const std::string shown = value.substr(0, 40);
        for (const std::string &odd : makeOddObjects(value)) {
            SECTION("in a list")
            {
                RawStore store({makePage(makeItem("a", 5) + "," + odd + "," + makeItem("z", 7))});
                const auto listed = store.list();
                cr_assert(listed.has_value(), "%s", shown.c_str());
                const auto &records = listed.assume_value().records;
                cr_assert_eq(records.size(), 3U);
                cr_assert(isPlain(records[0], "a", 5) && isOdd(records[1])
                          && isPlain(records[2], "z", 7));
                cr_assert(listed.assume_value().at == StoreRevision(9));
            }
            SECTION("in a watch")
            {
                RawStore store(
                        {makeResponse(R"({"events":[)" + makeEvent(odd) + ","
                                      + makeEvent(makeItem("z", 7)) + R"(],"store_revision":9})")});
                const auto seen = store.watch();
                cr_assert(seen.has_value(), "%s", shown.c_str());
                const auto &changes = seen.assume_value().changes;
                cr_assert_eq(changes.size(), 2U);
                cr_assert(isOdd(changes[0].record) && isPlain(changes[1].record, "z", 7));
            }
            SECTION("alone")
            {
                RawStore store({makeResponse(odd)});
                const auto read
                        = runUntil(store.context, store.client->read(RecordKind::Ranges, "odd"));
                cr_assert(read && isOdd(read.assume_value()), "%s", shown.c_str());
            }
            SECTION("in the response to a write")
            {
                RawStore store({makeResponse(odd)});
                const auto written = runUntil(
                        store.context, store.client->create(RecordKind::Ranges, "odd", "{}"));
                cr_assert(written && written.assume_value() == StoreRevision(6), "%s",
                          shown.c_str());
            }
        }
    }
}

// Guards against a list that ends at an entry, or begins anew with it, since its name can't be
// read.
Test(odd_entries, entries_without_a_name_are_left_out)
{
    for (const std::string &odd : makeNamelessObjects()) {
        SECTION("of the list")
        {
            RawStore store({makePage(makeItem("a", 5) + "," + odd, true),
                            makePage(odd + "," + makeItem("z", 7))});
            const auto listed = store.list();
            cr_assert(listed.has_value(), "%s", odd.c_str());
            const auto &records = listed.assume_value().records;
            cr_assert_eq(records.size(), 2U);
            cr_assert(isPlain(records[0], "a", 5) && isPlain(records[1], "z", 7));
        }
        SECTION("a page of which no name can be read is no reason to ask for it again")
        {
            RawStore store({makePage(odd, true)});
            const auto listed = store.list();
            cr_assert(!listed && listed.assume_error().code == FailureCode::Malformed);
            cr_assert_eq(store.server->requests().size(), 1U);
        }
    }
}

// Guards against a watch that ends with each change of an entry whose name can't be read.
Test(odd_entries, changes_of_entries_without_a_name_are_left_out)
{
    std::vector<std::string> events{"1", "null", "[]", "{}", R"({"object":[],"deleted":true})"};
    for (const std::string &odd : makeNamelessObjects()) {
        events.push_back(makeEvent(odd));
    }
    for (const std::string &event : events) {
        RawStore store(
                {makeResponse(R"({"events":[)" + makeEvent(makeItem("a", 5)) + "," + event + ","
                              + makeEvent(makeItem("z", 7)) + R"(],"store_revision":9})")});
        const auto seen = store.watch();
        cr_assert(seen.has_value(), "%s", event.c_str());
        const auto &changes = seen.assume_value().changes;
        cr_assert_eq(changes.size(), 2U);
        cr_assert(isPlain(changes[0].record, "a", 5) && isPlain(changes[1].record, "z", 7));
        cr_assert(seen.assume_value().at == StoreRevision(9));
    }
}

// Guards against a list that can't be continued after the name that another writer has chosen.
Test(odd_entries, list_is_continued_after_any_name)
{
    RawStore store({makePage(makeItem(R"(a b&c=%\r\nd/\u00e9-.~_Z9)", 5), true),
                    makePage(makeItem("z", 7))});
    const auto listed = store.list();
    cr_assert(listed && listed.assume_value().records.size() == 2);
    const std::string &request = store.server->requests()[1];
    cr_assert(request.find("?after=a%20b%26c%3D%25%0D%0Ad%2F%C3%A9-.~_Z9 HTTP/1.1\r\n")
                      != std::string::npos,
              "%s", request.c_str());
}

// Guards against taking bytes that are no answer of the store for a state of its records.
Test(odd_entries, answers_that_are_no_json_are_rejected)
{
    const std::string item = makeItem("a", 5);
    for (const std::string &body : std::vector<std::string>{
                 "", "x", "[]", "{",
                 R"({"items":[)" + item + R"(],"has_more":false,"store_revision":9)",
                 R"({"items":[)" + item + R"(,"has_more":false,"store_revision":9})",
                 R"({"items":[)" + item + R"(}],"has_more":false,"store_revision":9})",
                 R"({"items":[)" + item + R"(],"has_more":false,"store_revision":9}})",
                 R"({"items":[)" + item + R"(],"has_more":false,"store_revision":9} x)",
                 R"({"items":[)" + item + R"( {}],"has_more":false,"store_revision":9})",
                 R"({"items":[)" + item + R"(,],"has_more":false,"store_revision":9})",
                 R"({"items":[)" + item + R"(],"has_more":false})",
                 R"({"items":[)" + item + R"(],"has_more":false,"store_revision":-9})",
                 R"({"items":[)" + item + R"(],"has_more":false,"store_revision":1e99999999999})",
                 R"({"items":{},"has_more":false,"store_revision":9})",
                 R"({"items":[)" + item + R"(],"has_more":7,"store_revision":9})",
                 R"({"items":[{"metadata":{"name":"a])", repeat("[", DeepLevels),
                 repeat(R"({"items":)", DeepLevels)}) {
        RawStore store({makeResponse(body)});
        const auto listed = store.list();
        cr_assert(!listed && listed.assume_error().code == FailureCode::Malformed, "%s",
                  body.substr(0, 200).c_str());
    }
}

// Guards against a fleet that is no longer followed, for as long as odd entries stand in the store.
Test(odd_entries, the_fleet_is_followed_beside_them)
{
    FollowingNode node;
    SECTION("that were there before")
    {
        node.putOddEntries();
        node.sync.watchEvacuations();
        node.sync.start();
        cr_assert(node.reaches(1, 2));
    }
    SECTION("and what changes after them")
    {
        node.store.put("config", "main", FollowingNode::makeConfig(2));
        node.putMember(3);
        cr_assert(node.reaches(2, 3));
    }
    SECTION("that are left while the store is watched")
    {
        node.putOddEntries();
        node.store.put("config", "main", FollowingNode::makeConfig(3));
        node.putMember(4);
        cr_assert(node.reaches(3, 4));
    }
    SECTION("by watches, not by listing again and again")
    {
        for (const RecordKind kind : {RecordKind::Configuration, RecordKind::Members}) {
            cr_assert_eq(node.client.calls().of(StoreCall::List, kind), 1U);
        }
    }
}

// Guards against taking a record without content for one that says that nobody holds anything.
Test(odd_entries, no_record_is_made_of_nothing)
{
    cr_assert(!decodeMember("") && !decodeRangeRecord("") && !decodeLease(""));
    cr_assert(!decodeRouteConfig(""));
}

// Guards against a node that can't be reached, since an entry that bears its id is newer than its
// own record.
Test(odd_entries, members_count_under_their_own_name)
{
    constexpr uint16_t OtherPort = 9;
    const std::vector<std::string> names{"a-writer", "node-", "node-01", "node-2", "node-3", "z"};
    const auto putCopies = [&names](FollowingNode &node, uint16_t port) {
        for (const std::string &name : names) {
            node.putMember(name, 1, port);
        }
    };
    FollowingNode node;
    const auto portOf = [&node](uint64_t id) { return node.view.findMember(NodeId(id))->peerPort; };
    node.store.put("config", "main", FollowingNode::makeConfig(1));
    putCopies(node, OtherPort);
    node.putMember(2);
    node.sync.start();
    SECTION("in a list")
    {
        cr_assert(node.reaches(1, 2));
        cr_assert_eq(portOf(1), MemberPort);
    }
    SECTION("in a watch")
    {
        putCopies(node, OtherPort + 1);
        node.putMember(4);
        cr_assert(node.reaches(1, 3));
        cr_assert_eq(portOf(1), MemberPort);
    }
    SECTION("in the response to a write that it prevents")
    {
        node.sync.onRecord(RecordKind::Members,
                           {"a-writer", StoreRevision(1000),
                            R"({"nodeId":"1","ip":"127.0.0.1","peerPort":9})"});
        cr_assert_eq(portOf(1), MemberPort);
    }
    SECTION("while what the node writes itself is followed")
    {
        node.putMember(1, MemberPort + 1);
        cr_assert(runUntilHolds(node.context, [&]() { return portOf(1) == MemberPort + 1; }));
    }
}

// Guards against requests that are never answered, since the node that they are sent to has no
// address.
Test(odd_entries, members_without_an_address_are_rejected)
{
    const auto read = [](const std::string &ip, const std::string &port) {
        return decodeMember(R"({"nodeId":"5","ip":)" + ip + R"(,"peerPort":)" + port + "}");
    };
    for (const std::string ip : {R"("")", R"("x")", R"("127.0.0")", R"("999.0.0.1")", "null", "7",
                                 R"("127.0.0.1:80")", R"("::g")"}) {
        cr_assert(!read(ip, "8624"), "%s", ip.c_str());
    }
    for (const std::string port : {"0", "-1", "65536", "70000", "1e30", "0.5", "null", R"("x")"}) {
        cr_assert(!read(R"("127.0.0.1")", port), "%s", port.c_str());
    }
    cr_assert(read(R"("127.0.0.1")", "8624") && read(R"("::1")", "65535"));
}

// Guards against nodes that can't be put in order, since a member's record holds no number.
Test(odd_entries, members_with_numbers_that_are_none_are_rejected)
{
    for (const std::string field : {"cpuShare", "requestLimit"}) {
        const auto read = [&field](const std::string &number) {
            std::string record = R"({"nodeId":"5","ip":"127.0.0.1","peerPort":8624,")" + field;
            record.append("\":").append(number).append("}");
            return decodeMember(record);
        };
        for (const std::string number :
             {R"("NaN")", R"("Infinity")", R"("-Infinity")", "-0.5", "1e400", "1e99999999999"}) {
            cr_assert(!read(number), "%s: %s", field.c_str(), number.c_str());
        }
        cr_assert(read("0") && read("0.25") && read("1e300"));
    }
    for (const std::string slots : {"-1", "4294967296", "1e30", "0.5"}) {
        cr_assert(!decodeMember(R"({"nodeId":"5","ip":"127.0.0.1","peerPort":8624,"slots":)" + slots
                                + "}"),
                  "%s", slots.c_str());
    }
}
