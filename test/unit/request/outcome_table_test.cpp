/** @file outcome_table_test.cpp What a caller may be told, for each stage and each end. */

#include "decision/request/outcome_table.h"
#include "support/test_section.h"

using namespace wisteriahoist;

Test(request_outcome, whole_table)
{
    // The caller asks again whenever it is told "not run". If that was said of a request that had
    // left for the backend server, the booking runs twice.
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

Test(request_outcome, particular_answers)
{
    SECTION("a refusal by the backend server counts only when it was read whole")
    {
        cr_assert(decideOutcome(RequestStage::Answered, RequestEnd::BackendRefused).outcome
                  == Outcome::NotRun);
        cr_assert(decideOutcome(RequestStage::PartlyAnswered, RequestEnd::BackendRefused).outcome
                  == Outcome::Unknown);
    }
    SECTION("a wrong owner is 421 and not run")
    {
        const OutcomeDecision verdict = decideOutcome(RequestStage::Queued, RequestEnd::NotOwner);
        cr_assert(verdict.status == 421 && verdict.outcome == Outcome::NotRun);
    }
    SECTION("each refusal that may pass says when to come back")
    {
        for (const RequestEnd end :
             {RequestEnd::Overloaded, RequestEnd::QueueTimeout, RequestEnd::NoLease,
              RequestEnd::NoBackend, RequestEnd::Unreachable, RequestEnd::DeduplicationTableFull}) {
            cr_assert(decideOutcome(RequestStage::Received, end).retryAfter.count() > 0);
        }
    }
    SECTION("an earlier sending of the same key may have run, wherever this one stands")
    {
        for (const RequestEnd end :
             {RequestEnd::IdempotencyKeyInProgress, RequestEnd::IdempotencyOutcomeUnknown,
              RequestEnd::IdempotencyKeyTooOld}) {
            cr_assert(decideOutcome(RequestStage::Received, end).outcome == Outcome::Unknown);
        }
    }
}
