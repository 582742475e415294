/** @file record_feed.cpp Changes to one kind of store record, kept for nodes that follow this one.
 */

#include "duty/record_feed.h"

#include <algorithm>

namespace wisteriahoist {

void RecordFeed::onList(const RecordListing &listing, TimePoint confirmedAt)
{
    records_.clear();
    for (const StoredRecord &record : listing.records) {
        records_[record.name] = {record, false};
    }
    listedAt_ = listing.at;
    at_ = listing.at;
    confirmedAt_ = confirmedAt;
    valid_ = true;
}

void RecordFeed::onChanges(const RecordChanges &changes, TimePoint confirmedAt)
{
    for (const RecordChange &change : changes.changes) {
        records_[change.record.name] = change;
    }
    at_ = std::max(at_, changes.at);
    confirmedAt_ = std::max(confirmedAt_, confirmedAt);
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
