/** @file range_fixture.h Two holders that share all keys, and a GrantManager for the
 * first one's half. */

#pragma once

#include "decision/range/grant_manager.h"

namespace wisteriahoist::testing {

inline constexpr TimePoint Start{std::chrono::hours(1)};
inline constexpr TimePoint Forever = Start + std::chrono::hours(1); ///< Never limits a grant.
inline const RangeHolder Self{NodeId(1), Incarnation(1), "b-1"};
inline const RangeHolder Other{NodeId(2), Incarnation(1), "b-2"};

/** @return A table with half of the keys for each holder, Self's first. */
inline RangeTable makeTable()
{
    return makeRangeTable({{Self, 1}, {Other, 1}});
}

/** @return A manager of Self's half that has not granted anything yet. */
inline GrantManager makeManager()
{
    GrantManager manager(GrantTimes{}, NeverTime);
    manager.onTable(makeTable(), Self, Start);
    return manager;
}

} // namespace wisteriahoist::testing
