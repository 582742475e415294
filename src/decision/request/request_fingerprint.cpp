/** @file request_fingerprint.cpp Identifies a request over all attempts of its callers. */

#include "decision/request/request_fingerprint.h"

#include "core/hash_func.h"

namespace wisteriahoist {

RequestFingerprint fingerprintOf(const RequestContent &content)
{
    // Each part's hash is the seed of the next one, so that no text can move from part to part.
    uint64_t hash = content.key ? *content.key + 1ULL : 0;
    for (const std::string_view part :
         {content.method, content.host, content.target, content.callerService, content.body}) {
        hash = hashKey(part, hash).value();
    }
    return RequestFingerprint(hash);
}

} // namespace wisteriahoist
