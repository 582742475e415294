/** @file record_store.h Interface: the platform's store of records, by kind and name, with watches.
 */

#pragma once

#include "core/failure_type.h"
#include "core/id_type.h"
#include "core/strong_id.h"
#include "core/time_type.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahoist {

/** Revision counter of the store; shared by all record kinds, increases with each change. */
using StoreRevision = StrongId<struct StoreRevisionTag>;

/** Kinds of records that a node reads or writes. */
enum class RecordKind {
    Configuration, ///< Written by operators.
    Members,       ///< One per node, written by that node.
    Ranges,        ///< One per sharded service.
    Leases,        ///< One per node that grants keys. Not watched, because it changes continuously.
    Evacuations,   ///< Written by operators: one per failure domain that is evacuated.
};

inline constexpr size_t RecordKindCount = 5;

/** @return The name of @p kind in logs and metrics. */
constexpr std::string_view recordKindName(RecordKind kind)
{
    switch (kind) {
    case RecordKind::Configuration:
        return "configuration";
    case RecordKind::Members:
        return "members";
    case RecordKind::Ranges:
        return "ranges";
    case RecordKind::Leases:
        return "leases";
    case RecordKind::Evacuations:
        return "evacuations";
    }
    return "";
}

/** Operations of the store. */
enum class StoreCall { List, Read, Watch, Create, Replace };
inline constexpr size_t StoreCallCount = 5;

/** @return The name of @p call in metrics. */
constexpr std::string_view storeCallName(StoreCall call)
{
    constexpr std::array<std::string_view, StoreCallCount> Names{"list", "read", "watch", "create",
                                                                 "replace"};
    return Names[static_cast<size_t>(call)];
}

/** Number of store calls since process start; the platform charges for each call. */
class StoreCallCounts
{
public:
    void add(StoreCall call, RecordKind kind) { ++counts_[indexOf(call, kind)]; }
    uint64_t of(StoreCall call, RecordKind kind) const { return counts_[indexOf(call, kind)]; }

private:
    static size_t indexOf(StoreCall call, RecordKind kind)
    {
        return static_cast<size_t>(call) * RecordKindCount + static_cast<size_t>(kind);
    }

    std::array<uint64_t, StoreCallCount * RecordKindCount> counts_{};
};

/** A record in the store. */
struct StoredRecord {
    std::string name;
    StoreRevision revision; ///< Revision of the record's last change.
    std::string content;    ///< JSON text.
};

/** Snapshot of all records of a kind at one revision. */
struct RecordListing {
    std::vector<StoredRecord> records;
    StoreRevision at; ///< Revision of the snapshot; a watch continues from here.
};

/** One change of a record. */
struct RecordChange {
    StoredRecord record;
    bool removed = false;
};

/** Changes since a revision, in order of revision. */
struct RecordChanges {
    std::vector<RecordChange> changes;
    StoreRevision at;    ///< Revision from which the next watch continues.
    NodeId from;         ///< The node that passed them on; InvalidNode: the store itself.
    milliseconds age{0}; ///< Time since the store had nothing newer, as that node says.
};

/**
 * The record store. Reads are linearizable. A write that fails with Ambiguous or DeadlineExceeded
 * may have taken effect, or may take effect seconds later if its condition still holds then.
 */
class RecordStore
{
public:
    template <typename T>
    using Pending = boost::asio::awaitable<Result<T>>;

    virtual ~RecordStore() = default;

    virtual Pending<RecordListing> list(RecordKind kind) = 0;

    /** @return NotFound if there is no such record. */
    virtual Pending<StoredRecord> read(RecordKind kind, std::string name) = 0;

    /** @return The record's revision; VersionConflict if the record already exists. */
    virtual Pending<StoreRevision> create(RecordKind kind, std::string name, std::string content)
            = 0;

    /** Replaces the record if its revision is @p expected. @return The new revision, NotFound or
     *  VersionConflict. */
    virtual Pending<StoreRevision> replace(RecordKind kind, std::string name,
                                           StoreRevision expected, std::string content)
            = 0;

    /** Receives the stored record that caused a version conflict. */
    using ConflictListener = std::function<void(RecordKind, const StoredRecord &)>;

    /** Sets the listener for the record in the response to a conflicting write. A store that does
     *  not return the record never calls it. */
    virtual void onConflict(ConflictListener) { }

    /** Creates the record if @p expected is 0; otherwise replaces revision @p expected. */
    Pending<StoreRevision> write(RecordKind kind, std::string name, StoreRevision expected,
                                 std::string content)
    {
        return expected == StoreRevision(0)
                       ? create(kind, std::move(name), std::move(content))
                       : replace(kind, std::move(name), expected, std::move(content));
    }

    /**
     * Waits until a record of @p kind has changed after revision @p since, at most @p wait.
     * @return The changes, possibly none; HistoryGone if the store no longer has them.
     */
    virtual Pending<RecordChanges> watch(RecordKind kind, StoreRevision since, milliseconds wait)
            = 0;
};

} // namespace wisteriahoist
