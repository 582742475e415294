/** @file random_source.h Interface: source of random numbers. */

#pragma once

#include <cstdint>

namespace wisteriahoist {

/** Generates random numbers. Production code has no other source. Used by one thread. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /** @return 64 random bits. */
    virtual uint64_t next() = 0;
};

} // namespace wisteriahoist
