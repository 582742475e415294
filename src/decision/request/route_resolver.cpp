/** @file route_resolver.cpp Resolves the service, rule and key of a request. */

#include "decision/request/route_resolver.h"

#include "core/hash_func.h"

namespace wisteriahoist {

namespace {

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view segmentOf(std::string_view path, uint32_t index)
{
    if (path.starts_with('/')) {
        path.remove_prefix(1);
    }
    for (uint32_t skipped = 0; skipped < index; ++skipped) {
        const size_t slash = path.find('/');
        if (slash == std::string_view::npos) {
            return {};
        }
        path.remove_prefix(slash + 1);
    }
    return path.substr(0, path.find('/'));
}

std::string_view queryOf(std::string_view target, std::string_view name)
{
    const size_t mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return pair.substr(equals + 1);
        }
    }
    return {};
}

const ServiceDeclaration *serviceFor(const Declarations &declarations, std::string_view host)
{
    const std::string_view name = host.substr(0, host.rfind(':'));
    for (const ServiceDeclaration &service : declarations.services) {
        if (service.host == name) {
            return &service;
        }
    }
    return nullptr;
}

const RouteRule *ruleFor(const ServiceDeclaration &service, const RequestHead &head)
{
    const std::string_view path = pathOf(head.target);
    for (const RouteRule &rule : service.routes) {
        const bool methodMatches = rule.method.empty() || rule.method == head.method;
        if (methodMatches && path.starts_with(rule.pathPrefix)) {
            return &rule;
        }
    }
    return nullptr;
}

std::string_view keyOf(const KeySpaceDeclaration &keySpace, const RequestHead &head)
{
    switch (keySpace.place) {
    case KeyPlace::PathSegment:
        return segmentOf(pathOf(head.target), keySpace.segment);
    case KeyPlace::Header:
        return head.header(keySpace.name);
    case KeyPlace::Query:
        return queryOf(head.target, keySpace.name);
    }
    return {};
}

} // namespace

Result<ResolvedRequest> resolveRequest(const Declarations &declarations, const RequestHead &head)
{
    ResolvedRequest resolved;
    resolved.service = serviceFor(declarations, head.host);
    if (resolved.service == nullptr) {
        return Failure{FailureCode::NotFound, "no service is declared for the request's host"};
    }
    resolved.rule = ruleFor(*resolved.service, head);
    if (resolved.rule == nullptr) {
        return Failure{FailureCode::NotFound, "no rule of the service matches the request"};
    }
    if (!resolved.rule->keyed) {
        return resolved;
    }
    resolved.key = keyOf(resolved.service->keySpace, head);
    if (resolved.key.empty()) {
        return Failure{FailureCode::BadArgument,
                       "the request has no key at the place that its service declares"};
    }
    resolved.hash = hashKey(resolved.key, resolved.service->keySpace.hashSeed);
    return resolved;
}

} // namespace wisteriahoist
