/** @file record_keepers.h Other nodes keep this node's member record while the store can't. */

#pragma once

#include "duty/fleet_view.h"
#include "port/peer_calls.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <vector>

namespace wisteriahoist {

/**
 * What a node has acknowledged must outlast its process. While the store does not answer, the node
 * gives its member record to several others, and its next process asks these for it. The keepers of
 * a node are chosen by its id, so that the next process finds them. Used by one thread.
 */
class RecordKeepers
{
public:
    RecordKeepers(boost::asio::io_context &context, PeerCalls &peers, FleetView &view, NodeId self);

    /** Gives @p record, which is this node's, to other nodes. @return Whether enough of them keep
     *  it: two, or one in a fleet of two nodes. */
    boost::asio::awaitable<bool> deposit(MemberRecord record);

    /** @return This node's records that other nodes keep. */
    boost::asio::awaitable<std::vector<MemberRecord>> collect();

    /** @return Number of records that this node keeps for others. */
    size_t keptRecords() const { return kept_.size(); }

private:
    /** The replies to one call to several nodes. */
    struct Replies;

    std::vector<MemberRecord> keepers(size_t count) const;
    boost::asio::awaitable<std::vector<std::string>>
    callAll(std::string_view path, std::string body, size_t nodes, size_t enough);
    boost::asio::awaitable<void> callOne(std::shared_ptr<Replies> replies, MemberRecord member,
                                         std::string path, std::string body);
    boost::asio::awaitable<std::string> onDeposit(std::string body);
    boost::asio::awaitable<std::string> onCollect(std::string body);
    void onStored(const MemberRecord &record);

    boost::asio::io_context &context_;
    PeerCalls &peers_;
    const FleetView &view_;
    NodeId self_;
    std::map<NodeId, MemberRecord> kept_; ///< Of other nodes; none that the store has.
};

} // namespace wisteriahoist
