/** @file round_trip_test.cpp Declarations are unchanged after encoding and decoding. */

#include "adapter/codec/config_codec.h"
#include "adapter/codec/declaration_codec.h"
#include "adapter/settings/declaration_loader.h"
#include "adapter/settings/declaration_writer.h"
#include "decision/config/declaration_check.h"
#include "decision/config/declaration_diff.h"
#include "support/declarations.h"
#include "support/property.h"
#include "support/test_section.h"

using namespace wisteriahoist;
using namespace wisteriahoist::testing;

namespace {

std::string drawText(const std::string &letters, size_t most)
{
    const auto drawn = *rc::gen::container<std::string>(rc::gen::elementOf(letters));
    return drawn.substr(0, most);
}

KeySpaceDeclaration drawKeySpace()
{
    KeySpaceDeclaration keySpace;
    keySpace.place = *rc::gen::element(KeyPlace::PathSegment, KeyPlace::Header, KeyPlace::Query);
    if (keySpace.place == KeyPlace::PathSegment) {
        keySpace.segment = *rc::gen::inRange<uint32_t>(0, MaxPathSegment + 1);
    } else {
        keySpace.name = "k" + drawText("abc-\"\\'#=", 20);
    }
    keySpace.hashSeed = *rc::gen::inRange<uint64_t>(0, 1ULL << 63U);
    keySpace.initialSlices = *rc::gen::inRange<uint32_t>(1, MaxInitialSlices + 1);
    return keySpace;
}

RouteRule drawRoute(size_t index)
{
    RouteRule route;
    route.method = drawText("GETPOSU", MaxMethod);
    // The index comes first so that no route makes another one unreachable.
    route.pathPrefix = "/" + std::to_string(index) + "/" + drawText("ab/%\"\\'~", 40);
    route.keyed = *rc::gen::arbitrary<bool>();
    route.repetition = *rc::gen::element(Repetition::Idempotent, Repetition::MustNotRepeat);
    route.deadline = milliseconds(*rc::gen::inRange<int64_t>(1, MaxDeadline.count() + 1));
    route.queueTimeout = milliseconds(*rc::gen::inRange<int64_t>(0, route.deadline.count() + 1));
    route.missingKey = *rc::gen::element(MissingKey::Refuse, MissingKey::SingleAttempt);
    route.missingAge = *rc::gen::element(MissingAge::Refuse, MissingAge::FirstSending);
    return route;
}

Declarations drawDeclarations()
{
    Declarations declarations;
    const auto count = *rc::gen::inRange<size_t>(0, 5);
    for (size_t index = 0; index < count; ++index) {
        ServiceDeclaration service;
        service.name = "s" + std::to_string(index) + drawText("abc019-", 20);
        service.host = "h" + std::to_string(index) + "." + drawText("abc019-.", 20);
        service.grantMode = *rc::gen::element(GrantMode::Fenced, GrantMode::Unchecked);
        service.misrouted = *rc::gen::element(Misrouted::Forward, Misrouted::Redirect);
        service.priority = *rc::gen::element(
                MeasurePriority::Even, MeasurePriority::UnavailableTime, MeasurePriority::Churn);
        service.keySpace = drawKeySpace();
        const auto routes = *rc::gen::inRange<size_t>(1, 5);
        for (size_t route = 0; route < routes; ++route) {
            service.routes.push_back(drawRoute(route));
        }
        declarations.services.push_back(std::move(service));
    }
    return declarations;
}

} // namespace

Test(config_round_trip, schema)
{
    cr_assert(holds(11, []() {
        const Declarations declarations = drawDeclarations();
        const v1::Configuration message = encodeConfiguration(declarations);
        RC_ASSERT(checkConfigurationMessage(message).empty());
        v1::Configuration parsed;
        RC_ASSERT(parsed.ParseFromString(message.SerializeAsString()));
        RC_ASSERT(decodeConfiguration(parsed).services == declarations.services);
    }));
}

Test(config_round_trip, configuration_object)
{
    cr_assert(holds(12, []() {
        ConfigRecord record;
        record.declarations = drawDeclarations();
        record.declarations.version = *rc::gen::arbitrary<uint64_t>();
        const auto count = *rc::gen::inRange<uint64_t>(0, 5);
        for (uint64_t id = 1; id <= count; ++id) {
            record.recent.push_back({ConfigRequestId(id), id, *rc::gen::arbitrary<uint64_t>()});
        }
        const ConfigRecord decoded = decodeConfigRecord(encodeConfigRecord(record)).assume_value();
        RC_ASSERT(decoded.declarations.services == record.declarations.services);
        RC_ASSERT(decoded.declarations.version == record.declarations.version);
        RC_ASSERT(decoded.recent == record.recent);
    }));
}

Test(config_round_trip, exported_file)
{
    cr_assert(holds(13, []() {
        const Declarations declarations = drawDeclarations();
        RC_ASSERT(checkDeclarations(declarations).empty());
        const std::string text = writeDeclarations(declarations);
        std::vector<Finding> findings;
        DeclarationLoader loader(findings);
        loader.parse(text, "export.toml");
        const Declarations read = loader.finish();
        RC_ASSERT(findings.empty());
        RC_ASSERT(read.services == declarations.services);
        RC_ASSERT(diffDeclarations(declarations, read).empty());
    }));
}

Test(config_round_trip, unspecified_enumerations)
{
    v1::Configuration message;
    v1::Service *service = message.add_services();
    service->set_grant_mode(static_cast<v1::GrantMode>(9));
    service->add_routes();
    const ConfigProblems problems = checkConfigurationMessage(message);
    cr_assert(problems.size() == 3);
    cr_assert(problems[0].path == "services[0].grant_mode");
    cr_assert(problems[1].path == "services[0].key_space.place");
    cr_assert(problems[2].path == "services[0].routes[0].repetition");
    SECTION("an unknown field of a newer schema is refused instead of ignored")
    {
        v1::Configuration newer = encodeConfiguration(makeDeclarations("notes"));
        cr_assert(checkConfigurationMessage(newer).empty());
        v1::Service *entry = newer.mutable_services(0);
        entry->GetReflection()->MutableUnknownFields(entry)->AddVarint(900, 1);
        cr_assert(checkConfigurationMessage(newer).size() == 1);
    }
}
