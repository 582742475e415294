/** @file random_text.h Text without repetitions, so that it cannot be compressed much. */

#pragma once

#include <random>
#include <string>

namespace wisteriahoist::testing {

/** @return The same @p bytes letters and digits for the same @p seed. */
inline std::string makeRandomText(size_t bytes, uint32_t seed = 1)
{
    constexpr std::string_view Letters
            = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
    std::mt19937 random(seed);
    std::string text;
    text.reserve(bytes);
    while (text.size() < bytes) {
        text.push_back(Letters[random() % Letters.size()]);
    }
    return text;
}

} // namespace wisteriahoist::testing
