/** @file store_relay.h Access to the store through another node if it can't be reached directly. */

#pragma once

#include "decision/member/relay_choice.h"
#include "duty/fleet_view.h"
#include "duty/peer_link.h"
#include "duty/record_packer.h"
#include "port/clock.h"
#include "port/record_store.h"
#include "wisteriahoist/v1/control.pb.h"

namespace wisteriahoist {

/** Intervals and timeouts of the relay. */
struct RelayTimes {
    /** Until direct access is retried after a failure: each attempt may take a whole timeout. */
    milliseconds directRetryDelay{700};
    /** Until other nodes are asked again after none reached the store: it is down for all then, and
     *  each attempt costs calls. */
    milliseconds relayRetryDelay{1000};
    /** Between two lists while watches are not available. */
    milliseconds listInterval{1000};
    milliseconds callTimeout{800};
    milliseconds transferTimeout{5000}; ///< Limit if the reply keeps arriving.
    /** Minimum interval between two log lines on calls carried out for other nodes. */
    milliseconds logInterval{1000};
};

/**
 * A store may answer some nodes and reject others for longer than a lease lasts. A rejected node
 * would stop granting keys and miss changes of members and ranges, although other nodes still reach
 * the store. Its calls are relayed through one of those instead.
 *
 * Repeating a conditional write over another path is safe: the first one to arrive changes the
 * revision, and the other one fails.
 */
class RelayedStore final : public RecordStore
{
public:
    RelayedStore(RecordStore &direct, const Clock &clock, PeerLink &peers, FleetView &view,
                 NodeId self);

    Pending<RecordListing> list(RecordKind kind) override;
    Pending<StoredRecord> read(RecordKind kind, std::string name) override;
    Pending<StoreRevision> create(RecordKind kind, std::string name, std::string content) override;
    Pending<StoreRevision> replace(RecordKind kind, std::string name, StoreRevision expected,
                                   std::string content) override;
    Pending<RecordChanges> watch(RecordKind kind, StoreRevision since, milliseconds wait) override;

    /** @return Number of calls carried out for other nodes. */
    uint64_t relayedCalls() const { return relayedCalls_; }

private:
    Pending<v1::StoreReply> relay(v1::StoreRequest request);
    Pending<StoreRevision> relayWrite(v1::StoreRequest request);
    Pending<v1::StoreReply> callRelay(MemberRecord member, std::string body);
    boost::asio::awaitable<std::string> serve(std::string body);
    boost::asio::awaitable<v1::StoreReply> execute(v1::StoreRequest request);
    bool isDirect() const { return clock_.now() >= nextDirectAttempt_; }
    bool updateDirectAccess(const Failure *failure);
    void countRelayed(TimePoint now);

    RecordStore &direct_;
    const Clock &clock_;
    PeerLink &peers_;
    FleetView &view_;
    RelayChoice choice_;
    RelayTimes times_;
    RecordPacker packer_;                     ///< For relayed listings of the configuration.
    TimePoint nextDirectAttempt_ = NeverTime; ///< When direct access is tried again.
    TimePoint nextRelayAttempt_ = NeverTime;  ///< When other nodes are asked again.
    uint64_t relayedCalls_ = 0;               ///< Carried out for other nodes.
    uint64_t loggedCalls_ = 0;                ///< Those of them that have been logged.
    TimePoint relayedLoggedAt_ = NeverTime;   ///< Time of that line.
};

} // namespace wisteriahoist
