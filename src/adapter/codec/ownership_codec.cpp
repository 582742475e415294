/** @file ownership_codec.cpp Converts ownership types to and from protobuf. */

#include "adapter/codec/ownership_codec.h"

#include "adapter/codec/declaration_codec.h"

namespace wisteriahoist {

namespace {

/**
 * Time points are encoded in microseconds, rounded down, so that rounding never lengthens a lease.
 */
int64_t encodeTime(TimePoint time)
{
    return std::chrono::floor<std::chrono::microseconds>(time.time_since_epoch()).count();
}

TimePoint decodeTime(int64_t count)
{
    return TimePoint(std::chrono::microseconds(count));
}

/** Rounds down, so that encoding never lengthens a lease or a remaining time. */
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

/** Rounds up, so that an older lease that is still running never appears shorter than it is. */
int64_t encodeDurationUp(Duration duration)
{
    return std::chrono::ceil<std::chrono::microseconds>(duration).count();
}

void encodeAddress(const NodeAddress &address, v1::NodeAddress &message)
{
    message.set_ip(address.ip);
    message.set_caller_port(address.callerPort);
    message.set_peer_port(address.peerPort);
    message.set_admin_port(address.adminPort);
}

NodeAddress decodeAddress(const v1::NodeAddress &message)
{
    NodeAddress address;
    address.ip = message.ip();
    address.callerPort = static_cast<uint16_t>(message.caller_port());
    address.peerPort = static_cast<uint16_t>(message.peer_port());
    address.adminPort = static_cast<uint16_t>(message.admin_port());
    return address;
}

void encodeRevocation(const Revocation &revocation, v1::Revocation &message)
{
    message.set_service(revocation.service);
    message.set_first(revocation.first.value());
    message.set_last(revocation.last.value());
    message.set_epoch(revocation.epoch.value());
}

Revocation decodeRevocation(const v1::Revocation &message)
{
    return {message.service(), KeyHash(message.first()), KeyHash(message.last()),
            Epoch(message.epoch())};
}

void encodeLoad(const ServiceLoad &load, v1::ServiceLoad &message)
{
    message.set_service(load.service);
    for (const SliceLoad &slice : load.slices) {
        v1::SliceLoad *encoded = message.add_slices();
        encoded->set_first(slice.first.value());
        encoded->set_requests_per_second(slice.requestsPerSecond);
    }
    for (const HotKey &key : load.hotKeys) {
        v1::HotKey *encoded = message.add_hot_keys();
        encoded->set_hash(key.hash.value());
        encoded->set_requests_per_second(key.requestsPerSecond);
    }
}

ServiceLoad decodeLoad(const v1::ServiceLoad &message)
{
    ServiceLoad load;
    load.service = message.service();
    for (const v1::SliceLoad &slice : message.slices()) {
        load.slices.push_back({KeyHash(slice.first()), slice.requests_per_second()});
    }
    for (const v1::HotKey &key : message.hot_keys()) {
        load.hotKeys.push_back({KeyHash(key.hash()), key.requests_per_second()});
    }
    return load;
}

} // namespace

v1::Member encodeMember(const MemberInfo &info)
{
    v1::Member message;
    message.set_node_id(info.id.value());
    message.set_incarnation(info.incarnation.value());
    encodeAddress(info.address, *message.mutable_address());
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
    info.address = decodeAddress(message.address());
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
    encodeAddress(record.coordinatorAddress, *message.mutable_coordinator_address());
    for (const MemberInfo &info : record.roster) {
        *message.add_roster() = encodeMember(info);
    }
    for (const OpenRoster &open : record.openRosters) {
        v1::OpenRoster *encoded = message.add_open_rosters();
        encoded->set_term(open.term.value());
        for (const Voter &voter : open.voters) {
            encoded->add_node_ids(voter.id.value());
            encoded->add_incarnations(voter.incarnation.value());
        }
    }
    return message.SerializeAsString();
}

Result<TermRecord> decodeTerm(const std::string &bytes)
{
    v1::TermObject message;
    if (!message.ParseFromString(bytes)) {
        return makeMalformed("invalid term object");
    }
    TermRecord record;
    record.term = Term(message.term());
    record.coordinator = NodeId(message.coordinator_node());
    record.coordinatorIncarnation = Incarnation(message.coordinator_incarnation());
    record.nonce = WriteNonce(message.write_nonce());
    for (const v1::Member &member : message.roster()) {
        record.roster.push_back(decodeMember(member));
    }
    record.coordinatorAddress = decodeAddress(message.coordinator_address());
    for (const v1::OpenRoster &open : message.open_rosters()) {
        if (open.node_ids_size() != open.incarnations_size()) {
            return makeMalformed("invalid term object: open roster with different numbers of node "
                                 "ids and incarnations");
        }
        OpenRoster decoded;
        decoded.term = Term(open.term());
        for (int index = 0; index < open.node_ids_size(); ++index) {
            decoded.voters.push_back(
                    {NodeId(open.node_ids(index)), Incarnation(open.incarnations(index))});
        }
        record.openRosters.push_back(std::move(decoded));
    }
    return record;
}

Result<Term> decodeLossConfirmation(const std::string &bytes)
{
    v1::LossConfirmation message;
    if (!message.ParseFromString(bytes)) {
        return makeMalformed("invalid loss confirmation");
    }
    return Term(message.term());
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
            return makeMalformed("invalid assignment: ranges out of order");
        }
        record.services[service.service()] = SliceTable(std::move(slices));
    }
    return record;
}

