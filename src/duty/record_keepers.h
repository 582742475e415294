/** @file record_keepers.h Other nodes keep this node's member record while the store can't. */

#pragma once

#include "duty/fleet_view.h"
#include "port/clock.h"
#include "port/peer_calls.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <vector>

namespace wisteriahoist {

/** What other nodes have of this node. */
struct KeptRecords {
    std::vector<MemberRecord> records;
    /// Nodes that keep none, and would keep any that an earlier process of this node had given
    /// away.
    size_t witnesses = 0;
    bool complete = false; ///< Every record that was given away is among these.
};

/**
 * What a node has acknowledged must outlast its process. While the store does not answer, the node
 * gives its member record to several others, and its next process asks these for it. The keepers of
 * a node are chosen by its id, so that the next process finds them. Used by one thread.
 */
class RecordKeepers
{
public:
    RecordKeepers(boost::asio::io_context &context, const Clock &clock, PeerCalls &peers,
                  FleetView &view, NodeId self);

    /** Gives @p record, which is this node's, to other nodes. @return Whether enough of them keep
     *  it: two, or one in a fleet of two nodes. */
    boost::asio::awaitable<bool> deposit(MemberRecord record);

    /** @return This node's records that other nodes keep. */
    boost::asio::awaitable<KeptRecords> collect();

    /** @return Number of records that this node keeps for others. */
    size_t keptRecords() const { return kept_.size(); }

private:
    /** The replies to one call to several nodes. */
    struct Replies;

    /** The reply of one node. */
    struct Reply {
        size_t rank = 0; ///< Of the node among those that may keep the record; 0: the first one.
        std::string body;
    };

    std::vector<MemberRecord> keepers(size_t count) const;
    boost::asio::awaitable<std::vector<Reply>> callAll(std::string_view path, std::string body,
                                                       size_t nodes, size_t enough);
    boost::asio::awaitable<void> callOne(std::shared_ptr<Replies> replies, size_t rank,
                                         MemberRecord member, std::string path, std::string body);
    boost::asio::awaitable<std::string> onDeposit(std::string body);
    boost::asio::awaitable<std::string> onCollect(std::string body);
    void onStored(const MemberRecord &record);

    boost::asio::io_context &context_;
    const Clock &clock_;
    TimePoint startedAt_;
    PeerCalls &peers_;
    const FleetView &view_;
    NodeId self_;
    std::map<NodeId, MemberRecord> kept_; ///< Of other nodes; none that the store has.
};

} // namespace wisteriahoist
