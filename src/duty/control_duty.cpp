/** @file control_duty.cpp Membership, ownership and configuration of this node. */

#include "duty/control_duty.h"

#include "adapter/clock/sleep_func.h"
#include "adapter/codec/declaration_codec.h"
#include "adapter/codec/ownership_codec.h"
#include "adapter/log/event_log.h"
#include "decision/placement/balanced_placement.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace {

constexpr milliseconds LoadInterval{1000};
constexpr milliseconds TickInterval{25};
constexpr milliseconds WatchWait{10000};
constexpr milliseconds WatchRetry{500};
constexpr milliseconds LossCheckAfter{3000}; ///< A term's rosters stay open so long: ask operators.
constexpr uint32_t MaxRenewals = 3; ///< On their way at once: one lost must not hold up the next.
const std::string ConfigObject = "config";

} // namespace

ControlDuty::ControlDuty(asio::io_context &context, const Clock &clock, PlatformStore &platform,
                         OwnershipTimes times, MemberInfo self, std::string cell,
                         RoutingLink &ingress, GrantLink &gate)
    : context_(context), clock_(clock), platform_(platform), times_(times), cell_(std::move(cell)),
      ingress_(ingress), gate_(gate), peers_(context), member_(times, std::move(self)),
      operators_(clock, platform, member_, cell_), policy_(std::make_shared<BalancedPlacement>()),
      random_(std::random_device{}())
{ }

void ControlDuty::start()
{
    asio::co_spawn(context_, tickLoop(), asio::detached);
}

asio::awaitable<void> ControlDuty::tickLoop()
{
    while (!stopping_) {
        switch (member_.onTick(clock_.now())) {
        case MemberStep::None:
            break;
        case MemberStep::ReadTerm:
            asio::co_spawn(context_, readTerm(), asio::detached);
            break;
        case MemberStep::Renew:
            asio::co_spawn(context_, renew(), asio::detached);
            break;
        case MemberStep::Campaign:
            asio::co_spawn(context_, campaign(), asio::detached);
            break;
        }
        stepCoordinator();
        co_await sleepFor(TickInterval);
    }
}

asio::awaitable<Result<ControlDuty::StoredTerm>> ControlDuty::fetchTerm()
{
    StoredTerm stored;
    stored.askedAt = clock_.now();
    Result<VersionedObject> object = co_await platform_.read(objectName("term"));
    if (!object) {
        co_return std::move(object).as_failure();
    }
    stored.version = object.assume_value().version;
    if (stored.version != AbsentObject) {
        Result<TermRecord> decoded = decodeTerm(object.assume_value().content);
        if (!decoded) {
            co_return std::move(decoded).as_failure();
        }
        stored.record = std::move(decoded.assume_value());
    }
    co_return stored;
}

asio::awaitable<void> ControlDuty::readTerm()
{
    Result<StoredTerm> stored = co_await fetchTerm();
    if (!stored) {
        member_.onTermReadFailed(clock_.now());
        co_return;
    }
    const StoredTerm &object = stored.assume_value();
    member_.onTermRead(object.version, object.record, clock_.now());
    takeOffice(object.askedAt);
}

asio::awaitable<void> ControlDuty::campaign()
{
    const TermRecord record = member_.makeCampaign(WriteNonce(random_()));
    const TimePoint askedAt = clock_.now();
    Result<ObjectVersion> written = co_await platform_.write(
            objectName("term"), member_.knownVersion(), encodeTerm(record));
    if (written) {
        member_.onCampaignWon(written.assume_value(), record, clock_.now());
        takeOffice(askedAt);
        co_return;
    }
    // The reply may have been lost after the write took effect: the object names its writer.
    member_.onCampaignLost(clock_.now());
    co_await readTerm();
}

