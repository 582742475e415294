/** @file request_fingerprint.h Identifies a request over all attempts of its callers. */

#pragma once

#include "core/id_type.h"

#include <optional>
#include <string_view>

namespace wisteriahoist {

/** Hash of all that makes two requests the same one; 64 bits, with no trace of their content. */
using RequestFingerprint = StrongId<struct RequestFingerprintTag>;

/**
 * What makes two requests the same one. The attempt id, the time left and the other headers differ
 * from one attempt to the next and are left out. The key is included, since a backend server may
 * serve another object for the same path.
 */
struct RequestContent {
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view callerService;
    std::optional<uint32_t> key;
    std::string_view body;
};

RequestFingerprint fingerprintOf(const RequestContent &content);

} // namespace wisteriahoist
