/** @file outcome_table_test.cpp Outcomes for each stage and each end of a request. */

#include "decision/request/outcome_table.h"
#include "support/test_section.h"

using namespace wisteriahoist;

Test(request_outcome, whole_table)
{
    // A caller retries whenever it gets "not run". If a request that was sent to the backend
    // server were reported as such, a booking would run twice.
    for (size_t stageIndex = 0; stageIndex < RequestStageCount; ++stageIndex) {
        for (size_t endIndex = 0; endIndex < RequestEndCount; ++endIndex) {
            const auto stage = static_cast<RequestStage>(stageIndex);
            const auto end = static_cast<RequestEnd>(endIndex);
            const OutcomeDecision verdict = decideOutcome(stage, end);
            const bool refusedWhole
                    = stage == RequestStage::Answered && end == RequestEnd::BackendRefused;
            const bool beforeHandOver
                    = stage == RequestStage::Received || stage == RequestStage::Queued;
            cr_assert(!verdict.reason.empty());
            if (verdict.outcome == Outcome::NotRun) {
                cr_assert(refusedWhole || beforeHandOver, "stage %zu end %zu", stageIndex,
                          endIndex);
            }
            if (verdict.outcome == Outcome::Done) {
                cr_assert(stage == RequestStage::Answered && end == RequestEnd::None);
            }
        }
    }
}

Test(request_outcome, particular_outcomes)
{
    SECTION("a refusal by the backend server proves not-run only if it was read completely")
    {
        cr_assert(decideOutcome(RequestStage::Answered, RequestEnd::BackendRefused).outcome
                  == Outcome::NotRun);
        cr_assert(decideOutcome(RequestStage::PartlyAnswered, RequestEnd::BackendRefused).outcome
                  == Outcome::Unknown);
    }
    SECTION("a wrong owner gives 421 and not run")
    {
        const OutcomeDecision verdict = decideOutcome(RequestStage::Queued, RequestEnd::NotOwner);
        cr_assert(verdict.status == 421 && verdict.outcome == Outcome::NotRun);
    }
    SECTION("each temporary refusal states when to retry")
    {
        for (const RequestEnd end :
             {RequestEnd::Overloaded, RequestEnd::QueueTimeout, RequestEnd::NoLease,
              RequestEnd::NoBackend, RequestEnd::Unreachable, RequestEnd::DeduplicationTableFull}) {
            cr_assert(decideOutcome(RequestStage::Received, end).retryAfter.count() > 0);
        }
    }
    SECTION("an earlier request with the same key may have run, whatever the stage of this one")
    {
        for (const RequestEnd end :
             {RequestEnd::IdempotencyKeyInProgress, RequestEnd::IdempotencyOutcomeUnknown,
              RequestEnd::IdempotencyKeyTooOld}) {
            cr_assert(decideOutcome(RequestStage::Received, end).outcome == Outcome::Unknown);
        }
    }
}
