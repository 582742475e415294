/** @file routing_snapshot.h Consistent view of declarations, range owners and members. */

#pragma once

#include "decision/ownership/ownership_type.h"

#include <memory>

namespace wisteriahoist {

/** An immutable view; each change creates a new one, which is passed to every duty. */
struct RoutingSnapshot {
    Declarations declarations;
    ObjectVersion assignmentVersion;
    std::map<std::string, SliceTable> tables; ///< By service.
    std::map<NodeId, MemberInfo> members;

    /** @return The range that holds @p hash; nullptr if the service has no table. */
    const Slice *findSlice(const std::string &service, KeyHash hash) const
    {
        const auto found = tables.find(service);
        return found == tables.end() ? nullptr : found->second.find(hash);
    }

    const MemberInfo *findMember(NodeId id) const
    {
        const auto found = members.find(id);
        return found == members.end() ? nullptr : &found->second;
    }
};

using RoutingSnapshotPtr = std::shared_ptr<const RoutingSnapshot>;

} // namespace wisteriahoist
