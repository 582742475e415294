/** @file ownership_codec.cpp Between the decision's types and their protobuf form. */

#include "adapter/codec/ownership_codec.h"

#include "adapter/codec/declaration_codec.h"

namespace wisteriahoist {

namespace {

/** Time points travel in microseconds, so that a lease loses nothing to rounding up. */
int64_t encodeTime(TimePoint time)
{
    return std::chrono::floor<std::chrono::microseconds>(time.time_since_epoch()).count();
}

TimePoint decodeTime(int64_t count)
{
    return TimePoint(std::chrono::microseconds(count));
}

/** Rounded down: a lease or a remainder never becomes longer on its way. */
int64_t encodeDuration(Duration duration)
{
    return std::chrono::floor<std::chrono::microseconds>(duration).count();
}

Failure makeMalformed(const char *what)
{
    return {FailureCode::Malformed, what};
}

bool isSorted(const std::vector<Slice> &slices)
{
    for (size_t index = 1; index < slices.size(); ++index) {
        if (!(slices[index - 1].first < slices[index].first)) {
            return false;
        }
    }
    return slices.empty() || slices.front().first == KeyHash(0);
}

} // namespace

v1::Member encodeMember(const MemberInfo &info)
{
    v1::Member message;
    message.set_node_id(info.id.value());
    message.set_incarnation(info.incarnation.value());
    message.mutable_address()->set_ip(info.address.ip);
    message.mutable_address()->set_caller_port(info.address.callerPort);
    message.mutable_address()->set_peer_port(info.address.peerPort);
    message.mutable_address()->set_admin_port(info.address.adminPort);
    message.set_failure_domain(info.failureDomain);
    message.set_service(info.service);
    message.set_slots(info.slots);
    message.set_grant_mode(encodeGrantMode(info.grantMode));
    message.set_draining(info.draining);
    return message;
}

MemberInfo decodeMember(const v1::Member &message)
{
    MemberInfo info;
    info.id = NodeId(message.node_id());
    info.incarnation = Incarnation(message.incarnation());
    info.address.ip = message.address().ip();
    info.address.callerPort = static_cast<uint16_t>(message.address().caller_port());
    info.address.peerPort = static_cast<uint16_t>(message.address().peer_port());
    info.address.adminPort = static_cast<uint16_t>(message.address().admin_port());
    info.failureDomain = message.failure_domain();
    info.service = message.service();
    info.slots = message.slots();
    info.grantMode = decodeGrantMode(message.grant_mode());
    info.draining = message.draining();
    return info;
}

std::string encodeTerm(const TermRecord &record)
{
    v1::TermObject message;
    message.set_term(record.term.value());
    message.set_coordinator_node(record.coordinator.value());
    message.set_coordinator_incarnation(record.coordinatorIncarnation.value());
    message.set_write_nonce(record.nonce.value());
    for (const MemberInfo &info : record.roster) {
        *message.add_roster() = encodeMember(info);
    }
    return message.SerializeAsString();
}

Result<TermRecord> decodeTerm(const std::string &bytes)
{
    v1::TermObject message;
    if (!message.ParseFromString(bytes)) {
        return makeMalformed("term object");
    }
    TermRecord record;
    record.term = Term(message.term());
    record.coordinator = NodeId(message.coordinator_node());
    record.coordinatorIncarnation = Incarnation(message.coordinator_incarnation());
    record.nonce = WriteNonce(message.write_nonce());
    for (const v1::Member &member : message.roster()) {
        record.roster.push_back(decodeMember(member));
    }
    return record;
}

v1::AssignmentObject encodeAssignmentMessage(const AssignmentRecord &record)
{
    v1::AssignmentObject message;
    message.set_term(record.term.value());
    message.set_write_nonce(record.nonce.value());
    message.set_highest_epoch(record.highestEpoch.value());
    for (const auto &[name, table] : record.services) {
        v1::ServiceAssignment *service = message.add_services();
        service->set_service(name);
        for (const Slice &slice : table.slices()) {
            v1::Slice *encoded = service->add_slices();
            encoded->set_first(slice.first.value());
            encoded->set_owner_node(slice.owner.value());
            encoded->set_epoch(slice.epoch.value());
        }
    }
    return message;
}

std::string encodeAssignment(const AssignmentRecord &record)
{
    return encodeAssignmentMessage(record).SerializeAsString();
}

Result<AssignmentRecord> decodeAssignmentMessage(const v1::AssignmentObject &message)
{
    AssignmentRecord record;
    record.term = Term(message.term());
    record.nonce = WriteNonce(message.write_nonce());
    record.highestEpoch = Epoch(message.highest_epoch());
    for (const v1::ServiceAssignment &service : message.services()) {
        std::vector<Slice> slices;
        slices.reserve(static_cast<size_t>(service.slices_size()));
        for (const v1::Slice &slice : service.slices()) {
            slices.push_back(
                    {KeyHash(slice.first()), NodeId(slice.owner_node()), Epoch(slice.epoch())});
        }
        if (!isSorted(slices)) {
            return makeMalformed("assignment: ranges out of order");
        }
        record.services[service.service()] = SliceTable(std::move(slices));
    }
    return record;
}

Result<AssignmentRecord> decodeAssignment(const std::string &bytes)
{
    v1::AssignmentObject message;
    if (!message.ParseFromString(bytes)) {
        return makeMalformed("assignment object");
    }
    return decodeAssignmentMessage(message);
}

std::string encodeRenewRequest(const RenewRequest &request)
{
    v1::RenewRequest message;
    *message.mutable_member() = encodeMember(request.member);
    message.set_acknowledged_term(request.acknowledgedTerm.value());
    message.set_echoed_heartbeat_us(encodeTime(request.echoedHeartbeat));
    message.set_sent_at_us(encodeTime(request.sentAt));
    message.set_config_version(request.configVersion);
    message.set_assignment_version(request.assignmentVersion.value());
    message.set_older_lease_left_us(encodeDuration(request.olderLeaseLeft));
    for (const Epoch epoch : request.relinquished) {
        message.add_relinquished_epochs(epoch.value());
    }
    message.set_load(request.load);
    return message.SerializeAsString();
}

Result<RenewRequest> decodeRenewRequest(const std::string &bytes)
{
    v1::RenewRequest message;
    if (!message.ParseFromString(bytes)) {
        return makeMalformed("renew request");
    }
    RenewRequest request;
    request.member = decodeMember(message.member());
    request.acknowledgedTerm = Term(message.acknowledged_term());
    request.echoedHeartbeat = decodeTime(message.echoed_heartbeat_us());
    request.sentAt = decodeTime(message.sent_at_us());
    request.configVersion = message.config_version();
    request.assignmentVersion = ObjectVersion(message.assignment_version());
    request.olderLeaseLeft = std::chrono::microseconds(message.older_lease_left_us());
    for (const uint64_t epoch : message.relinquished_epochs()) {
        request.relinquished.emplace_back(epoch);
    }
    request.load = message.load();
    return request;
}

std::string encodeRenewReply(const RenewReply &reply)
{
    v1::RenewReply message;
    message.set_term(reply.term.value());
    message.set_not_coordinator(reply.notCoordinator);
    message.set_heartbeat_us(encodeTime(reply.heartbeat));
    message.set_echoed_sent_at_us(encodeTime(reply.echoedSentAt));
    message.set_lease_left_us(encodeDuration(reply.leaseLeft));
    message.set_config_version(reply.configVersion);
    if (reply.config) {
        message.set_config(encodeDeclarations(*reply.config));
    }
    message.set_assignment_version(reply.assignmentVersion.value());
    if (reply.assignment) {
        *message.mutable_assignment() = encodeAssignmentMessage(*reply.assignment);
    }
    for (const MemberInfo &info : reply.roster) {
        *message.add_roster() = encodeMember(info);
    }
    for (const Epoch epoch : reply.revoked) {
        message.add_revoked_epochs(epoch.value());
    }
    return message.SerializeAsString();
}

Result<RenewReply> decodeRenewReply(const std::string &bytes)
{
    v1::RenewReply message;
    if (!message.ParseFromString(bytes)) {
        return makeMalformed("renew reply");
    }
    RenewReply reply;
    reply.term = Term(message.term());
    reply.notCoordinator = message.not_coordinator();
    reply.heartbeat = decodeTime(message.heartbeat_us());
    reply.echoedSentAt = decodeTime(message.echoed_sent_at_us());
    reply.leaseLeft = std::chrono::microseconds(message.lease_left_us());
    reply.configVersion = message.config_version();
    if (!message.config().empty()) {
        auto config = decodeDeclarations(message.config());
        if (!config) {
            return std::move(config).as_failure();
        }
        reply.config = std::move(config.assume_value());
    }
    reply.assignmentVersion = ObjectVersion(message.assignment_version());
    if (message.has_assignment()) {
        auto assignment = decodeAssignmentMessage(message.assignment());
        if (!assignment) {
            return std::move(assignment).as_failure();
        }
        reply.assignment = std::move(assignment.assume_value());
    }
    for (const v1::Member &member : message.roster()) {
        reply.roster.push_back(decodeMember(member));
    }
    for (const uint64_t epoch : message.revoked_epochs()) {
        reply.revoked.emplace_back(epoch);
    }
    return reply;
}

} // namespace wisteriahoist