void ControlDuty::takeOffice(TimePoint askedAt)
{
    const std::optional<WonTerm> won = member_.takeOffice();
    if (!won) {
        return;
    }
    const Term term = won->record.term;
    logEvent(LogEvent::TermWon, {{"term", term.value()}, {"cell", cell_}});
    const Coordinator::Office office{won->record, won->version, askedAt};
    coordinator_ = std::make_unique<Coordinator>(times_, office, policy_, clock_.now());
    asio::co_spawn(context_, watchConfig(term), asio::detached);
    asio::co_spawn(context_, watchTerm(term), asio::detached);
    asio::co_spawn(context_, watchLoss(term), asio::detached);
    stepCoordinator();
}

std::string ControlDuty::objectName(const char *part) const
{
    return "cells/" + cell_ + "/" + part;
}

bool ControlDuty::isCoordinating(Term term) const
{
    return coordinator_ && coordinator_->term().term == term && !stopping_;
}

asio::awaitable<void> ControlDuty::watchConfig(Term term)
{
    ObjectVersion known;
    while (isCoordinating(term)) {
        Result<VersionedObject> object = co_await platform_.watch(ConfigObject, known, WatchWait);
        if (!object) {
            co_await sleepFor(WatchRetry);
            continue;
        }
        if (object.assume_value().version > known) {
            known = object.assume_value().version;
            Result<Declarations> declarations = decodeDeclarations(object.assume_value().content);
            if (declarations && isCoordinating(term)) {
                coordinator_->onDeclarations(declarations.assume_value(), clock_.now());
            }
        }
    }
}

asio::awaitable<void> ControlDuty::watchTerm(Term term)
{
    ObjectVersion known;
    while (isCoordinating(term)) {
        const TimePoint askedAt = clock_.now();
        known = coordinator_->termVersion();
        Result<VersionedObject> object
                = co_await platform_.watch(objectName("term"), known, WatchWait);
        if (!isCoordinating(term)) {
            co_return;
        }
        if (!object) {
            co_await sleepFor(WatchRetry);
            continue;
        }
        std::optional<TermRecord> record;
        Result<TermRecord> decoded = decodeTerm(object.assume_value().content);
        if (object.assume_value().version != AbsentObject && decoded) {
            record = std::move(decoded.assume_value());
        }
        coordinator_->onTermSeen(object.assume_value().version, record, askedAt);
        if (object.assume_value().version > coordinator_->termVersion()) {
            co_await sleepFor(TickInterval); // Our own write, its reply still on its way.
        }
    }
}

asio::awaitable<void> ControlDuty::watchLoss(Term term)
{
    co_await sleepFor(LossCheckAfter);
    while (isCoordinating(term) && !coordinator_->areRostersClosed(clock_.now())) {
        Result<VersionedObject> object = co_await platform_.read(objectName("loss"));
        if (object && isCoordinating(term)) {
            Result<Term> confirmed = decodeLossConfirmation(object.assume_value().content);
            if (object.assume_value().version != AbsentObject && confirmed) {
                coordinator_->onLossConfirmed(confirmed.assume_value(), clock_.now());
            }
        }
        co_await sleepFor(WatchRetry);
    }
}

void ControlDuty::stepCoordinator()
{
    if (!coordinator_) {
        return;
    }
    const Term term = coordinator_->term().term;
    if (coordinator_->isDeposed() || member_.acknowledgedTerm() > term) {
        logEvent(LogEvent::TermLost, {{"term", term.value()}, {"cell", cell_}});
        coordinator_.reset();
        asio::co_spawn(context_, readTerm(), asio::detached);
        return;
    }
    coordinator_->onTick(clock_.now());
    for (CoordinatorStep step = coordinator_->nextStep(clock_.now()); step != CoordinatorStep::None;
         step = coordinator_->nextStep(clock_.now())) {
        startCall(step);
    }
}

