/** @file config_accept.cpp Decides whether a configuration change is accepted. */

#include "decision/config/config_accept.h"

#include "decision/config/declaration_check.h"
#include "decision/config/declaration_diff.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

bool isAllowed(const ConfigProblem &problem, const ConfigRequest &request)
{
    switch (problem.code) {
    case ConfigProblemCode::NeedsAllowDelete:
        return request.allowDelete;
    case ConfigProblemCode::NeedsAllowRehash:
        return request.allowRehash;
    case ConfigProblemCode::NeedsAllowUnfence:
        return request.allowUnfence;
    default:
        return false;
    }
}

ConfigDecision decideRepeated(const AcceptedRequest &earlier, uint64_t fingerprint)
{
    ConfigDecision decision;
    if (earlier.fingerprint != fingerprint) {
        decision.problems.push_back({ConfigProblemCode::RequestIdReused, "request_id",
                                     "the id was already used for version "
                                             + std::to_string(earlier.version)
                                             + " with different content"});
        return decision;
    }
    decision.verdict = ConfigVerdict::AlreadyApplied;
    decision.version = earlier.version;
    return decision;
}

/** @return All problems of @p request except those with its id. */
ConfigProblems findProblems(const ConfigRecord &stored, const ConfigRequest &request)
{
    ConfigProblems problems = checkDeclarations(request.declarations);
    const uint64_t version = stored.declarations.version;
    if (request.expectedVersion && *request.expectedVersion != version) {
        problems.push_back({ConfigProblemCode::VersionConflict, "expected_version",
                            "expected " + std::to_string(*request.expectedVersion) + ", stored "
                                    + std::to_string(version)});
    }
    for (ConfigProblem &guarded : findGuardedChanges(stored.declarations, request.declarations)) {
        if (!isAllowed(guarded, request)) {
            problems.push_back(std::move(guarded));
        }
    }
    return problems;
}

ConfigRecord makeRecord(const ConfigRecord &stored, const ConfigRequest &request, uint64_t version)
{
    ConfigRecord record;
    record.declarations = request.declarations;
    record.declarations.version = version;
    record.recent = stored.recent;
    record.recent.push_back({request.id, version, request.fingerprint});
    if (record.recent.size() > MaxRememberedRequests) {
        const size_t surplus = record.recent.size() - MaxRememberedRequests;
        record.recent.erase(record.recent.begin(),
                            record.recent.begin() + static_cast<std::ptrdiff_t>(surplus));
    }
    return record;
}

} // namespace

const AcceptedRequest *ConfigRecord::findRequest(ConfigRequestId id) const
{
    const auto found = std::find_if(recent.begin(), recent.end(),
                                    [id](const AcceptedRequest &entry) { return entry.id == id; });
    return found == recent.end() ? nullptr : &*found;
}

ConfigDecision decideChange(const ConfigRecord &stored, const ConfigRequest &request,
                            uint64_t floor)
{
    ConfigDecision decision;
    if (request.id == ConfigRequestId(0)) {
        decision.problems.push_back(
                {ConfigProblemCode::BadArgument, "request_id", "must be a number above 0"});
        return decision;
    }
    // Checked first: if the reply to the first call was lost, the repeated call finds the version
    // that the first one created, which would otherwise be reported as a conflict.
    if (const AcceptedRequest *earlier = stored.findRequest(request.id)) {
        return decideRepeated(*earlier, request.fingerprint);
    }
    decision.problems = findProblems(stored, request);
    decision.changes = diffDeclarations(stored.declarations, request.declarations);
    if (!decision.problems.empty()) {
        return decision;
    }
    const uint64_t version = stored.declarations.version;
    if (version > 0 && version >= floor && decision.changes.empty()) {
        decision.verdict = ConfigVerdict::Unchanged;
        decision.version = version;
        return decision;
    }
    decision.verdict = ConfigVerdict::Write;
    decision.version = std::max(version, floor) + 1;
    decision.record = makeRecord(stored, request, decision.version);
    return decision;
}

} // namespace wisteriahoist
