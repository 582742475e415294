/** @file record_codec.h The product's own records in the store, as JSON by schema. */

#pragma once

#include "core/failure_type.h"
#include "decision/member/member_type.h"
#include "decision/range/range_block.h"

#include <string>
#include <string_view>

namespace wisteriahoist {

/** A lease record: each renewal changes it, so its revision tells whether its holder lives. */
struct LeaseRecord {
    NodeId node;
    Incarnation life;
    uint64_t renewal = 0;
    NodeId revokedBy;              ///< InvalidNode: it has not been taken away.
    std::vector<NodeId> witnesses; ///< Nodes that a taker has to fence the holder at.
    bool operator==(const LeaseRecord &) const = default;
};

std::string encodeMember(const MemberRecord &member);
Result<MemberRecord> decodeMember(std::string_view content);

/** A record of ranges: a service's first division, or what has become of one block of it. */
struct RangeRecord {
    RangeTable table;
    BlockLayout layout;
    std::string service; ///< Of a block's record; empty: it is the service's own record.
    uint32_t block = 0;  ///< Of a block's record.

    bool isBlock() const { return !service.empty(); }
};

std::string encodeRangeRecord(const RangeRecord &record);

/** @return Malformed also if the ranges break the invariant of a table. */
Result<RangeRecord> decodeRangeRecord(std::string_view content);

std::string encodeLease(const LeaseRecord &lease);
Result<LeaseRecord> decodeLease(std::string_view content);

} // namespace wisteriahoist
