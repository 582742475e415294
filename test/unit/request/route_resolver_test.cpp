/** @file route_resolver_test.cpp Resolves the service, rule and key of a request. */

#include "decision/request/route_resolver.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

Declarations makeDeclarations(KeyPlace place)
{
    ServiceDeclaration service;
    service.name = "profiles";
    service.host = "profiles.example";
    service.keySpace.place = place;
    service.keySpace.name = "sitter";
    service.keySpace.segment = 1;
    RouteRule read;
    read.method = "GET";
    read.pathPrefix = "/profiles/";
    RouteRule search;
    search.method = "GET";
    search.pathPrefix = "/search";
    search.keyed = false;
    service.routes = {read, search};
    Declarations declarations;
    declarations.services = {service};
    return declarations;
}

RequestHead makeHead(std::string_view method, std::string_view target)
{
    RequestHead head;
    head.method = method;
    head.target = target;
    head.host = "profiles.example:8080";
    head.header = [](std::string_view name) {
        return name == "sitter" ? std::string_view("kari") : std::string_view();
    };
    return head;
}

} // namespace

Test(route_resolver, key_places)
{
    SECTION("the key is a path segment")
    {
        const Declarations declarations = makeDeclarations(KeyPlace::PathSegment);
        const auto found
                = resolveRequest(declarations, makeHead("GET", "/profiles/kari/notes?x=1"));
        cr_assert(found.has_value());
        cr_assert(found.assume_value().key == "kari");
        SECTION("a path without that segment is refused")
        {
            const auto missing = resolveRequest(declarations, makeHead("GET", "/profiles/"));
            cr_assert(missing.assume_error().code == FailureCode::BadArgument);
        }
    }
    SECTION("the key is a header")
    {
        const Declarations declarations = makeDeclarations(KeyPlace::Header);
        const auto found = resolveRequest(declarations, makeHead("GET", "/profiles/x"));
        cr_assert(found.assume_value().key == "kari");
    }
    SECTION("the key is a query parameter")
    {
        const Declarations declarations = makeDeclarations(KeyPlace::Query);
        const auto found
                = resolveRequest(declarations, makeHead("GET", "/profiles/x?a=b&sitter=ola"));
        cr_assert(found.assume_value().key == "ola");
    }
}

Test(route_resolver, no_match)
{
    const Declarations declarations = makeDeclarations(KeyPlace::PathSegment);
    SECTION("a method without a rule is refused")
    {
        const auto found = resolveRequest(declarations, makeHead("DELETE", "/profiles/kari"));
        cr_assert(found.assume_error().code == FailureCode::NotFound);
    }
    SECTION("an undeclared host is refused")
    {
        RequestHead head = makeHead("GET", "/profiles/kari");
        head.host = "other.example";
        cr_assert(resolveRequest(declarations, head).assume_error().code == FailureCode::NotFound);
    }
    SECTION("a rule without a key needs none")
    {
        const auto found = resolveRequest(declarations, makeHead("GET", "/search"));
        cr_assert(found.has_value());
        cr_assert(found.assume_value().key.empty());
    }
}
