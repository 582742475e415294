/** @file attempt_policy.h Decides what the ingress node does after an attempt has ended. */

#pragma once

#include "decision/request/outcome_table.h"

#include <cstdint>

namespace wisteriahoist {

/** How one attempt ended. */
struct AttemptResult {
    Outcome outcome = Outcome::Unknown;
    uint16_t status = 0;
    bool reachedBackend = false;     ///< The request was sent to the backend server.
    bool routingMayChange = false;   ///< The key is being handed over to another owner.
    bool backendUnavailable = false; ///< The owner's backend server is down or draining.
    bool refusedEverywhere = false;  ///< No node may run it, whatever its load.
};

/** State of the request over all of its attempts. */
struct AttemptHistory {
    bool idempotent = false;
    bool sharded = false;       ///< Only the owner of its key can serve it.
    uint32_t maxAttempts = 1;   ///< Limit of the attempts that reach an instance.
    uint32_t reached = 0;       ///< Attempts that reached an instance, this one included.
    uint32_t tried = 0;         ///< Nodes tried so far, this one included.
    uint32_t candidates = 0;    ///< Nodes that can serve the request.
    bool mayHaveRun = false;    ///< An attempt ended with an unknown outcome.
    bool answered = false;      ///< A backend server answered an earlier attempt with a failure.
    Duration timeLeft{0};       ///< Until the deadline of the caller or the route.
    Duration ownerWaitSpent{0}; ///< Time already spent waiting for an owner of the key.
    Duration objective{0};      ///< Latency objective of the route; 0: none.
};

/** The next step. */
enum class AttemptStep {
    Finish,       ///< The attempts end; see chooseFinalReply().
    TryAnother,   ///< Try another node; no instance was reached, so the retry budget is not used.
    RetryAnother, ///< Retry after an instance was reached; uses the retry budget.
    AwaitOwner,   ///< Wait briefly for newer routing, then try the owner.
};

/** Which response the caller gets when no further attempt is made. */
enum class FinalReply {
    LastResult,      ///< The result of the last attempt.
    EarlierResponse, ///< The failure with which a backend server answered an earlier attempt.
    Unknown,         ///< That the request may have run.
};

/** Limits of the attempts. */
struct AttemptLimits {
    /**
     * Nodes tried for a free slot. A refusal takes about 2 ms and carries the node's current load,
     * so the next choice is well informed; if three nodes are full, all of them are.
     */
    uint32_t maxTried = 3;
    /**
     * Longest wait for a new owner. The hand-over of a range takes about half a second, and a crash
     * of an owner is detected within 0.1 s. A caller that is refused instead retries only once.
     */
    milliseconds ownerWait{700};
    /**
     * Limit of that wait as a share of the latency objective. Of 15,000 requests that waited for
     * the full 0.7 s in an overloaded fleet of 91 nodes, 650 were served; the wait kept the callers
     * of all others from retrying while there was still time to.
     */
    double ownerWaitShare = 0.3;
    /** Lower bound of that limit, sufficient to detect a crash: if a call of a backend server is
     *  refused, the request that needs it fails and the work already done for it is lost. */
    milliseconds minOwnerWait{250};
    /** Longest wait for the owner's backend server. A crash is detected and the keys are reassigned
     *  within 0.2 s, provided that the store answers. */
    milliseconds backendWait{250};
    /** With less time than this left, another instance cannot answer before the deadline. */
    milliseconds minTimeLeft{60};
};

/** @return The next step. For RetryAnother the caller checks the retry budget first. */
AttemptStep decideNextAttempt(const AttemptResult &end, const AttemptHistory &history,
                              const AttemptLimits &limits);

/**
 * @return Which response the caller gets. It may state that the request has not run only if no
 *         attempt has run: the caller retries then, and would make a booking twice.
 */
FinalReply chooseFinalReply(const AttemptResult &end, const AttemptHistory &history);

} // namespace wisteriahoist
