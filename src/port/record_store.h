/** @file record_store.h Port: the platform's store, as records by kind and name with watches. */

#pragma once

#include "core/failure_type.h"
#include "core/strong_id.h"
#include "core/time_type.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahoist {

/** The store's one counter of changes; rises over all kinds. */
using StoreRevision = StrongId<struct StoreRevisionTag>;

/** The kinds of records that this product reads or writes. */
enum class RecordKind {
    Configuration, ///< Written by operators.
    Members,       ///< One for each node, written by the node itself.
    Ranges,        ///< One for each sharded service.
    Leases,        ///< One for each node that grants keys. Not watched: it changes all the time.
};

inline constexpr size_t RecordKindCount = 4;

/** @return Its name in logs and metrics. */
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
    }
    return "";
}

/** What is asked of the store. */
enum class StoreCall { List, Read, Watch, Create, Replace };
inline constexpr size_t StoreCallCount = 5;

/** @return Its name in metrics. */
constexpr std::string_view storeCallName(StoreCall call)
{
    constexpr std::array<std::string_view, StoreCallCount> Names{"list", "read", "watch", "create",
                                                                 "replace"};
    return Names[static_cast<size_t>(call)];
}

/** Calls made since the start; each one is paid for. */
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

/** A record as it is stored. */
struct StoredRecord {
    std::string name;
    StoreRevision revision; ///< Of its last change.
    std::string content;    ///< JSON text.
};

/** All records of a kind at one revision. */
struct RecordListing {
    std::vector<StoredRecord> records;
    StoreRevision at; ///< Watch from here.
};

/** One change. */
struct RecordChange {
    StoredRecord record;
    bool removed = false;
};

/** Changes since a revision, in their order. */
struct RecordChanges {
    std::vector<RecordChange> changes;
    StoreRevision at; ///< Watch on from here.
};

/**
 * The store. Reads are linearizable. A write that fails as Ambiguous or DeadlineExceeded may have
 * taken effect, or may do so seconds later if its condition still holds then.
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

    /** @return The record's revision; VersionConflict if it exists already. */
    virtual Pending<StoreRevision> create(RecordKind kind, std::string name, std::string content)
            = 0;

    /** Replaces the record if its revision is @p expected. @return Its new revision, NotFound or
     *  VersionConflict. */
    virtual Pending<StoreRevision> replace(RecordKind kind, std::string name,
                                           StoreRevision expected, std::string content)
            = 0;

    /** Told of the record that stands in the way of a refused write. */
    using ConflictListener = std::function<void(RecordKind, const StoredRecord &)>;

    /** @param listener Hears what a refused write's answer holds; a store may never tell it. */
    virtual void onConflict(ConflictListener) { }

    /** Creates the record if @p expected is 0, else replaces that revision. */
    Pending<StoreRevision> write(RecordKind kind, std::string name, StoreRevision expected,
                                 std::string content)
    {
        return expected == StoreRevision(0)
                       ? create(kind, std::move(name), std::move(content))
                       : replace(kind, std::move(name), expected, std::move(content));
    }

    /**
     * Waits until something of @p kind has changed after @p since, for @p wait at most.
     * @return The changes, perhaps none; HistoryGone if the store no longer knows them.
     */
    virtual Pending<RecordChanges> watch(RecordKind kind, StoreRevision since, milliseconds wait)
            = 0;
};

} // namespace wisteriahoist
