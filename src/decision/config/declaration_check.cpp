/** @file declaration_check.cpp Validates a complete set of declarations. */

#include "decision/config/declaration_check.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace wisteriahoist {

namespace {

bool isLowerOrDigit(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9');
}

/** @return Whether @p text has 1 to @p most characters, all of which are @p allowed. */
template <typename Allowed>
bool isWord(std::string_view text, size_t most, Allowed allowed)
{
    return !text.empty() && text.size() <= most && std::all_of(text.begin(), text.end(), allowed);
}

bool isVisible(char letter)
{
    return letter > ' ' && letter < '\x7f';
}

std::string quote(std::string_view text)
{
    return "found \"" + std::string(text) + "\", ";
}

/** Collects problems below one path. */
class Checker
{
public:
    Checker(std::string path, ConfigProblems &problems)
        : path_(std::move(path)), problems_(problems)
    { }

    /** Adds a problem with @p field unless @p holds is true. */
    void need(bool holds, std::string_view field, std::string message,
              ConfigProblemCode code = ConfigProblemCode::BadArgument)
    {
        if (!holds) {
            const std::string dot = path_.empty() || field.empty() ? "" : ".";
            problems_.push_back({code, path_ + dot + std::string(field), std::move(message)});
        }
    }

    Checker below(const std::string &field) const
    {
        return {path_.empty() ? field : path_ + "." + field, problems_};
    }

private:
    std::string path_;
    ConfigProblems &problems_;
};

std::string indexed(const char *field, size_t index)
{
    return std::string(field) + "[" + std::to_string(index) + "]";
}

void checkKeySpace(const KeySpaceDeclaration &keySpace, Checker checker)
{
    if (keySpace.place == KeyPlace::PathSegment) {
        checker.need(keySpace.name.empty(), "name", "must be empty for a path segment");
        checker.need(keySpace.segment <= MaxPathSegment, "segment",
                     "found " + std::to_string(keySpace.segment) + ", at most "
                             + std::to_string(MaxPathSegment));
    } else {
        checker.need(isWord(keySpace.name, MaxKeyName, isVisible), "name",
                     quote(keySpace.name) + "1 to " + std::to_string(MaxKeyName)
                             + " printable ASCII characters without spaces are required");
        checker.need(keySpace.segment == 0, "segment",
                     "must be 0 unless the key is in a path segment");
    }
    checker.need(keySpace.hashSeed <= INT64_MAX, "hash_seed", "at most 2^63 - 1");
    checker.need(keySpace.initialSlices >= 1 && keySpace.initialSlices <= MaxInitialSlices,
                 "initial_slices",
                 "found " + std::to_string(keySpace.initialSlices) + ", 1 to "
                         + std::to_string(MaxInitialSlices) + " are allowed");
}

void checkRoute(const RouteRule &route, Checker checker)
{
    const auto isUpper = [](char letter) { return letter >= 'A' && letter <= 'Z'; };
    checker.need(route.method.empty() || isWord(route.method, MaxMethod, isUpper), "method",
                 quote(route.method) + "only letters A to Z are allowed, at most "
                         + std::to_string(MaxMethod));
    const bool isPath = isWord(route.pathPrefix, MaxPathPrefix, isVisible)
                        && route.pathPrefix.starts_with('/')
                        && route.pathPrefix.find_first_of("?#") == std::string::npos;
    checker.need(isPath, "path_prefix",
                 quote(route.pathPrefix) + "must begin with /, without ? or #, at most "
                         + std::to_string(MaxPathPrefix) + " bytes");
    checker.need(route.deadline >= milliseconds(1) && route.deadline <= MaxDeadline, "deadline_ms",
                 "found " + std::to_string(route.deadline.count()) + ", 1 to "
                         + std::to_string(MaxDeadline.count()) + " are allowed");
    // A request is answered when its deadline expires, so a longer wait would have no effect.
    checker.need(route.queueTimeout >= milliseconds(0) && route.queueTimeout <= route.deadline,
                 "patience_ms",
                 "found " + std::to_string(route.queueTimeout.count())
                         + ", 0 to the route's deadline_ms are allowed");
}

/** @return Whether every request that @p later matches is matched by @p earlier too. */
bool shadows(const RouteRule &earlier, const RouteRule &later)
{
    const bool allMethods = earlier.method.empty() || earlier.method == later.method;
    return allMethods && later.pathPrefix.starts_with(earlier.pathPrefix);
}

void checkRoutes(const ServiceDeclaration &service, Checker checker)
{
    checker.need(!service.routes.empty(), "routes", "at least one route is required");
    checker.need(service.routes.size() <= MaxRoutes, "routes",
                 "found " + std::to_string(service.routes.size()) + " routes, at most "
                         + std::to_string(MaxRoutes) + " are allowed",
                 ConfigProblemCode::TooLarge);
    const size_t count = std::min(service.routes.size(), MaxRoutes);
    for (size_t index = 0; index < count; ++index) {
        const RouteRule &route = service.routes[index];
        checkRoute(route, checker.below(indexed("routes", index)));
        for (size_t earlier = 0; earlier < index; ++earlier) {
            if (shadows(service.routes[earlier], route)) {
                checker.need(false, indexed("routes", index),
                             indexed("routes", earlier)
                                     + " already matches every request that this route matches",
                             ConfigProblemCode::UnreachableRoute);
                break;
            }
        }
    }
}

void checkService(const ServiceDeclaration &service, Checker checker)
{
    const auto isNameLetter = [](char letter) { return isLowerOrDigit(letter) || letter == '-'; };
    checker.need(isWord(service.name, MaxServiceName, isNameLetter), "name",
                 quote(service.name) + "a to z, 0 to 9 and -, 1 to "
                         + std::to_string(MaxServiceName) + " characters");
    const auto isHostLetter
            = [](char letter) { return isLowerOrDigit(letter) || letter == '-' || letter == '.'; };
    checker.need(isWord(service.host, MaxHost, isHostLetter), "host",
                 quote(service.host) + "a lower-case host name without a port is required");
    checkKeySpace(service.keySpace, checker.below("key_space"));
    checkRoutes(service, checker);
}

} // namespace

ConfigProblems checkDeclarations(const Declarations &declarations)
{
    ConfigProblems problems;
    Checker root("", problems);
    root.need(declarations.services.size() <= MaxServices, "services",
              "found " + std::to_string(declarations.services.size()) + " services, at most "
                      + std::to_string(MaxServices) + " are allowed",
              ConfigProblemCode::TooLarge);
    std::map<std::string_view, size_t> names;
    std::map<std::string_view, size_t> hosts;
    const size_t count = std::min(declarations.services.size(), MaxServices);
    for (size_t index = 0; index < count; ++index) {
        const ServiceDeclaration &service = declarations.services[index];
        Checker checker = root.below(indexed("services", index));
        checkService(service, checker);
        const auto [name, newName] = names.emplace(service.name, index);
        checker.need(newName, "name",
                     quote(service.name) + "already used by " + indexed("services", name->second),
                     ConfigProblemCode::Duplicate);
        const auto [host, newHost] = hosts.emplace(service.host, index);
        checker.need(newHost, "host",
                     quote(service.host) + "already used by " + indexed("services", host->second),
                     ConfigProblemCode::Duplicate);
    }
    return problems;
}

} // namespace wisteriahoist
