/** @file operator_output.cpp Output of the operator commands. */

#include "program/operator_output.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <iostream>

namespace wisteriahoist {

namespace {

/** @return A readable form of an enumerator's name: PROBLEM_CODE_TOO_LARGE becomes too-large. */
std::string readableName(std::string name, std::string_view prefix)
{
    if (name.starts_with(prefix)) {
        name.erase(0, prefix.size());
    }
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
        return letter == '_' ? '-' : static_cast<char>(std::tolower(letter));
    });
    return name;
}

const v1::MemberConfig *findConfig(const v1::StatusReply &reply, uint64_t node)
{
    for (const v1::MemberConfig &config : reply.member_configs()) {
        if (config.node_id() == node) {
            return &config;
        }
    }
    return nullptr;
}

void printMember(const v1::StatusReply &reply, const v1::Member &member)
{
    std::cout << "  node " << member.node_id() << "  " << member.address().ip() << ":"
              << member.address().admin_port() << "  " << member.failure_domain() << "  "
              << (member.service().empty() ? "no backend server" : member.service())
              << (member.draining() ? "  draining" : "");
    const v1::MemberConfig *config = findConfig(reply, member.node_id());
    if (config != nullptr && !config->reachable()) {
        std::cout << "  unreachable";
    } else if (config != nullptr) {
        const uint64_t newest = std::max(reply.stored_config_version(), reply.config_version());
        std::cout << "  configuration " << config->config_version()
                  << (config->config_version() < newest ? "  lags" : "");
    }
    std::cout << '\n';
}

} // namespace

void printJson(const google::protobuf::Message &message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    if (status.ok()) {
        std::cout << text << '\n';
    }
}

void printChanges(const google::protobuf::RepeatedPtrField<v1::Change> &changes)
{
    for (const v1::Change &change : changes) {
        switch (change.kind()) {
        case v1::CHANGE_KIND_ADDED:
            std::cout << "+ " << change.path() << "  " << change.after() << '\n';
            break;
        case v1::CHANGE_KIND_REMOVED:
            std::cout << "- " << change.path() << "  " << change.before() << '\n';
            break;
        default:
            std::cout << "~ " << change.path() << "  " << change.before() << " -> "
                      << change.after() << '\n';
        }
    }
}

void printStatus(const v1::StatusReply &reply)
{
    std::cout << "node " << reply.node_id() << "  build " << reply.build() << "\nterm "
              << reply.term() << "  coordinator " << reply.coordinator_node() << "  lease left "
              << reply.lease_left_ms() << " ms\nconfiguration " << reply.config_version()
              << "  stored ";
    if (reply.problems_size() > 0) {
        std::cout << "unknown (" << reply.problems(0).message() << ")";
    } else {
        std::cout << reply.stored_config_version();
    }
    std::cout << "  assignment " << reply.assignment_version() << "\nmembers "
              << reply.roster_size() << '\n';
    for (const v1::Member &member : reply.roster()) {
        printMember(reply, member);
    }
    for (const v1::ServiceAssignment &service : reply.services()) {
        const auto unowned
                = std::count_if(service.slices().begin(), service.slices().end(),
                                [](const v1::Slice &slice) { return slice.owner_node() == 0; });
        std::cout << "service " << service.service() << "  ranges " << service.slices_size()
                  << "  without owner " << unowned << '\n';
    }
}

void printExplanation(const v1::ExplainReply &reply)
{
    std::cout << "hash " << reply.key_hash() << "\nrange " << reply.range_first() << " to "
              << reply.range_last() << "\nowner ";
    if (reply.owner_node() == 0) {
        std::cout << "none";
    } else {
        std::cout << "node " << reply.owner_node();
    }
    if (reply.has_owner()) {
        std::cout << " at " << reply.owner().address().ip() << ":"
                  << reply.owner().address().caller_port() << " in "
                  << reply.owner().failure_domain();
    }
    std::cout << "\nepoch " << reply.epoch() << "\nreason "
              << readableName(v1::ExplainReason_Name(reply.reason()), "EXPLAIN_REASON_")
              << "\nassignment " << reply.assignment_version() << "  configuration "
              << reply.config_version() << '\n';
}

int reportProblems(const google::protobuf::RepeatedPtrField<v1::Problem> &problems)
{
    for (const v1::Problem &problem : problems) {
        std::cerr << readableName(v1::ProblemCode_Name(problem.code()), "PROBLEM_CODE_") << ": "
                  << problem.path() << (problem.path().empty() ? "" : ": ") << problem.message()
                  << '\n';
    }
    return problems.empty() ? ExitDone : ExitFailed;
}

int reportFailure(const Failure &failure)
{
    std::cerr << failureName(failure.code) << ": " << failure.context << '\n';
    return ExitFailed;
}

int reportFindings(const std::vector<Finding> &findings)
{
    for (const Finding &finding : findings) {
        std::cerr << formatFinding(finding) << '\n';
    }
    return findings.empty() ? ExitDone : ExitBadUsage;
}

} // namespace wisteriahoist
