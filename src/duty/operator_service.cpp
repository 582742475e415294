/** @file operator_service.cpp The operators' calls, answered by the control duty. */

#include "duty/operator_service.h"

#include "adapter/codec/declaration_codec.h"
#include "adapter/codec/ownership_codec.h"

namespace wisteriahoist {

namespace {

const std::string ConfigObject = "config";

} // namespace

asio::awaitable<std::string> OperatorService::call(std::string method, std::string body)
{
    if (method == "Apply") {
        v1::ApplyRequest request;
        if (!request.ParseFromString(body)) {
            co_return std::string();
        }
        const v1::ApplyReply reply = co_await apply(std::move(request));
        co_return reply.SerializeAsString();
    }
    if (method == "Status") {
        co_return status().SerializeAsString();
    }
    co_return std::string();
}

asio::awaitable<v1::ApplyReply> OperatorService::apply(v1::ApplyRequest request)
{
    v1::ApplyReply reply;
    const auto fail = [&reply](const Failure &failure) {
        v1::Problem *problem = reply.add_problems();
        problem->set_code(std::string(failureName(failure.code)));
        problem->set_message(failure.context);
        return reply;
    };
    Result<VersionedObject> stored = co_await platform_.read(ConfigObject);
    if (!stored) {
        co_return fail(stored.assume_error());
    }
    Declarations declarations = decodeConfiguration(request.configuration());
    Result<Declarations> current = decodeDeclarations(stored.assume_value().content);
    declarations.version = current ? current.assume_value().version + 1 : 1;
    Result<ObjectVersion> written = co_await platform_.write(
            ConfigObject, stored.assume_value().version, encodeDeclarations(declarations));
    if (!written) {
        co_return fail(written.assume_error());
    }
    reply.set_version(declarations.version);
    co_return reply;
}

v1::StatusReply OperatorService::status() const
{
    v1::StatusReply reply;
    reply.set_node_id(member_.self().id.value());
    if (member_.term()) {
        reply.set_term(member_.term()->term.value());
        reply.set_coordinator_node(member_.term()->coordinator.value());
    }
    reply.set_config_version(member_.declarations().version);
    reply.set_assignment_version(member_.assignmentVersion().value());
    const auto left = std::chrono::duration_cast<milliseconds>(member_.leaseUntil() - clock_.now());
    reply.set_lease_left_ms(std::max<int64_t>(0, left.count()));
    for (const MemberInfo &info : member_.roster()) {
        *reply.add_roster() = encodeMember(info);
    }
    const v1::AssignmentObject assignment = encodeAssignmentMessage(member_.assignment());
    *reply.mutable_services() = assignment.services();
    reply.set_build(WISTERIAHOIST_VERSION);
    return reply;
}

} // namespace wisteriahoist
