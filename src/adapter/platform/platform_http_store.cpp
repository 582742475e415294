/** @file platform_http_store.cpp Client of the platform's object API over HTTP/1.1. */

#include "adapter/platform/platform_http_store.h"

#include <boost/json.hpp>
#include <charconv>

namespace wisteriahoist {

namespace {

Failure makeStatusFailure(const HttpResponse &response)
{
    switch (response.result()) {
    case http::status::precondition_failed:
        return {FailureCode::VersionConflict, "stored version differs from the expected one"};
    case http::status::payload_too_large:
        return {FailureCode::TooLarge, "object exceeds 1 MB"};
    case http::status::too_many_requests:
        return {FailureCode::RateLimited, "platform rate limit exceeded"};
    case http::status::service_unavailable:
        return {FailureCode::Unavailable, "platform unavailable"};
    default:
        return {FailureCode::Malformed,
                "unexpected status " + std::to_string(response.result_int())};
    }
}

/** @return The version in the ETag header; AbsentObject if there is none. */
ObjectVersion versionOf(const HttpResponse &response)
{
    const auto tag = response[http::field::etag];
    uint64_t value = 0;
    const std::string_view digits(tag.data(), tag.size());
    if (digits.size() < 2) {
        return AbsentObject;
    }
    std::from_chars(digits.data() + 1, digits.data() + digits.size() - 1, value);
    return ObjectVersion(value);
}

std::string quoteVersion(ObjectVersion version)
{
    return "\"" + std::to_string(version.value()) + "\"";
}

void setPrecondition(HttpRequest &request, ObjectVersion expected)
{
    if (expected == AbsentObject) {
        request.set(http::field::if_none_match, "*");
    } else {
        request.set(http::field::if_match, quoteVersion(expected));
    }
}

VersionedObject makeObject(HttpResponse response)
{
    if (response.result() == http::status::not_found) {
        return {AbsentObject, {}};
    }
    return {versionOf(response), std::move(response.body())};
}

bool isReadAnswer(const HttpResponse &response)
{
    return response.result() == http::status::ok || response.result() == http::status::not_found;
}

} // namespace

PlatformHttpStore::PlatformHttpStore(asio::any_io_executor executor, const std::string &ip,
                                     uint16_t port, milliseconds timeout)
    : client_(std::move(executor), ip, port), timeout_(timeout)
{ }

asio::awaitable<Result<HttpResponse>> PlatformHttpStore::send(HttpRequest request,
                                                              milliseconds timeout)
{
    ++callCount_;
    co_return co_await client_.exchange(std::move(request), timeout);
}

PlatformStore::Pending<VersionedObject> PlatformHttpStore::read(std::string name)
{
    auto response = co_await send(HttpRequest(http::verb::get, "/objects/" + name, 11), timeout_);
    if (!response) {
        co_return std::move(response).as_failure();
    }
    if (!isReadAnswer(response.assume_value())) {
        co_return makeStatusFailure(response.assume_value());
    }
    co_return makeObject(std::move(response.assume_value()));
}

PlatformStore::Pending<ObjectVersion>
PlatformHttpStore::write(std::string name, ObjectVersion expected, std::string content)
{
    HttpRequest request(http::verb::put, "/objects/" + name, 11);
    setPrecondition(request, expected);
    request.body() = std::move(content);
    auto response = co_await send(std::move(request), timeout_);
    if (!response) {
        co_return std::move(response).as_failure();
    }
    if (response.assume_value().result() != http::status::ok) {
        co_return makeStatusFailure(response.assume_value());
    }
    co_return versionOf(response.assume_value());
}

PlatformStore::Pending<ObjectVersion> PlatformHttpStore::remove(std::string name,
                                                                ObjectVersion expected)
{
    HttpRequest request(http::verb::delete_, "/objects/" + name, 11);
    setPrecondition(request, expected);
    auto response = co_await send(std::move(request), timeout_);
    if (!response) {
        co_return std::move(response).as_failure();
    }
    if (response.assume_value().result() != http::status::ok) {
        co_return makeStatusFailure(response.assume_value());
    }
    co_return AbsentObject;
}

PlatformStore::Pending<std::vector<std::string>> PlatformHttpStore::list(std::string prefix)
{
    auto response = co_await send(HttpRequest(http::verb::get, "/list/" + prefix, 11), timeout_);
    if (!response) {
        co_return std::move(response).as_failure();
    }
    if (response.assume_value().result() != http::status::ok) {
        co_return makeStatusFailure(response.assume_value());
    }
    boost::system::error_code error;
    const auto parsed = boost::json::parse(response.assume_value().body(), error);
    if (error || !parsed.is_array()) {
        co_return Failure{FailureCode::Malformed, "list response is not a JSON array"};
    }
    std::vector<std::string> names;
    for (const auto &name : parsed.get_array()) {
        if (name.is_string()) {
            names.emplace_back(name.get_string());
        }
    }
    co_return names;
}

PlatformStore::Pending<VersionedObject>
PlatformHttpStore::watch(std::string name, ObjectVersion known, milliseconds wait)
{
    HttpRequest request(http::verb::get, "/watch/" + name, 11);
    request.set("Known-Version", std::to_string(known.value()));
    request.set("Wait-Ms", std::to_string(wait.count()));
    auto response = co_await send(std::move(request), wait + timeout_);
    if (!response) {
        co_return std::move(response).as_failure();
    }
    if (!isReadAnswer(response.assume_value())) {
        co_return makeStatusFailure(response.assume_value());
    }
    co_return makeObject(std::move(response.assume_value()));
}

} // namespace wisteriahoist
