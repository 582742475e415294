/** @file store_sync.cpp Keeps the fleet view up to date by listing and watching the store. */

#include "duty/store_sync.h"

#include "adapter/clock/sleep_func.h"
#include "adapter/log/event_log.h"
#include "adapter/task/background_task.h"
#include "wisteriahoist/v1/control.pb.h"

#include <boost/asio/co_spawn.hpp>

namespace wisteriahoist {

namespace asio = boost::asio;

namespace {

/** The only kind that is retried while the store is unavailable: rejected calls have a cost too. */
constexpr RecordKind ProbingKind = RecordKind::Configuration;
constexpr std::string_view ConfigPath = "/config";

} // namespace

StoreSync::StoreSync(asio::io_context &context, RecordStore &store, const Clock &clock,
                     FleetView &view, std::string configName, ConfigDecoder decodeConfig,
                     SyncTimes times)
    : context_(context), store_(store), clock_(clock), view_(view),
      configName_(std::move(configName)), decodeConfig_(std::move(decodeConfig)), times_(times)
{ }

void StoreSync::watchEvacuations()
{
    kinds_.push_back(RecordKind::Evacuations);
    view_.awaitEvacuations();
}

void StoreSync::start()
{
    for (const RecordKind kind : kinds_) {
        const auto loop = [this, kind]() { return run(kind); };
        lags_.try_emplace(kind,
                          kind == RecordKind::Configuration ? times_.maxConfigLag : times_.maxLag);
        startLoop(context_.get_executor(), "store watch", loop);
    }
}

void StoreSync::exchangeConfig(PeerCalls &peers)
{
    peers_ = &peers;
    peers.serve(std::string(ConfigPath),
                [this](std::string body) { return serveConfig(std::move(body)); });
}

bool StoreSync::isCaughtUpByCall(RecordKind kind) const
{
    // In a large fleet the watches of the other kinds are short anyway; while the store is
    // unavailable the loop lists.
    return kind == RecordKind::Configuration
           || (!isUnavailable() && view_.members().size() < times_.minMembers);
}

void StoreSync::onPeerRevisions(NodeId peer, const KnownRevisions &news, TimePoint now)
{
    for (const auto &[kind, newest] : news) {
        const auto lag = lags_.find(kind);
        const bool behind = lag != lags_.end() && isCaughtUpByCall(kind)
                            && lag->second.onPeerRevisions(newest, now);
        if (behind && catchingUp_.insert(kind).second) {
            logEvent(LogEvent::WatchSilent, {{"kind", std::string(recordKindName(kind))},
                                             {"missed", newest.value()},
                                             {"node", peer.value()}});
            asio::co_spawn(
                    context_, catchUp(kind, peer),
                    logFailureOf("catch-up", [this, kind = kind]() { catchingUp_.erase(kind); }));
        }
    }
}

void StoreSync::onRecord(RecordKind kind, const StoredRecord &record)
{
    if (kind == RecordKind::Members || kind == RecordKind::Ranges) {
        applyRecord(kind, record, "conflict");
    }
}

/** Reads what the silent watch has missed; the watch continues until its timeout. After a failure
 *  the lag persists, and the next reply of another node repeats this. */
asio::awaitable<void> StoreSync::catchUp(RecordKind kind, NodeId peer)
{
    if (kind == RecordKind::Configuration && peers_ != nullptr) {
        (void)co_await readConfigFrom(peer);
        co_await sleepFor(times_.peerReadPause);
    } else {
        (void)co_await list(kind);
        co_await sleepFor(times_.maxPause);
    }
    catchingUp_.erase(kind);
}

/** @return Whether the peer had a newer configuration. */
asio::awaitable<bool> StoreSync::readConfigFrom(NodeId peer)
{
    const MemberRecord *member = view_.findMember(peer);
    if (member == nullptr) {
        co_return false;
    }
    v1::ConfigRequest request;
    request.set_known(config_.revision.value());
    request.set_takes_packed(true);
    const MemberRecord copy = *member;
    std::string body = request.SerializeAsString();
    const CallTimes limits(times_.peerReadTimeout, times_.peerTransferTimeout);
    const Result<std::string> bytes
            = co_await peers_->call(copy, ConfigPath, std::move(body), limits);
    v1::ConfigReply reply;
    if (!bytes || !reply.ParseFromString(bytes.assume_value()) || !reply.has_record()) {
        co_return false;
    }
    const Result<StoredRecord> record = packer_.unpack(reply.record());
    if (!record) {
        co_return false;
    }
    applyRecord(RecordKind::Configuration, record.assume_value(), "peer");
    co_return true;
}

asio::awaitable<std::string> StoreSync::serveConfig(std::string body)
{
    const TimePoint now = clock_.now();
    v1::ConfigRequest request;
    v1::ConfigReply reply;
    if (request.ParseFromString(body) && config_.revision > StoreRevision(request.known())
        && now >= nextServedAt_) {
        if (request.takes_packed()) {
            packer_.pack(config_, StoreRevision(request.known()), *reply.mutable_record());
        } else {
            reply.mutable_record()->set_name(config_.name);
            reply.mutable_record()->set_revision(config_.revision.value());
            reply.mutable_record()->set_content(config_.content);
        }
        const std::chrono::duration<double> share(
                static_cast<double>(reply.record().content().size()
                                    + reply.record().packed().size())
                / times_.servedBytesPerSecond);
        nextServedAt_ = now + std::chrono::duration_cast<Duration>(share);
    }
    co_return reply.SerializeAsString();
}

asio::awaitable<void> StoreSync::run(RecordKind kind)
{
    std::optional<StoreRevision> at;
    milliseconds pause = times_.firstPause;
    while (true) {
        Result<StoreRevision> next = Failure{};
        const TimePoint begun = clock_.now();
        const std::string_view call = at ? "watch" : "list";
        if (at) {
            next = co_await watch(kind, *at);
        } else {
            next = co_await list(kind);
        }
        if (next) {
            updateAvailability(kind, nullptr);
            at = next.assume_value();
            pause = times_.firstPause;
            co_await sleepFor(gapAfter(kind));
            continue;
        }
        // An interrupted watch may have missed changes that are no longer in the store's history. A
        // new watch would report that only with the next change, which may be many seconds later; a
        // list returns the current state at once.
        at.reset();
        const Failure &failure = next.assume_error();
        if (kind == RecordKind::Configuration) {
            logFailedConfigSync(call, failure, begun);
        }
        if (failure.code == FailureCode::HistoryGone) {
            continue;
        }
        updateAvailability(kind, &failure);
        co_await sleepFor(pause);
        const auto members = static_cast<int64_t>(view_.members().size());
        pause = std::min(pause * 2, times_.maxPause + times_.pausePerMember * members);
        // Only while that call fails as well: it may have been waiting for changes since before.
        while (kind != ProbingKind && failing_.count(ProbingKind) > 0) {
            co_await sleepFor(times_.firstPause);
        }
    }
}

milliseconds StoreSync::gapAfter(RecordKind kind)
{
    // A node that has just started knows few members, even in a large fleet.
    const bool gapGrows
            = kind == RecordKind::Members || view_.members().size() >= times_.minMembers;
    const bool isUrgent = kind == RecordKind::Configuration || kind == RecordKind::Evacuations;
    if (isUrgent || !gapGrows) {
        return times_.gap;
    }
    const auto members = static_cast<int64_t>(view_.members().size());
    const milliseconds maxGap
            = kind == RecordKind::Members
                      ? times_.maxMemberGap
                      : std::max(times_.maxRangeGap, times_.rangeGapPerMember * members);
    Recent &recent = recent_[kind];
    recent.gap
            = recent.changed ? std::min(std::max(times_.gap, recent.gap * 2), maxGap) : times_.gap;
    return recent.gap;
}

asio::awaitable<Result<StoreRevision>> StoreSync::list(RecordKind kind)
{
    const TimePoint sentAt = clock_.now();
    Result<RecordListing> listing = co_await store_.list(kind);
    if (!listing) {
        co_return std::move(listing).as_failure();
    }
    applyListing(kind, listing.assume_value());
    onWatched(kind, listing.assume_value().at, sentAt);
    co_return listing.assume_value().at;
}

asio::awaitable<Result<StoreRevision>> StoreSync::watch(RecordKind kind, StoreRevision since)
{
    Result<RecordChanges> changes = co_await store_.watch(kind, since, times_.wait);
    if (!changes) {
        co_return std::move(changes).as_failure();
    }
    recent_[kind].changed = !changes.assume_value().changes.empty();
    applyChanges(kind, changes.assume_value());
    onWatched(kind, changes.assume_value().at, clock_.now() - changes.assume_value().age);
    co_return changes.assume_value().at;
}

void StoreSync::applyListing(RecordKind kind, const RecordListing &listing)
{
    if (kind == RecordKind::Evacuations) {
        view_.onEvacuationListing(listing, clock_.now());
        return;
    }
    for (const StoredRecord &record : listing.records) {
        applyRecord(kind, record, "list");
    }
}

void StoreSync::applyChanges(RecordKind kind, const RecordChanges &changes)
{
    if (kind == RecordKind::Evacuations) {
        for (const RecordChange &change : changes.changes) {
            newest_[kind] = std::max(newest_[kind], change.record.revision);
        }
        view_.onEvacuationChanges(changes, clock_.now());
        return;
    }
    for (const RecordChange &change : changes.changes) {
        if (change.removed) {
            applyRemoval(kind, change.record.name);
        } else {
            applyRecord(kind, change.record, changes.from == InvalidNode ? "watch" : "feeder");
        }
    }
}

/** @param source By which call it came: "list", "watch", "feeder", "conflict" or "peer". */
void StoreSync::applyRecord(RecordKind kind, const StoredRecord &record, std::string_view source)
{
    try {
        applyOrThrow(kind, record, source);
    } catch (const std::exception &error) {
        // Only this record is left out: the others of its list or watch are applied.
        logMalformedRecord(kind, record.name,
                           {FailureCode::Malformed, std::string("exception: ") + error.what()});
    }
}

void StoreSync::applyOrThrow(RecordKind kind, const StoredRecord &record, std::string_view source)
{
    if (kind == RecordKind::Configuration) {
        if (record.name == configName_) {
            applyConfig(record, source);
        }
        return;
    }
    newest_[kind] = std::max(newest_[kind], record.revision);
    if (kind == RecordKind::Members) {
        Result<MemberRecord> member = decodeMemberRecord(record);
        if (!member) {
            logMalformedRecord(kind, record.name, member.assume_error());
            return;
        }
        view_.onMember(member.assume_value(), record.revision);
        return;
    }
    view_.onRangeRecord(record);
}

void StoreSync::applyConfig(const StoredRecord &record, std::string_view source)
{
    // The record itself counts, not the position of the watch: a watch that has passed over a
    // change would never be found to be behind. One that can't be used isn't asked for again
    // either.
    lags_.at(RecordKind::Configuration).onPosition(record.revision);
    Result<RouteConfig> config = decodeConfig_(record.content);
    if (!config) {
        logMalformedRecord(RecordKind::Configuration, record.name, config.assume_error());
        return;
    }
    const uint64_t version = config.assume_value().version;
    const bool newer = view_.onConfig(std::move(config.assume_value()));
    if (newer) {
        config_ = record;
        packer_.remember(record);
        configInForceAt_ = clock_.now();
        configSource_ = source;
        newest_[RecordKind::Configuration] = record.revision;
    }
    logEvent(newer ? LogEvent::ConfigInForce : LogEvent::ConfigRefused,
             {{"version", version},
              {"revision", record.revision.value()},
              {"source", source},
              {"unconfirmed_ms", configUnconfirmedFor(clock_.now()).count()}});
}

void StoreSync::applyRemoval(RecordKind kind, const std::string &name)
{
    if (kind == RecordKind::Members) {
        view_.onMemberRemoved(name);
    }
}

void StoreSync::onWatched(RecordKind kind, StoreRevision at, TimePoint confirmedAt)
{
    if (kind == RecordKind::Configuration) {
        configConfirmedAt_ = std::max(configConfirmedAt_, confirmedAt);
        configPosition_ = std::max(configPosition_, at);
    } else {
        lags_.at(kind).onPosition(at);
    }
}

ConfigStatus StoreSync::configStatus(TimePoint now) const
{
    ConfigStatus status;
    status.source = configSource_;
    status.record = config_.revision;
    status.position = configPosition_;
    status.unconfirmed = configUnconfirmedFor(now);
    const auto lag = lags_.find(RecordKind::Configuration);
    status.behind = lag != lags_.end() && lag->second.isBehind();
    status.inForce = configInForceAt_ == NeverTime
                             ? milliseconds(0)
                             : std::chrono::duration_cast<milliseconds>(now - configInForceAt_);
    return status;
}

milliseconds StoreSync::configUnconfirmedFor(TimePoint now) const
{
    return configConfirmedAt_ == NeverTime
                   ? milliseconds(0)
                   : std::chrono::duration_cast<milliseconds>(now - configConfirmedAt_);
}

void StoreSync::logFailedConfigSync(std::string_view call, const Failure &failure,
                                    TimePoint begun) const
{
    const TimePoint now = clock_.now();
    const auto took = std::chrono::duration_cast<milliseconds>(now - begun);
    logEvent(LogEvent::ConfigSyncFailed, {{"call", call},
                                          {"cause", failure.context},
                                          {"took_ms", took.count()},
                                          {"unconfirmed_ms", configUnconfirmedFor(now).count()}});
}

void StoreSync::updateAvailability(RecordKind kind, const Failure *failure)
{
    const bool wasUnavailable = isUnavailable();
    if (failure != nullptr) {
        failing_.insert(kind);
    } else {
        failing_.erase(kind);
    }
    if (isUnavailable() == wasUnavailable) {
        return;
    }
    if (failure != nullptr) {
        logEvent(LogEvent::PlatformUnavailable,
                 {{"kind", std::string(recordKindName(kind))}, {"cause", failure->context}});
    } else {
        logEvent(LogEvent::PlatformBack, {{"kind", std::string(recordKindName(kind))}});
    }
}

} // namespace wisteriahoist
