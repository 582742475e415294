/** @file member_publisher.h Writes this node's member record whenever it has changed. */

#pragma once

#include "decision/member/member_type.h"
#include "port/clock.h"
#include "port/record_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <set>

namespace wisteriahoist {

/** Keeps the stored member record equal to the node's current state. Used by one thread. */
class MemberPublisher
{
public:
    /**
     * @param describe Returns the record as it should be now.
     * @param written Called after each successful write.
     */
    MemberPublisher(boost::asio::io_context &context, RecordStore &store,
                    std::function<MemberRecord()> describe,
                    std::function<void(const MemberRecord &, StoreRevision)> written);

    void start();

    /** @param action Called before the first write with the record of an earlier process of this
     *         node, if there is one; nothing is written until it has ended. */
    void onPreviousRecord(
            std::function<boost::asio::awaitable<void>(std::optional<MemberRecord>)> action)
    {
        earlier_ = std::move(action);
    }

    /** Waits until the store has a record for which @p isEnough returns true. @return Whether it
     *  has, within @p longest. */
    boost::asio::awaitable<bool> awaitStored(std::function<bool(const MemberRecord &)> isEnough,
                                             milliseconds longest);

    /** Must be called when the record may have changed. */
    void wake() { timer_.cancel(); }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> readPrevious();
    boost::asio::awaitable<void> waitFor(milliseconds longest);
    boost::asio::awaitable<bool> publish(const MemberRecord &member);

    boost::asio::io_context &context_;
    RecordStore &store_;
    std::function<MemberRecord()> describe_;
    std::function<void(const MemberRecord &, StoreRevision)> written_;
    std::function<boost::asio::awaitable<void>(std::optional<MemberRecord>)> earlier_;
    boost::asio::steady_timer timer_;
    MemberRecord stored_;
    StoreRevision revision_; ///< 0: not known.
    /// The record of an earlier process is known, or that there is none.
    bool previousRead_ = false;
    bool published_ = false;
    std::set<boost::asio::steady_timer *> waiting_; ///< Of calls of awaitStored().
};

} // namespace wisteriahoist
