/** @file replay_guard.h Refuses signed calls that are too old, too new, or known already. */

#pragma once

#include "core/strong_id.h"
#include "core/time_type.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>

namespace wisteriahoist {

/** Calendar time: two machines' boot clocks have nothing in common. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, milliseconds>;
using CallNonce = StrongId<struct CallNonceTag>; ///< Drawn at random for each signed call.

/** Bounds of signed calls. */
struct ReplayBounds {
    milliseconds skew{30000}; ///< Between the signer's clock and this node's, transport included.
    size_t remembered = 4096; ///< Calls within twice the skew.
};

/** What a signed call's time and nonce are worth. */
enum class ReplayVerdict {
    Fresh,
    Skewed,   ///< Signed too long ago, or in the future.
    Replayed, ///< The nonce was seen before.
    Full,     ///< Nothing more can be remembered: refused, rather than forget a nonce too early.
};

/**
 * Remembers the nonces of accepted calls for as long as their time would still be accepted.
 *
 * Failure prevented: someone who records a call on its way sends it again. Only calls with a valid
 * signature are remembered, so that a stranger cannot fill the memory. After a restart the memory
 * is empty: for one skew a call that this node answered before can be repeated to it. A change is
 * then still made once, by its request id.
 */
class ReplayGuard
{
public:
    explicit ReplayGuard(ReplayBounds bounds) : bounds_(bounds) { }

    /** Judges a call, and remembers it if it is fresh. */
    ReplayVerdict check(WallTime signedAt, CallNonce nonce, WallTime now);

    size_t rememberedCount() const { return nonces_.size(); }

private:
    ReplayBounds bounds_;
    std::set<CallNonce> nonces_;                    ///< Invariant: exactly those in bySignedAt_.
    std::multimap<WallTime, CallNonce> bySignedAt_; ///< Invariant: at most bounds_.remembered.
};

} // namespace wisteriahoist
