/** @file operator_service.cpp The operators' calls, answered by the control duty. */

#include "duty/operator_service.h"

#include "adapter/codec/config_codec.h"
#include "adapter/codec/declaration_codec.h"
#include "adapter/codec/ownership_codec.h"
#include "core/hash_func.h"

#include <limits>

namespace wisteriahoist {

namespace {

const ConfigRequestId DryRunId(std::numeric_limits<uint64_t>::max()); ///< A dry run needs none.

/** Parses a request, has it answered and serializes the reply. */
template <typename Request, typename Handler>
asio::awaitable<std::string> answer(std::string body, Handler handler)
{
    Request request;
    if (!request.ParseFromString(body)) {
        co_return std::string();
    }
    const auto reply = co_await handler(std::move(request));
    co_return reply.SerializeAsString();
}

void encodeProblems(const ConfigProblems &problems,
                    google::protobuf::RepeatedPtrField<v1::Problem> &messages)
{
    for (const ConfigProblem &problem : problems) {
        encodeProblem(problem, *messages.Add());
    }
}

void encodeChanges(const std::vector<ConfigChange> &changes,
                   google::protobuf::RepeatedPtrField<v1::Change> &messages)
{
    for (const ConfigChange &change : changes) {
        encodeChange(change, *messages.Add());
    }
}

void encodeOutcome(const ConfigOutcome &outcome, v1::ApplyReply &reply)
{
    reply.set_stored_version(outcome.storedVersion);
    if (outcome.failure) {
        encodeFailure(*outcome.failure, *reply.add_problems());
        return;
    }
    reply.set_version(outcome.decision.version);
    reply.set_already_applied(outcome.decision.verdict == ConfigVerdict::AlreadyApplied);
    encodeProblems(outcome.decision.problems, *reply.mutable_problems());
    encodeChanges(outcome.decision.changes, *reply.mutable_changes());
}

/** Fills in the range of @p table that holds @p hash, and its owner. @pre The table has ranges. */
void explainRange(const SliceTable &table, KeyHash hash, v1::ExplainReply &reply)
{
    const Slice *slice = table.find(hash);
    const Slice *next = slice + 1;
    const bool isLast = slice == &table.slices().back();
    reply.set_range_first(slice->first.value());
    reply.set_range_last(isLast ? std::numeric_limits<uint64_t>::max() : next->first.value() - 1);
    reply.set_owner_node(slice->owner.value());
    reply.set_epoch(slice->epoch.value());
}

uint32_t countOwned(const AssignmentRecord &assignment, NodeId node)
{
    uint32_t owned = 0;
    for (const auto &[service, table] : assignment.services) {
        for (const Slice &slice : table.slices()) {
            owned += slice.owner == node ? 1 : 0;
        }
    }
    return owned;
}

} // namespace

asio::awaitable<std::string> OperatorService::call(std::string method, std::string body)
{
    if (method == "Apply") {
        co_return co_await answer<v1::ApplyRequest>(
                std::move(body), [this](auto request) { return apply(std::move(request)); });
    }
    if (method == "Diff") {
        co_return co_await answer<v1::DiffRequest>(
                std::move(body), [this](auto request) { return diff(std::move(request)); });
    }
    if (method == "Status") {
        co_return co_await answer<v1::StatusRequest>(
                std::move(body), [this](auto request) { return status(std::move(request)); });
    }
    if (method == "Explain") {
        co_return co_await answer<v1::ExplainRequest>(
                std::move(body), [this](auto request) { return explain(std::move(request)); });
    }
    if (method == "Export") {
        co_return co_await answer<v1::ExportRequest>(
                std::move(body), [this](auto request) { return exportStored(std::move(request)); });
    }
    if (method == "Drain") {
        co_return co_await answer<v1::DrainRequest>(
                std::move(body), [this](auto request) { return drain(std::move(request)); });
    }
    if (method == "ConfirmLost") {
        co_return co_await answer<v1::ConfirmLostRequest>(
                std::move(body), [this](auto request) { return confirmLost(std::move(request)); });
    }
    co_return std::string();
}

asio::awaitable<v1::ApplyReply> OperatorService::apply(v1::ApplyRequest request)
{
    v1::ApplyReply reply;
    reply.set_expected_version(request.expected_version());
    const ConfigProblems lost = checkConfigurationMessage(request.configuration());
    if (!lost.empty()) {
        encodeProblems(lost, *reply.mutable_problems());
        co_return reply;
    }
    ConfigRequest change = decodeApplyRequest(request);
    ConfigOutcome outcome;
    if (request.dry_run()) {
        change.id = change.id == ConfigRequestId(0) ? DryRunId : change.id;
        outcome = co_await writer_.dryRun(std::move(change), versionFloor());
    } else {
        outcome = co_await writer_.apply(std::move(change), versionFloor());
    }
    encodeOutcome(outcome, reply);
    co_return reply;
}

asio::awaitable<v1::DiffReply> OperatorService::diff(v1::DiffRequest request)
{
    v1::ApplyRequest wanted;
    wanted.mutable_configuration()->Swap(request.mutable_configuration());
    wanted.set_dry_run(true);
    v1::ApplyReply applied = co_await apply(std::move(wanted));
    v1::DiffReply reply;
    reply.set_stored_version(applied.stored_version());
    reply.mutable_changes()->Swap(applied.mutable_changes());
    reply.mutable_problems()->Swap(applied.mutable_problems());
    co_return reply;
}

asio::awaitable<v1::StatusReply> OperatorService::status(v1::StatusRequest request)
{
    v1::StatusReply reply;
    if (request.with_stored()) {
        Result<ConfigRecord> stored = co_await writer_.read();
        if (stored) {
            reply.set_stored_config_version(stored.assume_value().declarations.version);
        } else {
            encodeFailure(stored.assume_error(), *reply.add_problems());
        }
    }
    reply.set_node_id(member_.self().id.value());
    if (member_.term()) {
        reply.set_term(member_.term()->term.value());
        reply.set_coordinator_node(member_.term()->coordinator.value());
    }
    reply.set_config_version(member_.declarations().version);
    reply.set_refused_configs(member_.refusedConfigs());
    reply.set_assignment_version(member_.assignmentVersion().value());
    const auto left = std::chrono::duration_cast<milliseconds>(member_.leaseUntil() - clock_.now());
    reply.set_lease_left_ms(std::max<int64_t>(0, left.count()));
    for (const MemberInfo &info : member_.roster()) {
        *reply.add_roster() = encodeMember(info);
    }
    const v1::AssignmentObject assignment = encodeAssignmentMessage(member_.assignment());
    *reply.mutable_services() = assignment.services();
    reply.set_build(WISTERIAHOIST_VERSION);
    co_return reply;
}

asio::awaitable<v1::ExplainReply> OperatorService::explain(v1::ExplainRequest request)
{
    v1::ExplainReply reply;
    const Declarations &declarations = member_.declarations();
    const ServiceDeclaration *service = declarations.findService(request.service());
    reply.set_config_version(declarations.version);
    reply.set_assignment_version(member_.assignmentVersion().value());
    if (service == nullptr) {
        const Failure failure{FailureCode::NotFound, "no such service in force at this node"};
        encodeFailure(failure, *reply.add_problems());
        reply.mutable_problems(0)->set_path("service");
        co_return reply;
    }
    const KeyHash hash = hashKey(request.key(), service->keySpace.hashSeed);
    reply.set_key_hash(hash.value());
    const auto table = member_.assignment().services.find(service->name);
    if (table == member_.assignment().services.end() || table->second.empty()) {
        reply.set_reason(v1::EXPLAIN_REASON_NO_ASSIGNMENT);
        co_return reply;
    }
    explainRange(table->second, hash, reply);
    reply.set_reason(reply.owner_node() == InvalidNode.value()
                             ? v1::EXPLAIN_REASON_NO_OWNER
                             : v1::EXPLAIN_REASON_OWNER_NOT_IN_ROSTER);
    for (const MemberInfo &info : member_.roster()) {
        if (info.id.value() == reply.owner_node()) {
            *reply.mutable_owner() = encodeMember(info);
            reply.set_reason(v1::EXPLAIN_REASON_ASSIGNED);
        }
    }
    co_return reply;
}

asio::awaitable<v1::ExportReply> OperatorService::exportStored(v1::ExportRequest)
{
    v1::ExportReply reply;
    Result<ConfigRecord> stored = co_await writer_.read();
    if (!stored) {
        encodeFailure(stored.assume_error(), *reply.add_problems());
        co_return reply;
    }
    *reply.mutable_configuration() = encodeConfiguration(stored.assume_value().declarations);
    reply.set_version(stored.assume_value().declarations.version);
    co_return reply;
}

asio::awaitable<v1::ConfirmLostReply> OperatorService::confirmLost(v1::ConfirmLostRequest request)
{
    const Term known = member_.term() ? member_.term()->term : Term(0);
    Result<Term> confirmed = co_await lossConfirmer_.confirm(Term(request.term()), known,
                                                             request.confirmed_by());
    v1::ConfirmLostReply reply;
    if (confirmed) {
        reply.set_term(confirmed.assume_value().value());
    } else {
        encodeFailure(confirmed.assume_error(), *reply.add_problems());
    }
    co_return reply;
}

asio::awaitable<v1::DrainReply> OperatorService::drain(v1::DrainRequest request)
{
    draining_ = !request.cancel();
    v1::DrainReply reply;
    reply.set_draining(draining_);
    reply.set_owned_ranges(countOwned(member_.assignment(), member_.self().id));
    co_return reply;
}

} // namespace wisteriahoist
