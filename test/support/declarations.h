/** @file declarations.h Declarations for tests. */

#pragma once

#include "decision/config/declaration_type.h"

#include <string>

namespace wisteriahoist::testing {

/** @return A valid service with one route. */
inline ServiceDeclaration makeService(const std::string &name)
{
    ServiceDeclaration service;
    service.name = name;
    service.host = name + ".example";
    service.keySpace.segment = 1;
    service.keySpace.hashSeed = 7;
    RouteRule route;
    route.method = "GET";
    route.pathPrefix = "/" + name + "/";
    service.routes = {route};
    return service;
}

/** @return Declarations with one service per name. */
template <typename... Names>
Declarations makeDeclarations(const Names &...names)
{
    Declarations declarations;
    declarations.services = {makeService(names)...};
    return declarations;
}

} // namespace wisteriahoist::testing
