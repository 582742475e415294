/** @file fleet_view.h A node's copy of configuration, members and ranges from the store. */

#pragma once

#include "adapter/codec/record_codec.h"
#include "decision/member/member_type.h"
#include "decision/routing/evacuation_table.h"
#include "decision/routing/route_table.h"
#include "port/record_store.h"

#include <functional>
#include <map>
#include <optional>

namespace wisteriahoist {

/** The range table of a service, assembled from its records in the store. */
struct StoredTable {
    RangeTable table;       ///< Each block has the content of its own record.
    StoreRevision revision; ///< Revision of the service's own record.
    BlockLayout layout;
    std::map<uint32_t, StoreRevision> blocks; ///< Revisions of the blocks that have records.

    /** @return Revision of the record that contains @p block; 0 if it doesn't exist yet. */
    StoreRevision revisionOf(uint32_t block) const;
};

/**
 * The node's copy of the store's records. Its records never become older: each is replaced only by
 * one with a higher revision. Used by one thread.
 */
class FleetView
{
public:
    /** @return Whether @p config is newer than the current configuration. */
    bool onConfig(RouteConfig config);
    void onMember(const MemberRecord &member, StoreRevision revision);
    void onMemberRemoved(const std::string &name);
    /** Evacuations are in use: they count as unknown until they have been listed. */
    void awaitEvacuations() { evacuations_ = EvacuationTable(true); }
    /** Applies the listing of all evacuations in force at revision @p at. */
    void onEvacuationListing(const RecordListing &listing, TimePoint now);
    /** Applies changes of evacuations. */
    void onEvacuationChanges(const RecordChanges &changes, TimePoint now);
    /** Decodes and applies a record of ranges; a malformed one is logged and ignored. */
    void onRangeRecord(const StoredRecord &record);
    /** Applies a decoded record of ranges. @param name The record's name. */
    void onRanges(const std::string &name, RangeRecord record, StoreRevision revision);

    /** @param action Called after each change, for the lifetime of this object. */
    void onChange(std::function<void()> action) { actions_.push_back(std::move(action)); }

    /** @param action Called with each newer record of a member, before the actions of onChange().
     */
    void onMemberRecord(std::function<void(const MemberRecord &)> action)
    {
        memberActions_.push_back(std::move(action));
    }

    const RouteTable &routes() const { return *config_.table(); }
    std::shared_ptr<const RouteTable> routesPtr() const { return config_.table(); }

    const std::map<NodeId, MemberRecord> &members() const { return members_; }
    const MemberRecord *findMember(NodeId node) const;

    const EvacuationTable &evacuations() const { return evacuations_; }

    /** @return Members whose backend server serves @p service and accepts requests, and whose
     *          failure domain is not evacuated; valid until the next change of a member or an
     *          evacuation. */
    const std::vector<const MemberRecord *> &readyMembers(const std::string &service) const;

    /** @return nullptr if the service has no table yet. */
    const StoredTable *findTable(const std::string &service) const;

    /** @return A counter of changes, by which a waiter detects whether something has changed. */
    uint64_t changes() const { return changes_; }

private:
    /** The records of one service's ranges. */
    struct RangeRecords {
        StoredTable joined; ///< Its revision is 0 until the service's own record has arrived.
        std::map<uint32_t, RangeTable> early; ///< Blocks received before the service's own record.
    };

    void notify();
    void onEvacuationsChanged();

    RouteConfigHolder config_;
    EvacuationTable evacuations_;
    std::map<NodeId, MemberRecord> members_;
    std::map<NodeId, StoreRevision> memberRevisions_;
    /// Cache of readyMembers() by service, used for every request; cleared by each change.
    mutable std::map<std::string, std::vector<const MemberRecord *>> ready_;
    std::map<std::string, RangeRecords> tables_;
    std::vector<std::function<void()>> actions_;
    std::vector<std::function<void(const MemberRecord &)>> memberActions_;
    uint64_t changes_ = 0;
};

/** Logs a malformed record of the store; the previous state remains in effect. */
void logMalformedRecord(RecordKind kind, const std::string &name, const Failure &failure);

/** @return The name of a member's record in the store. */
std::string memberRecordName(NodeId node);

/** @return The member that @p record describes; Malformed also if its name is not the one of that
 *          member's record: only the node itself writes under that name. */
Result<MemberRecord> decodeMemberRecord(const StoredRecord &record);

/** @return The name of the record that contains one block of a service's ranges. */
std::string blockRecordName(const std::string &service, uint32_t block);

} // namespace wisteriahoist
