/** @file declaration_codec.cpp Converts declarations to and from protobuf. */

#include "adapter/codec/declaration_codec.h"

namespace wisteriahoist {

namespace {

v1::MeasurePriority encodePriority(MeasurePriority priority)
{
    switch (priority) {
    case MeasurePriority::Even:
        return v1::MEASURE_PRIORITY_UNSPECIFIED;
    case MeasurePriority::UnavailableTime:
        return v1::MEASURE_PRIORITY_UNAVAILABLE_TIME;
    case MeasurePriority::Churn:
        return v1::MEASURE_PRIORITY_CHURN;
    }
    return v1::MEASURE_PRIORITY_UNSPECIFIED;
}

MeasurePriority decodePriority(v1::MeasurePriority priority)
{
    switch (priority) {
    case v1::MEASURE_PRIORITY_UNAVAILABLE_TIME:
        return MeasurePriority::UnavailableTime;
    case v1::MEASURE_PRIORITY_CHURN:
        return MeasurePriority::Churn;
    default:
        return MeasurePriority::Even;
    }
}

v1::KeyPlace encodeKeyPlace(KeyPlace place)
{
    switch (place) {
    case KeyPlace::PathSegment:
        return v1::KEY_PLACE_PATH_SEGMENT;
    case KeyPlace::Header:
        return v1::KEY_PLACE_HEADER;
    case KeyPlace::Query:
        return v1::KEY_PLACE_QUERY;
    }
    return v1::KEY_PLACE_UNSPECIFIED;
}

KeyPlace decodeKeyPlace(v1::KeyPlace place)
{
    switch (place) {
    case v1::KEY_PLACE_HEADER:
        return KeyPlace::Header;
    case v1::KEY_PLACE_QUERY:
        return KeyPlace::Query;
    default:
        return KeyPlace::PathSegment;
    }
}

void encodeRoute(const RouteRule &rule, v1::Route &message)
{
    message.set_method(rule.method);
    message.set_path_prefix(rule.pathPrefix);
    message.set_keyed(rule.keyed);
    message.set_repetition(rule.repetition == Repetition::Idempotent
                                   ? v1::REPETITION_IDEMPOTENT
                                   : v1::REPETITION_MUST_NOT_REPEAT);
    message.set_deadline_ms(static_cast<uint32_t>(rule.deadline.count()));
    message.set_patience_ms(static_cast<uint32_t>(rule.queueTimeout.count()));
    message.set_single_attempt(rule.missingKey == MissingKey::SingleAttempt);
    message.set_assume_first_sending(rule.missingAge == MissingAge::FirstSending);
}

RouteRule decodeRoute(const v1::Route &message)
{
    RouteRule rule;
    rule.method = message.method();
    rule.pathPrefix = message.path_prefix();
    rule.keyed = message.keyed();
    rule.repetition = message.repetition() == v1::REPETITION_IDEMPOTENT ? Repetition::Idempotent
                                                                        : Repetition::MustNotRepeat;
    rule.deadline = milliseconds(message.deadline_ms());
    rule.queueTimeout = milliseconds(message.patience_ms());
    rule.missingKey = message.single_attempt() ? MissingKey::SingleAttempt : MissingKey::Refuse;
    rule.missingAge
            = message.assume_first_sending() ? MissingAge::FirstSending : MissingAge::Refuse;
    return rule;
}

void encodeService(const ServiceDeclaration &service, v1::Service &message)
{
    message.set_name(service.name);
    message.set_host(service.host);
    v1::KeySpace *keySpace = message.mutable_key_space();
    keySpace->set_place(encodeKeyPlace(service.keySpace.place));
    keySpace->set_name(service.keySpace.name);
    keySpace->set_segment(service.keySpace.segment);
    keySpace->set_hash_seed(service.keySpace.hashSeed);
    keySpace->set_initial_slices(service.keySpace.initialSlices);
    for (const RouteRule &rule : service.routes) {
        encodeRoute(rule, *message.add_routes());
    }
    message.set_grant_mode(encodeGrantMode(service.grantMode));
    message.set_redirect_misrouted(service.misrouted == Misrouted::Redirect);
    message.set_priority(encodePriority(service.priority));
}

ServiceDeclaration decodeService(const v1::Service &message)
{
    ServiceDeclaration service;
    service.name = message.name();
    service.host = message.host();
    service.keySpace.place = decodeKeyPlace(message.key_space().place());
    service.keySpace.name = message.key_space().name();
    service.keySpace.segment = message.key_space().segment();
    service.keySpace.hashSeed = message.key_space().hash_seed();
    service.keySpace.initialSlices = message.key_space().initial_slices();
    for (const v1::Route &route : message.routes()) {
        service.routes.push_back(decodeRoute(route));
    }
    service.grantMode = decodeGrantMode(message.grant_mode());
    service.misrouted = message.redirect_misrouted() ? Misrouted::Redirect : Misrouted::Forward;
    service.priority = decodePriority(message.priority());
    return service;
}

} // namespace

v1::GrantMode encodeGrantMode(GrantMode mode)
{
    return mode == GrantMode::Fenced ? v1::GRANT_MODE_FENCED : v1::GRANT_MODE_UNCHECKED;
}

GrantMode decodeGrantMode(v1::GrantMode mode)
{
    // Unspecified falls to the stricter rule.
    return mode == v1::GRANT_MODE_FENCED ? GrantMode::Fenced : GrantMode::Unchecked;
}

v1::Configuration encodeConfiguration(const Declarations &declarations)
{
    v1::Configuration message;
    for (const ServiceDeclaration &service : declarations.services) {
        encodeService(service, *message.add_services());
    }
    return message;
}

Declarations decodeConfiguration(const v1::Configuration &message)
{
    Declarations declarations;
    for (const v1::Service &service : message.services()) {
        declarations.services.push_back(decodeService(service));
    }
    return declarations;
}

std::string encodeDeclarations(const Declarations &declarations)
{
    v1::ConfigurationObject object;
    *object.mutable_configuration() = encodeConfiguration(declarations);
    object.set_version(declarations.version);
    return object.SerializeAsString();
}

Result<Declarations> decodeDeclarations(const std::string &bytes)
{
    v1::ConfigurationObject object;
    if (!object.ParseFromString(bytes)) {
        return Failure{FailureCode::Malformed, "invalid configuration object"};
    }
    Declarations declarations = decodeConfiguration(object.configuration());
    declarations.version = object.version();
    return declarations;
}

} // namespace wisteriahoist
