/** @file backend_gate.h Final admission before the backend server beside this node. */

#pragma once

#include "adapter/http/http_client.h"
#include "adapter/http/request_protocol.h"
#include "adapter/log/rate_limited_event.h"
#include "adapter/metrics/metric_type.h"
#include "decision/member/backend_monitor.h"
#include "decision/request/admission_control.h"
#include "decision/request/circuit_breaker.h"
#include "decision/request/cold_start_limiter.h"
#include "decision/request/crash_ledger.h"
#include "decision/request/request_rate_limiter.h"
#include "decision/request/sent_attempts.h"
#include "decision/routing/evacuation_table.h"
#include "duty/gate_message.h"
#include "port/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <optional>

namespace wisteriahoist {

/** Another node that owns a key. */
struct KeyOwner {
    NodeId node;
    Epoch fence; ///< Fencing token of its ownership; an older table has a lower one.
};

/** Ownership of keys by this node, as the gate needs it; also records the cost of each key. */
class KeyOwnership
{
public:
    virtual ~KeyOwnership() = default;

    /** @return None if a request for @p key may be sent at @p now; NotOwner if the key is being
     *          handed over or belongs to another node; NoLease if no node can serve it soon. */
    virtual RequestEnd check(ShardKey key, TimePoint now) const = 0;

    /** @return The owner of @p key by the newest table known here; nullopt if it is this node or
     *          there is none. */
    virtual std::optional<KeyOwner> ownerOf(ShardKey key) const = 0;

    /** A request for @p key kept a slot busy, or would have done so if it had been admitted. */
    virtual void recordBusyTime(ShardKey key, Duration busy, TimePoint now) = 0;

    /** @return Mean number of slots that keyed requests required during the last seconds. */
    virtual double demand(TimePoint now) = 0;

    /** @return Whether this node must not be given any more keys. */
    virtual bool isLeaving() const = 0;
};

/**
 * Admits requests, runs them at the backend server and returns complete responses. It is the only
 * path to the backend server, so a request that it refuses has provably not run. Used by one
 * thread.
 */
class BackendGate
{
public:
    BackendGate(asio::io_context &context, const Clock &clock, const RequestProtocol &protocol,
                const std::string &ip, uint16_t port, BackendMonitor &monitor,
                KeyOwnership &ownership, CrashLedger &crashes,
                std::shared_ptr<ResponseBudget> responseMemory = nullptr);

    /** Runs one request or refuses it. @param request Must exist until it has ended. */
    asio::awaitable<v1::HopReply> run(const v1::HopRequest &request);

    /** The caller of a request has disconnected: removes it from the queue or cancels it. */
    void cancel(uint64_t originNode, uint64_t requestId);

    /** Applies the monitor's state after a report. */
    void onBackendChange();

    /** @param action Called when the limit that the backend server names has changed. */
    void onLimitChange(std::function<void()> action) { limitChanged_ = std::move(action); }

    /** Keeps to @p limit, which @p backend had named before this process was started, until it
     *  answers. */
    void adoptLimit(const BackendIncarnation &backend, double limit);

    /** Sets what the backend server may get while it is cold. */
    void setColdLimits(const ColdStartLimits &limits);

    /** @param phase Returns whether the failure domain of this node is evacuated at a time. */
    void setEvacuationPhase(std::function<EvacuationPhase(TimePoint)> phase)
    {
        evacuationPhase_ = std::move(phase);
    }

    /** The failure domain of this node is evacuated: rejects the requests that wait and have no
     *  key, so that other nodes serve them. */
    void onEvacuated();

    /** @return The limit in requests per second that the backend server names, in steps. */
    std::optional<double> publishedLimit() const;

    uint64_t coldRefused() const { return coldRefused_; }
    uint64_t sentAgain() const { return sentAgain_; }
    uint64_t rateLimited() const { return rateLimited_; }
    uint64_t malformedLimits() const { return malformedLimits_; }

    /** @param action Called when this node has something new to tell about crashes. */
    void onCrashReport(std::function<void()> action) { crashReported_ = std::move(action); }

    /**
     * This node stops soon: from now on requests without a key are refused, since other nodes can
     * serve them. Requests with a key are still admitted while this node owns the key.
     */
    void rejectKeyless() { rejectsKeyless_ = true; }

    /** The process stops, and ends at @p end at the latest: refuses requests that may run beyond
     *  it. */
    void setShutdownDeadline(TimePoint end);

    /** Rejects the requests that wait and may outlast the process: they will not be sent. */
    void rejectOutlasting(TimePoint now);

    /** @return Whether a request with @p deadline may still be running when the process ends. */
    bool mayOutlive(TimePoint deadline, TimePoint now) const;

    /** @param action Called when requests show that the backend server's state has changed. */
    void onMonitorChange(std::function<void()> action) { monitorChanged_ = std::move(action); }

    /** @param action Called with the id that an answer has named, if it is not the current one's;
     *         empty: a request was rejected without a name. */
    void onOtherNamed(std::function<void(const std::string &)> action)
    {
        otherNamed_ = std::move(action);
    }

    /** @param action Called when a connection to the backend server was refused or lost. */
    void onConnectionFailure(std::function<void()> action)
    {
        connectionFailed_ = std::move(action);
    }

    /** @param duration Observes the seconds that each answered request took there. */
    void observeWith(Histogram &duration) { duration_ = &duration; }

    v1::BackendLoad load(TimePoint now);

