/** @file soak_audit.h What callers and backend servers saw, and which promises that breaks. */

#pragma once

#include "platform/standin/backend_server_type.h"
#include "platform/standin/caller_standin.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wisteriahoist::soak {

/** What the product promises; docs/design/soak.md has them in full. */
enum class Promise {
    SoleOwner,    ///< At no moment do two backend servers hold one key.
    RisingFence,  ///< A key goes to another life only under a higher fence.
    AtMostOnce,   ///< What may not be repeated runs once at most.
    NotRunIsTrue, ///< What was refused as "has not run" never ran and never will.
    OwnAnswer,    ///< A success is the whole answer of the backend server to this request.
    KnownRequest, ///< What runs was sent by a caller, unchanged, with its caller's service.
    AttemptLimit, ///< One attempt of a caller runs at no more backend servers than allowed.
    TimeLeft,     ///< A backend server is not given more time than the caller has left.
    Leaving,      ///< Nothing runs at a backend server for long after its leaving was acknowledged.
    PlannedWork,  ///< Planned work alone cuts no request.
    ConfigInForce, ///< A configuration is in force everywhere soon after it was written.
    ConfigNotBack, ///< A node does not go back to an older one.
    WorkEnds,      ///< Work ends soon after its caller has left.
    Recovery,      ///< Everything is served again soon after the last fault.
    CrashLimit,    ///< A request that has crashed several backend servers reaches hardly any more.
    RequestLimit,  ///< A backend server gets hardly more requests than the limit that it names.
    MemoryBound,   ///< A node's memory stays below a bound.
};

std::string_view promiseName(Promise promise);

/** One broken promise. */
struct Violation {
    Promise promise = Promise::SoleOwner;
    TimePoint at;
    std::string what;
};

/** A request as its caller sent it. */
struct SentRequest {
    std::string attempt;
    size_t node = 0; ///< Index of the node that it was sent to.
    std::string callerService;
    std::string method;
    std::string path;
    bool mayRepeat = false;
    uint32_t maxAttempts = 1;
    milliseconds timeLimit{0};
    TimePoint at;
};

/** Bounds that the promises are held to. */
struct AuditBounds {
    milliseconds settle{3000};      ///< A node counts as disturbed for so long after a fault.
    milliseconds leaving{2000};     ///< From the acknowledgement to the last request.
    milliseconds configApply{2000}; ///< From the store's answer to the last old decision.
    milliseconds configBack{250};   ///< From the first effect of a configuration on a node.
    milliseconds workEnds{500};     ///< From the caller's leaving to the end of the work.
    milliseconds timeLeft{500};     ///< That a backend server may be given too much.
    milliseconds thaw{300};         ///< Orders of a node that has just been woken don't count.
    milliseconds unread{200};       ///< A request cut sooner may have crossed the node's close.
    uint32_t crashes{3};            ///< After so many a request counts as one that crashes servers.
    uint32_t runsAfterCrashes{3};   ///< Later ones that it may still reach.
    milliseconds limitWindow{4000}; ///< In which the requests at a backend server are counted.
    double limitExcess{1.5};        ///< Times what its limit allows in that time.
    double limitSlack{5};           ///< Requests that are allowed beyond that.
    milliseconds told{500};         ///< A node knows a limit so long after an answer that named it.
    milliseconds restart{1500};     ///< From a crash to the next start of the backend server.
};

/**
 * Checks each promise on what was seen. Knows no process and no connection: the present time is an
 * argument, so that each check can be tested by itself.
 */
class SoakAudit final : public platform::BackendObserver
{
public:
    SoakAudit(std::vector<std::string> serviceOfNode, AuditBounds bounds = {});

    // What callers see.
    void onSent(const SentRequest &request);
    void onAnswered(const std::string &attempt, const platform::CallerAnswer &answer,
                    TimePoint now);

    // What backend servers see.
    void onGranted(const std::string &backend, const KeySpan &span, Epoch fence, TimePoint now,
                   TimePoint until) override;
    void onReleased(const std::string &backend, const KeySpan &span) override;
    void onRequestStarted(const std::string &backend, const std::string &service,
                          const platform::ArrivedRequest &request, TimePoint now) override;
    void onRequestFinished(const std::string &attempt, TimePoint now, TimePoint planned) override;
    void onDrainAcknowledged(const std::string &backend, TimePoint now) override;
    void onTerminated(const std::string &backend) override;
    void onCrashed(const std::string &backend, const platform::ArrivedRequest &request,
                   TimePoint now) override;

