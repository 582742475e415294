/** @file watch_lag.h Tells when a watch of the store has missed what another node has heard. */

#pragma once

#include "core/time_type.h"
#include "port/record_store.h"

namespace wisteriahoist {

/**
 * One kind's watch against what other nodes have heard.
 *
 * A connection to the store may fall silent for good without a reset. A watch on it hears nothing
 * until its own time limit, 22 s, and the node serves by what was true before: callers are sent to
 * the holder that a key had then, and refused. Another node's news are proof of a change, and a
 * working watch hears of it within its gap, so a lag that lasts means that this one is dead.
 */
class WatchLag
{
public:
    explicit WatchLag(milliseconds allowance) : allowance_(allowance) { }

    /** The own watch has heard of everything up to @p at. */
    void onPosition(StoreRevision at)
    {
        position_ = std::max(position_, at);
        if (position_ >= missing_) {
            since_ = NeverTime;
        }
    }

    /** @return Whether the own watch has been behind for too long. */
    bool onPeerRevisions(StoreRevision newest, TimePoint now)
    {
        if (newest <= position_) {
            return false;
        }
        if (since_ == NeverTime) {
            since_ = now;
            missing_ = newest;
        }
        return now - since_ >= allowance_;
    }

private:
    milliseconds allowance_;
    StoreRevision position_;
    StoreRevision missing_;       ///< The first that was found to be missing.
    TimePoint since_ = NeverTime; ///< NeverTime: the own watch is not behind.
};

} // namespace wisteriahoist