void ControlDuty::startCall(CoordinatorStep step)
{
    const Term term = coordinator_->term().term;
    switch (step) {
    case CoordinatorStep::None:
        break;
    case CoordinatorStep::ReadTerm:
        asio::co_spawn(context_, readTermBack(term), asio::detached);
        break;
    case CoordinatorStep::WriteTerm:
        asio::co_spawn(context_, writeTerm(coordinator_->makeTermWrite(WriteNonce(random_()))),
                       asio::detached);
        break;
    case CoordinatorStep::ReadAssignment:
        asio::co_spawn(context_, readAssignment(term), asio::detached);
        break;
    case CoordinatorStep::WriteAssignment:
        asio::co_spawn(context_,
                       writeAssignment(coordinator_->makeAssignmentWrite(WriteNonce(random_()))),
                       asio::detached);
        break;
    }
}

asio::awaitable<void> ControlDuty::readTermBack(Term term)
{
    Result<StoredTerm> stored = co_await fetchTerm();
    if (!isCoordinating(term)) {
        co_return;
    }
    if (!stored) {
        coordinator_->onTermCallFailed(clock_.now());
        co_return;
    }
    const StoredTerm &object = stored.assume_value();
    coordinator_->onTermStored(object.version, object.record, object.askedAt, clock_.now());
}

asio::awaitable<void> ControlDuty::writeTerm(TermRecord record)
{
    const Term term = record.term;
    Result<ObjectVersion> written = co_await platform_.write(
            objectName("term"), coordinator_->termVersion(), encodeTerm(record));
    if (!isCoordinating(term)) {
        co_return;
    }
    if (written) {
        coordinator_->onTermWritten(written.assume_value(), clock_.now());
    } else {
        coordinator_->onTermCallFailed(clock_.now());
    }
}

asio::awaitable<void> ControlDuty::readAssignment(Term term)
{
    Result<VersionedObject> object = co_await platform_.read(objectName("assignment"));
    if (!isCoordinating(term)) {
        co_return;
    }
    if (!object) {
        coordinator_->onAssignmentCallFailed(clock_.now());
        co_return;
    }
    std::optional<AssignmentRecord> stored;
    if (object.assume_value().version != AbsentObject) {
        Result<AssignmentRecord> decoded = decodeAssignment(object.assume_value().content);
        if (!decoded) {
            // Taken for absent, it would be overwritten: owners would be lost.
            logEvent(LogEvent::ObjectMalformed, {{"object", "assignment"}, {"cell", cell_}});
            coordinator_->onAssignmentCallFailed(clock_.now());
            co_return;
        }
        stored = std::move(decoded.assume_value());
    }
    coordinator_->onAssignmentStored(object.assume_value().version, stored, clock_.now());
    stepCoordinator();
}

asio::awaitable<void> ControlDuty::writeAssignment(AssignmentRecord record)
{
    const Term term = record.term;
    Result<ObjectVersion> written = co_await platform_.write(
            objectName("assignment"), coordinator_->assignmentVersion(), encodeAssignment(record));
    if (!isCoordinating(term)) {
        co_return;
    }
    if (written) {
        coordinator_->onAssignmentWritten(written.assume_value(), clock_.now());
    } else {
        coordinator_->onAssignmentCallFailed(clock_.now());
    }
}

asio::awaitable<void> ControlDuty::renew()
{
    const NodeAddress *target = member_.coordinatorAddress();
    if (target == nullptr || renewing_ >= MaxRenewals) {
        co_return;
    }
    ++renewing_;
    const RenewRequest request = member_.makeRenew(clock_.now());
    member_.updateLoads({}); // Sent once; the next report replaces it.
    Result<RenewReply> reply = Failure{FailureCode::Unavailable, "no coordinator"};
    if (member_.isCoordinator()) {
        RenewReply own;
        own.notCoordinator = true;
        reply = coordinator_ ? coordinator_->onRenew(request, clock_.now()) : own;
    } else {
        const PeerEndpoint peer{target->ip, target->peerPort};
        Result<std::string> bytes = co_await peers_.call(
                peer, "/renew", encodeRenewRequest(request), times_.renewInterval * 2);
        if (bytes) {
            reply = decodeRenewReply(bytes.assume_value());
        }
    }
    --renewing_;
    if (reply) {
        member_.onRenewReply(reply.assume_value(), clock_.now());
    } else {
        member_.onRenewFailed(clock_.now());
    }
    co_await publish();
}

