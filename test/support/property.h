/** @file property.h RapidCheck properties with a fixed seed, so that each run tests the same
 * inputs. */

#pragma once

#include <iostream>
#include <rapidcheck.h>

namespace wisteriahoist::testing {

/** @return Whether @p property held for 200 inputs drawn from @p seed; a failure is printed. */
template <typename Property>
bool holds(uint64_t seed, Property &&property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 200;
    const auto result = rc::detail::checkTestable(std::forward<Property>(property),
                                                  rc::detail::TestMetadata(), params);
    const bool held = result.template is<rc::detail::SuccessResult>();
    if (!held) {
        rc::detail::printResultMessage(result, std::cerr);
    }
    return held;
}

} // namespace wisteriahoist::testing
