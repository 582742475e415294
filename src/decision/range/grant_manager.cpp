/** @file grant_manager.cpp Key ranges that one node grants to its backend server. */

#include "decision/range/grant_manager.h"

#include <algorithm>

namespace wisteriahoist {

namespace {
constexpr milliseconds ReleaseRetryDelay{100}; ///< For a release without an answer.
/**
 * Delay after a refused connection. If retried at once, the grants would occupy the very
 * connections that the backend server is short of.
 */
constexpr milliseconds RefusalRetryDelay{100};

/** @return Whether @p rows, sorted by key, cover all of @p span under @p fence. */
bool areListed(const std::vector<HeldKeys> &rows, const KeySpan &span, Epoch fence)
{
    uint32_t next = span.first.value();
    for (const HeldKeys &row : rows) {
        if (next <= span.last.value() && row.fence == fence && row.span.contains(ShardKey(next))) {
            next = row.span.last.value() + 1;
        }
    }
    return next > span.last.value();
}

bool isAnyListed(const std::vector<HeldKeys> &rows, const KeySpan &span)
{
    return std::any_of(rows.begin(), rows.end(),
                       [&span](const HeldKeys &row) { return row.span.overlaps(span); });
}

/** @return Whether @p table lists any key of @p span under @p fence. */
bool isListed(const RangeTable &table, const KeySpan &span, Epoch fence)
{
    for (size_t index = 0; index < table.entries.size(); ++index) {
        if (table.entries[index].fence == fence && table.spanOf(index).overlaps(span)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string_view releaseEvidenceName(ReleaseEvidence evidence)
{
    switch (evidence) {
    case ReleaseEvidence::Answered:
        return "release-answered";
    case ReleaseEvidence::NotListed:
        return "not-listed";
    case ReleaseEvidence::GrantsExpired:
        return "grants-run-out";
    }
    return "unknown";
}

TimePoint GrantManager::expiryOf(const GrantTimes &times, milliseconds hold, TimePoint now)
{
    const auto drift = std::chrono::duration_cast<Duration>(hold * times.driftShare);
    return now + hold + drift + times.maxArrivalDelay;
}

void GrantManager::onTable(const RangeTable &table, const std::optional<RangeHolder> &self,
                           TimePoint now)
{
    held_.insert(held_.end(), std::make_move_iterator(unlisted_.begin()),
                 std::make_move_iterator(unlisted_.end()));
    std::sort(held_.begin(), held_.end(), [](const HeldRange &left, const HeldRange &right) {
        return left.span.first < right.span.first;
    });
    std::vector<HeldRange> next;
    for (size_t index = 0; index < table.entries.size(); ++index) {
        const RangeEntry &entry = table.entries[index];
        if (self && entry.holder == *self) {
            addEntry(table.spanOf(index), entry, now, next);
        }
    }
    recordUnlisted(table, next);
    for (HeldRange &held : next) {
        if (held.expiresAt == NeverTime) {
            held.unansweredUntil = std::max(held.unansweredUntil, untrackedExpiry_);
        }
    }
    held_ = std::move(next);
}

uint32_t GrantManager::countListed(const HeldRange &held, const std::vector<HeldRange> &next)
{
    uint32_t listed = 0;
    for (const HeldRange &other : next) {
        if (other.fence == held.fence && other.span.overlaps(held.span)) {
            const KeySpan both{std::max(other.span.first, held.span.first),
                               std::min(other.span.last, held.span.last)};
            listed += both.size();
        }
    }
    return listed;
}

void GrantManager::recordUnlisted(const RangeTable &table, const std::vector<HeldRange> &next)
{
    unlisted_.clear();
    for (HeldRange &held : held_) {
        const uint32_t listed = countListed(held, next);
        if (listed == held.span.size()) {
            continue;
        }
        // A confirmed release ends the holding, but a grant in flight may still be applied after
        // it.
        untrackedExpiry_ = std::max({untrackedExpiry_, held.unansweredUntil, held.pendingUntil});
        if (!held.released) {
            untrackedExpiry_ = std::max(untrackedExpiry_, held.expiresAt);
        }
        if (listed == 0 && held.leaving && isListed(table, held.span, held.fence)) {
            held.release = 0;
            unlisted_.push_back(std::move(held));
        }
    }
}

void GrantManager::addEntry(const KeySpan &span, const RangeEntry &entry, TimePoint now,
                            std::vector<HeldRange> &next) const
{
    HeldRange fresh;
    fresh.fence = entry.fence;
    fresh.handover = entry.handover;
    fresh.dueAt = now;
    fresh.unansweredUntil = untrackedExpiry_;
    uint32_t begin = span.first.value();
    // Ranges already granted or being released under this fence keep their state; the rest is new.
    for (const HeldRange &known : held_) {
        if (known.fence != entry.fence || !known.span.overlaps(span)) {
            continue;
        }
        HeldRange kept = known;
        kept.span = {std::max(known.span.first, span.first), std::min(known.span.last, span.last)};
        if (kept.span != known.span) {
            kept.grantInFlight = false;
            kept.release = 0;
        }
        if (begin < kept.span.first.value()) {
            fresh.span = {ShardKey(begin), ShardKey(kept.span.first.value() - 1)};
            next.push_back(fresh);
        }
        begin = kept.span.last.value() + 1;
        next.push_back(std::move(kept));
    }
    if (begin <= span.last.value()) {
        fresh.span = {ShardKey(begin), span.last};
        next.push_back(std::move(fresh));
    }
}

std::vector<GrantRequest> GrantManager::takeDueGrants(TimePoint leaseUntil, TimePoint now)
{
    std::vector<GrantRequest> requests;
    const auto left = std::chrono::duration_cast<milliseconds>(leaseUntil - now);
    const milliseconds hold = std::min(times_.hold, left);
    if (hold < times_.minHold) {
        return requests;
    }
    for (HeldRange *due : dueForGrant(now)) {
        HeldRange &held = *due;
        held.grantInFlight = true;
        const bool renews = held.proof.grantedAt != NeverTime;
        held.proof.grantedAt = now;
        // A grant whose range was split while the call was in flight counts as unanswered.
        held.unansweredUntil = std::max(held.unansweredUntil, held.pendingUntil);
        held.pendingUntil = expiryOf(times_, hold, now);
        held.expiresAt = std::max(held.expiresAt, held.pendingUntil);
        requests.push_back({held.span, held.fence, hold, held.handover, now,
                            now + times_.maxSendDelay, renews});
    }
    return requests;
}

std::vector<GrantManager::HeldRange *> GrantManager::dueForGrant(TimePoint now)
{
    std::vector<HeldRange *> due;
    size_t open = 0;
    for (HeldRange &held : held_) {
        open += held.grantInFlight ? 1 : 0;
        if (!held.grantInFlight && held.isWanted() && held.dueAt <= now) {
            due.push_back(&held);
        }
    }
    std::stable_sort(due.begin(), due.end(), [](const HeldRange *left, const HeldRange *right) {
        return left->expiresAt < right->expiresAt;
    });
    due.resize(std::min(due.size(),
                        times_.maxGrantsInFlight - std::min(open, times_.maxGrantsInFlight)));
    return due;
}

void GrantManager::onGrantEnd(const GrantRequest &request, ControlResult result)
{
    // The range may have been split since the grant was sent; the grant covers each part.
    for (HeldRange &held : held_) {
        if (held.fence == request.fence && request.span.covers(held.span)) {
            held.grantInFlight = false;
            applyGrantEnd(held, request, result);
        }
    }
}

void GrantManager::applyGrantEnd(HeldRange &held, const GrantRequest &request,
                                 ControlResult result) const
{
    const TimePoint expiry = expiryOf(times_, request.hold, request.sentAt);
    if (held.pendingUntil == expiry) {
        held.pendingUntil = NeverTime;
    }
    switch (result) {
    case ControlResult::Accepted:
        held.confirmedUntil = std::max(held.confirmedUntil, request.sentAt + request.hold);
        held.dueAt = request.sentAt + times_.renewInterval;
        break;
    case ControlResult::StaleFence:
        // Sending the same fence again would only be refused again.
        held.refused = true;
        held.confirmedUntil = NeverTime;
        break;
    case ControlResult::Unanswered:
        held.unansweredUntil = std::max(held.unansweredUntil, expiry);
        held.dueAt = request.sentAt; // Retried at once: the same call renews the grant.
        break;
    case ControlResult::NotSent:
        held.dueAt = request.sentAt + RefusalRetryDelay;
        break;
    case ControlResult::TooLate:
        held.dueAt = request.sentAt;
        break;
    }
}

void GrantManager::beginRelease(const KeySpan &span)
{
    std::vector<HeldRange> next;
    for (HeldRange &held : held_) {
        if (!held.span.overlaps(span) || held.leaving) {
            next.push_back(std::move(held));
            continue;
        }
        const KeySpan middle{std::max(held.span.first, span.first),
                             std::min(held.span.last, span.last)};
        if (held.span.first < middle.first) {
            HeldRange left = held;
            left.span.last = ShardKey(middle.first.value() - 1);
            left.grantInFlight = false;
            next.push_back(std::move(left));
        }
        HeldRange leaving = held;
        leaving.span = middle;
        leaving.leaving = true;
        leaving.grantInFlight = false;
        next.push_back(std::move(leaving));
        if (middle.last < held.span.last) {
            HeldRange right = held;
            right.span.first = ShardKey(middle.last.value() + 1);
            right.grantInFlight = false;
            next.push_back(std::move(right));
        }
    }
    held_ = std::move(next);
}

std::vector<ReleaseRequest> GrantManager::takeDueReleases(TimePoint now)
{
    std::vector<ReleaseRequest> requests;
    for (HeldRange &held : held_) {
        // A grant and a release on two connections may be reordered. If the grant were applied
        // last, it would take the keys again, and the answers would look no different.
        const bool grantUnderWay = held.pendingUntil != NeverTime;
        if (held.leaving && held.release == 0 && !held.released && held.releaseDueAt <= now
            && !grantUnderWay) {
            held.release = ++releases_;
            requests.push_back({held.span, held.fence, held.release});
        }
    }
    return requests;
}

void GrantManager::onReleaseEnd(const ReleaseRequest &request, ControlResult result,
                                const std::string &handover, TimePoint now)
{
    // A range that was split or listed again since the release was sent may hold later grants that
    // this release does not cover, so its answer must not count as their end.
    const auto held = std::find_if(held_.begin(), held_.end(), [&](const HeldRange &candidate) {
        return candidate.release != 0 && candidate.release == request.number;
    });
    if (held == held_.end()) {
        return;
    }
    held->release = 0;
    if (result != ControlResult::Accepted) {
        held->releaseDueAt = now + ReleaseRetryDelay;
        return;
    }
    held->released = true;
    held->releaseToken = handover;
    held->proof.evidence = ReleaseEvidence::Answered;
    held->proof.confirmedAt = now;
}

std::vector<ReleasedRange> GrantManager::releasedRanges(TimePoint now) const
{
    std::vector<ReleasedRange> released;
    for (const HeldRange &held : held_) {
        const TimePoint lateUntil = std::max(held.unansweredUntil, held.pendingUntil);
        const bool confirmed = held.released && lateUntil <= now;
        const bool haveExpired = std::max(held.expiresAt, lateUntil) <= now;
        if (held.leaving && (confirmed || haveExpired)) {
            ReleaseProof proof = held.proof;
            proof.evidence = confirmed ? proof.evidence : ReleaseEvidence::GrantsExpired;
            proof.expiresAt = held.expiresAt;
            proof.unansweredUntil = lateUntil;
            released.push_back({held.span, held.fence, held.releaseToken, proof});
        }
    }
    return released;
}

bool GrantManager::admits(ShardKey key, TimePoint leaseUntil, TimePoint now) const
{
    const HeldRange *held = find(key);
    return held != nullptr && !held->leaving && now >= held->admittedFrom
           && now < held->confirmedUntil && now < leaseUntil;
}

void GrantManager::onHeldKeysReport(const HeldKeysReport &report, TimePoint now)
{
    for (HeldRange &held : held_) {
        if (areListed(report.holds, held.span, held.fence)) {
            held.wasListed = true;
            held.proof.listedIn = report.sequence;
        }
    }
    for (const ReleasedKeys &released : report.released) {
        recordReleased(released, report.sequence);
    }
    for (HeldRange &held : held_) {
        if (!held.leaving) {
            recordListed(held, areListed(report.holds, held.span, held.fence));
        } else if (isAnyListed(report.holds, held.span)) {
            // The release was an earlier one, and the keys have been taken again since.
            if (held.released && held.proof.evidence == ReleaseEvidence::NotListed) {
                held.released = false;
                held.releaseReported = false;
            }
        } else {
            // A released range is also listed while requests for it are still running. A range
            // that is neither listed nor reported as released may still be taken, or may have been
            // taken since: the heartbeat may have been sent before the reply with the grant was
            // read, and may arrive much later. So such a range waits until its latest grant has
            // expired.
            const bool hasRunOut = std::max(held.expiresAt, held.unansweredUntil) <= now;
            if (!held.released && (held.releaseReported || hasRunOut)) {
                held.released = true;
                held.proof.evidence = held.releaseReported ? ReleaseEvidence::NotListed
                                                           : ReleaseEvidence::GrantsExpired;
                held.proof.omittedFrom = report.sequence;
                held.proof.confirmedAt = now;
            }
        }
    }
}

/**
 * Assigns the token to exactly the keys that were released, since requests may still be running
 * for the rest of a range. The backend server reports a release until a heartbeat is acknowledged.
 * So for keys that came back under another fence, the report may concern the earlier release, sent
 * in a heartbeat before the keys were taken again. Only ranges that were listed under their
 * current fence can have been released under it.
 */
void GrantManager::recordReleased(const ReleasedKeys &released, uint64_t sequence)
{
    splitLeavingAt(released.span.first.value());
    splitLeavingAt(released.span.last.value() + 1);
    for (HeldRange &held : held_) {
        if (held.leaving && held.wasListed && !held.released && released.span.covers(held.span)) {
            held.releaseReported = true;
            held.proof.reportedIn = sequence;
            held.releaseToken = released.handover;
        }
    }
}

void GrantManager::splitLeavingAt(uint32_t key)
{
    for (size_t index = 0; index < held_.size(); ++index) {
        HeldRange &held = held_[index];
        if (held.leaving && !held.released && held.span.first.value() < key
            && key <= held.span.last.value()) {
            HeldRange rest = held;
            held.span.last = ShardKey(key - 1);
            rest.span.first = ShardKey(key);
            held_.insert(held_.begin() + static_cast<ptrdiff_t>(index) + 1, std::move(rest));
            return;
        }
    }
}

void GrantManager::recordListed(HeldRange &held, bool listed) const
{
    held.listed = listed;
    if (listed || !held.grantedByReply) {
        held.missedReports = 0;
        held.refused = held.refused && !listed;
        return;
    }
    // The grant expired, its reply was lost, or its fence was refused. Until the range is granted
    // again, the backend server would reject requests for it.
    held.confirmedUntil = NeverTime;
    held.refused = ++held.missedReports >= times_.maxMissingReports;
}

bool GrantManager::matchesReport(const HeldKeysReport &report) const
{
    const auto isKept = [this](const HeldKeys &row) {
        uint32_t next = row.span.first.value();
        for (const HeldRange &held : held_) {
            if (held.isWanted() && held.fence == row.fence && held.span.contains(ShardKey(next))) {
                next = held.span.last.value() + 1;
            }
        }
        return next > row.span.last.value();
    };
    const auto isHeld = [&report](const HeldRange &held) {
        return !held.isWanted() || areListed(report.holds, held.span, held.fence);
    };
    return std::all_of(held_.begin(), held_.end(), isHeld)
           && std::all_of(report.holds.begin(), report.holds.end(), isKept);
}

std::optional<GrantReply> GrantManager::takeGrantReply(TimePoint receivedAt, TimePoint leaseUntil,
                                                       TimePoint now)
{
    GrantReply reply;
    if (leaseUntil <= receivedAt) {
        return std::nullopt;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(leaseUntil - receivedAt);
    reply.hold = std::min(times_.hold, left);
    if (receivedAt + reply.hold < now + times_.minHold) {
        return std::nullopt;
    }
    // Ranges already held come first: if there are more ranges than rows, the backend server does
    // not lose any that it holds.
    std::vector<HeldRange *> wanted;
    for (HeldRange &held : held_) {
        if (held.isWanted()) {
            wanted.push_back(&held);
        }
    }
    std::stable_partition(wanted.begin(), wanted.end(),
                          [](const HeldRange *held) { return held->listed; });
    reply.omittedRanges = wanted.size() - std::min(wanted.size(), times_.rows);
    wanted.resize(wanted.size() - reply.omittedRanges);
    for (HeldRange *held : wanted) {
        reply.rows.push_back(
                {held->span, held->fence, held->listed ? std::string() : held->handover});
        recordGrant(*held, reply.hold, receivedAt, now);
    }
    return reply;
}

void GrantManager::recordGrant(HeldRange &held, milliseconds hold, TimePoint receivedAt,
                               TimePoint now) const
{
    // The hold time counts from the sending of the heartbeat. That time is unknown, but it was not
    // later than the arrival.
    held.expiresAt = std::max(held.expiresAt, expiryOf(times_, hold, receivedAt));
    held.unansweredUntil = std::max(held.unansweredUntil, receivedAt + times_.replyValidity);
    if (!held.listed) {
        held.admittedFrom = now + times_.replyDeliveryTime;
    }
    held.confirmedUntil = std::max(held.confirmedUntil, receivedAt + hold);
    held.grantedByReply = true;
    held.proof.grantedAt = now;
}

bool GrantManager::isLeaving(ShardKey key) const
{
    const HeldRange *held = find(key);
    return held != nullptr && held->leaving;
}

TimePoint GrantManager::lastExpiry() const
{
    TimePoint last = untrackedExpiry_;
    for (const HeldRange &held : held_) {
        last = std::max({last, held.expiresAt, held.unansweredUntil, held.pendingUntil});
    }
    return last;
}

std::vector<HeldKeys> GrantManager::refusedRanges() const
{
    std::vector<HeldKeys> refused;
    for (const HeldRange &held : held_) {
        if (held.refused && !held.leaving) {
            refused.push_back({held.span, held.fence});
        }
    }
    return refused;
}

bool GrantManager::hasLeaving() const
{
    return std::any_of(held_.begin(), held_.end(),
                       [](const HeldRange &held) { return held.leaving; });
}

std::vector<KeySpan> GrantManager::heldSpans() const
{
    std::vector<KeySpan> spans;
    for (const HeldRange &held : held_) {
        if (!held.leaving) {
            spans.push_back(held.span);
        }
    }
    return spans;
}

const GrantManager::HeldRange *GrantManager::find(ShardKey key) const
{
    const auto next = std::upper_bound(
            held_.begin(), held_.end(), key,
            [](ShardKey value, const HeldRange &held) { return value < held.span.first; });
    return next == held_.begin() || std::prev(next)->span.last < key ? nullptr : &*std::prev(next);
}

} // namespace wisteriahoist
