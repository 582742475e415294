/** @file range_controller_plan.cpp Changes of the range table: who is to get which range, and the
 * writes.
 */

#include "adapter/log/event_log.h"
#include "duty/range_controller.h"
#include "wisteriahoist/v1/control.pb.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace wisteriahoist {

namespace {

/** From the first backend server that is ready until a service without a table is divided: the
 *  others' first heartbeats come within 1.5 s, and who is not there yet has to be given keys later.
 */
constexpr milliseconds Settle{2000};
/**
 * After a refused write the news of who was first are on their way, and come within 0.3 s; only
 * then the record is read. When all nodes of a fleet of 91 had restarted, 952 of 1,475 writes were
 * refused, and each cost a read besides.
 */
constexpr milliseconds AwaitNews{500};
/**
 * The answer to a refused write holds the record as it stands, so it could be written again at
 * once; but all whose writes were refused together would collide again. Ten holders of one block
 * write within 10 ms each.
 */
constexpr milliseconds CollisionSpread{100};

/** A change of more holders than this is a new division, which all nodes hear of anyway. */
constexpr size_t MostTold = 8;
/** Later the news have come by the watch. */
constexpr milliseconds TellTimeout{1000};

/** @return Nodes that @p after gives keys which @p before had otherwise, apart from @p self. */
std::set<NodeId> findReceivers(const RangeTable &before, const RangeTable &after, NodeId self)
{
    std::set<NodeId> receivers;
    for (const RangeEntry &entry : after.entries) {
        const RangeEntry *earlier = before.find(entry.first);
        const bool isNew = earlier == nullptr || earlier->fence != entry.fence
                           || earlier->holder != entry.holder;
        if (isNew && !entry.holder.isNobody() && entry.holder.node != self) {
            receivers.insert(entry.holder.node);
        }
    }
    return receivers;
}

} // namespace

RangeHolder RangeController::targetOf(const KeySpan &span, TimePoint now) const
{
    const std::vector<RangeCandidate> others = candidates(now, true);
    const auto isCandidate = [&others](const RangeHolder &holder) {
        return std::any_of(others.begin(), others.end(), [&holder](const RangeCandidate &other) {
            return other.holder == holder;
        });
    };
    for (const RangeMove &move : targets_) {
        if (move.span.covers(span) && isCandidate(move.holder)) {
            return move.holder;
        }
    }
    const auto idlest = std::min_element(
            others.begin(), others.end(),
            [](const RangeCandidate &left, const RangeCandidate &right) {
                return left.busySlots / left.slots < right.busySlots / right.slots;
            });
    return idlest == others.end() ? RangeHolder{} : idlest->holder;
}

/** Times are relative to now, in milliseconds; what has never been is left out as -1. */
void RangeController::logGivenOn(const ReleasedRange &released, const RangeHolder &target,
                                 const RangeTable &table, TimePoint now)
{
    if (!givenOnLines_.tryTake(now)) {
        return;
    }
    const auto ago = [now](TimePoint time) -> int64_t {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now - time);
        return time == NeverTime ? -1 : elapsed.count();
    };
    const auto left = [now](TimePoint time) {
        const auto remaining = std::chrono::duration_cast<milliseconds>(time - now);
        return std::max<int64_t>(0, remaining.count());
    };
    const ReleaseProof &proof = released.proof;
    const RangeEntry *entry = table.find(released.span.first);
    givenOnLines_.log({{"first", released.span.first.value()},
                       {"last", released.span.last.value()},
                       {"fence", released.fence.value()},
                       {"table_fence", entry == nullptr ? 0 : entry->fence.value()},
                       {"to", holderText(target)},
                       {"proof", releaseGroundName(proof.ground)},
                       {"confirmed_ms_ago", ago(proof.confirmedAt)},
                       {"shown_in", proof.shownIn},
                       {"told_in", proof.toldIn},
                       {"left_out_of", proof.leftOutOf},
                       {"granted_ms_ago", ago(proof.grantedAt)},
                       {"grant_runs_ms", left(proof.lapsesAt)},
                       {"unanswered_ms", left(proof.unansweredUntil)},
                       {"backend_state", static_cast<int64_t>(monitor_.state())}});
}

RangeTable RangeController::handReleasedOver(RangeTable table, TimePoint now)
{
    for (const ReleasedRange &released : keeper_.releasedRanges(now)) {
        const RangeHolder target = targetOf(released.span, now);
        if (!target.isNobody()) {
            logGivenOn(released, target, table, now);
            table = giveRange(std::move(table), released.span, target, released.handover);
        }
    }
    return table;
}

bool RangeController::isFreeForAll(const RangeHolder &holder) const
{
    if (holder.isNobody()) {
        return true;
    }
    const auto revoked = revoked_.find(holder.node);
    return revoked != revoked_.end() && revoked->second.count(holder.life) > 0;
}

