/** @file hash_func.cpp Computes key hashes with xxHash 64. */

#include "core/hash_func.h"

#include <xxhash.h>

namespace wisteriahoist {

KeyHash hashKey(std::string_view key, uint64_t seed)
{
    return KeyHash(XXH64(key.data(), key.size(), seed));
}

} // namespace wisteriahoist
