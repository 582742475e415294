/** @file record_feed.cpp Changes to one kind of store record, kept for nodes that follow this one.
 */

#include "duty/record_feed.h"

#include <algorithm>

namespace wisteriahoist {

void RecordFeed::onList(const RecordListing &listing, TimePoint confirmedAt)
{
    if (valid_ && listing.at < at_) {
        return;
    }
    records_.clear();
    newest_ = StoreRevision();
    for (const StoredRecord &record : listing.records) {
        records_[record.name] = {record, false};
        newest_ = std::max(newest_, record.revision);
    }
    listedAt_ = listing.at;
    at_ = listing.at;
    confirmedAt_ = confirmedAt;
    valid_ = true;
}

bool RecordFeed::onChanges(StoreRevision since, const RecordChanges &changes, TimePoint confirmedAt)
{
    const bool joins = !valid_ || since <= at_;
    valid_ = valid_ && joins;
    for (const RecordChange &change : changes.changes) {
        RecordChange &known = records_[change.record.name];
        // Equal as well: a removal may bear the revision of the record's last change.
        if (change.record.revision >= known.record.revision) {
            known = change;
            newest_ = std::max(newest_, change.record.revision);
        }
    }
    at_ = std::max(at_, changes.at);
    confirmedAt_ = std::max(confirmedAt_, confirmedAt);
    return joins;
}

std::optional<RecordChanges> RecordFeed::changesSince(StoreRevision since) const
{
    if (!valid_ || since < listedAt_) {
        return std::nullopt;
    }
    RecordChanges found;
    found.at = std::max(since, at_);
    for (const auto &[name, change] : records_) {
        if (change.record.revision > since) {
            found.changes.push_back(change);
        }
    }
    std::sort(found.changes.begin(), found.changes.end(),
              [](const RecordChange &left, const RecordChange &right) {
                  return left.record.revision < right.record.revision;
              });
    return found;
}

} // namespace wisteriahoist
