/** @file operator_program.cpp The operator commands. */

#include "program/operator_program.h"

#include "adapter/codec/declaration_codec.h"
#include "adapter/settings/declaration_loader.h"
#include "adapter/settings/declaration_writer.h"
#include "adapter/settings/node_settings.h"

#include <chrono>
#include <iostream>
#include <random>
#include <thread>

namespace wisteriahoist {

namespace {

constexpr milliseconds CallTimeout{10000};
constexpr milliseconds MemberTimeout{1000};
constexpr milliseconds PollInterval{100};
constexpr uint32_t ApplyAttempts = 3;

using SteadyClock = std::chrono::steady_clock;

uint64_t randomRequestId()
{
    std::random_device device;
    std::uniform_int_distribution<uint64_t> ids(1);
    return ids(device);
}

bool mayHaveExecuted(const Failure &failure)
{
    return failure.code == FailureCode::Ambiguous || failure.code == FailureCode::DeadlineExceeded;
}

/**
 * Retries a call with an unknown outcome under the same request id; the node executes it once,
 * however often it arrives.
 */
Result<void> callApply(const OperatorClient &client, const v1::ApplyRequest &request,
                       v1::ApplyReply &reply)
{
    Result<void> called = client.call("Apply", request, reply);
    for (uint32_t count = 1; count < ApplyAttempts && !called; ++count) {
        if (!mayHaveExecuted(called.assume_error())) {
            break;
        }
        called = client.call("Apply", request, reply);
    }
    return called;
}

/** Fills in the configuration version that each member of the reply's roster has applied. */
void queryMembers(const OperatorClient &client, v1::StatusReply &reply)
{
    const auto answers = client.queryAll(reply.roster());
    reply.clear_member_configs();
    for (int index = 0; index < reply.roster_size(); ++index) {
        const Result<v1::StatusReply> &answer = answers[static_cast<size_t>(index)];
        v1::MemberConfig *config = reply.add_member_configs();
        config->set_node_id(reply.roster(index).node_id());
        config->set_reachable(answer.has_value());
        if (answer) {
            config->set_config_version(answer.assume_value().config_version());
        }
    }
}

/** @return Number of members that have not applied @p version or are unreachable. */
size_t countLagging(const v1::StatusReply &status, uint64_t version)
{
    size_t lagging = 0;
    for (const v1::MemberConfig &config : status.member_configs()) {
        lagging += !config.reachable() || config.config_version() < version ? 1 : 0;
    }
    return lagging;
}

int reportLagging(const v1::StatusReply &status, uint64_t version)
{
    for (const v1::MemberConfig &config : status.member_configs()) {
        if (!config.reachable()) {
            std::cerr << "node " << config.node_id() << ": unreachable\n";
        } else if (config.config_version() < version) {
            std::cerr << "node " << config.node_id() << ": still at version "
                      << config.config_version() << '\n';
        }
    }
    const Failure failure{FailureCode::DeadlineExceeded,
                          "version " + std::to_string(version)
                                  + " is accepted, but not yet applied by all members"};
    return reportFailure(failure);
}

/**
 * Waits until every member of the roster has applied @p version. It reads the roster again each
 * time, so that it waits for a lost member only until the coordinator has removed it.
 */
int waitUntilApplied(const OperatorOptions &options, uint64_t version, milliseconds bound)
{
    const OperatorClient client(options.target, options.keys, MemberTimeout);
    const auto start = SteadyClock::now();
    v1::StatusReply status;
    while (SteadyClock::now() - start < bound) {
        v1::StatusReply latest;
        if (client.call("Status", v1::StatusRequest(), latest)) {
            status = std::move(latest);
            queryMembers(client, status);
            if (status.roster_size() > 0 && countLagging(status, version) == 0) {
                const auto taken
                        = std::chrono::duration_cast<milliseconds>(SteadyClock::now() - start);
                std::cout << "applied by " << status.roster_size() << " nodes after "
                          << taken.count() << " ms\n";
                return ExitDone;
            }
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return reportLagging(status, version);
}

void printApplied(const v1::ApplyReply &reply, const ApplyOptions &apply)
{
    printChanges(reply.changes());
    if (apply.dryRun) {
        std::cout << "would be accepted as version " << reply.version() << '\n';
    } else {
        std::cout << "accepted as version " << reply.version() << '\n';
    }
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

int runDiff(const std::string &folder, const OperatorOptions &options)
{
    std::vector<Finding> findings;
    const Declarations declarations = loadDeclarations(folder, findings);
    if (!findings.empty()) {
        return reportFindings(findings);
    }
    v1::DiffRequest request;
    *request.mutable_configuration() = encodeConfiguration(declarations);
    v1::DiffReply reply;
    const OperatorClient client(options.target, options.keys, CallTimeout);
    const Result<void> called = client.call("Diff", request, reply);
    if (!called) {
        return reportFailure(called.assume_error());
    }
    if (options.format == OutputFormat::Json) {
        printJson(reply);
    } else {
        printChanges(reply.changes());
        std::cout << reply.changes_size() << " changes against version " << reply.stored_version()
                  << '\n';
    }
    return reportProblems(reply.problems());
}

int runApply(const std::string &folder, const OperatorOptions &options, const ApplyOptions &apply)
{
    std::vector<Finding> findings;
    const Declarations declarations = loadDeclarations(folder, findings);
    if (!findings.empty()) {
        return reportFindings(findings);
    }
    v1::ApplyRequest request;
    *request.mutable_configuration() = encodeConfiguration(declarations);
    request.set_request_id(randomRequestId());
    request.set_dry_run(apply.dryRun);
    request.set_allow_delete(apply.allowDelete);
    request.set_allow_rehash(apply.allowRehash);
    request.set_allow_unfence(apply.allowUnfence);
    if (apply.expectedVersion) {
        request.set_expected_version(*apply.expectedVersion);
    }
    v1::ApplyReply reply;
    const Result<void> called
            = callApply(OperatorClient(options.target, options.keys, CallTimeout), request, reply);
    if (!called) {
        return reportFailure(called.assume_error());
    }
    if (options.format == OutputFormat::Json) {
        printJson(reply);
    }
    if (reply.problems_size() > 0) {
        return reportProblems(reply.problems());
    }
    if (options.format == OutputFormat::Text) {
        printApplied(reply, apply);
    }
    if (apply.wait && !apply.dryRun) {
        return waitUntilApplied(options, reply.version(), apply.waitTimeout);
    }
    return ExitDone;
}

int runStatus(const OperatorOptions &options)
{
    v1::StatusRequest request;
    request.set_with_stored(true);
    v1::StatusReply reply;
    const Result<void> called = OperatorClient(options.target, options.keys, CallTimeout)
                                        .call("Status", request, reply);
    if (!called) {
        return reportFailure(called.assume_error());
    }
    queryMembers(OperatorClient(options.target, options.keys, MemberTimeout), reply);
    if (options.format == OutputFormat::Json) {
        printJson(reply);
    } else {
        printStatus(reply);
    }
    return ExitDone;
}

int runExplain(const std::string &service, const std::string &key, const OperatorOptions &options)
{
    v1::ExplainRequest request;
    request.set_service(service);
    request.set_key(key);
    v1::ExplainReply reply;
    const Result<void> called = OperatorClient(options.target, options.keys, CallTimeout)
                                        .call("Explain", request, reply);
    if (!called) {
        return reportFailure(called.assume_error());
    }
    if (options.format == OutputFormat::Json) {
        printJson(reply);
    } else if (reply.problems().empty()) {
        printExplanation(reply);
    }
    return reportProblems(reply.problems());
}

int runExport(const OperatorOptions &options)
{
    v1::ExportReply reply;
    const Result<void> called = OperatorClient(options.target, options.keys, CallTimeout)
                                        .call("Export", v1::ExportRequest(), reply);
    if (!called) {
        return reportFailure(called.assume_error());
    }
    if (options.format == OutputFormat::Json) {
        printJson(reply);
    } else if (reply.problems().empty()) {
        std::cout << "# Version " << reply.version() << ".\n"
                  << writeDeclarations(decodeConfiguration(reply.configuration()));
    }
    return reportProblems(reply.problems());
}

int runDrain(const OperatorOptions &options, const DrainOptions &drain)
{
    v1::DrainRequest request;
    request.set_cancel(drain.cancel);
    const OperatorClient client(options.target, options.keys, CallTimeout);
    const auto start = SteadyClock::now();
    v1::DrainReply reply;
    bool finished = false;
    while (!finished) {
        const Result<void> called = client.call("Drain", request, reply);
        if (!called) {
            return reportFailure(called.assume_error());
        }
        const bool late = SteadyClock::now() - start >= drain.waitTimeout;
        finished = !drain.wait || drain.cancel || reply.owned_ranges() == 0 || late;
        if (!finished) {
            std::this_thread::sleep_for(PollInterval);
        }
    }
    if (options.format == OutputFormat::Json) {
        printJson(reply);
    } else {
        std::cout << (reply.draining() ? "draining" : "serving") << "  ranges "
                  << reply.owned_ranges() << '\n';
    }
    if (drain.wait && !drain.cancel && reply.owned_ranges() > 0) {
        const Failure failure{FailureCode::DeadlineExceeded, "the node still owns ranges"};
        return reportFailure(failure);
    }
    return reportProblems(reply.problems());
}

int runConfirmLost(const OperatorOptions &options, uint64_t term, const std::string &confirmedBy)
{
    v1::ConfirmLostRequest request;
    request.set_term(term);
    request.set_confirmed_by(confirmedBy);
    v1::ConfirmLostReply reply;
    const Result<void> called = OperatorClient(options.target, options.keys, CallTimeout)
                                        .call("ConfirmLost", request, reply);
    if (!called) {
        return reportFailure(called.assume_error());
    }
    if (options.format == OutputFormat::Json) {
        printJson(reply);
    } else if (reply.problems().empty()) {
        std::cout << "confirmed up to term " << reply.term() << '\n';
    }
    return reportProblems(reply.problems());
}

int runKeygen(const std::string &id)
{
    std::cout << formatKey({id, randomBytes(FleetSecretBytes)});
    return ExitDone;
}

} // namespace wisteriahoist
