/** @file fleet_view.h What one node knows of configuration, members and ranges from the store. */

#pragma once

#include "adapter/codec/record_codec.h"
#include "decision/member/member_type.h"
#include "decision/routing/route_table.h"
#include "port/record_store.h"

#include <functional>
#include <map>
#include <optional>

namespace wisteriahoist {

/** A service's range table as it is stored, put together from its records. */
struct StoredTable {
    RangeTable table;       ///< With each block as its own record has it.
    StoreRevision revision; ///< Of the service's own record.
    BlockLayout layout;
    std::map<uint32_t, StoreRevision> blocks; ///< Revisions of the blocks that have records.

    /** @return The revision of the record that @p block is written to; 0 if there is none yet. */
    StoreRevision revisionOf(uint32_t block) const;
};

/**
 * The node's copy of the store's records. It is never older than it was: a record is replaced
 * only by one with a higher revision. Used by one thread.
 */
class FleetView
{
public:
    /** @return Whether it is newer than what was known. */
    bool onConfig(RouteConfig config);
    void onMember(const MemberRecord &member, StoreRevision revision);
    void onMemberRemoved(const std::string &name);
    /** Decodes a record of ranges and takes it over; what can't be read is logged and left out. */
    void onRangeRecord(const StoredRecord &record);
    /** @param name The record's name. */
    void onRanges(const std::string &name, RangeRecord record, StoreRevision revision);

    /** @param action Runs after each change; kept for the life of this object. */
    void onChange(std::function<void()> action) { actions_.push_back(std::move(action)); }

    const RouteTable &routes() const { return *config_.table(); }
    std::shared_ptr<const RouteTable> routesPtr() const { return config_.table(); }

    const std::map<NodeId, MemberRecord> &members() const { return members_; }
    const MemberRecord *findMember(NodeId node) const;

    /** @return Members whose backend server serves @p service and takes requests; valid until the
     *          next change of a member. */
    const std::vector<const MemberRecord *> &readyMembers(const std::string &service) const;

    /** @return nullptr if the service has no table yet. */
    const StoredTable *findTable(const std::string &service) const;

    /** @return Counts up with each change; tells a waiter whether something is new. */
    uint64_t changes() const { return changes_; }

private:
    /** The records of one service's ranges. */
    struct RangeRecords {
        StoredTable joined; ///< Without a revision of its own: the service's own record is missing.
        std::map<uint32_t, RangeTable> early; ///< Blocks that came before the service's own record.
    };

    void notify();

    RouteConfigHolder config_;
    std::map<NodeId, MemberRecord> members_;
    std::map<NodeId, StoreRevision> memberRevisions_;
    /// Of members_, by service; empty after a change, since every request asks for one of them.
    mutable std::map<std::string, std::vector<const MemberRecord *>> ready_;
    std::map<std::string, RangeRecords> tables_;
    std::vector<std::function<void()>> actions_;
    uint64_t changes_ = 0;
};

/** Logs a record of the store that can't be used; what was known before stays in force. */
void logMalformedRecord(RecordKind kind, const std::string &name, const Failure &failure);

/** @return The name of a member's records in the store. */
std::string memberRecordName(NodeId node);

/** @return The name of the record that has one block of a service's ranges. */
std::string blockRecordName(const std::string &service, uint32_t block);

} // namespace wisteriahoist