    // What is done to the fleet.
    /** @param node Empty: all nodes. */
    void onDisturbance(std::optional<size_t> node, TimePoint from, TimePoint until);
    void onNodeStarted(size_t node);
    /** The backend server names a limit from now on, in requests per second, or none any more. */
    void onLimitNamed(const std::string &backend, std::optional<double> limit, TimePoint now);
    void onNodeThawed(size_t node, TimePoint now);
    void onBackendStarted(const std::string &backend, size_t node) { nodeOf_[backend] = node; }
    /** Requests on @p path go to @p service from now on; in force everywhere within the bound. */
    void onRouted(const std::string &path, const std::string &service, TimePoint now);
    /** Node @p node uses @p bytes of memory. Each node is reported once. */
    void onMemory(size_t node, uint64_t bytes, uint64_t bound, TimePoint now);
    void onNotRecovered(const std::string &what, TimePoint now);

    /** Checks what can be told only at the end. */
    void finish(TimePoint now);

    const std::vector<Violation> &violations() const { return violations_; }
    uint64_t requests() const { return requests_.size(); }
    uint64_t answered() const { return answered_; }

private:
    struct Request {
        SentRequest sent;
        std::optional<platform::CallerAnswer> answer;
        TimePoint endedAt = NeverTime;
        uint32_t runs = 0;
    };
    struct Lease {
        std::string backend; ///< Empty: nobody holds the key.
        Epoch fence;         ///< Highest under which anybody has had it.
        TimePoint until = NeverTime;
    };
    struct Disturbance {
        std::optional<size_t> node;
        TimePoint from;
        TimePoint until;
        bool crash = false; ///< Only the node's backend server crashed, under a request.
    };
    /** What a request did, over all attempts of its callers. */
    struct CrashHistory {
        uint32_t crashes = 0;
        TimePoint lastOfLimit = NeverTime; ///< Of the crash after which few more runs are allowed.
        uint32_t laterRuns = 0;
    };
    /** A backend server that names a limit. */
    struct NamedLimit {
        double limit = 0; ///< Requests per second.
        TimePoint since;
        std::map<size_t, TimePoint> toldAt; ///< By node: its first answer that named the limit.
        std::deque<TimePoint> counted;      ///< Requests from nodes that were told.
    };
    /** What makes two attempts the same request: method, target, service of the caller, key. */
    using RequestIdentity = std::array<std::string, 4>;
    struct Routing {
        TimePoint at;
        std::string service;
    };

    void report(Promise promise, TimePoint now, const std::string &what);
    bool isCalm(std::optional<size_t> node, TimePoint from, TimePoint until,
                bool withCrashes = true) const;
    static RequestIdentity identityOf(const platform::ArrivedRequest &request);
    void checkRequestLimit(const SentRequest &sent, const std::string &backend, TimePoint now);
    void forgetLeaving(size_t node);
    void checkToldLeaving(const SentRequest &sent, const std::string &backend, TimePoint now);
    void checkCrashLimit(const SentRequest &sent, const platform::ArrivedRequest &arrived,
                         const std::string &backend, TimePoint now);
    void checkRouting(const Request &request, const std::string &service, TimePoint now);
    void checkAnswer(const Request &request, TimePoint now);
    void checkNotFound(const Request &request, TimePoint now);
    void checkCut(const Request &request);

    std::vector<std::string> serviceOfNode_;
    AuditBounds bounds_;
    std::map<std::string, Request> requests_;
    std::vector<Lease> leases_; ///< By key.
    std::vector<Disturbance> disturbances_;
    std::map<std::string, TimePoint> leavingSince_; ///< By backend server's life.
    std::map<std::string, size_t> nodeOf_;          ///< Of each backend server's life.
    std::map<size_t, TimePoint> thawedAt_;
    std::map<RequestIdentity, CrashHistory> crashes_;
    std::map<std::string, NamedLimit> limits_; ///< By backend server's life.
    /// By backend server's life and node: the first answer passed on that said it leaves.
    std::map<std::string, std::map<size_t, TimePoint>> leavingToldAt_;
    std::map<std::string, std::vector<Routing>> routings_;         ///< By path prefix.
    std::map<size_t, std::map<std::string, TimePoint>> seenPaths_; ///< Served by a node's life.
    std::set<size_t> overBound_; ///< Nodes whose memory has been reported.
    std::vector<Violation> violations_;
    uint64_t answered_ = 0;
    uint64_t leftEarly_ = 0; ///< Work whose caller left well before its end.
    uint64_t endedLate_ = 0; ///< Of these, what went on for too long.
};

} // namespace wisteriahoist::soak
