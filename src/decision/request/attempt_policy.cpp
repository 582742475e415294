/** @file attempt_policy.cpp Decides what the ingress node does after an attempt has ended. */

#include "decision/request/attempt_policy.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

/** @return Whether a request may continue to wait for the owner of its key. */
bool mayAwaitOwner(const AttemptResult &end, const AttemptHistory &history,
                   const AttemptLimits &limits)
{
    Duration most(0);
    if (end.routingMayChange) {
        most = limits.ownerWait;
    } else if (end.backendUnavailable) {
        most = limits.backendWait;
    }
    if (history.objective > Duration(0)) {
        const auto share
                = std::chrono::duration_cast<Duration>(history.objective * limits.ownerWaitShare);
        most = std::min(most, std::max<Duration>(share, limits.minOwnerWait));
    }
    return history.ownerWaitSpent < most;
}

} // namespace

AttemptStep decideNextAttempt(const AttemptResult &end, const AttemptHistory &history,
                              const AttemptLimits &limits)
{
    const bool served = end.outcome == Outcome::Done && end.status < 500;
    if (served || end.refusedEverywhere || history.timeLeft < limits.minTimeLeft) {
        return AttemptStep::Finish;
    }
    const bool notRun = end.outcome == Outcome::NotRun;
    if (notRun && !end.reachedBackend) {
        if (history.sharded) {
            return mayAwaitOwner(end, history, limits) ? AttemptStep::AwaitOwner
                                                       : AttemptStep::Finish;
        }
        const bool more = history.tried < history.candidates && history.tried < limits.maxTried;
        return more ? AttemptStep::TryAnother : AttemptStep::Finish;
    }
    // A request that may have run is sent again only if it is idempotent.
    const bool repeatable = notRun || history.idempotent;
    if (!repeatable || history.reached >= history.maxAttempts) {
        return AttemptStep::Finish;
    }
    // Only the owner of a key can serve it, and would probably fail again; only a lost connection
    // may succeed at the second attempt.
    if (history.sharded && end.outcome == Outcome::Done) {
        return AttemptStep::Finish;
    }
    return AttemptStep::RetryAnother;
}

FinalReply chooseFinalReply(const AttemptResult &end, const AttemptHistory &history)
{
    if (end.outcome == Outcome::Done) {
        return FinalReply::LastResult;
    }
    if (history.answered) {
        return FinalReply::EarlierResponse;
    }
    return end.outcome == Outcome::NotRun && history.mayHaveRun ? FinalReply::Unknown
                                                                : FinalReply::LastResult;
}

} // namespace wisteriahoist
