/** @file store_sync.h Keeps the fleet view up to date by listing and watching the store. */

#pragma once

#include "duty/fleet_view.h"
#include "duty/record_packer.h"
#include "duty/watch_lag.h"
#include "port/clock.h"
#include "port/peer_calls.h"
#include "port/revision_exchange.h"

#include <boost/asio/io_context.hpp>
#include <set>

namespace wisteriahoist {

/** Decodes the operators' configuration record. */
using ConfigDecoder = std::function<Result<RouteConfig>(std::string_view content)>;

/** Intervals and limits of the watches. */
struct SyncTimes {
    milliseconds wait{20000}; ///< Duration of one watch; each call has a cost.
    milliseconds gap{50};     ///< Between two watches, so that changes are batched.
    /**
     * While watches of a kind keep returning changes, the gap doubles up to these limits. A fleet
     * of 91 that starts makes 182 changes of members and 1,500 of ranges within two seconds, and
     * each would wake a watch of every node that doesn't follow another one yet. The limit for
     * ranges is lower because a delay slows down requests for keys that have moved.
     */
    milliseconds maxMemberGap{400};
    milliseconds maxRangeGap{100};
    /** Limit per member, if that exceeds maxRangeGap: each change wakes the watches of all
     * feeders, so the calls of a fleet would grow with the square of its size. A node that is
     * granted keys is notified directly and doesn't depend on the watch. */
    milliseconds rangeGapPerMember{2};
    size_t minMembers = 20;      ///< Smaller fleets use the short gap, except for members.
    milliseconds firstPause{50}; ///< After a failure; doubles with each further one.
    /**
     * Limit of that pause: changes must take effect within 2 s after the store is back. While the
     * store is unavailable, every node keeps retrying, and rejected calls have a cost too, so the
     * limit increases with the number of members.
     */
    milliseconds maxPause{400};
    milliseconds pausePerMember{6};
    /**
     * A working watch is behind by its gap and one response of the store, at most 0.4 s each. If it
     * is behind for longer than this, a node of a small fleet lists the records. Without this
     * limit, keys were refused for 17 s after a connection to the store had stopped delivering.
     */
    milliseconds maxLag{1000};
    /**
     * The same for the configuration, in a fleet of any size: it is then read from the node that
     * has named the newer revision. That way needs neither the store nor a feeder.
     */
    milliseconds maxConfigLag{500};
    milliseconds peerReadTimeout{2000};
    /** Limit if the reply keeps arriving: a shorter one would cut the transfer off and begin it
     *  again, with the link full all the while. */
    milliseconds peerTransferTimeout{5000};
    milliseconds peerReadPause{200}; ///< Until another node is asked after a failure.
    /** Bytes per second of configurations that are sent to nodes which are behind, on average. A
     *  node that is the first of many to have a large one would otherwise fill its link. */
    double servedBytesPerSecond = 512.0 * 1024;
};

/** Runs one loop per kind of record: list, then watch from the listed revision; after a failure,
 * list again. */
class StoreSync final : public RevisionExchange
{
public:
    StoreSync(boost::asio::io_context &context, RecordStore &store, const Clock &clock,
              FleetView &view, std::string configName, ConfigDecoder decodeConfig,
              SyncTimes times = {});

    /** Evacuations are in use and watched too. @pre start() has not been called. */
    void watchEvacuations();

    void start();

    /**
     * Reads a newer configuration from the node that has named it, and answers such calls of
     * others. Without this, it is listed from the store. @pre start() has not been called.
     */
    void exchangeConfig(PeerCalls &peers);

    /** Applies a record that the store returned outside of a watch. */
    void onRecord(RecordKind kind, const StoredRecord &record);

    KnownRevisions news() const override { return newest_; }
    ConfigStatus configStatus(TimePoint now) const override;
    void onPeerRevisions(NodeId peer, const KnownRevisions &news, TimePoint now) override;

private:
    boost::asio::awaitable<void> catchUp(RecordKind kind, NodeId peer);
    boost::asio::awaitable<bool> readConfigFrom(NodeId peer);
    boost::asio::awaitable<std::string> serveConfig(std::string body);
    /** @return Whether a record of @p kind that this node misses is read by a call of its own. */
    bool isCaughtUpByCall(RecordKind kind) const;
    boost::asio::awaitable<void> run(RecordKind kind);
    boost::asio::awaitable<Result<StoreRevision>> list(RecordKind kind);
    boost::asio::awaitable<Result<StoreRevision>> watch(RecordKind kind, StoreRevision since);
    milliseconds gapAfter(RecordKind kind);
    void applyListing(RecordKind kind, const RecordListing &listing);
    void applyChanges(RecordKind kind, const RecordChanges &changes);
    void applyRecord(RecordKind kind, const StoredRecord &record, std::string_view source);
    void applyOrThrow(RecordKind kind, const StoredRecord &record, std::string_view source);
    void applyConfig(const StoredRecord &record, std::string_view source);
    void applyRemoval(RecordKind kind, const std::string &name);
    /** @param failure Of the last call for @p kind; nullptr: it succeeded. */
    void updateAvailability(RecordKind kind, const Failure *failure);
    bool isUnavailable() const { return !failing_.empty(); }
    /** The watch of @p kind has received all changes up to @p at; the store had nothing newer at
     *  @p confirmedAt. */
    void onWatched(RecordKind kind, StoreRevision at, TimePoint confirmedAt);
    /** @return Time since the configuration was last confirmed to be the newest; 0: never yet. */
    milliseconds configUnconfirmedFor(TimePoint now) const;
    void logFailedConfigSync(std::string_view call, const Failure &failure, TimePoint begun) const;

    boost::asio::io_context &context_;
    RecordStore &store_;
    const Clock &clock_;
    FleetView &view_;
    std::string configName_;
    ConfigDecoder decodeConfig_;
    SyncTimes times_;
    /** Result of the last watch of a kind. */
    struct Recent {
        bool changed = false;
        milliseconds gap{0}; ///< Pause after it.
    };
    std::map<RecordKind, Recent> recent_;
    KnownRevisions newest_;
    std::vector<RecordKind> kinds_{RecordKind::Configuration, RecordKind::Members,
                                   RecordKind::Ranges}; ///< Kinds that are watched.
    std::map<RecordKind, WatchLag> lags_;
    std::set<RecordKind> catchingUp_;         ///< Kinds that are read while their watch waits.
    PeerCalls *peers_ = nullptr;              ///< nullptr: configurations are not exchanged.
    StoredRecord config_;                     ///< Record of the configuration in force.
    RecordPacker packer_;                     ///< For the configuration.
    TimePoint nextServedAt_ = NeverTime;      ///< When it is sent to a node again that is behind.
    std::set<RecordKind> failing_;            ///< Kinds whose last call failed.
    TimePoint configConfirmedAt_ = NeverTime; ///< The store had no newer configuration then.
    TimePoint configInForceAt_ = NeverTime;
    StoreRevision configPosition_;  ///< Up to which the configuration has been watched.
    std::string_view configSource_; ///< By which call the configuration in force came.
};

} // namespace wisteriahoist
