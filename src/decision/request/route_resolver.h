/** @file route_resolver.h Resolves the service, rule and key of a request. */

#pragma once

#include "core/failure_type.h"
#include "core/id_type.h"
#include "decision/config/declaration_type.h"

#include <functional>
#include <string>
#include <string_view>

namespace wisteriahoist {

/** The parts of a request that determine its route. */
struct RequestHead {
    std::string_view method;
    std::string_view target; ///< Path and query as received.
    std::string_view host;
    std::function<std::string_view(std::string_view name)> header; ///< Empty if absent.
};

/** The route of a request. */
struct ResolvedRequest {
    const ServiceDeclaration *service = nullptr; ///< Points into the given declarations.
    const RouteRule *rule = nullptr;
    std::string key; ///< Empty if the rule is not keyed.
    KeyHash hash;
};

/**
 * Resolves a request against the declarations.
 * @return NotFound if no service or rule matches, BadArgument if the key is missing.
 */
Result<ResolvedRequest> resolveRequest(const Declarations &declarations, const RequestHead &head);

} // namespace wisteriahoist
