/** @file attempt_policy.cpp What the first node does after an attempt has ended. */

#include "decision/request/attempt_policy.h"

namespace wisteriahoist {

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
            const bool wait = (end.routingMayChange && history.awaitedOwner < limits.ownerWait)
                              || (end.backendAway && history.awaitedOwner < limits.backendWait);
            return wait ? AttemptStep::AwaitOwner : AttemptStep::Finish;
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

} // namespace wisteriahoist
