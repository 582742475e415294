/** @file shared_watch.cpp Watches of the store that are shared by many nodes. */

#include "duty/shared_watch.h"

#include "adapter/log/event_log.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriahoist {

namespace {

constexpr std::string_view FeedPath = "/feed";

/** @return A failure that makes the caller list: a new watch would continue from a state that may
 * be incomplete. */
Failure listAgain(const std::string &cause)
{
    return {FailureCode::HistoryGone, cause};
}

v1::StoreRecord encodeChange(const RecordChange &change)
{
    v1::StoreRecord record;
    record.set_name(change.record.name);
    record.set_revision(change.record.revision.value());
    record.set_content(change.record.content);
    record.set_removed(change.removed);
    return record;
}

} // namespace

SharedWatch::SharedWatch(asio::io_context &context, RecordStore &store, const Clock &clock,
                         PeerLink &peers, const FleetView &view, const MemberRecord &self,
                         FeederLimits limits, SharedWatchTimes times)
    : context_(context), store_(store), clock_(clock), peers_(peers), view_(view), self_(self.node),
      failureDomain_(self.failureDomain), limits_(limits), times_(times), startedAt_(clock.now())
{
    peers_.serve(std::string(FeedPath),
                 [this](std::string body) { return serve(std::move(body)); });
}

milliseconds SharedWatch::watchDuration(RecordKind kind) const
{
    return kind == RecordKind::Configuration ? times_.configWait : times_.otherWait;
}

bool SharedWatch::isFresh(RecordKind kind, TimePoint now) const
{
    const auto found = feeds_.find(kind);
    const TimePoint confirmed = found == feeds_.end() ? NeverTime : found->second.confirmedAt();
    return confirmed != NeverTime && now - confirmed <= watchDuration(kind) + times_.margin;
}

RecordStore::Pending<RecordListing> SharedWatch::list(RecordKind kind)
{
    const TimePoint sentAt = clock_.now();
    Result<RecordListing> listing = co_await store_.list(kind);
    if (listing) {
        feeds_[kind].onList(listing.assume_value(), sentAt);
        if (kind == RecordKind::Configuration) {
            for (const StoredRecord &record : listing.assume_value().records) {
                configs_.remember(record);
            }
        }
        confirmedAt_[kind] = std::max(confirmedAt_[kind], sentAt);
        membersListed_ |= kind == RecordKind::Members;
        wakeFollowers();
    }
    co_return listing;
}

RecordStore::Pending<StoredRecord> SharedWatch::read(RecordKind kind, std::string name)
{
    co_return co_await store_.read(kind, std::move(name));
}

RecordStore::Pending<StoreRevision> SharedWatch::create(RecordKind kind, std::string name,
                                                        std::string content)
{
    co_return co_await store_.create(kind, std::move(name), std::move(content));
}

RecordStore::Pending<StoreRevision>
SharedWatch::replace(RecordKind kind, std::string name, StoreRevision expected, std::string content)
{
    co_return co_await store_.replace(kind, std::move(name), expected, std::move(content));
}

std::optional<NodeId> SharedWatch::findUsableFeeder(TimePoint now) const
{
    const auto isUsable = [this, now](NodeId node) {
        const auto found = backoffs_.find(node);
        return found == backoffs_.end() || now >= found->second.until;
    };
    const auto backedOff
            = std::count_if(backoffs_.begin(), backoffs_.end(),
                            [now](const auto &entry) { return now < entry.second.until; });
    if (static_cast<size_t>(backedOff) >= times_.maxBackedOff) {
        return std::nullopt;
    }
    return chooseFeeder(view_.members(), self_, failureDomain_, isUsable, limits_);
}

