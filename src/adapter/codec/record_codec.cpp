/** @file record_codec.cpp JSON encoding of this product's records in the store. */

#include "adapter/codec/record_codec.h"

#include "wisteriahoist/v1/objects.pb.h"

#include <boost/asio/ip/address.hpp>
#include <cmath>
#include <google/protobuf/util/json_util.h>

namespace wisteriahoist {

namespace {

std::string toJson(const google::protobuf::Message &message)
{
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text);
    return status.ok() ? text : std::string("{}");
}

/** Ignores unknown fields, since during an upgrade two releases read the same records. */
Result<void> fromJson(std::string_view content, google::protobuf::Message &message)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const auto status = google::protobuf::util::JsonStringToMessage(
            {content.data(), content.size()}, &message, options);
    if (!status.ok()) {
        return Failure{FailureCode::Malformed, status.ToString()};
    }
    return boost::outcome_v2::success();
}

v1::BackendState encodeState(BackendState state)
{
    switch (state) {
    case BackendState::Absent:
        return v1::BACKEND_STATE_UNSPECIFIED;
    case BackendState::Ready:
        return v1::BACKEND_STATE_READY;
    case BackendState::Draining:
        return v1::BACKEND_STATE_DRAINING;
    case BackendState::Down:
        return v1::BACKEND_STATE_DOWN;
    }
    return v1::BACKEND_STATE_UNSPECIFIED;
}

BackendState decodeState(v1::BackendState state)
{
    switch (state) {
    case v1::BACKEND_STATE_READY:
        return BackendState::Ready;
    case v1::BACKEND_STATE_DRAINING:
        return BackendState::Draining;
    case v1::BACKEND_STATE_DOWN:
        return BackendState::Down;
    default:
        return BackendState::Absent;
    }
}

/** Others break comparisons, by which nodes are ranked. */
bool isAmount(double number)
{
    return std::isfinite(number) && number >= 0;
}

} // namespace

std::string encodeMember(const MemberRecord &member)
{
    v1::MemberRecord message;
    message.set_node_id(member.node.value());
    message.set_name(member.name);
    message.set_life(member.life.value());
    message.set_ip(member.ip);
    message.set_peer_port(member.peerPort);
    message.set_failure_domain(member.failureDomain);
    message.set_service(member.service);
    message.set_backend(member.backend.id);
    message.set_backend_born(member.backend.born);
    message.set_state(encodeState(member.state));
    message.set_slots(member.slots);
    message.set_stopping(member.stopping);
    message.set_cpu_share(member.cpuShare);
    if (member.requestLimit) {
        message.set_request_limit(*member.requestLimit);
    }
    for (const CrashReport &report : member.crashes) {
        v1::CrashReport *crash = message.add_crashes();
        crash->set_request(report.request.value());
        crash->set_backend(report.backend.value());
        crash->set_refuted(report.refuted);
    }
    return toJson(message);
}

Result<MemberRecord> decodeMember(std::string_view content)
{
    v1::MemberRecord message;
    Result<void> parsed = fromJson(content, message);
    if (!parsed) {
        return std::move(parsed).as_failure();
    }
    boost::system::error_code badAddress;
    boost::asio::ip::make_address(message.ip(), badAddress);
    if (message.node_id() == 0 || message.peer_port() == 0 || message.peer_port() > UINT16_MAX
        || badAddress) {
        return Failure{FailureCode::Malformed,
                       "member record: invalid node id, address or peer port"};
    }
    if (!isAmount(message.cpu_share()) || !isAmount(message.request_limit())) {
        return Failure{FailureCode::Malformed,
                       "member record: a share or limit that is negative or not finite"};
    }
    MemberRecord member;
    member.node = NodeId(message.node_id());
    member.name = message.name();
    member.life = Incarnation(message.life());
    member.ip = message.ip();
    member.peerPort = static_cast<uint16_t>(message.peer_port());
    member.failureDomain = message.failure_domain();
    member.service = message.service();
    member.backend = {message.backend(), message.backend_born()};
    member.state = decodeState(message.state());
    member.slots = message.slots();
    member.stopping = message.stopping();
    member.cpuShare = message.cpu_share();
    if (message.has_request_limit()) {
        member.requestLimit = message.request_limit();
    }
    for (const v1::CrashReport &crash : message.crashes()) {
        member.crashes.push_back({RequestFingerprint(crash.request()),
                                  IncarnationHash(crash.backend()), crash.refuted()});
    }
    return member;
}

