/** @file member_publisher.cpp Writes this node's member record whenever it has changed. */

#include "duty/member_publisher.h"

#include "adapter/clock/sleep_func.h"
#include "adapter/codec/record_codec.h"
#include "adapter/log/event_log.h"
#include "adapter/task/background_task.h"
#include "duty/fleet_view.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace asio = boost::asio;

namespace {
/** Between two attempts: a change must be published within 1 s after the store is back. */
constexpr milliseconds RetryPause{300};
/** Longest interval without a call of wake(); catches changes for which it was not called. */
constexpr milliseconds PollInterval{5000};
/** The first write waits this long for the first heartbeat of the backend server: when a fleet
 * starts, most nodes then write one record instead of two, and each write is a change for all
 * other nodes. */
constexpr milliseconds BackendStartTimeout{1000};
} // namespace

MemberPublisher::MemberPublisher(asio::io_context &context, RecordStore &store,
                                 std::function<MemberRecord()> describe,
                                 std::function<void(const MemberRecord &, StoreRevision)> written)
    : context_(context), store_(store), describe_(std::move(describe)),
      written_(std::move(written)), timer_(context)
{ }

void MemberPublisher::start()
{
    const auto loop = [this]() { return run(); };
    startLoop(context_.get_executor(), "member record", loop);
}

asio::awaitable<void> MemberPublisher::run()
{
    if (!previousRead_) {
        co_await readPrevious();
        previousRead_ = true;
        if (describe_().state == BackendState::Absent) {
            co_await waitFor(BackendStartTimeout);
        }
    }
    while (true) {
        const MemberRecord member = describe_();
        if (published_ && member == stored_) {
            co_await waitFor(PollInterval);
        } else if (!co_await publish(member)) {
            co_await sleepFor(RetryPause);
        }
    }
}

/** What an earlier process has acknowledged must be known before this one says anything else. */
asio::awaitable<void> MemberPublisher::readPrevious()
{
    std::optional<MemberRecord> previous;
    while (true) {
        Result<StoredRecord> stored
                = co_await store_.read(RecordKind::Members, memberRecordName(describe_().node));
        if (stored) {
            revision_ = stored.assume_value().revision;
            Result<MemberRecord> record = decodeMemberRecord(stored.assume_value());
            if (record) {
                previous = std::move(record.assume_value());
            }
            break;
        }
        if (stored.assume_error().code == FailureCode::NotFound) {
            break;
        }
        co_await sleepFor(RetryPause);
    }
    if (earlier_) {
        co_await earlier_(std::move(previous));
    }
}

asio::awaitable<bool>
MemberPublisher::awaitStored(std::function<bool(const MemberRecord &)> isEnough,
                             milliseconds longest)
{
    asio::steady_timer timer(context_, longest);
    const auto end = timer.expiry();
    const auto isStored = [&]() { return published_ && isEnough(stored_); };
    while (!isStored() && asio::steady_timer::clock_type::now() < end) {
        timer.expires_at(end);
        waiting_.insert(&timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        waiting_.erase(&timer);
    }
    co_return isStored();
}

/** Waits until wake() is called, for at most @p longest. */
asio::awaitable<void> MemberPublisher::waitFor(milliseconds longest)
{
    timer_.expires_after(longest);
    boost::system::error_code ignored;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> MemberPublisher::publish(const MemberRecord &member)
{
    std::string name = memberRecordName(member.node);
    std::string content = encodeMember(member);
    Result<StoreRevision> written
            = co_await store_.write(RecordKind::Members, name, revision_, std::move(content));
    if (written) {
        revision_ = written.assume_value();
        stored_ = member;
        published_ = true;
        logEvent(LogEvent::MemberPublished, {{"backend", member.backend.text()},
                                             {"state", static_cast<int64_t>(member.state)},
                                             {"stopping", member.stopping},
                                             {"revision", revision_.value()}});
        written_(member, revision_);
        for (asio::steady_timer *timer : waiting_) {
            timer->cancel();
        }
        co_return true;
    }
    // The response to an earlier write was lost: continue from the stored record.
    Result<StoredRecord> stored = co_await store_.read(RecordKind::Members, std::move(name));
    if (stored) {
        revision_ = stored.assume_value().revision;
    }
    co_return stored.has_value();
}

} // namespace wisteriahoist
