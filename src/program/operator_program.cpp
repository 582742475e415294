/** @file operator_program.cpp The operators' commands. */

#include "program/operator_program.h"

#include "adapter/codec/declaration_codec.h"
#include "adapter/http/http_client.h"
#include "adapter/settings/declaration_loader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <random>

namespace wisteriahoist {

namespace {

constexpr milliseconds CallTimeout{10000};

/** Makes one call of the operators' service and waits for its reply. */
template <typename Request, typename Reply>
Result<Reply> callService(const OperatorTarget &target, const std::string &method,
                          const Request &request)
{
    asio::io_context context;
    HttpClient client(context.get_executor(), target.ip, target.port);
    HttpRequest message(http::verb::post, "/wisteriahoist.v1.OperatorService/" + method, 11);
    message.set(http::field::content_type, "application/x-protobuf");
    message.body() = request.SerializeAsString();
    Result<HttpResponse> answer = Failure{FailureCode::Unavailable, "not sent"};
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                answer = co_await client.exchange(std::move(message), CallTimeout);
            },
            [](const std::exception_ptr &) {});
    context.run();
    if (!answer) {
        return std::move(answer).as_failure();
    }
    Reply reply;
    if (answer.assume_value().result() != http::status::ok
        || !reply.ParseFromString(answer.assume_value().body())) {
        return Failure{FailureCode::Malformed, answer.assume_value().body()};
    }
    return reply;
}

int reportFailure(const Failure &failure)
{
    std::cerr << failureName(failure.code) << ": " << failure.context << '\n';
    return 1;
}

int reportFindings(const std::vector<Finding> &findings)
{
    for (const Finding &finding : findings) {
        std::cerr << formatFinding(finding) << '\n';
    }
    return findings.empty() ? 0 : 2;
}

} // namespace

int runCheck(const std::string &folder)
{
    std::vector<Finding> findings;
    const Declarations declarations = loadDeclarations(folder, findings);
    if (findings.empty()) {
        std::cout << declarations.services.size() << " services, no findings\n";
    }
    return reportFindings(findings);
}

int runApply(const std::string &folder, const OperatorTarget &target)
{
    std::vector<Finding> findings;
    const Declarations declarations = loadDeclarations(folder, findings);
    if (!findings.empty()) {
        return reportFindings(findings);
    }
    v1::ApplyRequest request;
    *request.mutable_configuration() = encodeConfiguration(declarations);
    request.set_request_id(std::random_device{}());
    const auto reply = callService<v1::ApplyRequest, v1::ApplyReply>(target, "Apply", request);
    if (!reply) {
        return reportFailure(reply.assume_error());
    }
    for (const v1::Problem &problem : reply.assume_value().problems()) {
        std::cerr << problem.code() << ": " << problem.message() << '\n';
    }
    if (reply.assume_value().problems_size() > 0) {
        return 1;
    }
    std::cout << "accepted as version " << reply.assume_value().version() << '\n';
    return 0;
}

int runStatus(const OperatorTarget &target)
{
    const auto reply = callService<v1::StatusRequest, v1::StatusReply>(target, "Status",
                                                                       v1::StatusRequest());
    if (!reply) {
        return reportFailure(reply.assume_error());
    }
    std::cout << reply.assume_value().DebugString();
    return 0;
}

} // namespace wisteriahoist
