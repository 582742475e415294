/** @file declaration_loader.cpp Declarations from a folder of TOML files. */

#include "adapter/settings/declaration_loader.h"

#include "adapter/settings/node_settings.h"

#include <algorithm>
#include <filesystem>

namespace wisteriahoist {

namespace {

constexpr uint64_t MaxInitialSlices = 65536;
constexpr uint64_t MaxPathSegment = 32;
constexpr milliseconds MaxDeadline{600000};

RouteRule readRoute(TomlReader &reader)
{
    RouteRule rule;
    rule.method = reader.text("method", "");
    rule.pathPrefix = reader.text("path_prefix", "/");
    if (!rule.pathPrefix.starts_with('/')) {
        reader.report("path_prefix", "found " + rule.pathPrefix + ", must begin with /");
    }
    rule.keyed = reader.boolean("keyed", true);
    rule.repetition = reader.choice("repetition", {"must-not-repeat", "idempotent"}, 0) == 1
                              ? Repetition::Idempotent
                              : Repetition::MustNotRepeat;
    rule.deadline = reader.duration("deadline_ms", rule.deadline, milliseconds(1), MaxDeadline);
    rule.patience = reader.duration("patience_ms", rule.patience, milliseconds(0), MaxDeadline);
    rule.missingKey = reader.choice("missing_key", {"refuse", "single-attempt"}, 0) == 1
                              ? MissingKey::SingleAttempt
                              : MissingKey::Refuse;
    rule.missingAge = reader.choice("missing_age", {"refuse", "first-sending"}, 0) == 1
                              ? MissingAge::FirstSending
                              : MissingAge::Refuse;
    reader.reportUnknown();
    return rule;
}

void readKeySpace(TomlReader &reader, KeySpaceDeclaration &keySpace)
{
    const size_t place = reader.choice("place", {"path-segment", "header", "query"}, 0);
    keySpace.place = static_cast<KeyPlace>(place);
    if (keySpace.place == KeyPlace::PathSegment) {
        keySpace.segment = static_cast<uint32_t>(reader.number("segment", 0, 0, MaxPathSegment));
    } else {
        keySpace.name = reader.requireText("name");
    }
    keySpace.hashSeed = reader.requireNumber("hash_seed", 0, INT64_MAX);
    keySpace.initialSlices = static_cast<uint32_t>(
            reader.number("initial_slices", keySpace.initialSlices, 1, MaxInitialSlices));
    reader.reportUnknown();
}

ServiceDeclaration readService(TomlReader &reader, const std::string &file,
                               std::vector<Finding> &findings)
{
    ServiceDeclaration service;
    service.name = reader.requireText("name");
    service.host = reader.requireText("host");
    service.grantMode = reader.choice("grant_mode", {"fenced", "unchecked"}, 0) == 0
                                ? GrantMode::Fenced
                                : GrantMode::Unchecked;
    service.misrouted = reader.choice("misrouted", {"forward", "redirect"}, 0) == 1
                                ? Misrouted::Redirect
                                : Misrouted::Forward;
    if (const toml::table *table = reader.table("key_space", true)) {
        TomlReader keySpace(*table, file, "service.key_space", findings);
        readKeySpace(keySpace, service.keySpace);
    }
    for (const toml::table *table : reader.tables("route")) {
        TomlReader route(*table, file, "service.route", findings);
        service.routes.push_back(readRoute(route));
    }
    if (service.routes.empty()) {
        reader.report("route", "at least one is needed");
    }
    reader.reportUnknown();
    return service;
}

} // namespace

void parseDeclarations(std::string_view content, const std::string &file,
                       Declarations &declarations, std::vector<Finding> &findings)
{
    const size_t before = findings.size();
    const toml::table root = parseToml(content, file, findings);
    if (findings.size() > before) {
        return;
    }
    TomlReader reader(root, file, "", findings);
    for (const toml::table *table : reader.tables("service")) {
        TomlReader serviceReader(*table, file, "service", findings);
        ServiceDeclaration service = readService(serviceReader, file, findings);
        if (declarations.findService(service.name) != nullptr) {
            serviceReader.report("name", "found " + service.name + " twice");
        }
        declarations.services.push_back(std::move(service));
    }
    reader.reportUnknown();
}

Declarations loadDeclarations(const std::string &folder, std::vector<Finding> &findings)
{
    Declarations declarations;
    std::error_code error;
    std::vector<std::string> files;
    for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
        if (entry.path().extension() == ".toml") {
            files.push_back(entry.path().string());
        }
    }
    if (error) {
        findings.push_back({folder, 1, "the folder cannot be read"});
    }
    std::sort(files.begin(), files.end());
    for (const std::string &file : files) {
        parseDeclarations(readTextFile(file, findings), file, declarations, findings);
    }
    return declarations;
}

} // namespace wisteriahoist
