/** @file strong_id.h Strong typedefs for ids, epochs, terms and versions. */

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace wisteriahoist {

/**
 * Strong typedef of an integer: ids with different tags cannot be mixed or converted implicitly.
 * @tparam Tag Incomplete type that distinguishes the kinds of ids.
 */
template <typename Tag, typename Rep = uint64_t>
class StrongId
{
public:
    constexpr StrongId() = default;
    constexpr explicit StrongId(Rep value) : value_(value) { }

    constexpr Rep value() const { return value_; }
    constexpr StrongId next() const { return StrongId(value_ + 1); }
    constexpr auto operator<=>(const StrongId &) const = default;

private:
    Rep value_ = 0;
};

} // namespace wisteriahoist

template <typename Tag, typename Rep>
struct std::hash<wisteriahoist::StrongId<Tag, Rep>> {
    std::size_t operator()(wisteriahoist::StrongId<Tag, Rep> id) const noexcept
    {
        return std::hash<Rep>()(id.value());
    }
};
