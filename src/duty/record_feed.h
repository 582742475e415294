/** @file record_feed.h Changes to one kind of store record, kept for nodes that follow this one. */

#pragma once

#include "core/time_type.h"
#include "port/record_store.h"

#include <algorithm>
#include <map>
#include <optional>

namespace wisteriahoist {

/**
 * The latest known change to each record of one kind, and the revision up to which the feed is
 * complete. Listings and changes may arrive in any order: a state of a record is never replaced by
 * an earlier one, and the feed counts as complete only if what arrives joins what it has. Used by
 * one thread.
 */
class RecordFeed
{
public:
    /** Resets the feed to a complete listing. One that is older than the feed is ignored. */
    void onList(const RecordListing &listing, TimePoint confirmedAt);

    /**
     * Adds the changes that the store has made after @p since.
     * @return false if changes before those are missing: the feed is then incomplete until the next
     *         listing.
     */
    bool onChanges(StoreRevision since, const RecordChanges &changes, TimePoint confirmedAt);

    /** Marks the feed as possibly incomplete until the next listing. */
    void onLost() { valid_ = false; }

    /** @return Changes after @p since; nullopt if some may be missing. */
    std::optional<RecordChanges> changesSince(StoreRevision since) const;

    /** @return Revision of the latest change that is known. */
    StoreRevision newest() const { return newest_; }

    /** @return Whether a change of revision @p change is missing here, whatever at() says. */
    bool lacks(StoreRevision change) const
    {
        return valid_ && change > std::max(newest_, listedAt_);
    }

    /** @return The last time at which the store had nothing newer; NeverTime: not known. */
    TimePoint confirmedAt() const { return valid_ ? confirmedAt_ : NeverTime; }

    /** @return The revision up to which the feed is complete. */
    StoreRevision at() const { return at_; }

private:
    /// Latest change to each record. Removed records are kept so that followers are notified.
    /// Invariant: while valid_, no change up to at_ and after listedAt_ is missing.
    std::map<std::string, RecordChange> records_;
    StoreRevision newest_;   ///< Of records_.
    StoreRevision listedAt_; ///< Earlier removals are not in records_.
    StoreRevision at_;
    TimePoint confirmedAt_ = NeverTime;
    bool valid_ = false;
};

} // namespace wisteriahoist
