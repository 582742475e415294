/** @file store_sync.h Keeps the fleet view up to date: lists, then watches each kind of record. */

#pragma once

#include "duty/fleet_view.h"
#include "port/clock.h"

#include <boost/asio/io_context.hpp>

namespace wisteriahoist {

/** Turns the operators' configuration record into the product's form. */
using ConfigDecoder = std::function<Result<RouteConfig>(std::string_view content)>;

/** Times of the watches. */
struct SyncTimes {
    milliseconds wait{20000}; ///< Of one watch; each one is paid for.
    /**
     * Pause before the next watch, for each member. Every change wakes a watch of every node, so
     * the calls grow with the square of the fleet; changes that come within the pause share one.
     * 5 ms keep 60 nodes at 200 calls/s for each kind at most, and a change is 0.3 s late at most.
     */
    milliseconds pausePerMember{5};
    milliseconds longestGap{500}; ///< Bounds that pause: a change has to be in force within 2 s.
    milliseconds firstPause{50};  ///< After a failure; doubles while failures go on.
    milliseconds longestPause{
            400}; ///< Changes have to be in force within 2 s of the store's return.
};

/** One loop for each kind: list, then watch from the listed revision; after a failure list again.
 */
class StoreSync
{
public:
    StoreSync(boost::asio::io_context &context, RecordStore &store, FleetView &view,
              std::string configName, ConfigDecoder decodeConfig, SyncTimes times = {});

    void start();

private:
    boost::asio::awaitable<void> run(RecordKind kind);
    boost::asio::awaitable<Result<StoreRevision>> list(RecordKind kind);
    boost::asio::awaitable<Result<StoreRevision>> watch(RecordKind kind, StoreRevision since);
    void take(RecordKind kind, const StoredRecord &record);
    void takeRemoved(RecordKind kind, const std::string &name);
    void note(RecordKind kind, const Failure *failure);

    boost::asio::io_context &context_;
    RecordStore &store_;
    FleetView &view_;
    std::string configName_;
    ConfigDecoder decodeConfig_;
    SyncTimes times_;
    bool lost_ = false;
};

} // namespace wisteriahoist
