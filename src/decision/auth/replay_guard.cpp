/** @file replay_guard.cpp Refuses signed calls that are too old, too new, or known already. */

#include "decision/auth/replay_guard.h"

namespace wisteriahoist {

ReplayVerdict ReplayGuard::check(WallTime signedAt, CallNonce nonce, WallTime now)
{
    while (!bySignedAt_.empty() && bySignedAt_.begin()->first + bounds_.skew < now) {
        nonces_.erase(bySignedAt_.begin()->second);
        bySignedAt_.erase(bySignedAt_.begin());
    }
    if (signedAt + bounds_.skew < now || signedAt > now + bounds_.skew) {
        return ReplayVerdict::Skewed;
    }
    if (nonces_.contains(nonce)) {
        return ReplayVerdict::Replayed;
    }
    if (nonces_.size() >= bounds_.remembered) {
        return ReplayVerdict::Full;
    }
    nonces_.insert(nonce);
    bySignedAt_.emplace(signedAt, nonce);
    return ReplayVerdict::Fresh;
}

} // namespace wisteriahoist
