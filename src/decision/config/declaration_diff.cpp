/** @file declaration_diff.cpp Compares two sets of declarations. */

#include "decision/config/declaration_diff.h"

#include <algorithm>
#include <map>

namespace wisteriahoist {

namespace {

using ServiceIndex = std::map<std::string_view, const ServiceDeclaration *>;

ServiceIndex indexByName(const Declarations &declarations)
{
    ServiceIndex index;
    for (const ServiceDeclaration &service : declarations.services) {
        index.emplace(service.name, &service);
    }
    return index;
}

std::string asText(const std::string &value)
{
    return value;
}

std::string asText(std::string_view value)
{
    return std::string(value);
}

std::string asText(bool value)
{
    return value ? "true" : "false";
}

std::string asText(uint32_t value)
{
    return std::to_string(value);
}

std::string asText(uint64_t value)
{
    return std::to_string(value);
}

std::string asText(milliseconds value)
{
    return std::to_string(value.count());
}

/** Collects the changes below one path. */
class Comparer
{
public:
    Comparer(std::string path, std::vector<ConfigChange> &changes)
        : path_(std::move(path)), changes_(changes)
    { }

    template <typename T>
    void compare(std::string_view field, const T &before, const T &after)
    {
        if (before != after) {
            add(ConfigChangeKind::Changed, field, asText(before), asText(after));
        }
    }

    void add(ConfigChangeKind kind, std::string_view field, std::string before, std::string after)
    {
        const std::string dot = field.empty() ? "" : ".";
        changes_.push_back(
                {kind, path_ + dot + std::string(field), std::move(before), std::move(after)});
    }

