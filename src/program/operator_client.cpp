/** @file operator_client.cpp Command-line client of the operator service. */

#include "program/operator_client.h"

#include "adapter/codec/rpc_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace wisteriahoist {

HttpRequest makeOperatorCall(const FleetKeys &keys, const OperatorTarget &target,
                             const std::string &method, std::string body, WallTime now)
{
    const std::string path = std::string(OperatorServicePath) + method;
    HttpRequest message(http::verb::post, path, 11);
    message.set(http::field::content_type, "application/x-protobuf");
    message.body() = std::move(body);
    if (!keys.empty()) {
        SignedCall call;
        call.method = "POST";
        call.target = path;
        call.audience = target.ip + ":" + std::to_string(target.port);
        call.body = message.body();
        message.set(boost::string_view(SignatureHeader.data(), SignatureHeader.size()),
                    signCall(keys, call, now));
    }
    return message;
}

asio::awaitable<Result<std::string>>
OperatorClient::exchange(OperatorTarget target, std::string method, std::string body) const
{
    const auto executor = co_await asio::this_coro::executor;
    HttpClient client(executor, target.ip, target.port);
    const auto now = std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
    HttpRequest message = makeOperatorCall(keys_, target, method, std::move(body), now);
    Result<HttpResponse> answer = co_await client.exchange(std::move(message), timeout_);
    if (!answer) {
        co_return std::move(answer).as_failure();
    }
    HttpResponse &response = answer.assume_value();
    if (response.result() == http::status::ok) {
        co_return std::move(response.body());
    }
    const bool refused = response.result() == http::status::unauthorized;
    co_return Failure{refused ? FailureCode::Unauthorized : FailureCode::Malformed,
                      response.body()};
}

Result<void> OperatorClient::call(const std::string &method,
                                  const google::protobuf::Message &request,
                                  google::protobuf::Message &reply) const
{
    asio::io_context context;
    Result<std::string> answer = Failure{FailureCode::Unavailable, "not sent"};
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                answer = co_await exchange(target_, method, request.SerializeAsString());
            },
            asio::detached);
    context.run();
    if (!answer) {
        return std::move(answer).as_failure();
    }
    if (!reply.ParseFromString(answer.assume_value())) {
        return Failure{FailureCode::Malformed, "invalid reply of " + method};
    }
    return boost::outcome_v2::success();
}

std::vector<Result<v1::StatusReply>>
OperatorClient::queryAll(const google::protobuf::RepeatedPtrField<v1::Member> &roster) const
{
    asio::io_context context;
    std::vector<Result<v1::StatusReply>> replies(static_cast<size_t>(roster.size()),
                                                 Failure{FailureCode::Unavailable, "not sent"});
    for (int index = 0; index < roster.size(); ++index) {
        asio::co_spawn(
                context,
                [this, &roster, &replies, index]() -> asio::awaitable<void> {
                    const v1::NodeAddress &address = roster.at(index).address();
                    OperatorTarget target{address.ip(),
                                          static_cast<uint16_t>(address.admin_port())};
                    Result<std::string> answer
                            = co_await exchange(std::move(target), "Status", std::string());
                    Result<v1::StatusReply> &reply = replies[static_cast<size_t>(index)];
                    v1::StatusReply parsed;
                    if (!answer) {
                        reply = std::move(answer).as_failure();
                    } else if (parsed.ParseFromString(answer.assume_value())) {
                        reply = std::move(parsed);
                    }
                },
                asio::detached);
    }
    context.run();
    return replies;
}

} // namespace wisteriahoist