    size_t openRequests() const { return calls_.size(); }
    const AdmissionControl &admission() const { return admission_; }

private:
    struct Call {
        explicit Call(asio::io_context &context) : timer(context) { }
        asio::steady_timer timer; ///< Runs while the request waits for a slot.
        std::shared_ptr<ExchangeControl> control = std::make_shared<ExchangeControl>();
        TimePoint deadline;
        RequestFingerprint fingerprint;
        bool keyed = false;
        bool granted = false;
        bool cancelled = false;
    };
    /** A request that got no answer while it may have been running. */
    struct LostRun {
        RequestFingerprint fingerprint;
        std::string attemptId;
        BackendIncarnation backend;
        TimePoint suspectUntil; ///< It is a suspect if the incarnation ends until then.
    };
    /** The stop of this process. */
    struct Shutdown {
        TimePoint late; ///< From here on only requests that must end before it are sent.
        TimePoint end;  ///< Latest end of the process.
    };
    using CallId = std::pair<uint64_t, uint64_t>; ///< Originating node and its request id.

    RequestEnd check(const v1::HopRequest &request, const Call &call, TimePoint now) const;
    bool isWorking() const;
    bool isClosedByEvacuation(bool keyed, TimePoint now) const;
    void fillRefusal(const v1::HopRequest &request, const Call &call, RequestStage stage,
                     RequestEnd refusal, v1::HopReply &reply) const;
    void nameOwner(const v1::HopRequest &request, v1::HopReply &reply) const;
    asio::awaitable<RequestEnd> awaitSlot(const v1::HopRequest &request, std::shared_ptr<Call> call,
                                          v1::HopReply &reply);
    asio::awaitable<void> serve(const v1::HopRequest &request, std::shared_ptr<Call> call,
                                v1::HopReply &reply);
    asio::awaitable<void> sendToBackend(const v1::HopRequest &request, Call &call,
                                        v1::HopReply &reply);
    void fillFromResponse(const v1::HopRequest &request, HttpResponse answer, v1::HopReply &reply);
    RequestEnd fillFromFailure(const Failure &failure, const Call &call, v1::HopReply &reply);
    /** Takes over what the backend server told of itself in @p answer to a request that was sent at
     *  @p sentAt. */
    void readSignals(const v1::HopRequest &request, const HttpResponse &answer,
                     const BackendIncarnation &backend, TimePoint sentAt, TimePoint now);
    void updateLimit(const std::function<void()> &change);
    void followIncarnation(TimePoint now);
    /** Counts a request as rejected if the backend server takes none beside @p reserved ones, since
     *  it is cold or names a limit. @return When its caller should retry; nullopt: it takes one. */
    std::optional<milliseconds> rejectExcess(size_t reserved, TimePoint now);
    void fillRateLimited(const v1::HopRequest &request, RequestStage stage, milliseconds retryAfter,
                         v1::HopReply &reply);
    void recordLostRun(const v1::HopRequest &request, const Call &call,
                       const BackendIncarnation &backend, TimePoint suspectUntil);
    void reportCrashes(TimePoint now);
    void recordAnswer(const Call &call, TimePoint now);
    void onWrongIncarnation(const std::string &named);
    void wakeNext();
    /** Ends the wait of those requests for which @p isRejected returns true. */
    void rejectWaiting(const std::function<bool(const Call &)> &isRejected);
    void notifyMonitorChange(bool changed);

    asio::io_context &context_;
    const Clock &clock_;
    const RequestProtocol &protocol_;
    BackendMonitor &monitor_;
    KeyOwnership &ownership_;
    CrashLedger &crashes_;
    TimePoint startedAt_; ///< Of this process.
    HttpClient client_;
    SentAttempts sentAttempts_;
    uint64_t sentAgain_ = 0; ///< Sendings of attempts that had been sent before.
    AdmissionControl admission_{AdmissionLimits{}};
    CircuitBreaker breaker_;
    std::map<CallId, std::shared_ptr<Call>> calls_;
    std::map<uint64_t, std::shared_ptr<Call>> waiting_; ///< By admission id.
    uint64_t lastId_ = 0;
    bool rejectsKeyless_ = false;
    std::optional<Shutdown> shutdown_; ///< Empty: the process is not stopping.
    std::function<void()> monitorChanged_;
    std::function<void()> connectionFailed_;
    std::function<void(const std::string &)> otherNamed_;
    std::function<void()> crashReported_;
    std::function<void()> limitChanged_;
    RequestRateLimiter limiter_;
    ColdStartLimiter coldLimiter_;
    uint64_t sentToIncarnation_ = 0; ///< Requests sent to limitedBackend_.
    uint64_t coldRefused_ = 0;       ///< Requests rejected because the backend server is cold.
    std::function<EvacuationPhase(TimePoint)> evacuationPhase_; ///< Empty: none is evacuated.
    BackendIncarnation limitedBackend_;  ///< Incarnation that limiter_ is about.
    std::optional<double> adoptedLimit_; ///< Of adoptedBackend_, until that one reports.
    BackendIncarnation adoptedBackend_;
    uint64_t rateLimited_ = 0;     ///< Requests rejected because of the limit.
    uint64_t malformedLimits_ = 0; ///< Answers with a limit that could not be understood.
    RateLimitedEvent malformedLog_{LogEvent::BackendLimitMalformed, 1, 5};
    std::deque<LostRun> lostRuns_; ///< Of the last seconds; their backend server may have ended.
    Histogram *duration_ = nullptr;
};

} // namespace wisteriahoist
