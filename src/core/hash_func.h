/** @file hash_func.h Hash function that maps keys to a key space (xxHash 64). */

#pragma once

#include "core/id_type.h"

#include <string_view>

namespace wisteriahoist {

/** @return The hash of @p key, with the @p seed from the service's declaration. */
KeyHash hashKey(std::string_view key, uint64_t seed);

} // namespace wisteriahoist
