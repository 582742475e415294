/** @file sidecar_reports.cpp Heartbeats and deregistrations of the backend server beside a node. */

#include "adapter/clock/sleep_func.h"
#include "adapter/log/event_log.h"
#include "adapter/task/background_task.h"
#include "decision/member/report_check.h"
#include "program/sidecar_program.h"

#include <boost/asio/co_spawn.hpp>

namespace wisteriahoist {

namespace {

/** A backend server waits a second for an acknowledgement: until when it is given, and until when
 *  other nodes are asked to keep the record that the store doesn't have. */
constexpr milliseconds AcknowledgementTime{850};
constexpr milliseconds StoreWriteWait{250};
constexpr milliseconds RetryAfterNotKept{1000};
constexpr milliseconds KeepRenewInterval{1000};
/** A process that starts waits so long to learn of other nodes, after the store has answered. */
constexpr milliseconds MembersWait{1000};
/** A heartbeat waits so long for what an earlier process has left. */
constexpr milliseconds PredecessorWait{500};
constexpr milliseconds StartPollInterval{10};
/** A process that starts waits so long for the store before it asks the backend server. */
constexpr milliseconds StartStoreWait{300};
constexpr milliseconds StartHealthTimeout{300};
constexpr milliseconds StartHealthInterval{500};
constexpr milliseconds EvidencePollInterval{50};

} // namespace

asio::awaitable<HttpResponse> SidecarProgram::onReport(HttpRequest request)
{
    const TimePoint receivedAt = clock_.now();
    const Result<BackendCall> call = readReport(request);
    if (!call) {
        const Failure &failure = call.assume_error();
        const bool missing = failure.code == FailureCode::NotFound;
        if (reportLog_.tryTake(receivedAt)) {
            reportLog_.log({{"cause", failure.context}});
        }
        co_return makeProblemResponse(
                {missing ? http::status::not_found : http::status::bad_request,
                 failureName(failure.code), failure.context, milliseconds(0)});
    }
    const BackendReport &report = call.assume_value().report;
    const bool leaves = call.assume_value().isDeregistration;
    std::optional<GrantReply> order;
    if (!leaves) {
        order = co_await answerHeartbeat(report, receivedAt);
    } else {
        if (monitor_.onDeregister(report.backend, receivedAt)) {
            onBackendChange();
        }
        if (monitor_.isClaimed(report.backend, receivedAt)) {
            onDoubt(report.backend.text(), 0, "deregistration");
        }
        co_await awaitIdentity(report.backend, receivedAt + PredecessorWait);
    }
    if (leaves || report.state == BackendState::Draining) {
        const bool kept = co_await keepLeaving(report.backend);
        if (!kept) {
            logEvent(LogEvent::LeavingNotAcknowledged, {{"backend", report.backend.text()}});
            co_return makeProblemResponse({http::status::service_unavailable, "not-recorded",
                                           "That the backend server leaves is not recorded: the "
                                           "store and other nodes can't be reached.",
                                           RetryAfterNotKept});
        }
    }
    co_return ports_.makeReportAck(order);
}

asio::awaitable<bool> SidecarProgram::keepLeaving(BackendIncarnation backend)
{
    if (monitor_.isClaimed(backend, clock_.now())) {
        co_return false; // It may be the current one, which is not known yet.
    }
    const bool isCurrent
            = backend.id == monitor_.backend().id && monitor_.state() == BackendState::Draining;
    if (!isCurrent) {
        // Another one is current; the backend server itself has to say so.
        co_return !monitor_.isInDoubt(clock_.now());
    }
    const TimePoint end = clock_.now() + AcknowledgementTime;
    if (keptLeaving_ == monitor_.backend() || co_await awaitStoredLeaving(StoreWriteWait)) {
        co_return true;
    }
    MemberRecord record = describe();
    const bool kept = co_await keepers_.deposit(record);
    if (kept) {
        keptLeaving_ = record.backend;
        logEvent(LogEvent::LeavingKept, {{"backend", record.backend.text()}});
        asio::co_spawn(
                context_, [this]() { return renewKeptLeaving(); }, logFailureOf("kept leaving"));
        co_return true;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(end - clock_.now());
    co_return co_await awaitStoredLeaving(std::max(left, milliseconds(0)));
}

asio::awaitable<bool> SidecarProgram::awaitStoredLeaving(milliseconds longest)
{
    const auto isStored = [this](const MemberRecord &stored) {
        return stored.backend == monitor_.backend() && stored.state == BackendState::Draining;
    };
    co_return co_await publisher_.awaitStored(isStored, longest);
}

asio::awaitable<void> SidecarProgram::renewKeptLeaving()
{
    const BackendIncarnation backend = keptLeaving_;
    while (backend == monitor_.backend() && !co_await awaitStoredLeaving(KeepRenewInterval)) {
        (void)co_await keepers_.deposit(describe());
    }
}

/**
 * An acknowledgement of an earlier process still binds. Its record may not have reached the store;
 * other nodes have it then, unless they have ended as well.
 */
asio::awaitable<void> SidecarProgram::restore(std::optional<MemberRecord> earlier)
{
    storeAnswered_ = true;
    if (!earlier) {
        onPredecessorKnown();
        co_return;
    }
    applyEarlier(*earlier, "store");
    const TimePoint end = clock_.now() + MembersWait;
    while (view_.members().empty() && clock_.now() < end) {
        co_await sleepFor(StartPollInterval);
    }
    const KeptRecords kept = co_await keepers_.collect();
    for (const MemberRecord &record : kept.records) {
        applyEarlier(record, "node");
    }
    if (kept.complete) {
        onPredecessorKnown();
    } else {
        onLeavingUncertain("restarted-nodes", kept.witnesses);
    }
}

void SidecarProgram::onPredecessorKnown()
{
    if (!monitor_.isPredecessorKnown()) {
        monitor_.onPredecessorKnown();
        onBackendChange();
    }
}

void SidecarProgram::onLeavingUncertain(std::string_view cause, size_t witnesses)
{
    leavingUncertain_ = true;
    if (!monitor_.isPredecessorKnown()) {
        logEvent(LogEvent::LeavingUncertain, {{"cause", cause}, {"witnesses", witnesses}});
    }
}

asio::awaitable<void> SidecarProgram::ruleOutLeaving()
{
    TimePoint nextCheck = NeverTime;
    while (!monitor_.isPredecessorKnown()) {
        const bool late = !storeAnswered_ && clock_.now() - startedAt_ >= StartStoreWait;
        if (late && !evidence_.sawStoreOutage()) {
            evidence_.onStoreOutage();
            onLeavingUncertain("store", 0);
        }
        if (leavingUncertain_ && monitor_.hasReported()) {
            co_await collectEvidence(nextCheck);
        }
        co_await sleepFor(EvidencePollInterval);
    }
}

asio::awaitable<void> SidecarProgram::collectEvidence(TimePoint &nextCheck)
{
    const bool mayStay = monitor_.state() == BackendState::Absent;
    if (mayStay && !evidence_.isHealthy(monitor_.backend()) && clock_.now() >= nextCheck) {
        const BackendStatus status = co_await ports_.backend.pollOnce(StartHealthTimeout);
        nextCheck = clock_.now() + StartHealthInterval;
        if (status.answered && status.healthy) {
            evidence_.onHealthy(status.backend);
        }
    }
    if (!monitor_.isPredecessorKnown() && evidence_.suffices(monitor_.backend())) {
        const auto waited = std::chrono::duration_cast<milliseconds>(clock_.now() - startedAt_);
        logEvent(LogEvent::LeavingRuledOut, {{"backend", monitor_.backend().text()},
                                             {"healthy", evidence_.isHealthy(monitor_.backend())},
                                             {"heartbeats", evidence_.reports()},
                                             {"after_ms", waited.count()}});
        // What the store and other nodes have is still applied when they answer.
        onPredecessorKnown();
    }
}

void SidecarProgram::applyEarlier(const MemberRecord &earlier, std::string_view source)
{
    crashes_.onOwnReports(earlier.crashes, clock_.now());
    if (earlier.requestLimit) {
        gate_.adoptLimit(earlier.backend, *earlier.requestLimit);
    }
    if (earlier.state != BackendState::Draining) {
        return;
    }
    if (monitor_.onDeregister(earlier.backend, clock_.now())) {
        logEvent(LogEvent::LeavingRestored,
                 {{"backend", earlier.backend.text()}, {"source", std::string(source)}});
        onBackendChange();
    } else {
        healthChecker_.wake();
    }
}

Result<BackendCall> SidecarProgram::readReport(const HttpRequest &request)
{
    Result<BackendCall> call = ports_.decodeReport(request);
    if (!call || call.assume_value().isDeregistration) {
        return call;
    }
    const LocalBackend local{settings_.backend.ip + ":" + std::to_string(settings_.backend.port),
                             lastRead_.service};
    const std::optional<Failure> refusal
            = checkReport(call.assume_value().report, monitor_.backend(), view_.routes(), local);
    if (refusal) {
        return *refusal;
    }
    return call;
}

asio::awaitable<std::optional<GrantReply>> SidecarProgram::answerHeartbeat(BackendReport report,
                                                                           TimePoint receivedAt)
{
    logIfIgnored(report, receivedAt);
    const bool isOther = monitor_.standingOf(report) == ReportStanding::OtherIncarnation;
    const bool changed = monitor_.onReport(report, receivedAt);
    if (changed) {
        onBackendChange();
    }
    if (monitor_.isNewest(report)) {
        evidence_.onReport(report, receivedAt);
    }
    if (isOther || monitor_.isClaimed(report.backend, receivedAt)) {
        onDoubt(report.backend.text(), report.sequence, "heartbeat");
    }
    const TimePoint end = receivedAt + PredecessorWait;
    while (!monitor_.isPredecessorKnown() && clock_.now() < end) {
        co_await sleepFor(StartPollInterval);
    }
    co_await awaitIdentity(report.backend, end);
    if (!report.holding || !monitor_.isNewest(report) || !ranges_.grantsByHeartbeat()
        || !monitor_.isPredecessorKnown()) {
        co_return std::nullopt;
    }
    const bool atOnce = changed || isOther || monitor_.state() != BackendState::Ready;
    co_return co_await ranges_.handleHeartbeat(std::move(*report.holding), atOnce, receivedAt);
}

asio::awaitable<void> SidecarProgram::awaitIdentity(BackendIncarnation backend, TimePoint end)
{
    while (monitor_.isClaimed(backend, clock_.now()) && clock_.now() < end) {
        co_await sleepFor(StartPollInterval);
    }
}

void SidecarProgram::onDoubt(const std::string &named, uint64_t sequence, std::string_view source)
{
    if (doubtLog_.tryTake(clock_.now())) {
        doubtLog_.log({{"named", named},
                       {"current", monitor_.backend().text()},
                       {"source", std::string(source)},
                       {"sequence", sequence}});
    }
    healthChecker_.wake();
}

void SidecarProgram::logIfIgnored(const BackendReport &report, TimePoint now)
{
    const ReportStanding standing = monitor_.standingOf(report);
    const bool leaves = report.state == BackendState::Draining;
    const bool ignored = standing == ReportStanding::Ended
                         || (standing == ReportStanding::Outdated && !leaves);
    if (ignored && ignoredReportLog_.tryTake(now)) {
        ignoredReportLog_.log({{"reported", report.backend.text()},
                               {"sequence", report.sequence},
                               {"current", monitor_.backend().text()},
                               {"standing", reportStandingName(standing)}});
    }
}

} // namespace wisteriahoist
