/** @file witness_contact.h Heartbeats to witnesses, and this node's own service as a witness. */

#pragma once

#include "decision/range/grant_authority.h"
#include "duty/fleet_view.h"
#include "duty/peer_loads.h"
#include "port/clock.h"
#include "port/peer_calls.h"
#include "port/random_source.h"

#include <boost/asio/io_context.hpp>

namespace wisteriahoist {

namespace asio = boost::asio;

/** @return A random incarnation of a process or of one of its sessions; never 0. */
Incarnation generateIncarnation(RandomSource &random);

/** Result of a fence call to one witness. */
enum class FenceResult {
    Fenced,
    RecentlyHeard, ///< The witness has received a heartbeat of the node recently.
    NoAnswer,
};

/** Result of a fence call, with the incarnation of the witness that answered. */
struct FenceReply {
    FenceResult result = FenceResult::NoAnswer;
    Incarnation witnessLife;
};

/** Exchanges the messages of GrantAuthority, HeartbeatWitness and Takeover. Used by one thread. */
class WitnessContact
{
public:
    WitnessContact(asio::io_context &context, const Clock &clock, RandomSource &random,
                   PeerCalls &peers, FleetView &view, PeerLoads &loads, GrantAuthority &authority,
                   NodeId self, std::string failureDomain);

    /**
     * Sends a heartbeat of @p incarnation to each witness, if one is due.
     * @param isCurrent Whether @p incarnation is still the current one; if not, the reply is
     * ignored.
     * @param fenced Called if a witness has fenced the incarnation.
     */
    void sendHeartbeats(Incarnation incarnation, std::function<bool()> isCurrent,
                        std::function<void()> fenced, TimePoint now);

    /** @return The witnesses to name in the next renewal; those that answer are retained. */
    std::set<NodeId> chooseWitnesses(TimePoint now);

    /** Calls @p witness to fence @p incarnation of @p node. */
    asio::awaitable<FenceReply> fence(NodeId witness, NodeId node, Incarnation incarnation);

private:
    asio::awaitable<void> sendHeartbeat(MemberRecord witness, Incarnation incarnation,
                                        std::function<bool()> isCurrent,
                                        std::function<void()> fenced);
    asio::awaitable<std::string> onHeartbeat(std::string body);
    asio::awaitable<std::string> onFence(std::string body);
    bool isUsable(const MemberRecord &member, TimePoint now) const;

    asio::io_context &context_;
    const Clock &clock_;
    PeerCalls &peers_;
    FleetView &view_;
    PeerLoads &loads_;
    GrantAuthority &authority_;
    NodeId self_;
    std::string failureDomain_;
    WitnessTimes times_;
    HeartbeatWitness desk_{WitnessTimes{}};
    Incarnation witnessIncarnation_; ///< Of this process as a witness.
    std::set<NodeId> witnesses_;
    TimePoint sentAt_ = NeverTime;
};

} // namespace wisteriahoist
