/** @file range_fixture.h Two holders that share all keys, and the keeper of the first one's half.
 */

#pragma once

#include "decision/range/grant_manager.h"

namespace wisteriahoist::testing {

inline constexpr TimePoint Start{std::chrono::hours(1)};
inline constexpr TimePoint Forever = Start + std::chrono::hours(1); ///< A lease that never binds.
inline const RangeHolder Self{NodeId(1), Incarnation(1), "b-1"};
inline const RangeHolder Other{NodeId(2), Incarnation(1), "b-2"};

/** @return Half of the keys for each holder, Self's first. */
inline RangeTable makeTable()
{
    return makeRangeTable({{Self, 1}, {Other, 1}});
}

/** @return A keeper that knows of Self's half and has granted nothing yet. */
inline GrantManager makeKeeper()
{
    GrantManager keeper(GrantTimes{}, NeverTime);
    keeper.onTable(makeTable(), Self, Start);
    return keeper;
}

} // namespace wisteriahoist::testing
