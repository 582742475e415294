/** @file control_duty.h Membership, ownership and configuration of this node. */

#pragma once

#include "adapter/http2/peer_transport.h"
#include "decision/ownership/coordinator.h"
#include "decision/ownership/member.h"
#include "duty/duty_message.h"
#include "duty/node_telemetry.h"
#include "duty/operator_service.h"
#include "port/clock.h"
#include "port/platform_store.h"

#include <memory>
#include <random>

namespace wisteriahoist {

/**
 * Carries out what the pure machines Member and Coordinator decide: platform calls, renewals,
 * and handing new state to the other duties. Runs on its own thread.
 */
class ControlDuty
{
public:
    ControlDuty(asio::io_context &context, const Clock &clock, PlatformStore &platform,
                OwnershipTimes times, MemberInfo self, std::string cell, RoutingLink &ingress,
                GrantLink &gate);

    /** Sets where term and role are told. @pre Called before start(); @p metrics outlives this. */
    void observeWith(OwnershipMetrics &metrics) { metrics_ = &metrics; }

    void start();
    void stop() { stopping_ = true; }

    /** This node leaves: it is announced as draining, so that its ranges move. Any thread. */
    void beginDrain();

    /** Says hello with @p keys to other nodes. @pre Called before start(). */
    void authenticateWith(FleetKeys keys) { peers_.authenticateWith(std::move(keys)); }

    /** Answers another member's renewal (bytes in, bytes out). */
    asio::awaitable<std::string> onRenew(std::string body);

    /** Answers the admin duty. */
    asio::awaitable<AdminReply> onAdmin(AdminCall call);

private:
    /** The term object as read. */
    struct StoredTerm {
        ObjectVersion version;
        std::optional<TermRecord> record;
        TimePoint askedAt; ///< Before the call was sent.
    };

    asio::awaitable<void> tickLoop();
    asio::awaitable<Result<StoredTerm>> fetchTerm();
    asio::awaitable<void> readTerm();
    asio::awaitable<void> campaign();
    void takeOffice(TimePoint askedAt);
    asio::awaitable<void> renew();
    asio::awaitable<void> readTermBack(Term term);
    asio::awaitable<void> readAssignment(Term term);
    asio::awaitable<void> writeTerm(TermRecord record);
    asio::awaitable<void> writeAssignment(AssignmentRecord record);
    asio::awaitable<void> watchConfig(Term term);
    asio::awaitable<void> watchTerm(Term term);
    asio::awaitable<void> watchLoss(Term term);
    asio::awaitable<void> publish();
    void tellMetrics();
    asio::awaitable<void> informIngress(RoutingSnapshotPtr routing);
    void reportLoads(std::vector<ServiceLoad> loads, TimePoint now);
    void onAnnounce(const BackendInfo &backend);
    void refreshSelf();
    void stepCoordinator();
    void startCall(CoordinatorStep step);
    std::string objectName(const char *part) const;
    bool isCoordinating(Term term) const;

    asio::io_context &context_;
    const Clock &clock_;
    PlatformStore &platform_;
    OwnershipTimes times_;
    std::string cell_;
    RoutingLink &ingress_;
    GrantLink &gate_;
    PeerCaller peers_;
    Member member_;
    OperatorService operators_;
    std::shared_ptr<PlacementPolicy> policy_;
    std::unique_ptr<Coordinator>
            coordinator_; ///< Present while this node believes it holds a term.
    BackendInfo backend_;
    std::mt19937_64 random_;
    RoutingSnapshotPtr published_;
    TimePoint loadsReportedAt_ = NeverTime;
    std::set<Revocation> publishedRevocations_; ///< Taken off the tables of published_.
    uint32_t renewing_ = 0;                     ///< Renewals on their way; bounded.
    bool leaving_ = false; ///< Set once; the node ends after its ranges have moved.
    bool stopping_ = false;
    OwnershipMetrics *metrics_ = nullptr; ///< Null: nothing is told.
};

} // namespace wisteriahoist
