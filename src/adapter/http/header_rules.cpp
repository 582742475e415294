/** @file header_rules.cpp Selects the header fields that a proxy may forward. */

#include "adapter/http/header_rules.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

constexpr std::string_view ReservedPrefix = "wisteriahoist-";
/** Most bytes of a name or a value that http::fields holds. */
constexpr size_t MaxFieldBytes = 65533;

bool isTokenByte(char byte)
{
    constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z')
           || (byte >= 'A' && byte <= 'Z') || Symbols.find(byte) != std::string_view::npos;
}

bool isValueByte(char byte)
{
    constexpr unsigned char FirstVisible = 0x20;
    constexpr unsigned char Delete = 0x7f;
    const auto number = static_cast<unsigned char>(byte);
    return byte == '\t' || (number >= FirstVisible && number != Delete);
}

bool isConnectionField(http::field field)
{
    return field == http::field::connection || field == http::field::keep_alive
           || field == http::field::transfer_encoding || field == http::field::content_length
           || field == http::field::te || field == http::field::upgrade
           || field == http::field::proxy_connection || field == http::field::trailer
           || field == http::field::expect || field == http::field::proxy_authenticate
           || field == http::field::proxy_authorization;
}

bool isReservedField(beast::string_view name)
{
    return name.size() >= ReservedPrefix.size()
           && beast::iequals(name.substr(0, ReservedPrefix.size()), ReservedPrefix);
}

} // namespace

bool isValidField(std::string_view name, std::string_view value)
{
    return !name.empty() && name.size() <= MaxFieldBytes && value.size() <= MaxFieldBytes
           && std::all_of(name.begin(), name.end(), isTokenByte)
           && std::all_of(value.begin(), value.end(), isValueByte);
}

std::vector<ForwardedField> forwardableFields(const http::fields &fields)
{
    std::vector<std::string> listed;
    const auto connections = fields.equal_range(http::field::connection);
    for (auto field = connections.first; field != connections.second; ++field) {
        for (const auto &token : http::token_list(field->value())) {
            listed.emplace_back(token);
        }
    }
    std::vector<ForwardedField> forwarded;
    for (const auto &field : fields) {
        const auto isSame = [&field](const std::string &name) {
            return beast::iequals(name, field.name_string());
        };
        const bool isListed = std::any_of(listed.begin(), listed.end(), isSame);
        if (!isListed && !isConnectionField(field.name())
            && !isReservedField(field.name_string())) {
            forwarded.push_back({std::string(field.name_string()), std::string(field.value())});
        }
    }
    return forwarded;
}

bool hasAmbiguousFraming(const http::fields &fields)
{
    const size_t codings = fields.count(http::field::transfer_encoding);
    const size_t lengths = fields.count(http::field::content_length);
    const bool chunked
            = codings == 1 && beast::iequals(fields[http::field::transfer_encoding], "chunked");
    return lengths > 1 || (lengths > 0 && codings > 0) || (codings > 0 && !chunked);
}

} // namespace wisteriahoist
