/** @file admin_duty.cpp Operators' calls and backend servers' announcements, over HTTP/1.1. */

#include "duty/admin_duty.h"

#include <array>
#include <boost/json.hpp>

namespace wisteriahoist {

namespace {

const std::string RpcPrefix = "/wisteriahoist.v1.OperatorService/";
constexpr std::array<std::string_view, 2> Methods{"Apply", "Status"};

/** @return The announcement in @p text, or Malformed with the field at fault. */
Result<BackendInfo> parseAnnouncement(const std::string &text)
{
    boost::system::error_code error;
    const auto parsed = boost::json::parse(text, error);
    if (error || !parsed.is_object()) {
        return Failure{FailureCode::Malformed, "announcement is no JSON object"};
    }
    const auto &object = parsed.get_object();
    const auto *service = object.if_contains("service");
    const auto *ip = object.if_contains("ip");
    const auto *port = object.if_contains("port");
    const auto *slots = object.if_contains("slots");
    const auto *fenced = object.if_contains("fenced");
    const auto *draining = object.if_contains("draining");
    const bool complete = service && service->is_string() && ip && ip->is_string() && port
                          && port->is_int64() && slots && slots->is_int64();
    if (!complete) {
        return Failure{FailureCode::Malformed, "service, ip, port and slots are needed"};
    }
    BackendInfo info;
    info.service = service->get_string().c_str();
    info.ip = ip->get_string().c_str();
    info.port = static_cast<uint16_t>(port->get_int64());
    info.slots = static_cast<uint32_t>(slots->get_int64());
    info.grantMode = fenced && fenced->is_bool() && fenced->get_bool() ? GrantMode::Fenced
                                                                       : GrantMode::Unchecked;
    info.draining = draining && draining->is_bool() && draining->get_bool();
    return info;
}

} // namespace

AdminDuty::AdminDuty(asio::io_context &context, const std::string &ip, uint16_t port,
                     AdminLink &control)
    : control_(control), server_(std::make_shared<HttpServer>(
                                 context, ip, port, HttpLimits{}, [this](HttpRequest request) {
                                     return onRequest(std::move(request));
                                 }))
{ }

void AdminDuty::start()
{
    server_->start();
}

void AdminDuty::stop()
{
    server_->stop();
}

asio::awaitable<HttpResponse> AdminDuty::passOn(AdminCall call)
{
    Result<AdminReply> reply = co_await control_.call(std::move(call));
    if (!reply) {
        co_return makeProblemResponse({http::status::service_unavailable,
                                       failureName(reply.assume_error().code),
                                       reply.assume_error().context, milliseconds(1000)});
    }
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "application/x-protobuf");
    response.body() = std::move(reply.assume_value().body);
    co_return response;
}

asio::awaitable<HttpResponse> AdminDuty::onAnnounce(const HttpRequest &request)
{
    Result<BackendInfo> info = parseAnnouncement(request.body());
    if (!info) {
        co_return makeProblemResponse({http::status::bad_request,
                                       failureName(info.assume_error().code),
                                       info.assume_error().context});
    }
    AdminCall call;
    call.kind = AdminCall::Kind::Announce;
    call.backend = std::move(info.assume_value());
    co_return co_await passOn(std::move(call));
}

asio::awaitable<HttpResponse> AdminDuty::onRequest(HttpRequest request)
{
    const std::string target(request.target());
    if (request.method() != http::verb::post) {
        co_return makeProblemResponse({http::status::not_found, "not-found", target});
    }
    if (target == "/announce") {
        co_return co_await onAnnounce(request);
    }
    AdminCall call;
    call.body = request.body();
    for (const std::string_view method : Methods) {
        if (target == RpcPrefix + std::string(method)) {
            call.kind = AdminCall::Kind::Operator;
            call.method = method;
            co_return co_await passOn(std::move(call));
        }
    }
    co_return makeProblemResponse({http::status::not_found, "no-such-method", target});
}

} // namespace wisteriahoist
