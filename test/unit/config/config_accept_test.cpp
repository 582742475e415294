/** @file config_accept_test.cpp A change is accepted whole, refused whole, or known already. */

#include "decision/config/config_accept.h"
#include "decision/config/config_guard.h"
#include "decision/config/declaration_diff.h"
#include "support/declarations.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

ConfigRequest makeRequest(uint64_t id, const Declarations &declarations)
{
    ConfigRequest request;
    request.id = ConfigRequestId(id);
    request.fingerprint = declarations.services.size();
    request.declarations = declarations;
    return request;
}

/** @return The record after @p request, which must be accepted. */
ConfigRecord accept(const ConfigRecord &stored, const ConfigRequest &request)
{
    ConfigDecision decision = decideChange(stored, request, 0);
    cr_assert(decision.verdict == ConfigVerdict::Write);
    return decision.record;
}

bool isRefusedFor(const ConfigDecision &decision, ConfigProblemCode code)
{
    return decision.verdict == ConfigVerdict::Refused && decision.problems.size() == 1
           && decision.problems[0].code == code;
}

} // namespace

Test(config_accept, versions)
{
    SECTION("the first change is version 1, the next one version 2")
    {
        ConfigRecord record = accept({}, makeRequest(1, makeDeclarations("a")));
        cr_assert(record.declarations.version == 1);
        record = accept(record, makeRequest(2, makeDeclarations("a", "b")));
        cr_assert(record.declarations.version == 2);
        SECTION("what is stored already makes no version")
        {
            const ConfigDecision same
                    = decideChange(record, makeRequest(3, makeDeclarations("b", "a")), 2);
            cr_assert(same.verdict == ConfigVerdict::Unchanged);
            cr_assert(same.version == 2);
        }
        SECTION("older content comes back as a higher version")
        {
            ConfigRequest back = makeRequest(3, makeDeclarations("a"));
            back.allowDelete = true;
            record = accept(record, back);
            cr_assert(record.declarations.version == 3);
            cr_assert(diffDeclarations(record.declarations, makeDeclarations("a")).empty());
        }
    }
}

// The platform is restored from a backup (or the object is deleted) while nodes hold version 9. An
// operator applies; counted on from the stored version, the change would become version 4, be
// answered "accepted" and be refused by every node. It becomes version 10.
Test(config_accept, restored_platform)
{
    ConfigRecord stored;
    stored.declarations = makeDeclarations("a");
    stored.declarations.version = 3;
    const ConfigDecision changed
            = decideChange(stored, makeRequest(1, makeDeclarations("a", "b")), 9);
    cr_assert(changed.verdict == ConfigVerdict::Write);
    cr_assert(changed.version == 10);
    SECTION("the content that is stored is written again above what nodes hold")
    {
        const ConfigDecision same = decideChange(stored, makeRequest(2, makeDeclarations("a")), 9);
        cr_assert(same.verdict == ConfigVerdict::Write);
        cr_assert(same.version == 10);
    }
}

// The operator's connection breaks before the reply, and the call is repeated after another
// operator's change. Judged by its content alone it would undo the other's change, or be told of a
// conflict with itself. Its request id is in the object, so it is told the version that it made.
Test(config_accept, repeated_call)
{
    ConfigRequest mine = makeRequest(7, makeDeclarations("a"));
    mine.expectedVersion = 0;
    ConfigRecord record = accept({}, mine);
    record = accept(record, makeRequest(8, makeDeclarations("a", "b")));
    const ConfigDecision repeated = decideChange(record, mine, 2);
    cr_assert(repeated.verdict == ConfigVerdict::AlreadyApplied);
    cr_assert(repeated.version == 1);
    SECTION("the same id with another content is refused")
    {
        const ConfigDecision reused
                = decideChange(record, makeRequest(7, makeDeclarations("a", "b", "c")), 2);
        cr_assert(isRefusedFor(reused, ConfigProblemCode::RequestIdReused));
    }
    SECTION("a call without an id is refused")
    {
        cr_assert(isRefusedFor(decideChange(record, makeRequest(0, makeDeclarations("a")), 2),
                               ConfigProblemCode::BadArgument));
    }
    SECTION("the memory is bounded; the newest ids are kept")
    {
        for (uint64_t id = 100; id < 100 + MaxRememberedRequests; ++id) {
            Declarations next = makeDeclarations("a", "b");
            next.services[0].routes[0].deadline = milliseconds(1000 + id);
            record = accept(record, makeRequest(id, next));
        }
        cr_assert(record.recent.size() == MaxRememberedRequests);
        cr_assert(record.findRequest(ConfigRequestId(7)) == nullptr);
        cr_assert(record.findRequest(ConfigRequestId(100)) != nullptr);
    }
}

