/** @file config_accept_test.cpp Changes are accepted or refused as a whole, once per request. */

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
    SECTION("the first change gets version 1, the next one version 2")
    {
        ConfigRecord record = accept({}, makeRequest(1, makeDeclarations("a")));
        cr_assert(record.declarations.version == 1);
        record = accept(record, makeRequest(2, makeDeclarations("a", "b")));
        cr_assert(record.declarations.version == 2);
        SECTION("unchanged declarations get no new version")
        {
            const ConfigDecision same
                    = decideChange(record, makeRequest(3, makeDeclarations("b", "a")), 2);
            cr_assert(same.verdict == ConfigVerdict::Unchanged);
            cr_assert(same.version == 2);
        }
        SECTION("older content is restored with a higher version")
        {
            ConfigRequest back = makeRequest(3, makeDeclarations("a"));
            back.allowDelete = true;
            record = accept(record, back);
            cr_assert(record.declarations.version == 3);
            cr_assert(diffDeclarations(record.declarations, makeDeclarations("a")).empty());
        }
    }
}

// The platform is restored from a backup (or the object is deleted) while nodes hold version 9. If
// the next change continued from the stored version, it would get version 4, be reported as
// accepted and be refused by every node. It must get version 10.
Test(config_accept, restored_platform)
{
    ConfigRecord stored;
    stored.declarations = makeDeclarations("a");
    stored.declarations.version = 3;
    const ConfigDecision changed
            = decideChange(stored, makeRequest(1, makeDeclarations("a", "b")), 9);
    cr_assert(changed.verdict == ConfigVerdict::Write);
    cr_assert(changed.version == 10);
    SECTION("unchanged content is written again with a version above that of the nodes")
    {
        const ConfigDecision same = decideChange(stored, makeRequest(2, makeDeclarations("a")), 9);
        cr_assert(same.verdict == ConfigVerdict::Write);
        cr_assert(same.version == 10);
    }
}

// The connection breaks before the reply, and the operator repeats the call after another
// operator's change. Without its request id in the object, the repeated call would undo the other
// change or be reported as a conflict with itself. It must get the version that the first call
// created.
Test(config_accept, repeated_call)
{
    ConfigRequest mine = makeRequest(7, makeDeclarations("a"));
    mine.expectedVersion = 0;
    ConfigRecord record = accept({}, mine);
    record = accept(record, makeRequest(8, makeDeclarations("a", "b")));
    const ConfigDecision repeated = decideChange(record, mine, 2);
    cr_assert(repeated.verdict == ConfigVerdict::AlreadyApplied);
    cr_assert(repeated.version == 1);
    SECTION("the same id with different content is refused")
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
    SECTION("the number of stored requests is limited; the newest are kept")
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
    SECTION("a service is deleted only with the flag")
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
    SECTION("checks of grants are disabled only with the flag")
    {
        request.declarations = makeDeclarations("a", "b");
        request.declarations.services[0].grantMode = GrantMode::Unchecked;
        cr_assert(isRefusedFor(decideChange(record, request, 1),
                               ConfigProblemCode::NeedsAllowUnfence));
    }
    SECTION("a change with one invalid value is refused as a whole")
    {
        request.declarations = makeDeclarations("a", "b", "c");
        request.declarations.services[2].host = "";
        const ConfigDecision refused = decideChange(record, request, 1);
        cr_assert(isRefusedFor(refused, ConfigProblemCode::BadArgument));
        cr_assert(refused.record.declarations.services.empty());
    }
    SECTION("a version other than the expected one is refused with both versions in the message")
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

// A coordinator is paused before it sends version 2, so it arrives after version 3 from its
// successor; another reply arrives twice. If they were applied in order of arrival, a deleted
// service would be served again. The node refuses all that is not newer, from any source.
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
    SECTION("after a restart of all nodes the platform's version is applied first")
    {
        ConfigGuard restarted;
        cr_assert(restarted.inForce().services.empty());
        cr_assert(restarted.offer(make(3, "c")) == ConfigOffer::Newer);
        cr_assert(restarted.offer(make(2, "b")) == ConfigOffer::Older);
    }
}
