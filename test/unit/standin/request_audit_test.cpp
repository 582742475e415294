/** @file request_audit_test.cpp The request audit detects each kind of violation. */

#include "standin/request_audit.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

CallerRecord reported(const char *requestId, ToldOutcome outcome, bool ownBytes = true)
{
    return {requestId, outcome, ownBytes, true};
}

ServerRecord executed(uint64_t server, const char *requestId, uint64_t epoch, int64_t startedUs)
{
    return {server, requestId, "kari", epoch, startedUs, true};
}

} // namespace

Test(request_audit, violations)
{
    SECTION("a correct history has no violations")
    {
        const AuditResult result = auditRequests(
                {reported("r1", ToldOutcome::Done), reported("r2", ToldOutcome::NotRun)},
                {executed(1, "r1", 5, 10)});
        cr_assert(result.clean());
        cr_assert(result.answered == 1 && result.notRun == 1);
    }
    SECTION("reported done without an execution, or with another response: lost")
    {
        cr_assert(auditRequests({reported("r1", ToldOutcome::Done)}, {}).lost == 1);
        cr_assert(auditRequests({reported("r1", ToldOutcome::Done, false)},
                                {executed(1, "r1", 5, 10)})
                          .lost
                  == 1);
    }
    SECTION("two executions of one request: duplicated")
    {
        cr_assert(auditRequests({reported("r1", ToldOutcome::Done)},
                                {executed(1, "r1", 5, 10), executed(1, "r1", 5, 20)})
                          .duplicated
                  == 1);
        SECTION("of an idempotent request: counted as repeated instead")
        {
            const AuditResult result
                    = auditRequests({{"r1", ToldOutcome::Done, true, false}},
                                    {executed(1, "r1", 5, 10), executed(1, "r1", 5, 20)});
            cr_assert(result.duplicated == 0 && result.repeated == 1);
        }
    }
    SECTION("reported as not executed, but executed")
    {
        cr_assert(auditRequests({reported("r1", ToldOutcome::NotRun)}, {executed(1, "r1", 5, 10)})
                          .notRunButRan
                  == 1);
    }
    SECTION("two servers in one epoch, or an older epoch after a newer one: wrong owner")
    {
        cr_assert(auditRequests({}, {executed(1, "r1", 5, 10), executed(2, "r2", 5, 20)}).wrongOwner
                  == 1);
        cr_assert(auditRequests({}, {executed(2, "r2", 6, 10), executed(1, "r1", 5, 20)}).wrongOwner
                  == 1);
        cr_assert(auditRequests({}, {executed(1, "r1", 5, 10), executed(2, "r2", 6, 20)}).wrongOwner
                  == 0);
    }
}
