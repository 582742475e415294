/** @file member_publisher.cpp Writes this node's own member record whenever it has changed. */

#include "duty/member_publisher.h"

#include "adapter/clock/sleep_func.h"
#include "adapter/codec/record_codec.h"
#include "adapter/log/event_log.h"
#include "duty/fleet_view.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace asio = boost::asio;

namespace {
/** Between two tries: the fleet has to know of a change within a second of the store's return. */
constexpr milliseconds RetryPause{300};
/** Without a call of wake(); only catches a change that nobody told of. */
constexpr milliseconds LookEvery{5000};
/** The first record waits so long for the first heartbeat of the backend server: most nodes of a
 * fleet that starts then write one record instead of two, and each is news to all others. */
constexpr milliseconds AwaitBackend{1000};
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
    asio::co_spawn(context_, loop, asio::detached);
}

asio::awaitable<void> MemberPublisher::run()
{
    if (describe_().state == BackendState::Absent) {
        co_await waitFor(AwaitBackend);
    }
    while (true) {
        const MemberRecord member = describe_();
        if (published_ && member == stored_) {
            co_await waitFor(LookEvery);
        } else if (!co_await publish(member)) {
            co_await sleepFor(RetryPause);
        }
    }
}

/** Waits until the record may have changed. */
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
        co_return true;
    }
    // An earlier life's record, or an own write whose answer was lost: go on from what is there.
    Result<StoredRecord> stored = co_await store_.read(RecordKind::Members, std::move(name));
    if (stored) {
        const bool first = revision_.value() == 0;
        revision_ = stored.assume_value().revision;
        const Result<MemberRecord> earlier = decodeMember(stored.assume_value().content);
        if (first && earlier && earlier_) {
            earlier_(earlier.assume_value());
        }
    }
    co_return stored.has_value();
}

} // namespace wisteriahoist