RecordStore::Pending<RecordChanges> SharedWatch::watch(RecordKind kind, StoreRevision since,
                                                       milliseconds wait)
{
    const TimePoint now = clock_.now();
    // The fleet size is unknown until the members have been listed; a watch of many seconds that
    // starts before would confirm nothing to followers for its whole duration.
    const bool mayBeLarge = view_.members().size() >= limits_.minMembers || !membersListed_;
    if (mayBeLarge) {
        wait = std::min(wait, watchDuration(kind));
    } else if (!isPastStartup(now)) {
        wait = std::min(wait, times_.startupPeriod);
    }
    const std::optional<NodeId> feeder = findUsableFeeder(now);
    following_ = feeder.has_value();
    if (following_) {
        const MemberRecord member = *view_.findMember(*feeder);
        co_return co_await follow(member, kind, since, wait);
    }
    co_return co_await watchStore(kind, since, wait);
}

RecordStore::Pending<RecordChanges> SharedWatch::watchStore(RecordKind kind, StoreRevision since,
                                                            milliseconds wait)
{
    Result<RecordChanges> changes = co_await store_.watch(kind, since, wait);
    if (!changes) {
        feeds_[kind].onLost();
        co_return changes;
    }
    confirmedAt_[kind] = clock_.now();
    const bool joins = addChanges(kind, since, changes.assume_value(), confirmedAt_[kind]);
    wakeFollowers();
    if (!joins) {
        co_return listAgain("changes before those of the watch are missing");
    }
    co_return changes;
}

RecordStore::Pending<RecordChanges> SharedWatch::follow(MemberRecord feeder, RecordKind kind,
                                                        StoreRevision since, milliseconds wait)
{
    v1::FeedRequest request;
    request.set_kind(static_cast<uint32_t>(kind));
    request.set_since(since.value());
    request.set_takes_packed(true);
    request.set_held(configs_.held().value());
    std::string body = request.SerializeAsString();
    const CallTimes limits(followTimeout(kind, clock_.now()), times_.transferTimeout);
    Result<std::string> bytes = co_await peers_.call(feeder, FeedPath, std::move(body), limits);
    v1::FeedReply reply;
    const bool whole
            = bytes && !bytes.assume_value().empty() && reply.ParseFromString(bytes.assume_value());
    const TimePoint now = clock_.now();
    if ((!whole || !reply.fresh()) && !isPastStartup(now)) {
        backoffs_[feeder.node].until = now + times_.startupBackoff;
        following_ = false;
        co_return co_await watchStore(kind, since, wait);
    }
    if (!whole || !reply.fresh()) {
        backOff(feeder.node, now);
        std::string cause = whole ? "its records are stale" : "no valid reply";
        if (!bytes) {
            cause += ": " + bytes.assume_error().context;
        }
        logEvent(LogEvent::FeederLost,
                 {{"feeder", feeder.name}, {"kind", static_cast<int64_t>(kind)}, {"cause", cause}});
        co_return listAgain("feeder failed or is stale; listing the records from the store");
    }
    backoffs_.erase(feeder.node);
    confirmedAt_[kind] = now - milliseconds(reply.confirmed_ms_ago());
    Result<RecordChanges> decoded = decodeChanges(reply);
    if (!decoded) {
        co_return listAgain(decoded.assume_error().context);
    }
    RecordChanges &changes = decoded.assume_value();
    changes.from = feeder.node;
    // This node may become a feeder. Without these changes its feed would have a gap, and followers
    // would never receive what is in it. NeverTime: the store itself has confirmed nothing to it.
    if (!addChanges(kind, since, changes, NeverTime)) {
        co_return listAgain("changes before those of the feeder are missing");
    }
    if (feeds_[kind].lacks(StoreRevision(reply.newest()))) {
        co_return listAgain("the feeder has a change that this node was not told of");
    }
    co_return decoded;
}

bool SharedWatch::addChanges(RecordKind kind, StoreRevision since, const RecordChanges &changes,
                             TimePoint confirmedAt)
{
    if (kind == RecordKind::Configuration) {
        for (const RecordChange &change : changes.changes) {
            configs_.remember(change.record);
        }
    }
    return feeds_[kind].onChanges(since, changes, confirmedAt);
}

