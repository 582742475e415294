/** @file attempt_policy.cpp What the first node does after an attempt has ended. */

#include "decision/request/attempt_policy.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

/** @return Whether a request may wait on for its key's owner. */
bool mayAwaitOwner(const AttemptEnd &end, const AttemptHistory &history,
                   const AttemptLimits &limits)
{
    Duration most(0);
    if (end.routingMayChange) {
        most = limits.ownerWait;
    } else if (end.backendAway) {
        most = limits.backendWait;
    }
    if (history.objective > Duration(0)) {
        const auto share
                = std::chrono::duration_cast<Duration>(history.objective * limits.ownerWaitShare);
        most = std::min(most, std::max<Duration>(share, limits.leastOwnerWait));
    }
    return history.awaitedOwner < most;
}

} // namespace

AttemptStep decideNextAttempt(const AttemptEnd &end, const AttemptHistory &history,
                              const AttemptLimits &limits)
{
    const bool served = end.outcome == Outcome::Done && end.status < 500;
    if (served || history.timeLeft < limits.leastTimeLeft) {
        return AttemptStep::Finish;
    }
    const bool notRun = end.outcome == Outcome::NotRun;
    if (notRun && !end.reachedBackend) {
        if (history.sharded) {
            return mayAwaitOwner(end, history, limits) ? AttemptStep::AwaitOwner
                                                       : AttemptStep::Finish;
        }
        const bool more = history.asked < history.candidates && history.asked < limits.asks;
        return more ? AttemptStep::AskAnother : AttemptStep::Finish;
    }
    // What may have run is sent again only where running twice does no harm.
    const bool repeatable = notRun || history.idempotent;
    if (!repeatable || history.reached >= history.maxAttempts) {
        return AttemptStep::Finish;
    }
    // The holder of a key is the only one that could serve it: after a failure it would be asked
    // for the same again. Only a lost connection may go better the second time.
    if (history.sharded && end.outcome == Outcome::Done) {
        return AttemptStep::Finish;
    }
    return AttemptStep::RepeatAnother;
}

FinalAnswer chooseFinalAnswer(const AttemptEnd &end, const AttemptHistory &history)
{
    if (end.outcome == Outcome::Done) {
        return FinalAnswer::LastEnd;
    }
    if (history.answered) {
        return FinalAnswer::EarlierAnswer;
    }
    return end.outcome == Outcome::NotRun && history.mayHaveRun ? FinalAnswer::Unknown
                                                                : FinalAnswer::LastEnd;
}

} // namespace wisteriahoist
