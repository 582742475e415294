/** @file config_codec.cpp Converts configuration types to and from the operators' schema. */

#include "adapter/codec/config_codec.h"

#include "adapter/codec/declaration_codec.h"
#include "core/hash_func.h"

namespace wisteriahoist {

namespace {

constexpr uint64_t FingerprintSeed = 1;

v1::ProblemCode encodeCode(ConfigProblemCode code)
{
    switch (code) {
    case ConfigProblemCode::BadArgument:
        return v1::PROBLEM_CODE_BAD_ARGUMENT;
    case ConfigProblemCode::TooLarge:
        return v1::PROBLEM_CODE_TOO_LARGE;
    case ConfigProblemCode::Duplicate:
        return v1::PROBLEM_CODE_DUPLICATE;
    case ConfigProblemCode::UnreachableRoute:
        return v1::PROBLEM_CODE_UNREACHABLE_ROUTE;
    case ConfigProblemCode::VersionConflict:
        return v1::PROBLEM_CODE_VERSION_CONFLICT;
    case ConfigProblemCode::NeedsAllowDelete:
        return v1::PROBLEM_CODE_NEEDS_ALLOW_DELETE;
    case ConfigProblemCode::NeedsAllowRehash:
        return v1::PROBLEM_CODE_NEEDS_ALLOW_REHASH;
    case ConfigProblemCode::NeedsAllowUnfence:
        return v1::PROBLEM_CODE_NEEDS_ALLOW_UNFENCE;
    case ConfigProblemCode::RequestIdReused:
        return v1::PROBLEM_CODE_REQUEST_ID_REUSED;
    }
    return v1::PROBLEM_CODE_UNSPECIFIED;
}

v1::ProblemCode encodeCode(FailureCode code)
{
    switch (code) {
    case FailureCode::BadArgument:
        return v1::PROBLEM_CODE_BAD_ARGUMENT;
    case FailureCode::NotFound:
        return v1::PROBLEM_CODE_NOT_FOUND;
    case FailureCode::VersionConflict:
        return v1::PROBLEM_CODE_VERSION_CONFLICT;
    case FailureCode::TooLarge:
        return v1::PROBLEM_CODE_TOO_LARGE;
    case FailureCode::RateLimited:
        return v1::PROBLEM_CODE_RATE_LIMITED;
    case FailureCode::Unavailable:
    case FailureCode::HistoryGone:
        return v1::PROBLEM_CODE_UNAVAILABLE;
    case FailureCode::Ambiguous:
        return v1::PROBLEM_CODE_AMBIGUOUS;
    case FailureCode::DeadlineExceeded:
        return v1::PROBLEM_CODE_DEADLINE_EXCEEDED;
    case FailureCode::Malformed:
        return v1::PROBLEM_CODE_MALFORMED;
    case FailureCode::Unauthorized:
        return v1::PROBLEM_CODE_UNAUTHORIZED;
    case FailureCode::Overloaded:
        return v1::PROBLEM_CODE_OVERLOADED;
    }
    return v1::PROBLEM_CODE_UNSPECIFIED;
}

bool hasUnknownFields(const v1::Configuration &message)
{
    v1::Configuration known = message;
    known.DiscardUnknownFields();
    return known.ByteSizeLong() != message.ByteSizeLong();
}

template <typename IsValid>
void checkEnum(int value, IsValid isValid, const std::string &path, ConfigProblems &problems)
{
    if (value == 0) {
        problems.push_back({ConfigProblemCode::BadArgument, path, "unspecified"});
    } else if (!isValid(value)) {
        problems.push_back({ConfigProblemCode::BadArgument, path,
                            "found " + std::to_string(value) + ", unknown to this node's schema"});
    }
}

} // namespace

std::string encodeConfigRecord(const ConfigRecord &record)
{
    v1::ConfigurationObject object;
    *object.mutable_configuration() = encodeConfiguration(record.declarations);
    object.set_version(record.declarations.version);
    for (const AcceptedRequest &entry : record.recent) {
        v1::AcceptedRequest *message = object.add_recent_requests();
        message->set_request_id(entry.id.value());
        message->set_version(entry.version);
        message->set_fingerprint(entry.fingerprint);
    }
    if (!record.recent.empty()) {
        object.set_request_id(record.recent.back().id.value());
    }
    return object.SerializeAsString();
}

Result<ConfigRecord> decodeConfigRecord(const std::string &bytes)
{
    v1::ConfigurationObject object;
    if (!object.ParseFromString(bytes)) {
        return Failure{FailureCode::Malformed, "invalid configuration object"};
    }
    ConfigRecord record;
    record.declarations = decodeConfiguration(object.configuration());
    record.declarations.version = object.version();
    for (const v1::AcceptedRequest &entry : object.recent_requests()) {
        record.recent.push_back(
                {ConfigRequestId(entry.request_id()), entry.version(), entry.fingerprint()});
    }
    return record;
}

ConfigRequest decodeApplyRequest(const v1::ApplyRequest &message)
{
    ConfigRequest request;
    request.declarations = decodeConfiguration(message.configuration());
    request.id = ConfigRequestId(message.request_id());
    // Equal messages have equal bytes, since the schema has no maps.
    request.fingerprint
            = hashKey(message.configuration().SerializeAsString(), FingerprintSeed).value();
    if (message.has_expected_version()) {
        request.expectedVersion = message.expected_version();
    }
    request.allowDelete = message.allow_delete();
    request.allowRehash = message.allow_rehash();
    request.allowUnfence = message.allow_unfence();
    return request;
}

ConfigProblems checkConfigurationMessage(const v1::Configuration &message)
{
    ConfigProblems problems;
    if (hasUnknownFields(message)) {
        problems.push_back({ConfigProblemCode::BadArgument, "",
                            "contains fields unknown to this node's schema"});
    }
    for (int index = 0; index < message.services_size(); ++index) {
        const v1::Service &service = message.services(index);
        const std::string path = "services[" + std::to_string(index) + "]";
        checkEnum(service.grant_mode(), v1::GrantMode_IsValid, path + ".grant_mode", problems);
        checkEnum(service.key_space().place(), v1::KeyPlace_IsValid, path + ".key_space.place",
                  problems);
        for (int route = 0; route < service.routes_size(); ++route) {
            checkEnum(service.routes(route).repetition(), v1::Repetition_IsValid,
                      path + ".routes[" + std::to_string(route) + "].repetition", problems);
        }
    }
    return problems;
}

void encodeProblem(const ConfigProblem &problem, v1::Problem &message)
{
    message.set_code(encodeCode(problem.code));
    message.set_path(problem.path);
    message.set_message(problem.message);
}

void encodeFailure(const Failure &failure, v1::Problem &message)
{
    message.set_code(encodeCode(failure.code));
    message.set_message(failure.context);
}

void encodeChange(const ConfigChange &change, v1::Change &message)
{
    switch (change.kind) {
    case ConfigChangeKind::Added:
        message.set_kind(v1::CHANGE_KIND_ADDED);
        break;
    case ConfigChangeKind::Removed:
        message.set_kind(v1::CHANGE_KIND_REMOVED);
        break;
    case ConfigChangeKind::Changed:
        message.set_kind(v1::CHANGE_KIND_CHANGED);
        break;
    }
    message.set_path(change.path);
    message.set_before(change.before);
    message.set_after(change.after);
}

} // namespace wisteriahoist
