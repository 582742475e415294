/** @file shared_watch.h Watches of the store that are shared by many nodes. */

#pragma once

#include "decision/member/feeder_choice.h"
#include "duty/fleet_view.h"
#include "duty/peer_link.h"
#include "duty/record_feed.h"
#include "duty/record_packer.h"
#include "port/clock.h"
#include "wisteriahoist/v1/control.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <set>

namespace wisteriahoist {

/** Intervals and timeouts of shared watches. */
struct SharedWatchTimes {
    /**
     * Duration of a feeder's watch of the store; if it ends without a change, that confirms that
     * there was none. A configuration must take effect within 2 s, an evacuation within 5 s;
     * outdated members and ranges only cost an extra hop.
     */
    milliseconds configWait{800};
    milliseconds otherWait{2000};
    /** Time allowed beyond a feeder's watch until its state is considered stale: the slowest
     *  responses of the store take 0.4 s. */
    milliseconds margin{600};
    /** Duration of a follower's call; the feeder responds earlier if there is a change. */
    milliseconds followWait{1000};
    milliseconds followTimeout{1300};
    /** Lower limit if the age of the configuration leaves less time than this. */
    milliseconds minFollowTimeout{50};
    /**
     * Period after its start in which a node that is rejected by a feeder watches the store itself
     * instead of listing again: feeders that started at the same time are not up to date yet, and
     * the node has just listed. Without it, when all 296 nodes of a fleet started, each listed once
     * per feeder.
     */
    milliseconds startupPeriod{3000};
    milliseconds startupBackoff{500}; ///< How long a feeder is skipped that rejects the node then.
    /** Longest call whose reply keeps arriving: one that is cut off is asked for again elsewhere,
     *  and its bytes have filled the link for nothing. */
    milliseconds transferTimeout{5000};
    milliseconds minBackoff{2000}; ///< How long a failed feeder is skipped; doubles each time.
    milliseconds maxBackoff{30000};
    /** With this many feeders skipped, a node watches the store itself: each failed feeder costs a
     *  list, and when so many fail, the others are likely to fail as well. */
    size_t maxBackedOff = 3;
    /** How long a call waits for a stale feeder: a node that replaces a lost feeder has to list
     *  first. */
    milliseconds freshnessTimeout{150};

    /** @return The greatest age of a follower's configuration at the end of a call to its feeder,
     *          if every limit is reached. */
    milliseconds maxFollowedConfigAge() const { return configWait + margin + freshnessTimeout; }
};

/**
 * Access to the store in a large fleet. A few nodes, the feeders, watch the store; all others, the
 * followers, receive changes from a feeder. If every node watched, each change would wake a watch
 * of every node: in a fleet of 91, that took 100 store calls per node in 40 s, which cost a seventh
 * of the day's total value.
 *
 * A feeder tracks when the store last confirmed its state, and ends a follower's call as soon as
 * that confirmation is too old. So a follower is never behind for longer than a confirmation is
 * valid: it then lists the records itself and follows another feeder, or none.
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
    /** Back-off of a feeder that is skipped. */
    struct Backoff {
        TimePoint until = NeverTime;
        milliseconds next{0};
    };

    milliseconds watchDuration(RecordKind kind) const;
    bool isFresh(RecordKind kind, TimePoint now) const;
    Pending<RecordChanges> watchStore(RecordKind kind, StoreRevision since, milliseconds wait);
    bool isPastStartup(TimePoint now) const { return now - startedAt_ >= times_.startupPeriod; }
    std::optional<NodeId> findUsableFeeder(TimePoint now) const;
    Pending<RecordChanges> follow(MemberRecord feeder, RecordKind kind, StoreRevision since,
                                  milliseconds wait);
    /** @return Timeout of a call to a feeder. For the configuration it also bounds the age that it
     *          may reach: a feeder that is lost just before its records would have become stale
     *          must not add a whole timeout. */
    milliseconds followTimeout(RecordKind kind, TimePoint now) const;
    void backOff(NodeId feeder, TimePoint now);
    /** Adds changes to the feed of their kind. @return As RecordFeed::onChanges(). */
    bool addChanges(RecordKind kind, StoreRevision since, const RecordChanges &changes,
                    TimePoint confirmedAt);
    Result<RecordChanges> decodeChanges(const v1::FeedReply &reply) const;
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
    RecordPacker configs_; ///< Of the configuration.
    /// When the store confirmed what this node knows, by a list of its own or by way of a feeder.
    std::map<RecordKind, TimePoint> confirmedAt_;
    std::map<NodeId, Backoff> backoffs_;
    std::set<asio::steady_timer *> waiting_; ///< Timers of followers' calls that wait for a change.
    bool membersListed_ = false;             ///< Before that, the fleet may be of any size.
    bool following_ = false; ///< This node follows a feeder, so it isn't one itself.
};

} // namespace wisteriahoist
