/** @file mt_random_source.h Random source over std::mt19937_64, seeded from std::random_device. */

#pragma once

#include "port/random_source.h"

#include <random>

namespace wisteriahoist {

/** Generates random numbers for identifiers. Not cryptographically secure; not for secrets. */
class MtRandomSource : public RandomSource
{
public:
    MtRandomSource()
    {
        std::random_device device;
        std::seed_seq seeds{device(), device(), device(), device()};
        engine_.seed(seeds);
    }

    uint64_t next() override { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace wisteriahoist