Test(config_accept, guarded_changes)
{
    const ConfigRecord record = accept({}, makeRequest(1, makeDeclarations("a", "b")));
    ConfigRequest request = makeRequest(2, makeDeclarations("a"));
    SECTION("a service disappears only with the flag")
    {
        ConfigDecision refused = decideChange(record, request, 1);
        cr_assert(isRefusedFor(refused, ConfigProblemCode::NeedsAllowDelete));
        cr_assert(refused.problems[0].path == "services[b]");
        request.allowDelete = true;
        cr_assert(decideChange(record, request, 1).verdict == ConfigVerdict::Write);
    }
    SECTION("a key space is re-hashed only with the flag; more initial ranges need none")
    {
        request.declarations = makeDeclarations("a", "b");
        request.declarations.services[1].keySpace.initialSlices = 128;
        cr_assert(decideChange(record, request, 1).verdict == ConfigVerdict::Write);
        request.declarations.services[1].keySpace.hashSeed = 8;
        ConfigDecision refused = decideChange(record, request, 1);
        cr_assert(isRefusedFor(refused, ConfigProblemCode::NeedsAllowRehash));
        cr_assert(refused.problems[0].path == "services[1].key_space");
        request.allowRehash = true;
        cr_assert(decideChange(record, request, 1).verdict == ConfigVerdict::Write);
    }
    SECTION("checks of grants are given up only with the flag")
    {
        request.declarations = makeDeclarations("a", "b");
        request.declarations.services[0].grantMode = GrantMode::Unchecked;
        cr_assert(isRefusedFor(decideChange(record, request, 1),
                               ConfigProblemCode::NeedsAllowUnfence));
    }
    SECTION("one wrong value refuses the whole")
    {
        request.declarations = makeDeclarations("a", "b", "c");
        request.declarations.services[2].host = "";
        const ConfigDecision refused = decideChange(record, request, 1);
        cr_assert(isRefusedFor(refused, ConfigProblemCode::BadArgument));
        cr_assert(refused.record.declarations.services.empty());
    }
    SECTION("another version than expected refuses, and names both")
    {
        request.declarations = makeDeclarations("a", "b", "c");
        request.expectedVersion = 5;
        const ConfigDecision refused = decideChange(record, request, 1);
        cr_assert(isRefusedFor(refused, ConfigProblemCode::VersionConflict));
        cr_assert(refused.problems[0].message == "expected 5, stored 1");
    }
}

Test(config_accept, differences)
{
    Declarations after = makeDeclarations("a", "c");
    after.services[0].routes[0].deadline = milliseconds(900);
    after.services[0].routes.push_back(RouteRule());
    const auto changes = diffDeclarations(makeDeclarations("a", "b"), after);
    const std::vector<ConfigChange> expected{
            {ConfigChangeKind::Changed, "services[a].routes[0].deadline_ms", "2000", "900"},
            {ConfigChangeKind::Added, "services[a].routes[1]", "", "any /"},
            {ConfigChangeKind::Removed, "services[b]", "b.example", ""},
            {ConfigChangeKind::Added, "services[c]", "", "c.example"},
    };
    cr_assert(changes == expected);
}

// A coordinator is paused with version 2 in hand, and its reply arrives after version 3 came from
// its successor; a replayed reply arrives once more. Put in force in order of arrival, the deleted
// service would serve again. The node refuses whatever is not newer, from any source.
Test(config_guard, reordered_versions)
{
    const auto make = [](uint64_t version, const char *name) {
        Declarations declarations = makeDeclarations(name);
        declarations.version = version;
        return declarations;
    };
    ConfigGuard guard;
    cr_assert(guard.offer(make(1, "a")) == ConfigOffer::Newer);
    cr_assert(guard.offer(make(3, "c")) == ConfigOffer::Newer);
    cr_assert(guard.offer(make(2, "b")) == ConfigOffer::Older);
    cr_assert(guard.offer(make(3, "c")) == ConfigOffer::Same);
    cr_assert(guard.offer(make(3, "d")) == ConfigOffer::Conflicting);
    cr_assert(guard.inForce().findService("c") != nullptr);
    cr_assert(guard.refusedCount() == 2);
    SECTION("after a restart of everyone the platform's version is the first that is served")
    {
        ConfigGuard restarted;
        cr_assert(restarted.inForce().services.empty());
        cr_assert(restarted.offer(make(3, "c")) == ConfigOffer::Newer);
        cr_assert(restarted.offer(make(2, "b")) == ConfigOffer::Older);
    }
}
