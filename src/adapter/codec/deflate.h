/** @file deflate.h Compression of messages between nodes. */

#pragma once

#include "core/failure_type.h"

#include <string>
#include <string_view>

namespace wisteriahoist {

/** @return @p content as a zlib stream (RFC 1950). */
std::string deflate(std::string_view content);

/** @return The content of a zlib stream; Malformed if it is not one or hasn't exactly @p size
 *          bytes. @pre @p size is bounded: as much is allocated. */
Result<std::string> inflate(std::string_view stream, size_t size);

} // namespace wisteriahoist
