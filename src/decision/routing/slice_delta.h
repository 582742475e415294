/** @file slice_delta.h Changes of routes by version, and how a node follows them. */

#pragma once

#include "core/failure_type.h"
#include "decision/routing/slice_table.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace wisteriahoist {

/** What turns one table of a service into a later one. */
struct SliceDelta {
    std::vector<KeyHash> removed; ///< Ranges that begin here no more; sorted.
    std::vector<Slice> changed;   ///< New ranges, and ones with another owner or epoch; sorted.
    bool operator==(const SliceDelta &) const = default;
};

/** The tables of all services, as a relay sends them. */
using ServiceTables = std::map<std::string, SliceTable>;

/** What turns the tables of version base into those of version. */
struct RouteDelta {
    ObjectVersion base;
    ObjectVersion version;
    std::map<std::string, SliceDelta> services;
    bool operator==(const RouteDelta &) const = default;
};

/** @return What turns @p base into @p target. */
SliceDelta makeDelta(const SliceTable &base, const SliceTable &target);

/** @return @p base with the changes; Malformed if it does not fit, or the result breaks the
 *  table's invariant: a node then asks for a snapshot and goes on with what it has. */
Result<SliceTable> applyDelta(const SliceTable &base, const SliceDelta &delta);

/** @return One delta with the effect of @p first and then @p second. @pre they are adjacent. */
RouteDelta composeDeltas(const RouteDelta &first, const RouteDelta &second);

/** @return Its size in bytes as plain fields: 24 for a range, 8 for a removed one, names, 16. */
size_t deltaBytes(const RouteDelta &delta);

/**
 * The sender's side, held by the cell's coordinator: the latest changes, for members that are a
 * little behind. Who is further behind gets a snapshot.
 * Invariant: entries are adjacent: each one's base is the version of the one before it.
 */
class DeltaLog
{
public:
    explicit DeltaLog(size_t capacity) : capacity_(capacity) { }

    /** Takes over a new version; an older one or the same is ignored. */
    void onVersion(ObjectVersion version, const ServiceTables &tables);

    /** @return The changes since @p known; nullopt: send a snapshot. Empty if it is up to date. */
    std::optional<RouteDelta> since(ObjectVersion known) const;

    ObjectVersion version() const { return version_; }
    const ServiceTables &tables() const { return tables_; }

private:
    size_t capacity_;
    std::deque<RouteDelta> entries_;
    ServiceTables tables_;
    ObjectVersion version_;
};

/** What became of a delta that arrived. */
enum class DeltaOutcome {
    Applied,
    Old, ///< Not newer than what is held; ignored.
    Gap, ///< Its base is not what is held, or it did not fit; a snapshot is needed.
};

/** The receiver's side. Invariant: version() only rises. */
class RouteFollower
{
public:
    DeltaOutcome onDelta(const RouteDelta &delta);

    /** @return Whether it was taken: an older snapshot than what is held never is. */
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