asio::awaitable<std::string> ControlDuty::onRenew(std::string body)
{
    Result<RenewRequest> request = decodeRenewRequest(body);
    RenewReply reply;
    reply.notCoordinator = true;
    if (request && coordinator_) {
        reply = coordinator_->onRenew(request.assume_value(), clock_.now());
    }
    co_return encodeRenewReply(reply);
}

void ControlDuty::tellMetrics()
{
    if (metrics_ == nullptr) {
        return;
    }
    const std::optional<TermRecord> &term = member_.term();
    metrics_->term.set(term ? static_cast<double>(term->term.value()) : 0);
    metrics_->coordinating.set(coordinator_ ? 1 : 0);
}

asio::awaitable<void> ControlDuty::publish()
{
    tellMetrics();
    const bool changed = !published_ || published_->assignmentVersion != member_.assignmentVersion()
                         || published_->declarations.version != member_.declarations().version
                         || publishedRevocations_ != member_.revocations();
    if (changed) {
        auto snapshot = std::make_shared<RoutingSnapshot>();
        snapshot->declarations = member_.declarations();
        snapshot->assignmentVersion = member_.assignmentVersion();
        snapshot->tables = member_.routingTables();
        for (const MemberInfo &info : member_.roster()) {
            snapshot->members[info.id] = info;
        }
        published_ = snapshot;
        publishedRevocations_ = member_.revocations();
        asio::co_spawn(context_, informIngress(published_), asio::detached);
    }
    GateGrant grant;
    grant.routing = published_;
    grant.leaseUntil = member_.leaseUntil();
    grant.backend = backend_;
    const std::vector<Revocation> revoked(publishedRevocations_.begin(),
                                          publishedRevocations_.end());
    // The gate takes the grant at once and answers when nothing that it lost can still run.
    Result<Accepted> accepted = co_await gate_.call(std::move(grant));
    if (accepted) {
        member_.onDrained(revoked);
        reportLoads(std::move(accepted.assume_value().loads), clock_.now());
    }
}

void ControlDuty::reportLoads(std::vector<ServiceLoad> loads, TimePoint now)
{
    // With every renewal, 17 ranges alone would cost most of the 3 KB/s that control may take.
    if (now - loadsReportedAt_ >= LoadInterval) {
        loadsReportedAt_ = now;
        member_.updateLoads(std::move(loads));
    }
}

asio::awaitable<void> ControlDuty::informIngress(RoutingSnapshotPtr routing)
{
    (void)co_await ingress_.call(std::move(routing));
}

void ControlDuty::onAnnounce(const BackendInfo &backend)
{
    if (backend == backend_) {
        return;
    }
    backend_ = backend;
    refreshSelf();
    logEvent(LogEvent::BackendAnnounced,
             {{"service", backend.service}, {"draining", backend.draining}});
}

void ControlDuty::beginDrain()
{
    asio::post(context_, [this]() {
        leaving_ = true;
        refreshSelf();
        logEvent(LogEvent::DrainStarted, {{"node", member_.self().id.value()}});
    });
}

void ControlDuty::refreshSelf()
{
    MemberInfo self = member_.self();
    self.service = backend_.service;
    self.slots = backend_.slots;
    self.grantMode = backend_.grantMode;
    self.draining = backend_.draining || operators_.isDraining() || leaving_;
    member_.updateSelf(self);
}

asio::awaitable<AdminReply> ControlDuty::onAdmin(AdminCall call)
{
    AdminReply reply;
    switch (call.kind) {
    case AdminCall::Kind::Announce:
        onAnnounce(call.backend);
        break;
    case AdminCall::Kind::Operator:
        reply.body = co_await operators_.call(std::move(call.method), std::move(call.body));
        refreshSelf();
        break;
    }
    co_return reply;
}

} // namespace wisteriahoist
