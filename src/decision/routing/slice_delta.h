/** @file slice_delta.h Versioned deltas of range tables, and how a node applies them. */

#pragma once

#include "core/failure_type.h"
#include "decision/routing/slice_table.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace wisteriahoist {

/** The difference between one range table of a service and a later one. */
struct SliceDelta {
    std::vector<KeyHash> removed; ///< First points at which no range begins any more; sorted.
    std::vector<Slice> changed;   ///< New ranges, and ranges with a new owner or epoch; sorted.
    bool operator==(const SliceDelta &) const = default;
};

/** The range tables of all services, by service name. */
using ServiceTables = std::map<std::string, SliceTable>;

/** The difference between the tables of version base and those of version. */
struct RouteDelta {
    ObjectVersion base;
    ObjectVersion version;
    std::map<std::string, SliceDelta> services;
    bool operator==(const RouteDelta &) const = default;
};

/** @return The difference from @p base to @p target. */
SliceDelta makeDelta(const SliceTable &base, const SliceTable &target);

/** @return @p base with the changes applied; Malformed if the result would violate the invariant of
 *  SliceTable: the node then requests a snapshot and continues with its present table. */
Result<SliceTable> applyDelta(const SliceTable &base, const SliceDelta &delta);

/** @return One delta with the effect of @p first, then @p second. @pre They are adjacent. */
RouteDelta composeDeltas(const RouteDelta &first, const RouteDelta &second);

/** @return Size in bytes: 16 for the header, 24 per changed and 8 per removed range, names. */
size_t deltaBytes(const RouteDelta &delta);

/**
 * The sender's side, kept by the coordinator of the cell: the latest changes, for members that are
 * a few versions behind. Members that are further behind get a snapshot.
 * Invariant: entries are adjacent: the base of each is the version of the previous one.
 */
class DeltaLog
{
public:
    explicit DeltaLog(size_t capacity) : capacity_(capacity) { }

    /** Records a new version; an older or equal one is ignored. */
    void onVersion(ObjectVersion version, const ServiceTables &tables);

    /** @return The changes since @p known, empty if up to date; nullopt if a snapshot is needed. */
    std::optional<RouteDelta> since(ObjectVersion known) const;

    ObjectVersion version() const { return version_; }
    const ServiceTables &tables() const { return tables_; }

private:
    size_t capacity_;
    std::deque<RouteDelta> entries_;
    ServiceTables tables_;
    ObjectVersion version_;
};

/** Result of a received delta. */
enum class DeltaOutcome {
    Applied,
    Old, ///< Not newer than the present version; ignored.
    Gap, ///< Wrong base version, or not applicable; a snapshot is needed.
};

/** The receiver's side. Invariant: version() never decreases. */
class RouteFollower
{
public:
    DeltaOutcome onDelta(const RouteDelta &delta);

    /** @return Whether it was applied: a snapshot older than the present version is not. */
    bool onSnapshot(ObjectVersion version, ServiceTables tables);

    bool needsSnapshot() const { return needsSnapshot_; }
    ObjectVersion version() const { return version_; }
    const ServiceTables &tables() const { return tables_; }

private:
    ServiceTables tables_;
    ObjectVersion version_;
    bool needsSnapshot_ = false;
};

} // namespace wisteriahoist