RangeTable RangeController::giveFreeRanges(RangeTable table, TimePoint now)
{
    std::vector<KeySpan> spans;
    for (size_t index = 0; index < table.entries.size(); ++index) {
        if (isFreeForAll(table.entries[index].holder)) {
            spans.push_back(table.spanOf(index));
        }
    }
    if (spans.empty()) {
        return table;
    }
    const std::vector<RangeCandidate> takers
            = drawCandidates(candidates(now, true), GiveAwaySample, random_);
    for (const RangeMove &move : planGiveAway(spans, {}, takers)) {
        table = giveRange(std::move(table), move.span, move.holder, {});
    }
    return table;
}

void RangeController::logChange(std::string_view cause, const RangeTable &before,
                                const RangeTable &after, TimePoint now) const
{
    if (after == before) {
        return;
    }
    // Grants that still run while keys go elsewhere without a release are the first thing to look
    // at when two backend servers have held the same keys.
    const auto left = std::chrono::duration_cast<milliseconds>(keeper_.lastLapse() - now);
    logEvent(LogEvent::RangesChanging,
             {{"cause", std::string(cause)},
              {"own_keys_before", countKeys(before, self_.node)},
              {"own_keys_after", countKeys(after, self_.node)},
              {"fence", after.highestFence.value()},
              {"own_grants_run_ms", std::max(left, milliseconds(0)).count()}});
}

/** Looked at on each turn, when there mostly is nothing; a plan copies the table several times. */
bool RangeController::hasTableWork(const StoredTable &stored, TimePoint now) const
{
    const std::vector<RangeEntry> &entries = stored.table.entries;
    const std::optional<RangeHolder> self = holder();
    const auto isToAdopt = [this, &self](const RangeEntry &entry) {
        return entry.holder.node == self_.node && entry.holder != *self;
    };
    if (self
        && (!keeper_.refusedSpans().empty() || !keeper_.releasedRanges(now).empty()
            || std::any_of(entries.begin(), entries.end(), isToAdopt))) {
        return true;
    }
    const MemberRecord *first = firstOfService(now);
    return first != nullptr && first->node == self_.node
           && std::any_of(entries.begin(), entries.end(),
                          [this](const RangeEntry &entry) { return isFreeForAll(entry.holder); });
}

std::optional<RangeTable> RangeController::planTable(const StoredTable &stored, TimePoint now)
{
    if (!hasTableWork(stored, now)) {
        return std::nullopt;
    }
    RangeTable next = stored.table;
    const auto change = [&](std::string_view cause, RangeTable changed) {
        logChange(cause, next, changed, now);
        next = std::move(changed);
    };
    if (const std::optional<RangeHolder> self = holder()) {
        change("adopted", adoptRanges(next, *self));
        for (const KeySpan &refused : keeper_.refusedSpans()) {
            change("fence refused", giveRange(next, refused, *self, {}));
        }
        change("released", handReleasedOver(next, now));
    }
    const MemberRecord *first = firstOfService(now);
    if (first != nullptr && first->node == self_.node) {
        change("holder lost", giveFreeRanges(next, now));
    }
    if (next == stored.table) {
        return std::nullopt;
    }
    return next;
}

asio::awaitable<void> RangeController::planOnce()
{
    if (!unread_.empty()) {
        co_await refreshTable();
    }
    const TimePoint now = clock_.now();
    const StoredTable *stored = view_.findTable(self_.service);
    if (stored == nullptr && unread_.empty()) {
        co_await createTable();
    } else if (stored == nullptr) {
        writing_ = false;
        co_return;
    } else {
        // What was read since the last look may name others for keys that the keeper still counts
        // as its own to give; given on again, they would be held by the two who were named.
        keeper_.onTable(stored->table, holder(), now);
        if (std::optional<RangeTable> next = planTable(*stored, now)) {
            co_await writeTable(std::move(*next), *stored);
        }
    }
    writing_ = false;
}

asio::awaitable<void> RangeController::createTable()
{
    const TimePoint now = clock_.now();
    const MemberRecord *first = firstOfService(now);
    if (first != nullptr && firstReadyAt_ == NeverTime) {
        firstReadyAt_ = now;
    }
    if (first == nullptr || first->node != self_.node || now - firstReadyAt_ < Settle) {
        co_return;
    }
    std::vector<HolderShare> shares;
    for (const RangeCandidate &candidate : candidates(now, true)) {
        shares.push_back({candidate.holder, candidate.slots});
    }
    RangeRecord record;
    record.table = makeRangeTable(shares);
    record.layout = chooseLayout(shares.size());
    (void)co_await writeRecord(self_.service, std::move(record), StoreRevision(0));
}

