/** @file soak_audit.cpp What callers and backend servers saw, and which promises that breaks. */

#include "soak/soak_audit.h"

#include "adapter/http/request_protocol.h"

#include <algorithm>
#include <array>

namespace wisteriahoist::soak {

namespace {

constexpr std::array<std::string_view, 17> Names{
        "sole-owner",      "rising-fence",    "at-most-once", "not-run-is-true", "own-answer",
        "known-request",   "attempt-limit",   "time-left",    "leaving",         "planned-work",
        "config-in-force", "config-not-back", "work-ends",    "recovery",        "crash-limit",
        "request-limit",   "memory-bound"};
constexpr size_t KeyCount = LastShardKey.value() + 1;
/** Work that goes on after its caller has left is a pattern from so many cases on. */
constexpr uint64_t LateWorkCases = 4;

/** @return The part of @p path up to its second slash: the prefix that a route is chosen by. */
std::string prefixOf(const std::string &path)
{
    return path.substr(0, path.find('/', 1) + 1);
}

} // namespace

std::string_view promiseName(Promise promise)
{
    return Names[static_cast<size_t>(promise)];
}

SoakAudit::SoakAudit(std::vector<std::string> serviceOfNode, AuditBounds bounds)
    : serviceOfNode_(std::move(serviceOfNode)), bounds_(bounds), leases_(KeyCount)
{ }

void SoakAudit::report(Promise promise, TimePoint now, const std::string &what)
{
    violations_.push_back({promise, now, what});
}

bool SoakAudit::isCalm(std::optional<size_t> node, TimePoint from, TimePoint until,
                       bool withCrashes) const
{
    return std::none_of(disturbances_.begin(), disturbances_.end(), [&](const Disturbance &one) {
        const bool concerns
                = (!node || !one.node || *one.node == *node) && (withCrashes || !one.crash);
        return concerns && one.from <= until && one.until + bounds_.settle >= from;
    });
}

void SoakAudit::onDisturbance(std::optional<size_t> node, TimePoint from, TimePoint until)
{
    disturbances_.push_back({node, from, until});
}

void SoakAudit::onRouted(const std::string &path, const std::string &service, TimePoint now)
{
    routings_[path].push_back({now, service});
}

// Leases.

void SoakAudit::onGranted(const std::string &backend, const KeySpan &span, Epoch fence,
                          TimePoint now, TimePoint until)
{
    const auto thawed = thawedAt_.find(nodeOf_[backend]);
    const bool excused = thawed != thawedAt_.end() && now - thawed->second <= bounds_.thaw;
    bool told = excused;
    for (uint32_t key = span.first.value(); key <= span.last.value(); ++key) {
        Lease &lease = leases_[key];
        const bool other = !lease.backend.empty() && lease.backend != backend;
        if (other && now < lease.until && !told) {
            report(Promise::SoleOwner, now,
                   "key " + std::to_string(key) + " given to " + backend + " while " + lease.backend
                           + " holds it");
            told = true;
        }
        if (other && fence <= lease.fence && !told) {
            report(Promise::RisingFence, now,
                   "key " + std::to_string(key) + " given to " + backend + " under fence "
                           + std::to_string(fence.value()) + ", not above that of "
                           + lease.backend);
            told = true;
        }
        lease.until = lease.backend == backend ? std::max(lease.until, until) : until;
        lease.backend = backend;
        lease.fence = std::max(lease.fence, fence);
    }
}

void SoakAudit::onReleased(const std::string &backend, const KeySpan &span)
{
    for (uint32_t key = span.first.value(); key <= span.last.value(); ++key) {
        if (leases_[key].backend == backend) {
            leases_[key].until = NeverTime;
        }
    }
}

void SoakAudit::onTerminated(const std::string &backend)
{
    onReleased(backend, {ShardKey(0), LastShardKey});
}

void SoakAudit::onCrashed(const std::string &backend, const platform::ArrivedRequest &request,
                          TimePoint now)
{
    CrashHistory &history = crashes_[identityOf(request)];
    if (++history.crashes == bounds_.crashes) {
        history.lastOfLimit = now;
    }
    disturbances_.push_back({nodeOf_[backend], now, now + bounds_.restart, true});
}

void SoakAudit::onDrainAcknowledged(const std::string &backend, TimePoint now)
{
    leavingSince_.emplace(backend, now);
}

// Requests.

void SoakAudit::onSent(const SentRequest &request)
{
    requests_[request.attempt].sent = request;
}

void SoakAudit::onRequestStarted(const std::string &backend, const std::string &service,
                                 const platform::ArrivedRequest &arrived, TimePoint now)
{
    const auto found = requests_.find(arrived.attempt);
    if (found == requests_.end()) {
        report(Promise::KnownRequest, now, "nobody sent " + arrived.attempt);
        return;
    }
    Request &request = found->second;
    ++request.runs;
    const SentRequest &sent = request.sent;
    if (arrived.method != sent.method || arrived.target != sent.path
        || arrived.callerService != serviceOfNode_[sent.node]) {
        report(Promise::KnownRequest, now,
               sent.attempt + " arrived as " + arrived.method + " " + arrived.target + " of "
                       + arrived.callerService);
    }
    if (request.runs > sent.maxAttempts) {
        report(Promise::AttemptLimit, now, sent.attempt + " ran once more than allowed");
    }
    const milliseconds left
            = std::chrono::duration_cast<milliseconds>(sent.at + sent.timeLimit - now);
    // A hop that a link has held up tells the time that was left when it was sent; the node beside
    // the backend server cannot know how long it was on its way.
    if (arrived.timeLeft > left + bounds_.timeLeft && isCalm(sent.node, sent.at, now)
        && isCalm(nodeOf_[backend], sent.at, now)) {
        report(Promise::TimeLeft, now,
               sent.attempt + " was given " + std::to_string(arrived.timeLeft.count()) + " ms of "
                       + std::to_string(left.count()));
    }
    const auto leaving = leavingSince_.find(backend);
    if (leaving != leavingSince_.end() && now > leaving->second + bounds_.leaving
        && isCalm(sent.node, sent.at, now)) {
        report(Promise::Leaving, now, sent.attempt + " ran at " + backend + ", which has left");
    }
    checkCrashLimit(sent, arrived, backend, now);
    checkRequestLimit(sent, backend, now);
    checkToldLeaving(sent, backend, now);
    checkRouting(request, service, now);
}

SoakAudit::RequestIdentity SoakAudit::identityOf(const platform::ArrivedRequest &request)
{
    return {request.method, request.target, request.callerService, request.key};
}

void SoakAudit::onNodeStarted(size_t node)
{
    seenPaths_[node].clear();
    for (auto &[backend, named] : limits_) {
        named.toldAt.erase(node);
    }
    forgetLeaving(node);
}

void SoakAudit::onNodeThawed(size_t node, TimePoint now)
{
    thawedAt_[node] = now;
    forgetLeaving(node);
}

/** What a node was told binds it until it is restarted or stopped for a while. */
void SoakAudit::forgetLeaving(size_t node)
{
    for (auto &[backend, told] : leavingToldAt_) {
        told.erase(node);
    }
}

void SoakAudit::checkToldLeaving(const SentRequest &sent, const std::string &backend, TimePoint now)
{
    const auto &told = leavingToldAt_[backend];
    const auto found = told.find(sent.node);
    if (found != told.end() && sent.at > found->second + bounds_.leaving) {
        report(Promise::Leaving, now,
               sent.attempt + " ran at " + backend
                       + ", which had said in an answer that it leaves");
    }
}

void SoakAudit::onLimitNamed(const std::string &backend, std::optional<double> limit, TimePoint now)
{
    if (limit) {
        limits_[backend] = {*limit, now, {}, {}};
    } else {
        limits_.erase(backend);
    }
}

void SoakAudit::checkRequestLimit(const SentRequest &sent, const std::string &backend,
                                  TimePoint now)
{
    const auto found = limits_.find(backend);
    if (found == limits_.end()) {
        return;
    }
    NamedLimit &named = found->second;
    const auto told = named.toldAt.find(sent.node);
    if (told == named.toldAt.end() || now < told->second + bounds_.told
        || now < named.since + bounds_.settle || !isCalm(sent.node, sent.at, now, false)) {
        return;
    }
    named.counted.push_back(now);
    while (now - named.counted.front() > bounds_.limitWindow) {
        named.counted.pop_front();
    }
    const double seconds = std::chrono::duration<double>(bounds_.limitWindow).count();
    const double most = bounds_.limitExcess * named.limit * seconds + bounds_.limitSlack;
    if (static_cast<double>(named.counted.size()) > most) {
        report(Promise::RequestLimit, now,
               backend + " got " + std::to_string(named.counted.size())
                       + " requests with a limit of " + std::to_string(named.limit) + " a second");
        named.counted.clear();
    }
}

void SoakAudit::checkCrashLimit(const SentRequest &sent, const platform::ArrivedRequest &arrived,
                                const std::string &backend, TimePoint now)
{
    const auto found = crashes_.find(identityOf(arrived));
    if (found == crashes_.end() || found->second.crashes < bounds_.crashes) {
        return;
    }
    CrashHistory &history = found->second;
    const bool late = sent.at > history.lastOfLimit + bounds_.settle;
    if (late && isCalm(sent.node, sent.at, now, false)
        && ++history.laterRuns > bounds_.runsAfterCrashes) {
        report(Promise::CrashLimit, now,
               sent.attempt + " reached " + backend + ", run " + std::to_string(history.laterRuns)
                       + " of a request that has crashed " + std::to_string(history.crashes));
    }
}

void SoakAudit::checkRouting(const Request &request, const std::string &service, TimePoint now)
{
    const SentRequest &sent = request.sent;
    const std::vector<Routing> &routings = routings_[prefixOf(sent.path)];
    bool allowed = false;
    bool everAllowed = false;
    for (size_t index = 0; index < routings.size(); ++index) {
        const bool replaced = index + 1 < routings.size()
                              && sent.at > routings[index + 1].at + bounds_.configApply;
        const bool same = routings[index].service == service;
        allowed = allowed || (same && !replaced);
        everAllowed = everAllowed || same;
    }
    if (!everAllowed) {
        report(Promise::ConfigInForce, now,
               sent.attempt + " ran at " + service + ", never allowed");
    } else if (!allowed && isCalm(sent.node, sent.at, now)) {
        report(Promise::ConfigInForce, now, sent.attempt + " ran at " + service + " as before");
    }
}

void SoakAudit::onRequestFinished(const std::string &attempt, TimePoint now, TimePoint planned)
{
    const auto found = requests_.find(attempt);
    if (found == requests_.end() || !found->second.answer || !found->second.answer->timedOut) {
        return;
    }
    const TimePoint due = found->second.endedAt + bounds_.workEnds;
    if (planned > due && isCalm(std::nullopt, found->second.sent.at, now)) {
        ++leftEarly_;
        endedLate_ += now > due ? 1 : 0;
    }
}

void SoakAudit::onAnswered(const std::string &attempt, const platform::CallerAnswer &answer,
                           TimePoint now)
{
    Request &request = requests_[attempt];
    request.answer = answer;
    request.endedAt = now;
    if (answer.status / 100 == 2) {
        ++answered_;
        if (answer.namesLeaving) {
            leavingToldAt_[answer.serverSeal].emplace(request.sent.node, now);
        }
        const auto limit = limits_.find(answer.serverSeal);
        if (answer.namesLimit && limit != limits_.end()) {
            limit->second.toldAt.emplace(request.sent.node, now);
        }
        seenPaths_[request.sent.node].emplace(prefixOf(request.sent.path), now);
    }
    checkAnswer(request, now);
    if (answer.status == 404) {
        checkNotFound(request, now);
    }
}

void SoakAudit::checkAnswer(const Request &request, TimePoint now)
{
    const platform::CallerAnswer &answer = *request.answer;
    const std::string &attempt = request.sent.attempt;
    const std::string begin = "ran " + attempt + " at ";
    if (!answer.answeredAttempt.empty() && answer.answeredAttempt != attempt) {
        report(Promise::OwnAnswer, now, attempt + " got the answer to " + answer.answeredAttempt);
    } else if (answer.status / 100 == 2
               && (answer.serverSeal.empty() || answer.body.compare(0, begin.size(), begin) != 0)) {
        report(Promise::OwnAnswer, now, attempt + " got as success: " + answer.body.substr(0, 80));
    }
}

void SoakAudit::checkNotFound(const Request &request, TimePoint now)
{
    const SentRequest &sent = request.sent;
    const std::vector<Routing> &routings = routings_[prefixOf(sent.path)];
    if (routings.empty()) {
        return;
    }
    const auto &seen = seenPaths_[sent.node];
    const auto served = seen.find(prefixOf(sent.path));
    if (served != seen.end() && sent.at > served->second + bounds_.configBack) {
        report(Promise::ConfigNotBack, now, sent.attempt + ": no route any more");
    } else if (sent.at > routings.front().at + bounds_.configApply
               && isCalm(sent.node, sent.at, now)) {
        report(Promise::ConfigInForce, now, sent.attempt + ": no route yet");
    }
}

/** Planned work alone has disturbed the fleet: nothing that was read may be cut or answered
 * falsely. */
void SoakAudit::checkCut(const Request &request)
{
    const platform::CallerAnswer &answer = *request.answer;
    const SentRequest &sent = request.sent;
    const bool cut = answer.status == 0 && !answer.timedOut && answer.sent;
    const bool broken = answer.status == 502 || answer.status == 504;
    const bool read = request.runs > 0 || request.endedAt - sent.at > bounds_.unread;
    if ((broken || (cut && read)) && isCalm(std::nullopt, sent.at, request.endedAt)) {
        report(Promise::PlannedWork, request.endedAt,
               sent.attempt + (cut ? " was cut" : " got " + std::to_string(answer.status))
                       + " with nothing but planned work; runs " + std::to_string(request.runs));
    }
}

void SoakAudit::onMemory(size_t node, uint64_t bytes, uint64_t bound, TimePoint now)
{
    if (bytes > bound && overBound_.insert(node).second) {
        report(Promise::MemoryBound, now,
               "node " + std::to_string(node) + " has " + std::to_string(bytes) + " bytes");
    }
}

void SoakAudit::onNotRecovered(const std::string &what, TimePoint now)
{
    report(Promise::Recovery, now, what);
}

void SoakAudit::finish(TimePoint now)
{
    for (const auto &[attempt, request] : requests_) {
        if (!request.sent.mayRepeat && request.runs > 1) {
            report(Promise::AtMostOnce, request.sent.at,
                   attempt + " ran " + std::to_string(request.runs) + " times");
        }
        if (!request.answer) {
            continue;
        }
        if (request.runs > 0 && impliesNotExecuted(request.answer->status)) {
            report(Promise::NotRunIsTrue, request.endedAt,
                   attempt + " got " + std::to_string(request.answer->status) + " and ran "
                           + std::to_string(request.runs) + " times");
        }
        checkCut(request);
    }
    if (endedLate_ >= LateWorkCases && endedLate_ * 4 > leftEarly_) {
        report(Promise::WorkEnds, now,
               std::to_string(endedLate_) + " of " + std::to_string(leftEarly_)
                       + " went on after their callers had left");
    }
}

} // namespace wisteriahoist::soak
