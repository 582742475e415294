/** @file header_rules.h Which header fields may pass from one connection to the next. */

#pragma once

#include "adapter/http/http_type.h"

#include <string>
#include <vector>

namespace wisteriahoist {

/** One header field on its way between connections. */
struct ForwardedField {
    std::string name;
    std::string value;
};

/**
 * @return The fields of @p fields that belong to the message and not to its connection: without
 *         hop-by-hop fields, those that Connection lists, Content-Length, Expect, and the fields
 *         that only this system sets (a caller could forge an epoch with them).
 */
std::vector<ForwardedField> forwardableFields(const http::fields &fields);

/** @return Whether the framing of @p fields is refused: two lengths, or an unknown coding. */
bool hasAmbiguousFraming(const http::fields &fields);

} // namespace wisteriahoist