Result<RecordChanges> SharedWatch::decodeChanges(const v1::FeedReply &reply) const
{
    RecordChanges changes;
    changes.at = StoreRevision(reply.revision());
    changes.age = milliseconds(reply.confirmed_ms_ago());
    for (const v1::StoreRecord &entry : reply.records()) {
        Result<StoredRecord> record = configs_.unpack(entry);
        if (!record) {
            return std::move(record).as_failure();
        }
        changes.changes.push_back({std::move(record.assume_value()), entry.removed()});
    }
    return changes;
}

milliseconds SharedWatch::followTimeout(RecordKind kind, TimePoint now) const
{
    const auto known = confirmedAt_.find(kind);
    if (kind != RecordKind::Configuration || known == confirmedAt_.end()) {
        return times_.followTimeout;
    }
    const TimePoint end = known->second + times_.maxFollowedConfigAge();
    return std::clamp(std::chrono::duration_cast<milliseconds>(end - now), times_.minFollowTimeout,
                      times_.followTimeout);
}

void SharedWatch::backOff(NodeId feeder, TimePoint now)
{
    Backoff &entry = backoffs_[feeder];
    if (now < entry.until) {
        return; // Already backed off by a concurrent call for another kind of record.
    }
    const milliseconds time = std::max(entry.next, times_.minBackoff);
    entry.until = now + time;
    entry.next = std::min(time * 2, times_.maxBackoff);
}

asio::awaitable<std::string> SharedWatch::serve(std::string body)
{
    v1::FeedRequest request;
    v1::FeedReply reply;
    if (request.ParseFromString(body) && request.kind() < RecordKindCount) {
        reply = co_await answer(std::move(request));
    }
    co_return reply.SerializeAsString();
}

asio::awaitable<v1::FeedReply> SharedWatch::answer(v1::FeedRequest request)
{
    const auto kind = static_cast<RecordKind>(request.kind());
    const StoreRevision since(request.since());
    const TimePoint begun = clock_.now();
    const TimePoint end = begun + times_.followWait;
    const TimePoint knownConfirmation = feeds_[kind].confirmedAt();
    v1::FeedReply reply;
    while (true) {
        const TimePoint now = clock_.now();
        // A follower doesn't know how old its changes are, so it must not pass them on.
        const auto changes = following_ || !isFresh(kind, now) ? std::nullopt
                                                               : feeds_[kind].changesSince(since);
        reply.set_fresh(changes.has_value());
        if (!changes && now - begun >= times_.freshnessTimeout) {
            co_return reply;
        }
        // The age of a follower's configuration limits its calls, so it is told of each newer
        // confirmation, also if nothing has changed.
        const TimePoint confirmation = feeds_[kind].confirmedAt();
        const bool confirmed
                = kind == RecordKind::Configuration && confirmation > knownConfirmation;
        if (changes && (!changes->changes.empty() || confirmed || now >= end)) {
            reply.set_revision(changes->at.value());
            reply.set_newest(feeds_[kind].newest().value());
            reply.set_confirmed_ms_ago(
                    std::chrono::duration_cast<milliseconds>(now - confirmation).count());
            const bool packs = kind == RecordKind::Configuration && request.takes_packed();
            for (const RecordChange &change : changes->changes) {
                v1::StoreRecord &added = *reply.add_records();
                if (packs && !change.removed) {
                    configs_.pack(change.record, StoreRevision(request.held()), added);
                } else {
                    added = encodeChange(change);
                }
            }
            co_return reply;
        }
        const TimePoint stale = feeds_[kind].confirmedAt() + watchDuration(kind) + times_.margin;
        const TimePoint next = changes ? std::min(end, stale) : begun + times_.freshnessTimeout;
        asio::steady_timer timer(context_, next - now + milliseconds(1));
        waiting_.insert(&timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        waiting_.erase(&timer);
    }
}

void SharedWatch::wakeFollowers()
{
    for (asio::steady_timer *timer : waiting_) {
        timer->cancel();
    }
}

} // namespace wisteriahoist
