/** @file store_relay.h The store for a node that cannot reach it itself: through another node. */

#pragma once

#include "duty/fleet_view.h"
#include "duty/peer_link.h"
#include "port/clock.h"
#include "port/record_store.h"
#include "wisteriahoist/v1/control.pb.h"

namespace wisteriahoist {

/** Times of the relay. */
struct RelayTimes {
    /** After a failure the own way is tried again this late: each try may take a whole timeout. */
    milliseconds directPause{700};
    /** After no other node could help: then the store itself is away, and asking costs calls. */
    milliseconds relayPause{1000};
    /** Between two lists while watches are not to be had. */
    milliseconds watchPause{1000};
    milliseconds callTimeout{1000};
};

/**
 * A store may answer some nodes and refuse others, for longer than a lease lasts. A node in that
 * place would stop granting keys and follow neither members nor ranges, though all its neighbours
 * still reach the store. Its calls go through one of them instead.
 *
 * Sending a conditional write a second time over another way is safe: whichever arrives first
 * changes the revision, and the other one fails.
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

private:
    Pending<v1::StoreReply> relay(v1::StoreRequest request);
    Pending<StoreRevision> relayWrite(v1::StoreRequest request);
    Pending<v1::StoreReply> ask(MemberRecord member, std::string body);
    boost::asio::awaitable<std::string> serve(std::string body);
    boost::asio::awaitable<v1::StoreReply> run(v1::StoreRequest request);
    bool isDirect() const { return clock_.now() >= directAt_; }
    bool noteDirect(const Failure *failure);

    RecordStore &direct_;
    const Clock &clock_;
    PeerLink &peers_;
    FleetView &view_;
    NodeId self_;
    RelayTimes times_;
    TimePoint directAt_ = NeverTime; ///< The own way is tried again then.
    TimePoint relayAt_ = NeverTime;  ///< Other nodes are asked again then.
    NodeId helper_;                  ///< Who helped last.
};

} // namespace wisteriahoist