std::string encodeRangeRecord(const RangeRecord &record)
{
    v1::RangeTableRecord message;
    message.set_highest_fence(record.table.highestFence.value());
    message.set_service(record.service);
    message.set_block(record.block);
    message.set_blocks(record.layout.count);
    for (const RangeEntry &entry : record.table.entries) {
        v1::RangeRecord *range = message.add_ranges();
        range->set_first(entry.first.value());
        range->set_node_id(entry.holder.node.value());
        range->set_life(entry.holder.life.value());
        range->set_backend(entry.holder.backend.id);
        range->set_backend_born(entry.holder.backend.born);
        range->set_fence(entry.fence.value());
        range->set_handover(entry.handover);
    }
    return toJson(message);
}

Result<RangeRecord> decodeRangeRecord(std::string_view content)
{
    v1::RangeTableRecord message;
    Result<void> parsed = fromJson(content, message);
    if (!parsed) {
        return std::move(parsed).as_failure();
    }
    RangeRecord record;
    record.service = message.service();
    record.block = message.block();
    record.layout.count = std::max<uint32_t>(1, message.blocks());
    if (!isValidBlockCount(record.layout.count) || record.block >= record.layout.count) {
        return Failure{FailureCode::Malformed, "range record: invalid block number or block count"};
    }
    const KeySpan span = record.isBlock() ? record.layout.spanOf(record.block) : KeySpan{};
    RangeTable &table = record.table;
    table.highestFence = Epoch(message.highest_fence());
    for (const v1::RangeRecord &range : message.ranges()) {
        RangeEntry entry;
        entry.first = ShardKey(range.first());
        entry.holder = {NodeId(range.node_id()),
                        Incarnation(range.life()),
                        {range.backend(), range.backend_born()}};
        entry.fence = Epoch(range.fence());
        entry.handover = range.handover();
        const bool inOrder = table.entries.empty() ? entry.first == span.first
                                                   : table.entries.back().first < entry.first;
        if (!inOrder || entry.first > span.last || entry.fence > table.highestFence) {
            return Failure{FailureCode::Malformed,
                           "range record: ranges out of order, or fence above the highest fence"};
        }
        table.entries.push_back(std::move(entry));
    }
    if (record.isBlock() && table.entries.empty()) {
        return Failure{FailureCode::Malformed, "range record: block without ranges"};
    }
    return record;
}

std::string encodeLease(const LeaseRecord &lease)
{
    v1::LeaseRecord message;
    message.set_node_id(lease.node.value());
    message.set_life(lease.life.value());
    message.set_renewal(lease.renewal);
    message.set_revoked_by(lease.revokedBy.value());
    for (const NodeId witness : lease.witnesses) {
        message.add_witnesses(witness.value());
    }
    return toJson(message);
}

Result<LeaseRecord> decodeLease(std::string_view content)
{
    v1::LeaseRecord message;
    Result<void> parsed = fromJson(content, message);
    if (!parsed) {
        return std::move(parsed).as_failure();
    }
    LeaseRecord lease;
    lease.node = NodeId(message.node_id());
    lease.life = Incarnation(message.life());
    lease.renewal = message.renewal();
    lease.revokedBy = NodeId(message.revoked_by());
    for (const uint64_t witness : message.witnesses()) {
        lease.witnesses.emplace_back(witness);
    }
    return lease;
}

} // namespace wisteriahoist