asio::awaitable<void> RangeController::writeTable(RangeTable next, StoredTable stored)
{
    const BlockLayout layout = stored.layout;
    const std::optional<RangeHolder> planned = holder();
    for (uint32_t block = 0; block < layout.count; ++block) {
        // Another life may begin between two writes, of the backend server or of the lease. It is
        // granted what the table still says is its own; the rest of the plan knows of the one
        // before.
        if (holder() != planned) {
            co_return;
        }
        const KeySpan span = layout.spanOf(block);
        RangeRecord record;
        record.layout = layout;
        record.table = cutBlock(next, span);
        if (record.table.entries == cutBlock(stored.table, span).entries) {
            continue;
        }
        std::string name = self_.service;
        if (layout.count > 1) {
            record.service = self_.service;
            record.block = block;
            name = blockRecordName(self_.service, block);
        }
        if (unread_.count(name) > 0) {
            continue;
        }
        // Each block's change is safe by itself. Where the store does not answer, the next blocks
        // wait for the next look: every call in vain takes a whole timeout.
        if (!co_await writeRecord(std::move(name), std::move(record), stored.revisionOf(block))) {
            co_return;
        }
    }
}

asio::awaitable<bool> RangeController::writeRecord(std::string name, RangeRecord record,
                                                   StoreRevision over)
{
    const std::string content = encodeRangeRecord(record);
    Result<StoreRevision> written = co_await store_.write(RecordKind::Ranges, name, over, content);
    if (!written) {
        // It may have been written all the same, or somebody else was first: read before planning.
        const FailureCode code = written.assume_error().code;
        const bool conflict = code == FailureCode::VersionConflict;
        const TimePoint now = clock_.now();
        auto spread = std::uniform_int_distribution<int64_t>(0, CollisionSpread.count());
        unread_[name] = {over, now + (conflict ? AwaitNews : milliseconds(0)),
                         now + milliseconds(conflict ? spread(random_) : 0)};
        logEvent(LogEvent::RangesNotWritten, {{"record", name},
                                              {"over", over.value()},
                                              {"cause", std::string(failureName(code))}});
        co_return conflict;
    }
    logEvent(LogEvent::RangesWritten, {{"record", name},
                                       {"revision", written.assume_value().value()},
                                       {"ranges", record.table.entries.size()},
                                       {"fence", record.table.highestFence.value()}});
    if (const StoredTable *known = view_.findTable(self_.service)) {
        tellHolders(findReceivers(known->table, record.table, self_.node),
                    {name, written.assume_value(), content});
    }
    view_.onRanges(name, std::move(record), written.assume_value());
    wake();
    co_return true;
}

/**
 * Nobody serves a range between its change of hands and the moment at which its new holder hears of
 * it. In a large fleet the watches gather changes for a good part of a second.
 */
void RangeController::tellHolders(const std::set<NodeId> &holders, const StoredRecord &written)
{
    if (holders.size() > MostTold) {
        return;
    }
    v1::StoreRecord news;
    news.set_name(written.name);
    news.set_revision(written.revision.value());
    news.set_content(written.content);
    for (const NodeId holder : holders) {
        const MemberRecord *member = view_.findMember(holder);
        if (member == nullptr) {
            continue;
        }
        const auto tell = [this, copy = *member,
                           body = news.SerializeAsString()]() -> asio::awaitable<void> {
            (void)co_await peers_.call(copy, RangeNewsPath, body, TellTimeout);
        };
        asio::co_spawn(context_, tell, asio::detached);
    }
}

asio::awaitable<std::string> RangeController::onTold(std::string body)
{
    v1::StoreRecord news;
    if (news.ParseFromString(body) && news.revision() != 0) {
        view_.onRangeRecord({news.name(), StoreRevision(news.revision()), news.content()});
    }
    co_return std::string();
}

StoreRevision RangeController::knownRevision(const std::string &name) const
{
    const StoredTable *stored = view_.findTable(self_.service);
    if (stored == nullptr) {
        return StoreRevision(0);
    }
    for (const auto &[block, revision] : stored->blocks) {
        if (blockRecordName(self_.service, block) == name) {
            return revision;
        }
    }
    return name == self_.service ? stored->revision : StoreRevision(0);
}

asio::awaitable<void> RangeController::refreshTable()
{
    std::erase_if(unread_, [this, now = clock_.now()](const auto &entry) {
        return now >= entry.second.writeAt && knownRevision(entry.first) > entry.second.over;
    });
    const std::map<std::string, Unread> unread = unread_;
    for (const auto &[name, entry] : unread) {
        if (clock_.now() < entry.readAt) {
            continue;
        }
        Result<StoredRecord> stored = co_await store_.read(RecordKind::Ranges, name);
        if (!stored && stored.assume_error().code != FailureCode::NotFound) {
            co_return;
        }
        unread_.erase(name);
        if (stored) {
            view_.onRangeRecord(stored.assume_value());
        }
    }
}

} // namespace wisteriahoist
