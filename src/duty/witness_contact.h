/** @file witness_contact.h Heartbeats to witnesses, answers to others' heartbeats, fences. */

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

/** @return A number that names one life of a process, or one session of it; never 0. */
Incarnation generateIncarnation(RandomSource &random);

/** How a fence at one witness ended. */
enum class FenceResult {
    Fenced,
    StillInContact, ///< The witness has heard of the node lately.
    NoAnswer,
};

/** A fence with the life of the witness that made it. */
struct FenceReply {
    FenceResult result = FenceResult::NoAnswer;
    Incarnation witnessLife;
};

/** Carries the messages of GrantAuthority, HeartbeatWitness and Takeover. Used by one thread. */
class WitnessContact
{
public:
    WitnessContact(asio::io_context &context, const Clock &clock, RandomSource &random,
                   PeerCalls &peers, FleetView &view, PeerLoads &loads, GrantAuthority &authority,
                   NodeId self, std::string failureDomain);

    /**
     * Sends a heartbeat of @p life to each witness, if it is time.
     * @param isCurrent Whether that is still the life; an answer to an earlier one counts nothing.
     * @param fenced Runs if a witness refuses the life.
     */
    void sendHeartbeats(Incarnation life, std::function<bool()> isCurrent,
                        std::function<void()> fenced, TimePoint now);

    /** @return The witnesses to name in the next renewal; those that answer are kept. */
    std::set<NodeId> chooseWitnesses(TimePoint now);

    /** Asks @p witness to fence @p life of @p node. */
    asio::awaitable<FenceReply> fence(NodeId witness, NodeId node, Incarnation life);

private:
    asio::awaitable<void> sendHeartbeat(MemberRecord witness, Incarnation life,
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
    Incarnation deskLife_; ///< Of this process as a witness.
    std::set<NodeId> witnesses_;
    TimePoint sentAt_ = NeverTime;
};

} // namespace wisteriahoist
