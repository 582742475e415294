/** @file record_feed.h One kind of the store's records, kept for nodes that follow this one. */

#pragma once

#include "core/time_type.h"
#include "port/record_store.h"

#include <map>
#include <optional>

namespace wisteriahoist {

/**
 * What this node has seen of one kind of records: the newest state of each, and until which
 * revision nothing is missing. Used by one thread.
 */
class RecordFeed
{
public:
    /** All records have been listed. */
    void onList(const RecordListing &listing, TimePoint confirmedAt);

    /** Changes after the last revision have come. */
    void onChanges(const RecordChanges &changes, TimePoint confirmedAt);

    /** What was seen may be incomplete from now on, until the next list. */
    void onLost() { valid_ = false; }

    /** @return Changes after @p since; nothing if some may be missing. */
    std::optional<RecordChanges> changesSince(StoreRevision since) const;

    /** @return The last moment at which the store had nothing newer; NeverTime: not known. */
    TimePoint confirmedAt() const { return valid_ ? confirmedAt_ : NeverTime; }

    /** @return Until which revision nothing is missing. */
    StoreRevision at() const { return at_; }

private:
    /// Newest change of each record. One that was removed is kept, so that followers hear of it.
    std::map<std::string, RecordChange> records_;
    StoreRevision listedAt_; ///< What was removed before is not among the records.
    StoreRevision at_;
    TimePoint confirmedAt_ = NeverTime;
    bool valid_ = false;
};

} // namespace wisteriahoist
