/** @file control_duty.cpp Membership, ownership and configuration of this node. */

#include "duty/control_duty.h"

#include "adapter/codec/declaration_codec.h"
#include "adapter/codec/ownership_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/log/trivial.hpp>

namespace wisteriahoist {

namespace {

constexpr milliseconds TickInterval{25};
constexpr milliseconds WatchWait{10000};
constexpr milliseconds WatchRetry{500};
const std::string ConfigObject = "config";

asio::awaitable<void> pause(asio::io_context &context, milliseconds duration)
{
    asio::steady_timer timer(context, duration);
    beast::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

ControlDuty::ControlDuty(asio::io_context &context, const Clock &clock, PlatformStore &platform,
                         OwnershipTimes times, MemberInfo self, std::string cell,
                         RoutingLink &ingress, GrantLink &gate)
    : context_(context), clock_(clock), platform_(platform), times_(times), cell_(std::move(cell)),
      ingress_(ingress), gate_(gate), peers_(context), member_(times, std::move(self)),
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
        co_await pause(context_, TickInterval);
    }
}

asio::awaitable<void> ControlDuty::readTerm()
{
    Result<VersionedObject> object = co_await platform_.read("cells/" + cell_ + "/term");
    if (!object) {
        co_return;
    }
    std::optional<TermRecord> record;
    if (object.assume_value().version != AbsentObject) {
        Result<TermRecord> decoded = decodeTerm(object.assume_value().content);
        if (!decoded) {
            co_return;
        }
        record = std::move(decoded.assume_value());
    }
    member_.onTermRead(object.assume_value().version, std::move(record), clock_.now());
}

asio::awaitable<void> ControlDuty::campaign()
{
    const TermRecord record = member_.makeCampaign(WriteNonce(random_()));
    const std::string name = "cells/" + cell_ + "/term";
    Result<ObjectVersion> written
            = co_await platform_.write(name, member_.knownVersion(), encodeTerm(record));
    if (written) {
        co_await becomeCoordinator(record, written.assume_value());
        co_return;
    }
    // The reply may have been lost after the write took effect: the nonce tells.
    Result<VersionedObject> object = co_await platform_.read(name);
    if (object && object.assume_value().version != AbsentObject) {
        Result<TermRecord> stored = decodeTerm(object.assume_value().content);
        if (stored && stored.assume_value().nonce == record.nonce) {
            co_await becomeCoordinator(record, object.assume_value().version);
            co_return;
        }
    }
    member_.onCampaignLost(clock_.now());
}

asio::awaitable<void> ControlDuty::becomeCoordinator(TermRecord record, ObjectVersion version)
{
    BOOST_LOG_TRIVIAL(info) << "coordinator: won term " << record.term.value() << " of " << cell_;
    coordinator_ = std::make_unique<Coordinator>(times_, record, version);
    member_.onCampaignWon(version, record, clock_.now());
    asio::co_spawn(context_, watchConfig(record.term), asio::detached);
    while (isCoordinating(record.term)) {
        Result<VersionedObject> object = co_await platform_.read("cells/" + cell_ + "/assignment");
        if (object && isCoordinating(record.term)) {
            std::optional<AssignmentRecord> stored;
            Result<AssignmentRecord> decoded = decodeAssignment(object.assume_value().content);
            if (object.assume_value().version != AbsentObject && decoded) {
                stored = std::move(decoded.assume_value());
            }
            coordinator_->onAssignmentRead(object.assume_value().version, std::move(stored),
                                           clock_.now());
            co_return;
        }
        co_await pause(context_, WatchRetry);
    }
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
            co_await pause(context_, WatchRetry);
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

void ControlDuty::stepCoordinator()
{
    if (!coordinator_) {
        return;
    }
    coordinator_->onTick(clock_.now());
    if (auto record = coordinator_->pendingTermWrite()) {
        asio::co_spawn(context_, writeTerm(std::move(*record)), asio::detached);
    }
    if (auto record = coordinator_->pendingAssignmentWrite()) {
        asio::co_spawn(context_, writeAssignment(std::move(*record)), asio::detached);
    }
}

asio::awaitable<void> ControlDuty::writeTerm(TermRecord record)
{
    const Term term = record.term;
    Result<ObjectVersion> written = co_await platform_.write(
            "cells/" + cell_ + "/term", coordinator_->termVersion(), encodeTerm(record));
    if (!isCoordinating(term)) {
        co_return;
    }
    if (written) {
        coordinator_->onTermWritten(written.assume_value(), clock_.now());
        co_return;
    }
    BOOST_LOG_TRIVIAL(info) << "coordinator: lost term " << term.value();
    coordinator_.reset();
    co_await readTerm();
}

asio::awaitable<void> ControlDuty::writeAssignment(AssignmentRecord record)
{
    const Term term = record.term;
    Result<ObjectVersion> written
            = co_await platform_.write("cells/" + cell_ + "/assignment",
                                       coordinator_->assignmentVersion(), encodeAssignment(record));
    if (!isCoordinating(term)) {
        co_return;
    }
    if (written) {
        coordinator_->onAssignmentWritten(written.assume_value(), clock_.now());
        co_return;
    }
    BOOST_LOG_TRIVIAL(info) << "coordinator: lost term " << term.value();
    coordinator_.reset();
    co_await readTerm();
}

asio::awaitable<void> ControlDuty::renew()
{
    const MemberInfo *target = member_.coordinator();
    if (target == nullptr || renewing_) {
        co_return;
    }
    renewing_ = true;
    const RenewRequest request = member_.makeRenew(clock_.now());
    Result<RenewReply> reply = Failure{FailureCode::Unavailable, "no coordinator"};
    if (member_.isCoordinator()) {
        if (coordinator_) {
            reply = coordinator_->onRenew(request, clock_.now());
        }
    } else {
        const PeerEndpoint peer{target->address.ip, target->address.peerPort};
        Result<std::string> bytes = co_await peers_.call(
                peer, "/renew", encodeRenewRequest(request), times_.suspectAfter);
        if (bytes) {
            reply = decodeRenewReply(bytes.assume_value());
        }
    }
    renewing_ = false;
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

asio::awaitable<void> ControlDuty::publish()
{
    const bool changed = !published_ || published_->assignmentVersion != member_.assignmentVersion()
                         || published_->declarations.version != member_.declarations().version;
    if (changed) {
        auto snapshot = std::make_shared<RoutingSnapshot>();
        snapshot->declarations = member_.declarations();
        snapshot->assignmentVersion = member_.assignmentVersion();
        snapshot->tables = member_.assignment().services;
        for (const MemberInfo &info : member_.roster()) {
            snapshot->members[info.id] = info;
        }
        published_ = snapshot;
        (void)co_await ingress_.call(published_);
    }
    GateGrant grant;
    grant.routing = published_;
    grant.leaseUntil = member_.leaseUntil();
    grant.backend = backend_;
    (void)co_await gate_.call(std::move(grant));
}

void ControlDuty::onAnnounce(const BackendInfo &backend)
{
    if (backend == backend_) {
        return;
    }
    backend_ = backend;
    MemberInfo self = member_.self();
    self.service = backend.service;
    self.slots = backend.slots;
    self.grantMode = backend.grantMode;
    self.draining = backend.draining || leaving_;
    member_.updateSelf(self);
    BOOST_LOG_TRIVIAL(info) << "backend server announced itself for " << backend.service;
}

void ControlDuty::beginDrain()
{
    asio::post(context_, [this]() {
        leaving_ = true;
        MemberInfo self = member_.self();
        self.draining = true;
        member_.updateSelf(self);
        BOOST_LOG_TRIVIAL(info) << "node leaves: draining";
    });
}

asio::awaitable<AdminReply> ControlDuty::onAdmin(AdminCall call)
{
    AdminReply reply;
    switch (call.kind) {
    case AdminCall::Kind::Announce:
        onAnnounce(call.backend);
        break;
    case AdminCall::Kind::Apply:
        reply.body = co_await apply(std::move(call.body));
        break;
    case AdminCall::Kind::Status:
        reply.body = status();
        break;
    }
    co_return reply;
}

asio::awaitable<std::string> ControlDuty::apply(std::string body)
{
    v1::ApplyRequest request;
    v1::ApplyReply reply;
    const auto fail = [&reply](const Failure &failure) {
        v1::Problem *problem = reply.add_problems();
        problem->set_code(std::string(failureName(failure.code)));
        problem->set_message(failure.context);
        return reply.SerializeAsString();
    };
    if (!request.ParseFromString(body)) {
        co_return fail({FailureCode::Malformed, "apply request"});
    }
    Result<VersionedObject> stored = co_await platform_.read(ConfigObject);
    if (!stored) {
        co_return fail(stored.assume_error());
    }
    Declarations declarations = decodeConfiguration(request.configuration());
    Result<Declarations> current = decodeDeclarations(stored.assume_value().content);
    declarations.version = current ? current.assume_value().version + 1 : 1;
    Result<ObjectVersion> written = co_await platform_.write(
            ConfigObject, stored.assume_value().version, encodeDeclarations(declarations));
    if (!written) {
        co_return fail(written.assume_error());
    }
    reply.set_version(declarations.version);
    co_return reply.SerializeAsString();
}

std::string ControlDuty::status() const
{
    v1::StatusReply reply;
    reply.set_node_id(member_.self().id.value());
    if (member_.term()) {
        reply.set_term(member_.term()->term.value());
        reply.set_coordinator_node(member_.term()->coordinator.value());
    }
    reply.set_config_version(member_.declarations().version);
    reply.set_assignment_version(member_.assignmentVersion().value());
    const auto left = std::chrono::duration_cast<milliseconds>(member_.leaseUntil() - clock_.now());
    reply.set_lease_left_ms(std::max<int64_t>(0, left.count()));
    for (const MemberInfo &info : member_.roster()) {
        *reply.add_roster() = encodeMember(info);
    }
    const v1::AssignmentObject assignment = encodeAssignmentMessage(member_.assignment());
    *reply.mutable_services() = assignment.services();
    reply.set_build(WISTERIAHOIST_VERSION);
    return reply.SerializeAsString();
}

} // namespace wisteriahoist
