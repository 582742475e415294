/** @file ownership_codec_test.cpp Terms, assignments and renewals survive their protobuf form. */

#include "adapter/codec/ownership_codec.h"
#include "support/test_section.h"

using namespace wisteriahoist;

namespace {

MemberInfo makeMember(uint64_t id)
{
    MemberInfo info;
    info.id = NodeId(id);
    info.incarnation = Incarnation(id * 10);
    info.address = {"10.0.0.1", 1, 2, 3};
    info.failureDomain = "domain-1";
    info.service = "profiles";
    info.slots = 12;
    info.grantMode = GrantMode::Unchecked;
    return info;
}

} // namespace

Test(ownership_codec, round_trips)
{
    SECTION("the term object keeps its open rosters and the coordinator's address")
    {
        TermRecord record;
        record.term = Term(7);
        record.coordinator = NodeId(2);
        record.coordinatorIncarnation = Incarnation(20);
        record.coordinatorAddress = {"10.0.0.2", 4, 5, 6};
        record.nonce = WriteNonce(99);
        record.roster = {makeMember(1), makeMember(2)};
        record.openRosters
                = {{Term(6), {{NodeId(1), Incarnation(10)}, {NodeId(3), Incarnation(9)}}}};
        const auto decoded = decodeTerm(encodeTerm(record));
        cr_assert(decoded.has_value());
        cr_assert(decoded.assume_value() == record);
    }
    SECTION("a renewal keeps what its member gave up, and its loads")
    {
        RenewRequest request;
        request.member = makeMember(1);
        request.acknowledgedTerm = Term(7);
        request.echoedHeartbeat = TimePoint(milliseconds(5));
        request.sentAt = TimePoint(milliseconds(6));
        request.relinquished = {{"profiles", KeyHash(0), KeyHash(9), Epoch(3)}};
        request.loads = {{"profiles", {{KeyHash(0), 12.5}}, {{KeyHash(4), 10}}}};
        const auto decoded = decodeRenewRequest(encodeRenewRequest(request));
        cr_assert(decoded.has_value());
        cr_assert(decoded.assume_value().relinquished == request.relinquished);
        cr_assert(decoded.assume_value().loads.at(0).hotKeys.at(0).hash == KeyHash(4));
        cr_assert(decoded.assume_value().loads.at(0).slices.at(0).requestsPerSecond == 12.5);
    }
    SECTION("rounding never lengthens a lease nor shortens what is left of an older one")
    {
        RenewRequest request;
        request.olderLeaseLeft = Duration(1500);
        request.olderEchoAge = Duration(1500);
        const auto sent = decodeRenewRequest(encodeRenewRequest(request));
        cr_assert(sent.assume_value().olderLeaseLeft == Duration(2000));
        cr_assert(sent.assume_value().olderEchoAge == Duration(1000));
        RenewReply reply;
        reply.leaseLeft = Duration(1500);
        reply.revoked = {{"profiles", KeyHash(0), KeyHash(9), Epoch(3)}};
        const auto answered = decodeRenewReply(encodeRenewReply(reply));
        cr_assert(answered.assume_value().leaseLeft == Duration(1000));
        cr_assert(answered.assume_value().revoked == reply.revoked);
    }
}
