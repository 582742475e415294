/** @file random_source.h Port: where random numbers come from. */

#pragma once

#include <cstdint>

namespace wisteriahoist {

/** The only source of random numbers outside tests. Used by one thread. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /** @return 64 random bits. */
    virtual uint64_t next() = 0;
};

} // namespace wisteriahoist
