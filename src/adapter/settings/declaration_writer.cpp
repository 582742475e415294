/** @file declaration_writer.cpp Writes declarations as a TOML file. */

#include "adapter/settings/declaration_writer.h"

#include "decision/config/declaration_diff.h"

#include <sstream>
#include <toml++/toml.h>

namespace wisteriahoist {

namespace {

/** Writes entries in the given, readable order; the library would sort them by name. */
class TomlWriter
{
public:
    void header(std::string_view text) { stream_ << text << '\n'; }
    void blankLine() { stream_ << '\n'; }
    void text(std::string_view key, std::string_view value)
    {
        // The library quotes and escapes the value.
        stream_ << key << " = " << toml::value<std::string>(std::string(value)) << '\n';
    }
    void number(std::string_view key, uint64_t value) { stream_ << key << " = " << value << '\n'; }
    void boolean(std::string_view key, bool value)
    {
        stream_ << key << " = " << (value ? "true" : "false") << '\n';
    }
    void duration(std::string_view key, milliseconds value)
    {
        stream_ << key << " = " << value.count() << '\n';
    }
    std::string str() const { return stream_.str(); }

private:
    std::ostringstream stream_;
};

void writeKeySpace(const KeySpaceDeclaration &keySpace, TomlWriter &writer)
{
    writer.header("[service.key_space]");
    writer.text("place", keyPlaceName(keySpace.place));
    if (keySpace.place == KeyPlace::PathSegment) {
        writer.number("segment", keySpace.segment);
    } else {
        writer.text("name", keySpace.name);
    }
    writer.number("hash_seed", keySpace.hashSeed);
    writer.number("initial_slices", keySpace.initialSlices);
}

void writeRoute(const RouteRule &route, TomlWriter &writer)
{
    writer.header("[[service.route]]");
    if (!route.method.empty()) {
        writer.text("method", route.method);
    }
    writer.text("path_prefix", route.pathPrefix);
    writer.boolean("keyed", route.keyed);
    writer.text("repetition", repetitionName(route.repetition));
    writer.duration("deadline_ms", route.deadline);
    writer.duration("patience_ms", route.queueTimeout);
    writer.text("missing_key", missingKeyName(route.missingKey));
    writer.text("missing_age", missingAgeName(route.missingAge));
}

void writeService(const ServiceDeclaration &service, TomlWriter &writer)
{
    writer.header("[[service]]");
    writer.text("name", service.name);
    writer.text("host", service.host);
    writer.text("grant_mode", grantModeName(service.grantMode));
    writer.text("misrouted", misroutedName(service.misrouted));
    writer.text("priority", priorityName(service.priority));
    writer.blankLine();
    writeKeySpace(service.keySpace, writer);
    for (const RouteRule &route : service.routes) {
        writer.blankLine();
        writeRoute(route, writer);
    }
}

} // namespace

std::string writeDeclarations(const Declarations &declarations)
{
    TomlWriter writer;
    bool first = true;
    for (const ServiceDeclaration &service : declarations.services) {
        if (!first) {
            writer.blankLine();
        }
        first = false;
        writeService(service, writer);
    }
    return writer.str();
}

} // namespace wisteriahoist
