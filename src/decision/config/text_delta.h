/** @file text_delta.h The difference between two versions of a configuration's text. */

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahoist {

/** Some bytes of the earlier text, followed by new ones. */
struct DeltaPart {
    size_t offset = 0; ///< In the earlier text.
    size_t length = 0; ///< 0: nothing is copied.
    std::string text;
    bool operator==(const DeltaPart &) const = default;
};

/** @return Parts that make @p target out of @p base. Objects of a JSON text that are unchanged are
 *          copied, wherever they have moved. */
std::vector<DeltaPart> makeDelta(std::string_view base, std::string_view target);

/** @return The target of makeDelta(); nullopt if a part lies outside of @p base or the result would
 *          exceed @p maxBytes. */
std::optional<std::string> applyDelta(std::string_view base, const std::vector<DeltaPart> &parts,
                                      size_t maxBytes);

} // namespace wisteriahoist
