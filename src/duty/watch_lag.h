/** @file watch_lag.h Detects that a watch of the store misses changes that other nodes have. */

#pragma once

#include "core/time_type.h"
#include "port/record_store.h"

namespace wisteriahoist {

/**
 * Compares the watch of one kind of record with the revisions that other nodes have received.
 *
 * A connection to the store may stop delivering without a reset. A watch on it receives nothing
 * until its timeout of 22 s, and the node routes by outdated records: requests go to the former
 * owner of a key and are refused. A newer revision at another node proves that there was a change,
 * and a working watch receives it within its gap, so a lasting lag means that the watch is dead.
 */
class WatchLag
{
public:
    explicit WatchLag(milliseconds allowance) : allowance_(allowance) { }

    /** All changes up to @p at are known. */
    void onPosition(StoreRevision at)
    {
        position_ = std::max(position_, at);
        if (position_ >= missing_) {
            since_ = NeverTime;
        }
    }

    /** @return Whether a change is missing that another node has. */
    bool isBehind() const { return since_ != NeverTime; }

    /** @return Whether the local watch has been behind for longer than the allowance. */
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
    StoreRevision missing_;       ///< The first revision found to be missing.
    TimePoint since_ = NeverTime; ///< Start of the lag; NeverTime: not behind.
};

} // namespace wisteriahoist
