/** @file id_type.h Types of ids, epochs, terms and versions. */

#pragma once

#include "core/strong_id.h"

namespace wisteriahoist {

/** Node id from the settings; 0: no node. */
using NodeId = StrongId<struct NodeIdTag>;
/** Sequence number of a node's process starts. */
using Incarnation = StrongId<struct IncarnationTag>;
/** Leadership term of a cell's coordinator; 0: none. */
using Term = StrongId<struct TermTag>;
/** Fencing token of a grant: increases with each change of a range's owner. */
using Epoch = StrongId<struct EpochTag>;
/** Version of an object in the platform; 0: it does not exist. */
using ObjectVersion = StrongId<struct ObjectVersionTag>;
/** 64-bit hash of a key in a service's key space. */
using KeyHash = StrongId<struct KeyHashTag>;
/** Id of a request; unique within one incarnation of a node, never reused. */
using RequestId = StrongId<struct RequestIdTag>;
/** Identifies one write, so that the writer can recognise it. */
using WriteNonce = StrongId<struct WriteNonceTag>;

inline constexpr NodeId InvalidNode{0};
inline constexpr ObjectVersion AbsentObject{0};

} // namespace wisteriahoist
