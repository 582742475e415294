/** @file store_sync.h Keeps the fleet view up to date: lists, then watches each kind of record. */

#pragma once

#include "duty/fleet_view.h"
#include "duty/watch_lag.h"
#include "port/revision_exchange.h"

#include <boost/asio/io_context.hpp>
#include <set>

namespace wisteriahoist {

/** Turns the operators' configuration record into the product's form. */
using ConfigDecoder = std::function<Result<RouteConfig>(std::string_view content)>;

/** Times of the watches. */
struct SyncTimes {
    milliseconds wait{20000}; ///< Of one watch; each one is paid for.
    milliseconds gap{50};     ///< Between two watches: changes that come within it share one.
    /**
     * While changes of a kind come in a row that gap doubles, up to these. A fleet of 91 that
     * starts makes 182 changes of members within two seconds and 1,500 of ranges, and each would
     * wake a watch of every node that does not follow another yet. Ranges may be later by less: a
     * request for a key that has moved pays for it.
     */
    milliseconds longestMemberGap{400};
    milliseconds longestRangeGap{100};
    /** For each member, if that makes more of it: all feeders' watches wake with each change, so
     * the calls of a fleet would grow with its square. Whoever is given keys is told directly. */
    milliseconds rangeGapPerMember{2};
    size_t leastMembers = 20;    ///< Smaller fleets keep to the short gap.
    milliseconds firstPause{50}; ///< After a failure; doubles while failures go on.
    /**
     * Bounds that pause: changes have to be in force within 2 s of the store's return. While the
     * store is away every node asks now and then, and refused calls are paid for too, so the pause
     * is longer by some for each member.
     */
    milliseconds longestPause{400};
    milliseconds pausePerMember{6};
    /**
     * A working watch is behind by its gap and one answer of the store, 0.4 s each at most; beyond
     * this a small fleet's node lists. Seen without it: keys refused for 17 s after a connection to
     * the store had fallen silent.
     */
    milliseconds longestLag{1000};
};

/** One loop for each kind: list, then watch from the listed revision; after a failure list again.
 */
class StoreSync final : public RevisionExchange
{
public:
    StoreSync(boost::asio::io_context &context, RecordStore &store, FleetView &view,
              std::string configName, ConfigDecoder decodeConfig, SyncTimes times = {});

    void start();

    /** Takes over a record that the store told beside its watches. */
    void onRecord(RecordKind kind, const StoredRecord &record);

    KnownRevisions news() const override { return newest_; }
    void onPeerRevisions(const KnownRevisions &news, TimePoint now) override;

private:
    boost::asio::awaitable<void> catchUp(RecordKind kind);
    boost::asio::awaitable<void> run(RecordKind kind);
    boost::asio::awaitable<Result<StoreRevision>> list(RecordKind kind);
    boost::asio::awaitable<Result<StoreRevision>> watch(RecordKind kind, StoreRevision since);
    milliseconds gapAfter(RecordKind kind);
    void take(RecordKind kind, const StoredRecord &record);
    void takeRemoved(RecordKind kind, const std::string &name);
    void note(RecordKind kind, const Failure *failure);

    boost::asio::io_context &context_;
    RecordStore &store_;
    FleetView &view_;
    std::string configName_;
    ConfigDecoder decodeConfig_;
    SyncTimes times_;
    /** What the last watch of a kind came to. */
    struct Recent {
        bool changed = false;
        milliseconds gap{0}; ///< After it.
    };
    std::map<RecordKind, Recent> recent_;
    KnownRevisions newest_;
    std::map<RecordKind, WatchLag> lags_;
    std::set<RecordKind> catchingUp_; ///< Kinds that are listed beside their watch.
    bool lost_ = false;
};

} // namespace wisteriahoist
