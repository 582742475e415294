/** @file declaration_loader.cpp Loads declarations from a folder of TOML files. */

#include "adapter/settings/declaration_loader.h"

#include "adapter/settings/node_settings.h"
#include "decision/config/declaration_check.h"

#include <algorithm>
#include <filesystem>

namespace wisteriahoist {

namespace {

RouteRule readRoute(TomlReader &reader)
{
    RouteRule rule;
    rule.method = reader.text("method", "");
    rule.pathPrefix = reader.text("path_prefix", "/");
    rule.keyed = reader.boolean("keyed", true);
    rule.repetition = reader.choice("repetition", {"must-not-repeat", "idempotent"}, 0) == 1
                              ? Repetition::Idempotent
                              : Repetition::MustNotRepeat;
    rule.deadline = reader.duration("deadline_ms", rule.deadline, milliseconds(1), MaxDeadline);
    // The default must not exceed a short deadline.
    rule.queueTimeout = std::min(rule.queueTimeout, rule.deadline);
    rule.queueTimeout
            = reader.duration("patience_ms", rule.queueTimeout, milliseconds(0), MaxDeadline);
    rule.missingKey = reader.choice("missing_key", {"refuse", "single-attempt"}, 0) == 1
                              ? MissingKey::SingleAttempt
                              : MissingKey::Refuse;
    rule.missingAge = reader.choice("missing_age", {"refuse", "first-sending"}, 0) == 1
                              ? MissingAge::FirstSending
                              : MissingAge::Refuse;
    reader.reportUnknown();
    return rule;
}

KeySpaceDeclaration readKeySpace(TomlReader &reader)
{
    KeySpaceDeclaration keySpace;
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
    return keySpace;
}

} // namespace

void DeclarationLoader::recordLocations(const toml::table &table, const std::string &path,
                                        const std::string &file)
{
    locations_[path] = {file, std::max<uint32_t>(1, table.source().begin.line)};
    for (const auto &[key, node] : table) {
        const std::string name = path + "." + std::string(key.str());
        locations_[name] = {file, std::max<uint32_t>(1, node.source().begin.line)};
    }
}

void DeclarationLoader::readService(const toml::table &table, const std::string &file)
{
    const std::string path = "services[" + std::to_string(declarations_.services.size()) + "]";
    recordLocations(table, path, file);
    TomlReader reader(table, file, path, findings_);
    ServiceDeclaration service;
    service.name = reader.requireText("name");
    service.host = reader.requireText("host");
    service.grantMode = reader.choice("grant_mode", {"fenced", "unchecked"}, 0) == 0
                                ? GrantMode::Fenced
                                : GrantMode::Unchecked;
    service.misrouted = reader.choice("misrouted", {"forward", "redirect"}, 0) == 1
                                ? Misrouted::Redirect
                                : Misrouted::Forward;
    service.priority = static_cast<MeasurePriority>(
            reader.choice("priority", {"even", "unavailable-time", "churn"}, 0));
    if (const toml::table *child = reader.table("key_space", true)) {
        recordLocations(*child, path + ".key_space", file);
        TomlReader keySpace(*child, file, path + ".key_space", findings_);
        service.keySpace = readKeySpace(keySpace);
    }
    for (const toml::table *child : reader.tables("route")) {
        const std::string routePath
                = path + ".routes[" + std::to_string(service.routes.size()) + "]";
        recordLocations(*child, routePath, file);
        TomlReader route(*child, file, routePath, findings_);
        service.routes.push_back(readRoute(route));
    }
    reader.reportUnknown();
    declarations_.services.push_back(std::move(service));
}

void DeclarationLoader::parse(std::string_view content, const std::string &file)
{
    const size_t before = findings_.size();
    const toml::table root = parseToml(content, file, findings_);
    if (findings_.size() > before) {
        return;
    }
    TomlReader reader(root, file, "", findings_);
    for (const toml::table *table : reader.tables("service")) {
        readService(*table, file);
    }
    reader.reportUnknown();
}

DeclarationLoader::Location DeclarationLoader::locate(std::string path) const
{
    while (!path.empty()) {
        const auto found = locations_.find(path);
        if (found != locations_.end()) {
            return found->second;
        }
        const size_t dot = path.rfind('.');
        path.resize(dot == std::string::npos ? 0 : dot);
    }
    return locations_.empty() ? Location{} : locations_.begin()->second;
}

bool DeclarationLoader::isReported(const std::string &path) const
{
    return std::any_of(findings_.begin(), findings_.end(), [&path](const Finding &finding) {
        return finding.message.starts_with(path + ": ");
    });
}

Declarations DeclarationLoader::finish()
{
    const ConfigProblems problems = checkDeclarations(declarations_);
    for (const ConfigProblem &problem : problems) {
        // The reader replaced a value that it reported, so problems of the replacement are
        // irrelevant.
        if (!isReported(problem.path)) {
            const Location location = locate(problem.path);
            findings_.push_back(
                    {location.file, location.line, problem.path + ": " + problem.message});
        }
    }
    return std::move(declarations_);
}

Declarations loadDeclarations(const std::string &folder, std::vector<Finding> &findings)
{
    std::error_code error;
    std::vector<std::string> files;
    for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
        if (entry.path().extension() == ".toml") {
            files.push_back(entry.path().string());
        }
    }
    if (error) {
        findings.push_back({folder, 1, "cannot read folder"});
    }
    std::sort(files.begin(), files.end());
    DeclarationLoader loader(findings);
    for (const std::string &file : files) {
        loader.parse(readTextFile(file, findings), file);
    }
    return loader.finish();
}

} // namespace wisteriahoist
