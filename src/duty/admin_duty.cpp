/** @file admin_duty.cpp Operators' calls and backend servers' announcements, over HTTP/1.1. */

#include "duty/admin_duty.h"

#include "adapter/codec/rpc_codec.h"

#include <boost/json.hpp>

namespace wisteriahoist {

namespace {

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

HttpResponse makeFailureResponse(http::status status, const Failure &failure)
{
    return makeProblemResponse({status, failureName(failure.code), failure.context});
}

WallTime readWallClock()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

bool isJson(const HttpRequest &request)
{
    const auto type = request[http::field::content_type];
    return std::string_view(type.data(), type.size()).starts_with("application/json");
}

/** @return The call's request in protobuf form. */
Result<std::string> readBody(std::string_view method, const HttpRequest &request)
{
    if (isJson(request)) {
        return requestFromJson(method, request.body());
    }
    if (!isRequest(method, request.body())) {
        return Failure{FailureCode::Malformed, "request of " + std::string(method)};
    }
    return request.body();
}

} // namespace

AdminDuty::AdminDuty(asio::io_context &context, const std::string &ip, uint16_t port,
                     FleetKeys keys, AdminLink &control, const NodeTelemetry &telemetry)
    : control_(control), telemetry_(telemetry), ip_(ip), verifier_(std::move(keys), ReplayBounds()),
      server_(std::make_shared<HttpServer>(
              context, ip, port, HttpLimits{},
              [this](HttpRequest request) { return onRequest(std::move(request)); }))
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
        co_return makeFailureResponse(http::status::bad_request, info.assume_error());
    }
    // The backend server runs on this VM. Another address would hand this node's keys, and its
    // callers' requests, to a server that somebody else runs.
    if (info.assume_value().ip != ip_) {
        const Failure failure{FailureCode::Unauthorized,
                              "a backend server announces itself with this node's ip, " + ip_};
        co_return makeFailureResponse(http::status::forbidden, failure);
    }
    AdminCall call;
    call.kind = AdminCall::Kind::Announce;
    call.backend = std::move(info.assume_value());
    co_return co_await passOn(std::move(call));
}

Result<void> AdminDuty::authenticate(const HttpRequest &request)
{
    if (!verifier_.isEnabled()) {
        return boost::outcome_v2::success();
    }
    SignedCall call;
    call.method = "POST";
    call.target = std::string_view(request.target().data(), request.target().size());
    call.audience = ip_ + ":" + std::to_string(port());
    call.body = request.body();
    const auto field = request[boost::string_view(SignatureHeader.data(), SignatureHeader.size())];
    return verifier_.verify(call, std::string_view(field.data(), field.size()), readWallClock());
}

asio::awaitable<HttpResponse> AdminDuty::onOperator(std::string method, const HttpRequest &request)
{
    const Result<void> allowed = authenticate(request);
    if (!allowed) {
        const bool full = allowed.assume_error().code == FailureCode::Overloaded;
        co_return makeFailureResponse(full ? http::status::service_unavailable
                                           : http::status::unauthorized,
                                      allowed.assume_error());
    }
    Result<std::string> body = readBody(method, request);
    if (!body) {
        co_return makeFailureResponse(http::status::bad_request, body.assume_error());
    }
    AdminCall call;
    call.kind = AdminCall::Kind::Operator;
    call.method = method;
    call.body = std::move(body.assume_value());
    HttpResponse response = co_await passOn(std::move(call));
    if (response.result() == http::status::ok && isJson(request)) {
        Result<std::string> json = replyToJson(method, response.body());
        if (!json) {
            co_return makeFailureResponse(http::status::internal_server_error, json.assume_error());
        }
        response.set(http::field::content_type, "application/json");
        response.body() = std::move(json.assume_value());
    }
    co_return response;
}

HttpResponse AdminDuty::onGet(const std::string &target) const
{
    if (target == "/metrics") {
        return telemetry_.metricsPage();
    }
    if (target == "/healthz") {
        return telemetry_.healthPage();
    }
    if (target == "/readyz") {
        return telemetry_.readyPage();
    }
    return makeProblemResponse({http::status::not_found, "not-found", target});
}

asio::awaitable<HttpResponse> AdminDuty::onRequest(HttpRequest request)
{
    const std::string target(request.target());
    if (request.method() == http::verb::get) {
        co_return onGet(target);
    }
    if (request.method() != http::verb::post) {
        co_return makeProblemResponse({http::status::not_found, "not-found", target});
    }
    if (target == "/announce") {
        co_return co_await onAnnounce(request);
    }
    if (target.starts_with(OperatorServicePath)) {
        std::string method = target.substr(OperatorServicePath.size());
        if (isOperatorMethod(method)) {
            co_return co_await onOperator(std::move(method), request);
        }
    }
    co_return makeProblemResponse({http::status::not_found, "no-such-method", target});
}

} // namespace wisteriahoist
