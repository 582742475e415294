/** @file allocation_count.h Bytes that the bench program has allocated on the heap. */

#pragma once

#include <cstddef>

namespace wisteriahoist::bench {

/** @return Bytes now allocated through operator new, as the allocator rounds them. */
size_t allocatedBytes();

} // namespace wisteriahoist::bench