Result<AssignmentRecord> decodeAssignment(const std::string &bytes)
{
    v1::AssignmentObject message;
    if (!message.ParseFromString(bytes)) {
        return makeMalformed("invalid assignment object");
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
    message.set_older_lease_left_us(encodeDurationUp(request.olderLeaseLeft));
    message.set_older_echo_age_us(encodeDuration(request.olderEchoAge));
    for (const Revocation &revocation : request.relinquished) {
        encodeRevocation(revocation, *message.add_relinquished());
    }
    message.set_load(request.load);
    for (const ServiceLoad &load : request.loads) {
        encodeLoad(load, *message.add_loads());
    }
    return message.SerializeAsString();
}

Result<RenewRequest> decodeRenewRequest(const std::string &bytes)
{
    v1::RenewRequest message;
    if (!message.ParseFromString(bytes)) {
        return makeMalformed("invalid renew request");
    }
    RenewRequest request;
    request.member = decodeMember(message.member());
    request.acknowledgedTerm = Term(message.acknowledged_term());
    request.echoedHeartbeat = decodeTime(message.echoed_heartbeat_us());
    request.sentAt = decodeTime(message.sent_at_us());
    request.configVersion = message.config_version();
    request.assignmentVersion = ObjectVersion(message.assignment_version());
    request.olderLeaseLeft = std::chrono::microseconds(message.older_lease_left_us());
    request.olderEchoAge = std::chrono::microseconds(message.older_echo_age_us());
    for (const v1::Revocation &revocation : message.relinquished()) {
        request.relinquished.push_back(decodeRevocation(revocation));
    }
    request.load = message.load();
    for (const v1::ServiceLoad &load : message.loads()) {
        request.loads.push_back(decodeLoad(load));
    }
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
    for (const Revocation &revocation : reply.revoked) {
        encodeRevocation(revocation, *message.add_revoked());
    }
    return message.SerializeAsString();
}

Result<RenewReply> decodeRenewReply(const std::string &bytes)
{
    v1::RenewReply message;
    if (!message.ParseFromString(bytes)) {
        return makeMalformed("invalid renew reply");
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
    for (const v1::Revocation &revocation : message.revoked()) {
        reply.revoked.push_back(decodeRevocation(revocation));
    }
    return reply;
}

} // namespace wisteriahoist
