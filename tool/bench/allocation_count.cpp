/** @file allocation_count.cpp Replaces operator new and delete to count what is allocated. */

#include "allocation_count.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<size_t> allocated{0};

} // namespace

namespace wisteriahoist::bench {

size_t allocatedBytes()
{
    return allocated.load(std::memory_order_relaxed);
}

} // namespace wisteriahoist::bench

void *operator new(size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    allocated.fetch_add(malloc_usable_size(memory), std::memory_order_relaxed);
    return memory;
}

void operator delete(void *memory) noexcept
{
    allocated.fetch_sub(malloc_usable_size(memory), std::memory_order_relaxed);
    std::free(memory);
}

void operator delete(void *memory, size_t) noexcept
{
    operator delete(memory);
}
