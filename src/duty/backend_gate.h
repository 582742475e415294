/** @file backend_gate.h The last point before the backend server beside this node. */

#pragma once

#include "adapter/http/http_client.h"
#include "adapter/http/request_protocol.h"
#include "adapter/metrics/metric_type.h"
#include "decision/member/backend_monitor.h"
#include "decision/request/admission_control.h"
#include "decision/request/circuit_breaker.h"
#include "duty/gate_message.h"
#include "port/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>

namespace wisteriahoist {

/** Another node that holds a key. */
struct KeyOwner {
    NodeId node;
    Epoch fence; ///< Under which it does; an older table has a lower one.
};

/** Tells the gate which keys its backend server holds, and learns what they cost. */
class KeyOwnership
{
public:
    virtual ~KeyOwnership() = default;

    /** @return None if a request for @p key may be handed over at @p now; else NotOwner for a key
     *          that is on its way, NoLease if nobody may serve it for longer. */
    virtual RequestEnd check(ShardKey key, TimePoint now) const = 0;

    /** @return Who holds @p key now, by the newest table that is known here; nullopt if that is
     * this node or nobody. */
    virtual std::optional<KeyOwner> ownerOf(ShardKey key) const = 0;

    /** A request for @p key kept a slot busy, or would have if there had been room. */
    virtual void recordBusyTime(ShardKey key, Duration busy, TimePoint now) = 0;

    /** @return Mean of the slots that keyed requests asked for in the last seconds. */
    virtual double demand(TimePoint now) = 0;

    /** @return Whether no keys are to be given to this node any more. */
    virtual bool isLeaving() const = 0;
};

/**
 * Admits requests, runs them at the backend server and returns whole answers. It is the only way
 * to the backend server, so what it refuses has provably not run. Used by one thread.
 */
class BackendGate
{
public:
    BackendGate(asio::io_context &context, const Clock &clock, const RequestProtocol &protocol,
                const std::string &ip, uint16_t port, BackendMonitor &monitor,
                KeyOwnership &holding);

    /** Runs one request or says why not. */
    asio::awaitable<v1::HopReply> run(v1::HopRequest request);

    /** The caller of a request has gone: it stops waiting, or its work is cut off. */
    void cancel(uint64_t originNode, uint64_t requestId);

    /** Takes over the monitor's state after a report. */
    void onBackendChange();

    /**
     * The node ends soon: from now on no requests without a key are admitted, since others can
     * serve them; those with a key are, as long as the key is held here.
     */
    void rejectKeyless() { closed_ = true; }

    /** The process ends at @p end at the latest: no request is admitted that may run beyond it. */
    void setShutdownDeadline(TimePoint end) { endsAt_ = end; }

    /** @return Whether a request with @p deadline may still run when the process ends. */
    bool mayOutlive(TimePoint deadline, TimePoint now) const;

    /** @param action Runs when requests show that the backend server's state has changed. */
    void onMonitorChange(std::function<void()> action) { monitorChanged_ = std::move(action); }

    /** @param action Runs when a connection to the backend server was refused or lost. */
    void onConnectionFailure(std::function<void()> action) { suspicion_ = std::move(action); }

    /** @param duration Gets the seconds that each answered request took there. */
    void observeWith(Histogram &duration) { duration_ = &duration; }

    v1::BackendLoad load(TimePoint now);

    size_t openRequests() const { return calls_.size(); }
    const AdmissionControl &admission() const { return admission_; }

private:
    struct Call {
        explicit Call(asio::io_context &context) : timer(context) { }
        asio::steady_timer timer; ///< While it waits for a slot.
        std::shared_ptr<ExchangeControl> control = std::make_shared<ExchangeControl>();
        TimePoint deadline;
        bool granted = false;
        bool cancelled = false;
    };
    using CallName = std::pair<uint64_t, uint64_t>; ///< Origin node and its request id.

    RequestEnd check(const v1::HopRequest &request, const Call &call, TimePoint now) const;
    bool isWorking() const;
    void nameOwner(const v1::HopRequest &request, RequestEnd refusal, v1::HopReply &reply) const;
    asio::awaitable<RequestEnd> awaitSlot(const v1::HopRequest &request, std::shared_ptr<Call> call,
                                          v1::HopReply &reply);
    asio::awaitable<void> serve(const v1::HopRequest &request, std::shared_ptr<Call> call,
                                v1::HopReply &reply);
    asio::awaitable<void> handOver(const v1::HopRequest &request, Call &call, v1::HopReply &reply);
    void fillFromAnswer(const v1::HopRequest &request, HttpResponse answer, v1::HopReply &reply);
    void fillFromFailure(const Failure &failure, const Call &call, v1::HopReply &reply);
    void wakeNext();
    void noteMonitorChange(bool changed);

    asio::io_context &context_;
    const Clock &clock_;
    const RequestProtocol &protocol_;
    BackendMonitor &monitor_;
    KeyOwnership &holding_;
    HttpClient client_;
    AdmissionControl admission_{AdmissionLimits{}};
    CircuitBreaker breaker_;
    std::map<CallName, std::shared_ptr<Call>> calls_;
    std::map<uint64_t, std::shared_ptr<Call>> waiting_; ///< By admission id.
    uint64_t lastId_ = 0;
    bool closed_ = false;
    std::optional<TimePoint> endsAt_; ///< Of a node that stops.
    std::function<void()> monitorChanged_;
    std::function<void()> suspicion_;
    Histogram *duration_ = nullptr;
};

} // namespace wisteriahoist
