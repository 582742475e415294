/** @file request_audit_test.cpp The audit sees each kind of broken promise. */

#include "standin/request_audit.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

CallerRecord told(const char *requestId, ToldOutcome outcome, bool ownBytes = true)
{
    return {requestId, outcome, ownBytes, true};
}

ServerRecord ran(uint64_t server, const char *requestId, uint64_t epoch, int64_t startedUs)
{
    return {server, requestId, "kari", epoch, startedUs, true};
}

} // namespace

Test(request_audit, promises)
{
    SECTION("an honest history is clean")
    {
        const AuditResult result
                = auditRequests({told("r1", ToldOutcome::Done), told("r2", ToldOutcome::NotRun)},
                                {ran(1, "r1", 5, 10)});
        cr_assert(result.clean());
        cr_assert(result.answered == 1 && result.notRun == 1);
    }
    SECTION("told done without a run, or with another's bytes, is lost")
    {
        cr_assert(auditRequests({told("r1", ToldOutcome::Done)}, {}).lost == 1);
        cr_assert(auditRequests({told("r1", ToldOutcome::Done, false)}, {ran(1, "r1", 5, 10)}).lost
                  == 1);
    }
    SECTION("two runs of one request are a duplicate")
    {
        cr_assert(auditRequests({told("r1", ToldOutcome::Done)},
                                {ran(1, "r1", 5, 10), ran(1, "r1", 5, 20)})
                          .duplicated
                  == 1);
        SECTION("unless it was declared idempotent: then it is counted apart")
        {
            const AuditResult result = auditRequests({{"r1", ToldOutcome::Done, true, false}},
                                                     {ran(1, "r1", 5, 10), ran(1, "r1", 5, 20)});
            cr_assert(result.duplicated == 0 && result.repeated == 1);
        }
    }
    SECTION("told not run, but it ran")
    {
        cr_assert(
                auditRequests({told("r1", ToldOutcome::NotRun)}, {ran(1, "r1", 5, 10)}).notRunButRan
                == 1);
    }
    SECTION("two servers under one epoch, or an older epoch after a newer one, are wrong owners")
    {
        cr_assert(auditRequests({}, {ran(1, "r1", 5, 10), ran(2, "r2", 5, 20)}).wrongOwner == 1);
        cr_assert(auditRequests({}, {ran(2, "r2", 6, 10), ran(1, "r1", 5, 20)}).wrongOwner == 1);
        cr_assert(auditRequests({}, {ran(1, "r1", 5, 10), ran(2, "r2", 6, 20)}).wrongOwner == 0);
    }
}
