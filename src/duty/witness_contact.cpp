/** @file witness_contact.cpp Heartbeats to witnesses, and this node's own service as a witness. */

#include "duty/witness_contact.h"

#include "adapter/log/event_log.h"
#include "adapter/task/background_task.h"
#include "core/hash_func.h"

#include <boost/asio/co_spawn.hpp>

namespace wisteriahoist {

namespace {

constexpr std::string_view HeartbeatPath = "/heartbeat";
constexpr std::string_view FencePath = "/fence";
constexpr milliseconds CallTimeout{400};
/** A witness that has been unreachable for this time is replaced in the next renewal. */
constexpr milliseconds ReplaceAfter{800};

std::string encodeRequest(NodeId node, Incarnation incarnation)
{
    v1::ContactRequest request;
    request.set_node_id(node.value());
    request.set_life(incarnation.value());
    return request.SerializeAsString();
}

} // namespace

Incarnation generateIncarnation(RandomSource &random)
{
    // Bits dropped so that the value fits into a signed 64-bit integer.
    constexpr unsigned Spare = 1;
    return Incarnation(random.next() >> Spare | 1U);
}

WitnessContact::WitnessContact(asio::io_context &context, const Clock &clock, RandomSource &random,
                               PeerCalls &peers, FleetView &view, PeerLoads &loads,
                               GrantAuthority &authority, NodeId self, std::string failureDomain)
    : context_(context), clock_(clock), peers_(peers), view_(view), loads_(loads),
      authority_(authority), self_(self), failureDomain_(std::move(failureDomain)),
      witnessIncarnation_(generateIncarnation(random))
{
    peers_.serve(std::string(HeartbeatPath),
                 [this](std::string body) { return onHeartbeat(std::move(body)); });
    peers_.serve(std::string(FencePath),
                 [this](std::string body) { return onFence(std::move(body)); });
}

bool WitnessContact::isUsable(const MemberRecord &member, TimePoint now) const
{
    const TimePoint since = loads_.unreachableSince(member.node);
    return member.node != self_ && !member.stopping
           && (since == NeverTime || now - since < ReplaceAfter);
}

std::set<NodeId> WitnessContact::chooseWitnesses(TimePoint now)
{
    std::erase_if(witnesses_, [&](NodeId node) {
        const MemberRecord *member = view_.findMember(node);
        return member == nullptr || !isUsable(*member, now);
    });
    // Ranked by a hash of both ids, so that no node is chosen as witness by all others.
    std::vector<std::pair<uint64_t, const MemberRecord *>> ranked;
    for (const auto &[node, member] : view_.members()) {
        if (isUsable(member, now)) {
            ranked.emplace_back(hashKey(std::to_string(node.value()), self_.value()).value(),
                                &member);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    const auto add = [&](auto fits) {
        for (const auto &[rank, member] : ranked) {
            if (witnesses_.size() >= times_.witnesses) {
                return;
            }
            if (fits(*member)) {
                witnesses_.insert(member->node);
            }
        }
    };
    // One witness in another failure domain first: the own domain may be cut off as a whole.
    const auto isElsewhere
            = [this](const MemberRecord &member) { return member.failureDomain != failureDomain_; };
    const bool hasElsewhere = std::any_of(witnesses_.begin(), witnesses_.end(), [&](NodeId node) {
        return isElsewhere(*view_.findMember(node));
    });
    if (!hasElsewhere) {
        bool found = false;
        add([&](const MemberRecord &member) {
            const bool take = !found && isElsewhere(member);
            found |= take;
            return take;
        });
    }
    add([&](const MemberRecord &member) { return !isElsewhere(member); });
    add([](const MemberRecord &) { return true; });
    return witnesses_;
}

void WitnessContact::sendHeartbeats(Incarnation incarnation, std::function<bool()> isCurrent,
                                    std::function<void()> fenced, TimePoint now)
{
    if (now - sentAt_ < times_.heartbeatEvery) {
        return;
    }
    sentAt_ = now;
    for (const NodeId node : witnesses_) {
        if (const MemberRecord *member = view_.findMember(node)) {
            asio::co_spawn(context_, sendHeartbeat(*member, incarnation, isCurrent, fenced),
                           logFailureOf("heartbeat to a witness"));
        }
    }
}

asio::awaitable<void> WitnessContact::sendHeartbeat(MemberRecord witness, Incarnation incarnation,
                                                    std::function<bool()> isCurrent,
                                                    std::function<void()> fenced)
{
    const TimePoint sentAt = clock_.now();
    std::string body = encodeRequest(self_, incarnation);
    Result<std::string> answer
            = co_await peers_.call(witness, HeartbeatPath, std::move(body), CallTimeout);
    const TimePoint now = clock_.now();
    v1::ContactReply reply;
    if (!answer || answer.assume_value().empty() || !reply.ParseFromString(answer.assume_value())) {
        loads_.onUnanswered(witness.node, now);
        co_return;
    }
    loads_.onAnswered(witness.node, now);
    if (!isCurrent()) {
        co_return;
    }
    if (reply.accepted()) {
        authority_.onAcknowledged(witness.node, sentAt, now);
    } else {
        fenced();
    }
}

asio::awaitable<std::string> WitnessContact::onHeartbeat(std::string body)
{
    v1::ContactRequest request;
    v1::ContactReply reply;
    reply.set_witness_life(witnessIncarnation_.value());
    if (request.ParseFromString(body)) {
        reply.set_accepted(desk_.onHeartbeat(NodeId(request.node_id()), Incarnation(request.life()),
                                             clock_.now()));
    }
    co_return reply.SerializeAsString();
}

asio::awaitable<std::string> WitnessContact::onFence(std::string body)
{
    v1::ContactRequest request;
    v1::ContactReply reply;
    reply.set_witness_life(witnessIncarnation_.value());
    if (request.ParseFromString(body)) {
        reply.set_accepted(desk_.onFence(NodeId(request.node_id()), Incarnation(request.life()),
                                         clock_.now()));
        logEvent(LogEvent::NodeFenced, {{"node", request.node_id()},
                                        {"life", request.life()},
                                        {"accepted", reply.accepted()}});
    }
    co_return reply.SerializeAsString();
}

asio::awaitable<FenceReply> WitnessContact::fence(NodeId witness, NodeId node,
                                                  Incarnation incarnation)
{
    FenceReply fence;
    if (witness == self_) {
        fence.result = desk_.onFence(node, incarnation, clock_.now()) ? FenceResult::Fenced
                                                                      : FenceResult::RecentlyHeard;
        fence.witnessLife = witnessIncarnation_;
        co_return fence;
    }
    const MemberRecord *member = view_.findMember(witness);
    if (member == nullptr) {
        co_return fence;
    }
    const MemberRecord copy = *member;
    std::string body = encodeRequest(node, incarnation);
    Result<std::string> answer
            = co_await peers_.call(copy, FencePath, std::move(body), CallTimeout);
    v1::ContactReply reply;
    if (answer && !answer.assume_value().empty() && reply.ParseFromString(answer.assume_value())) {
        fence.result = reply.accepted() ? FenceResult::Fenced : FenceResult::RecentlyHeard;
        fence.witnessLife = Incarnation(reply.witness_life());
    }
    co_return fence;
}

} // namespace wisteriahoist