    Comparer below(const std::string &field) const { return {path_ + "." + field, changes_}; }

private:
    std::string path_;
    std::vector<ConfigChange> &changes_;
};

std::string describeRoute(const RouteRule &route)
{
    return (route.method.empty() ? "any" : route.method) + " " + route.pathPrefix;
}

void compareRoute(const RouteRule &before, const RouteRule &after, Comparer comparer,
                  std::vector<ConfigChange> &changes)
{
    if (before == after) {
        return;
    }
    const size_t found = changes.size();
    comparer.compare("method", before.method, after.method);
    comparer.compare("path_prefix", before.pathPrefix, after.pathPrefix);
    comparer.compare("keyed", before.keyed, after.keyed);
    comparer.compare("repetition", repetitionName(before.repetition),
                     repetitionName(after.repetition));
    comparer.compare("deadline_ms", before.deadline, after.deadline);
    comparer.compare("patience_ms", before.queueTimeout, after.queueTimeout);
    comparer.compare("missing_key", missingKeyName(before.missingKey),
                     missingKeyName(after.missingKey));
    comparer.compare("missing_age", missingAgeName(before.missingAge),
                     missingAgeName(after.missingAge));
    if (changes.size() == found) {
        // A member that isn't compared above differs: the routes must not be reported as equal.
        comparer.add(ConfigChangeKind::Changed, "", describeRoute(before), describeRoute(after));
    }
}

void compareService(const ServiceDeclaration &before, const ServiceDeclaration &after,
                    Comparer comparer, std::vector<ConfigChange> &changes)
{
    if (before == after) {
        return;
    }
    const size_t found = changes.size();
    comparer.compare("host", before.host, after.host);
    comparer.compare("grant_mode", grantModeName(before.grantMode), grantModeName(after.grantMode));
    comparer.compare("misrouted", misroutedName(before.misrouted), misroutedName(after.misrouted));
    comparer.compare("priority", priorityName(before.priority), priorityName(after.priority));
    Comparer keySpace = comparer.below("key_space");
    keySpace.compare("place", keyPlaceName(before.keySpace.place),
                     keyPlaceName(after.keySpace.place));
    keySpace.compare("name", before.keySpace.name, after.keySpace.name);
    keySpace.compare("segment", before.keySpace.segment, after.keySpace.segment);
    keySpace.compare("hash_seed", before.keySpace.hashSeed, after.keySpace.hashSeed);
    keySpace.compare("initial_slices", before.keySpace.initialSlices, after.keySpace.initialSlices);
    const size_t most = std::max(before.routes.size(), after.routes.size());
    for (size_t index = 0; index < most; ++index) {
        Comparer route = comparer.below("routes[" + std::to_string(index) + "]");
        if (index >= after.routes.size()) {
            route.add(ConfigChangeKind::Removed, "", describeRoute(before.routes[index]), "");
        } else if (index >= before.routes.size()) {
            route.add(ConfigChangeKind::Added, "", "", describeRoute(after.routes[index]));
        } else {
            compareRoute(before.routes[index], after.routes[index], route, changes);
        }
    }
    if (changes.size() == found) {
        // As for routes, if a member that isn't compared above differs.
        comparer.add(ConfigChangeKind::Changed, "", before.host, after.host);
    }
}

std::string pathOf(std::string_view name)
{
    return "services[" + std::string(name) + "]";
}

} // namespace

std::string_view keyPlaceName(KeyPlace place)
{
    switch (place) {
    case KeyPlace::PathSegment:
        return "path-segment";
    case KeyPlace::Header:
        return "header";
    case KeyPlace::Query:
        return "query";
    }
    return "";
}

std::string_view repetitionName(Repetition repetition)
{
    return repetition == Repetition::Idempotent ? "idempotent" : "must-not-repeat";
}

std::string_view grantModeName(GrantMode mode)
{
    return mode == GrantMode::Fenced ? "fenced" : "unchecked";
}

std::string_view missingKeyName(MissingKey missing)
{
    return missing == MissingKey::SingleAttempt ? "single-attempt" : "refuse";
}

std::string_view missingAgeName(MissingAge missing)
{
    return missing == MissingAge::FirstSending ? "first-sending" : "refuse";
}

std::string_view priorityName(MeasurePriority priority)
{
    switch (priority) {
    case MeasurePriority::Even:
        return "even";
    case MeasurePriority::UnavailableTime:
        return "unavailable-time";
    case MeasurePriority::Churn:
        return "churn";
    }
    return "even";
}

std::string_view misroutedName(Misrouted misrouted)
{
    return misrouted == Misrouted::Redirect ? "redirect" : "forward";
}

std::vector<ConfigChange> diffDeclarations(const Declarations &before, const Declarations &after)
{
    std::vector<ConfigChange> changes;
    const ServiceIndex old = indexByName(before);
    const ServiceIndex wanted = indexByName(after);
    for (const auto &[name, service] : old) {
        Comparer comparer(pathOf(name), changes);
        const auto found = wanted.find(name);
        if (found == wanted.end()) {
            comparer.add(ConfigChangeKind::Removed, "", service->host, "");
        } else {
            compareService(*service, *found->second, comparer, changes);
        }
    }
    for (const auto &[name, service] : wanted) {
        if (!old.contains(name)) {
            Comparer comparer(pathOf(name), changes);
            comparer.add(ConfigChangeKind::Added, "", "", service->host);
        }
    }
    return changes;
}

bool rehashes(const KeySpaceDeclaration &before, const KeySpaceDeclaration &after)
{
    return before.place != after.place || before.name != after.name
           || before.segment != after.segment || before.hashSeed != after.hashSeed;
}

ConfigProblems findGuardedChanges(const Declarations &before, const Declarations &after)
{
    ConfigProblems problems;
    const ServiceIndex old = indexByName(before);
    for (size_t index = 0; index < after.services.size(); ++index) {
        const ServiceDeclaration &service = after.services[index];
        const std::string path = "services[" + std::to_string(index) + "]";
        const auto found = old.find(service.name);
        if (found == old.end()) {
            continue;
        }
        if (rehashes(found->second->keySpace, service.keySpace)) {
            problems.push_back(
                    {ConfigProblemCode::NeedsAllowRehash, path + ".key_space",
                     "every key of " + service.name + " may move to another backend server"});
        }
        const bool unfenced = found->second->grantMode == GrantMode::Fenced
                              && service.grantMode == GrantMode::Unchecked;
        if (unfenced) {
            problems.push_back({ConfigProblemCode::NeedsAllowUnfence, path + ".grant_mode",
                                "backend servers of " + service.name
                                        + " would no longer have to check grants"});
        }
    }
    for (const auto &[name, service] : old) {
        if (after.findService(name) == nullptr) {
            problems.push_back({ConfigProblemCode::NeedsAllowDelete, pathOf(name),
                                "the service would be deleted"});
        }
    }
    return problems;
}

} // namespace wisteriahoist
