/** @file hash_func.h The hash that places keys in a key space (xxHash 64). */

#pragma once

#include "core/id_type.h"

#include <string_view>

namespace wisteriahoist {

/** @return The point of @p key in the hash space that @p seed (from the declaration) selects. */
KeyHash hashKey(std::string_view key, uint64_t seed);

} // namespace wisteriahoist
