/** @file shared_watch.h Watches of the store that many nodes share. */

#pragma once

#include "decision/member/feeder_choice.h"
#include "duty/fleet_view.h"
#include "duty/peer_link.h"
#include "duty/record_feed.h"
#include "port/clock.h"
#include "wisteriahoist/v1/control.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <set>

namespace wisteriahoist {

/** Times of shared watches, by what the news are needed for. */
struct SharedWatchTimes {
    /**
     * A feeder's own watch of the store; its end without a change confirms that there is none. A
     * configuration has to be in force within 2 s, members and ranges only cost a detour.
     */
    milliseconds configWait{800};
    milliseconds otherWait{2000};
    /** What a feeder has not confirmed for this much longer than its wait is not passed on as
     *  news: the slowest answers of the store take 0.4 s. */
    milliseconds margin{600};
    /** One call of a follower; the feeder answers it sooner if there is a change. */
    milliseconds followWait{1000};
    milliseconds followTimeout{1300};
    /**
     * For so long after its start a node that a feeder turns away asks the store where it stands,
     * without a list: feeders that started with it know too little as yet, and it has listed just
     * before. When all 296 nodes of a fleet started, each listed once for every feeder.
     */
    milliseconds settle{3000};
    milliseconds earlyShun{500};  ///< A feeder that turned a node away in that time is left out.
    milliseconds firstShun{2000}; ///< A feeder that failed is left out; doubles with each failure.
    milliseconds longestShun{30000};
    /** With so many feeders left out, a node watches the store itself: it lists after each feeder
     *  that fails, and what ails so many ails the others too. */
    size_t mostShunned = 3;
    /** A node that takes a lost feeder's place has to list first; its followers wait so long. */
    milliseconds becomeFresh{150};
};

/**
 * The store as a member of a large fleet watches it. A few nodes, the feeders, watch it themselves;
 * all others ask a feeder. If every node watched, each change would wake a watch of every node: on
 * a fleet of 91 that were 100 calls of the store for each node in 40 s, a seventh of all that the
 * day was worth.
 *
 * A feeder tells how long ago the store has confirmed its news, and ends a call as soon as that is
 * too long. So a follower is never behind for longer than a feeder's confirmation lasts: it then
 * lists the records itself and follows another feeder, or none.
 */
class SharedWatch final : public RecordStore
{
public:
    SharedWatch(asio::io_context &context, RecordStore &store, const Clock &clock, PeerLink &peers,
                const FleetView &view, const MemberRecord &self, FeederLimits limits = {},
                SharedWatchTimes times = {});

    Pending<RecordListing> list(RecordKind kind) override;
    Pending<StoredRecord> read(RecordKind kind, std::string name) override;
    Pending<StoreRevision> create(RecordKind kind, std::string name, std::string content) override;
    Pending<StoreRevision> replace(RecordKind kind, std::string name, StoreRevision expected,
                                   std::string content) override;
    Pending<RecordChanges> watch(RecordKind kind, StoreRevision since, milliseconds wait) override;

private:
    /** Why a feeder is left out. */
    struct Shun {
        TimePoint until = NeverTime;
        milliseconds next{0};
    };

    milliseconds waitOf(RecordKind kind) const;
    bool isFresh(RecordKind kind, TimePoint now) const;
    Pending<RecordChanges> watchStore(RecordKind kind, StoreRevision since, milliseconds wait);
    bool isSettled(TimePoint now) const { return now - startedAt_ >= times_.settle; }
    std::optional<NodeId> chooseWhomToFollow(TimePoint now) const;
    Pending<RecordChanges> follow(MemberRecord feeder, RecordKind kind, StoreRevision since,
                                  milliseconds wait);
    void shun(NodeId feeder, TimePoint now);
    asio::awaitable<std::string> serve(std::string body);
    asio::awaitable<v1::FeedReply> answer(v1::FeedRequest request);
    void wakeFollowers();

    asio::io_context &context_;
    RecordStore &store_;
    const Clock &clock_;
    PeerLink &peers_;
    const FleetView &view_;
    NodeId self_;
    std::string failureDomain_;
    FeederLimits limits_;
    SharedWatchTimes times_;
    TimePoint startedAt_;
    std::map<RecordKind, RecordFeed> feeds_;
    std::map<NodeId, Shun> shunned_;
    std::set<asio::steady_timer *> waiting_; ///< Of followers' calls that wait for a change.
    bool following_ = false;                 ///< This node follows another one: it is no feeder.
};

} // namespace wisteriahoist
