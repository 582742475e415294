/** @file node_rank.h Order of nodes in which others choose them. */

#pragma once

#include "core/hash_func.h"
#include "core/id_type.h"

#include <string>

namespace wisteriahoist {

/** @return The rank of @p node for @p seed; a different seed gives an unrelated order. */
inline uint64_t rankNode(NodeId node, uint64_t seed)
{
    return hashKey(std::to_string(node.value()), seed).value();
}

} // namespace wisteriahoist
