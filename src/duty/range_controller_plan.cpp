/** @file range_controller_plan.cpp Plans changes of the range table and writes them to the store.
 */

#include "adapter/log/event_log.h"
#include "adapter/task/background_task.h"
#include "duty/range_controller.h"
#include "wisteriahoist/v1/control.pb.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace wisteriahoist {

namespace {

/**
 * Delay from the first ready backend server until the keys of a service without a table are
 * divided. The first heartbeats of the others arrive within 1.5 s; a backend server that is not
 * ready by then has to be assigned keys later.
 */
constexpr milliseconds TableCreationDelay{2000};
/**
 * After a rejected write, the update made by another node arrives by watch within 0.3 s, so the
 * record is read only after this time. When all nodes of a fleet of 91 had restarted, 952 of 1,475
 * writes were rejected, and each of them cost an additional read.
 */
constexpr milliseconds ConflictReadDelay{500};
/**
 * The answer to a rejected write contains the current record, so the write could be repeated at
 * once; but all nodes whose writes were rejected together would conflict again. Ten holders of one
 * block write within 10 ms each.
 */
constexpr milliseconds ConflictRetrySpread{100};

/**
 * A change that affects more holders than this is a new division, which all nodes learn of anyway.
 */
constexpr size_t MaxNotifiedHolders = 8;
/** After this time the update has arrived by watch. */
constexpr milliseconds NotifyTimeout{1000};

/**
 * @return Nodes other than @p self to which @p after assigns keys that @p before assigned
 *         differently.
 */
std::set<NodeId> findReceivers(const RangeTable &before, const RangeTable &after, NodeId self)
{
    std::set<NodeId> receivers;
    for (const RangeEntry &entry : after.entries) {
        const RangeEntry *earlier = before.find(entry.first);
        const bool isNew = earlier == nullptr || earlier->fence != entry.fence
                           || earlier->holder != entry.holder;
        if (isNew && !entry.holder.isUnassigned() && entry.holder.node != self) {
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
    const auto leastLoaded = std::min_element(
            others.begin(), others.end(),
            [](const RangeCandidate &left, const RangeCandidate &right) {
                return left.busySlots / left.slots < right.busySlots / right.slots;
            });
    return leastLoaded == others.end() ? RangeHolder{} : leastLoaded->holder;
}

/** Times are in milliseconds relative to @p now; -1 stands for a time that is not set. */
void RangeController::logHandOver(const ReleasedRange &released, const RangeHolder &target,
                                  const RangeTable &table, TimePoint now)
{
    if (!handOverLog_.tryTake(now)) {
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
    handOverLog_.log({{"first", released.span.first.value()},
                      {"last", released.span.last.value()},
                      {"fence", released.fence.value()},
                      {"table_fence", entry == nullptr ? 0 : entry->fence.value()},
                      {"to", holderText(target)},
                      {"proof", releaseEvidenceName(proof.evidence)},
                      {"confirmed_ms_ago", ago(proof.confirmedAt)},
                      {"shown_in", proof.listedIn},
                      {"told_in", proof.reportedIn},
                      {"left_out_of", proof.omittedFrom},
                      {"granted_ms_ago", ago(proof.grantedAt)},
                      {"grant_runs_ms", left(proof.expiresAt)},
                      {"unanswered_ms", left(proof.unansweredUntil)},
                      {"backend_state", static_cast<int64_t>(monitor_.state())}});
}

void RangeController::logReassigned(const RangeTable &table, const HeldKeys &known,
                                    std::string_view cause, TimePoint now)
{
    for (const KeySpan &part : findReassignedParts(table, known.span, known.fence)) {
        if (!preventedLog_.tryTake(now)) {
            continue;
        }
        const RangeEntry &listed = *table.find(part.first);
        preventedLog_.log({{"first", part.first.value()},
                           {"last", part.last.value()},
                           {"fence", known.fence.value()},
                           {"table_fence", listed.fence.value()},
                           {"table_holder", holderText(listed.holder)},
                           {"cause", std::string(cause)}});
    }
}

/**
 * Logs the ranges that would be assigned from the grants as they were before @p table was read.
 * They show that a write of this node was applied without its knowledge, or that another node has
 * assigned the keys.
 */
void RangeController::logReassigned(const RangeTable &table, TimePoint now)
{
    for (const HeldKeys &refused : grantManager_.refusedRanges()) {
        logReassigned(table, refused, "fence refused", now);
    }
    for (const ReleasedRange &released : grantManager_.releasedRanges(now)) {
        logReassigned(table, {released.span, released.fence}, "released", now);
    }
}

RangeTable RangeController::handOverReleased(RangeTable table, TimePoint now)
{
    for (const ReleasedRange &released : grantManager_.releasedRanges(now)) {
        const RangeHolder target = targetOf(released.span, now);
        if (target.isUnassigned()) {
            continue;
        }
        RangeTable next
                = reassignRange(table, released.span, released.fence, target, released.handover);
        if (next != table) {
            logHandOver(released, target, table, now);
            table = std::move(next);
        }
    }
    return table;
}

bool RangeController::isFree(const RangeHolder &holder) const
{
    if (holder.isUnassigned()) {
        return true;
    }
    const auto revoked = revoked_.find(holder.node);
    return revoked != revoked_.end() && revoked->second.count(holder.life) > 0;
}

RangeTable RangeController::assignFreeRanges(RangeTable table, TimePoint now)
{
    std::vector<KeySpan> spans;
    for (size_t index = 0; index < table.entries.size(); ++index) {
        if (isFree(table.entries[index].holder)) {
            spans.push_back(table.spanOf(index));
        }
    }
    if (spans.empty()) {
        return table;
    }
    const std::vector<RangeCandidate> receivers
            = drawCandidates(candidates(now, true), DistributionSample, random_);
    for (const RangeMove &move : planDistribution(spans, {}, receivers)) {
        table = assignRange(std::move(table), move.span, move.holder, {});
    }
    return table;
}

void RangeController::logChange(std::string_view cause, const RangeTable &before,
                                const RangeTable &after, TimePoint now) const
{
    if (after == before) {
        return;
    }
    // If two backend servers are found to have held the same keys, the first thing to check is
    // whether grants were still valid while keys moved without a release.
    const auto left = std::chrono::duration_cast<milliseconds>(grantManager_.lastExpiry() - now);
    logEvent(LogEvent::RangesChanging,
             {{"cause", std::string(cause)},
              {"own_keys_before", countKeys(before, self_.node)},
              {"own_keys_after", countKeys(after, self_.node)},
              {"fence", after.highestFence.value()},
              {"own_grants_run_ms", std::max(left, milliseconds(0)).count()}});
}

/**
 * Runs on each tick, usually without any work to do, whereas making a plan copies the table
 * several times.
 */
bool RangeController::needsTableChange(const StoredTable &stored, TimePoint now) const
{
    const std::vector<RangeEntry> &entries = stored.table.entries;
    const std::optional<RangeHolder> self = holder();
    const auto isToAdopt = [this, &self](const RangeEntry &entry) {
        return entry.holder.node == self_.node && entry.holder != *self;
    };
    if (self
        && (!grantManager_.refusedRanges().empty() || !grantManager_.releasedRanges(now).empty()
            || std::any_of(entries.begin(), entries.end(), isToAdopt))) {
        return true;
    }
    const MemberRecord *first = findCoordinator(now);
    return first != nullptr && first->node == self_.node
           && std::any_of(entries.begin(), entries.end(),
                          [this](const RangeEntry &entry) { return isFree(entry.holder); });
}

std::optional<RangeTable> RangeController::planTable(const StoredTable &stored, TimePoint now)
{
    if (!needsTableChange(stored, now)) {
        return std::nullopt;
    }
    RangeTable next = stored.table;
    const auto change = [&](std::string_view cause, RangeTable changed) {
        logChange(cause, next, changed, now);
        next = std::move(changed);
    };
    if (const std::optional<RangeHolder> self = holder()) {
        change("adopted", adoptRanges(next, *self));
        for (const HeldKeys &refused : grantManager_.refusedRanges()) {
            change("fence refused", reassignRange(next, refused.span, refused.fence, *self, {}));
        }
        change("released", handOverReleased(next, now));
    }
    const MemberRecord *first = findCoordinator(now);
    if (first != nullptr && first->node == self_.node) {
        change("holder lost", assignFreeRanges(next, now));
    }
    if (next == stored.table) {
        return std::nullopt;
    }
    return next;
}

asio::awaitable<void> RangeController::planOnce()
{
    if (!unconfirmedRecords_.empty()) {
        co_await refreshTable();
    }
    const TimePoint now = clock_.now();
    const StoredTable *stored = view_.findTable(self_.service);
    if (stored == nullptr && unconfirmedRecords_.empty()) {
        co_await createTable();
    } else if (stored == nullptr) {
        writing_ = false;
        co_return;
    } else {
        logReassigned(stored->table, now);
        updateGrants(now);
        if (std::optional<RangeTable> next = planTable(*stored, now)) {
            co_await writeTable(std::move(*next), *stored);
        }
    }
    writing_ = false;
}

asio::awaitable<void> RangeController::createTable()
{
    const TimePoint now = clock_.now();
    const MemberRecord *first = findCoordinator(now);
    if (first != nullptr && firstReadyAt_ == NeverTime) {
        firstReadyAt_ = now;
    }
    if (first == nullptr || first->node != self_.node || now - firstReadyAt_ < TableCreationDelay) {
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
        // A new incarnation of the backend server or of the lease may start between two writes. It
        // is granted what the table still assigns to this node, but the rest of the plan was made
        // for the previous incarnation.
        if (holder() != planned) {
            co_return;
        }
        const KeySpan span = layout.spanOf(block);
        RangeRecord record;
        record.layout = layout;
        record.table = extractBlock(next, span);
        if (record.table.entries == extractBlock(stored.table, span).entries) {
            continue;
        }
        std::string name = self_.service;
        if (layout.count > 1) {
            record.service = self_.service;
            record.block = block;
            name = blockRecordName(self_.service, block);
        }
        if (unconfirmedRecords_.count(name) > 0) {
            continue;
        }
        // The change of each block is safe by itself. If the store does not answer, the remaining
        // blocks wait for the next tick, since every failing call takes a full timeout.
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
        // The write may have succeeded all the same, or another node was first. The record is read
        // before planning again.
        const FailureCode code = written.assume_error().code;
        const bool conflict = code == FailureCode::VersionConflict;
        const TimePoint now = clock_.now();
        auto spread = std::uniform_int_distribution<int64_t>(0, ConflictRetrySpread.count());
        unconfirmedRecords_[name] = {over, now + (conflict ? ConflictReadDelay : milliseconds(0)),
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
        notifyHolders(findReceivers(known->table, record.table, self_.node),
                      {name, written.assume_value(), content});
    }
    view_.onRanges(name, std::move(record), written.assume_value());
    wake();
    co_return true;
}

/**
 * Notifies the new holders directly. A range is not served from its change of holder until the new
 * holder learns of it, and in a large fleet the watches batch changes for a considerable part of a
 * second.
 */
void RangeController::notifyHolders(const std::set<NodeId> &holders, const StoredRecord &written)
{
    if (holders.size() > MaxNotifiedHolders) {
        return;
    }
    v1::StoreRecord update;
    update.set_name(written.name);
    update.set_revision(written.revision.value());
    update.set_content(written.content);
    for (const NodeId holder : holders) {
        const MemberRecord *member = view_.findMember(holder);
        if (member == nullptr) {
            continue;
        }
        const auto tell = [this, copy = *member,
                           body = update.SerializeAsString()]() -> asio::awaitable<void> {
            (void)co_await peers_.call(copy, RangeUpdatePath, body, NotifyTimeout);
        };
        asio::co_spawn(context_, tell, logFailureOf("range notification"));
    }
}

asio::awaitable<std::string> RangeController::onRangeUpdate(std::string body)
{
    v1::StoreRecord update;
    if (update.ParseFromString(body) && update.revision() != 0) {
        view_.onRangeRecord({update.name(), StoreRevision(update.revision()), update.content()});
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
    std::erase_if(unconfirmedRecords_, [this, now = clock_.now()](const auto &entry) {
        return now >= entry.second.writeAt && knownRevision(entry.first) > entry.second.over;
    });
    const std::map<std::string, UnconfirmedRecord> unconfirmed = unconfirmedRecords_;
    for (const auto &[name, entry] : unconfirmed) {
        if (clock_.now() < entry.readAt) {
            continue;
        }
        Result<StoredRecord> stored = co_await store_.read(RecordKind::Ranges, name);
        if (!stored && stored.assume_error().code != FailureCode::NotFound) {
            co_return;
        }
        unconfirmedRecords_.erase(name);
        if (stored) {
            view_.onRangeRecord(stored.assume_value());
        }
    }
}

} // namespace wisteriahoist
