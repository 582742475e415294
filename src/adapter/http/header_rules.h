/** @file header_rules.h Selects the header fields that a proxy may forward. */

#pragma once

#include "adapter/http/http_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriahoist {

/** One header field to forward. */
struct ForwardedField {
    std::string name;
    std::string value;
};

/** @return Whether a message can have the field: its name is a token (RFC 9110), its value holds no
 *          control byte but tabs, and neither is longer than a message can hold. */
bool isValidField(std::string_view name, std::string_view value);

/**
 * @return The end-to-end fields of @p fields: without hop-by-hop fields, fields listed in
 *         Connection, Content-Length, Expect, and the fields that only this system sets (a caller
 *         could otherwise forge an epoch).
 */
std::vector<ForwardedField> forwardableFields(const http::fields &fields);

/** @return Whether the message must be rejected: several lengths, a length together with a transfer
 *          coding, or an unsupported coding. */
bool hasAmbiguousFraming(const http::fields &fields);

} // namespace wisteriahoist
