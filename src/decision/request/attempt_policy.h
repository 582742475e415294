/** @file attempt_policy.h What the first node does after an attempt at one instance has ended. */

#pragma once

#include "decision/request/outcome_table.h"

#include <cstdint>

namespace wisteriahoist {

/** How one attempt ended. */
struct AttemptEnd {
    Outcome outcome = Outcome::Unknown;
    uint16_t status = 0;
    bool reachedBackend = false;   ///< It was sent to the backend server.
    bool routingMayChange = false; ///< The key is on its way to another holder.
    bool backendAway = false;      ///< The holder's backend server is down or leaving.
};

/** What is known of the request as a whole. */
struct AttemptHistory {
    bool idempotent = false;
    bool sharded = false;     ///< Only the holder of its key can serve it.
    uint32_t maxAttempts = 1; ///< Instances that may be reached in all.
    uint32_t reached = 0;     ///< Instances reached so far, this one included.
    uint32_t asked = 0;       ///< Nodes asked so far, this one included.
    uint32_t candidates = 0;  ///< Nodes that could be asked in all.
    bool mayHaveRun = false;  ///< An attempt ended with an unknown outcome.
    bool answered = false;    ///< A backend server has answered an earlier attempt with a failure.
    Duration timeLeft{0};     ///< Until the caller or the route gives up.
    Duration awaitedOwner{0}; ///< Time already spent on waiting for an owner.
    Duration objective{0};    ///< Within which an answer is of full use; 0: none is set.
};

/** What comes next. */
enum class AttemptStep {
    Finish,        ///< The caller gets this attempt's end.
    AskAnother,    ///< Nothing has reached an instance: asking another node is free.
    RepeatAnother, ///< It reached an instance: sending it once more draws on the budget.
    AwaitOwner,    ///< Wait shortly for newer routing, then ask the owner.
};

/** What the caller gets when no further attempt is made. */
enum class FinalAnswer {
    LastEnd,       ///< How the last attempt ended.
    EarlierAnswer, ///< The failure with which a backend server answered an earlier attempt.
    Unknown,       ///< That the request may have run.
};

/** Bounds of the attempts. */
struct AttemptLimits {
    /**
     * Nodes asked for room. A refusal comes back in about 2 ms and carries a fresh load, so the
     * next choice is a good one; if three are full, all are.
     */
    uint32_t asks = 3;
    /**
     * A range that moves is back in about half a second, an owner's crash is noticed in a tenth. A
     * caller that is refused instead comes back once only.
     */
    milliseconds ownerWait{700};
    /**
     * The wait for an owner is no longer than this part of the latency objective. Of 15,000
     * requests that waited out 0.7 s on an overloaded fleet of 91 nodes, 650 were served; the
     * others kept their callers from coming back while there was time for it.
     */
    double ownerWaitShare = 0.3;
    /** But it is at least this long, time enough for a crash to be noticed: a call of a backend
     *  server that is refused fails the request that needs it, with the work already done for it.
     */
    milliseconds leastOwnerWait{250};
    /** A crash is noticed and the keys are given away within 0.2 s, if the store answers. */
    milliseconds backendWait{250};
    /** With less time than this left, another instance could not answer in time. */
    milliseconds leastTimeLeft{60};
};

/** @return What comes next; the caller checks the budget before RepeatAnother. */
AttemptStep decideNextAttempt(const AttemptEnd &end, const AttemptHistory &history,
                              const AttemptLimits &limits);

/**
 * @return What the caller is told. "Has not run" is true only if no attempt has run: a caller that
 *         is told so comes back, and would book twice.
 */
FinalAnswer chooseFinalAnswer(const AttemptEnd &end, const AttemptHistory &history);

} // namespace wisteriahoist
