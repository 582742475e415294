/** @file record_codec.h JSON encoding of this product's records in the store. */

#pragma once

#include "core/failure_type.h"
#include "decision/member/member_type.h"
#include "decision/range/range_block.h"

#include <string>
#include <string_view>

namespace wisteriahoist {

/** A lease record. Every renewal changes it, so its revision shows whether its holder is alive. */
struct LeaseRecord {
    NodeId node;
    Incarnation life;
    uint64_t renewal = 0;
    NodeId revokedBy;              ///< InvalidNode: the lease has not been revoked.
    std::vector<NodeId> witnesses; ///< Nodes that fence the holder on takeover.
    bool operator==(const LeaseRecord &) const = default;
};

std::string encodeMember(const MemberRecord &member);
Result<MemberRecord> decodeMember(std::string_view content);

/** The range table with which a service starts, or the current state of one block of its keys. */
struct RangeRecord {
    RangeTable table;
    BlockLayout layout;
    std::string service; ///< Set in a block's record; empty in the service's own record.
    uint32_t block = 0;  ///< Set in a block's record.

    bool isBlock() const { return !service.empty(); }
};

std::string encodeRangeRecord(const RangeRecord &record);

/**
 * @return The record; Malformed for invalid JSON or if the ranges violate an invariant of the
 * table.
 */
Result<RangeRecord> decodeRangeRecord(std::string_view content);

std::string encodeLease(const LeaseRecord &lease);
Result<LeaseRecord> decodeLease(std::string_view content);

} // namespace wisteriahoist
