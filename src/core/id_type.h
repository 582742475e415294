/** @file id_type.h The ids, epochs, terms and versions of the system. */

#pragma once

#include "core/strong_id.h"

namespace wisteriahoist {

using NodeId = StrongId<struct NodeIdTag>; ///< A node, by its settings; 0 is no node.
using Incarnation
        = StrongId<struct IncarnationTag>; ///< One life of a node's process; rises with each start.
using Term = StrongId<struct TermTag>; ///< A coordinator's period of office in one cell; 0 is none.
using Epoch
        = StrongId<struct EpochTag>; ///< Rises with each change of a range's owner; fences grants.
using ObjectVersion
        = StrongId<struct ObjectVersionTag>; ///< The platform's version; 0: does not exist.
using KeyHash
        = StrongId<struct KeyHashTag>; ///< 64-bit hash of a key; a point in a service's key space.
using RequestId
        = StrongId<struct RequestIdTag>; ///< One request within one node's life; never reused.
using WriteNonce
        = StrongId<struct WriteNonceTag>; ///< Names one write, so that its writer knows it again.

inline constexpr NodeId InvalidNode{0};
inline constexpr ObjectVersion AbsentObject{0};

} // namespace wisteriahoist
