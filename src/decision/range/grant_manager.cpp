/** @file grant_manager.cpp What one node grants to the backend server beside it. */

#include "decision/range/grant_manager.h"

#include <algorithm>

namespace wisteriahoist {

namespace {
constexpr milliseconds ReleaseRetry{100}; ///< Between two tries of a release without an answer.
/** After a refused connection: tried again at once, the grants would take the connections whose
 *  lack they were refused for. */
constexpr milliseconds RefusalPause{100};

/** @return Whether @p rows, in order of their keys, show all of @p span under @p fence. */
bool areShown(const std::vector<HeldKeys> &rows, const KeySpan &span, Epoch fence)
{
    uint32_t next = span.first.value();
    for (const HeldKeys &row : rows) {
        if (next <= span.last.value() && row.fence == fence && row.span.contains(ShardKey(next))) {
            next = row.span.last.value() + 1;
        }
    }
    return next > span.last.value();
}

bool areAnyShown(const std::vector<HeldKeys> &rows, const KeySpan &span)
{
    return std::any_of(rows.begin(), rows.end(),
                       [&span](const HeldKeys &row) { return row.span.overlaps(span); });
}

/** @return Whether @p table has any of @p span under @p fence. */
bool isNamed(const RangeTable &table, const KeySpan &span, Epoch fence)
{
    for (size_t index = 0; index < table.entries.size(); ++index) {
        if (table.entries[index].fence == fence && table.spanOf(index).overlaps(span)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string_view releaseGroundName(ReleaseGround ground)
{
    switch (ground) {
    case ReleaseGround::Answered:
        return "release-answered";
    case ReleaseGround::NotListed:
        return "not-listed";
    case ReleaseGround::GrantsRunOut:
        return "grants-run-out";
    }
    return "unknown";
}

TimePoint GrantManager::lapseOf(const GrantTimes &times, milliseconds hold, TimePoint now)
{
    const auto drift = std::chrono::duration_cast<Duration>(hold * times.driftShare);
    return now + hold + drift + times.arrival;
}

void GrantManager::onTable(const RangeTable &table, const std::optional<RangeHolder> &self,
                           TimePoint now)
{
    held_.insert(held_.end(), std::make_move_iterator(unlisted_.begin()),
                 std::make_move_iterator(unlisted_.end()));
    std::sort(held_.begin(), held_.end(), [](const Held &left, const Held &right) {
        return left.span.first < right.span.first;
    });
    std::vector<Held> next;
    for (size_t index = 0; index < table.entries.size(); ++index) {
        const RangeEntry &entry = table.entries[index];
        if (self && entry.holder == *self) {
            takeEntry(table.spanOf(index), entry, now, next);
        }
    }
    rememberDropped(table, next);
    for (Held &held : next) {
        if (held.lapsesAt == NeverTime) {
            held.unansweredUntil = std::max(held.unansweredUntil, earlierUntil_);
        }
    }
    held_ = std::move(next);
}

uint32_t GrantManager::countListed(const Held &held, const std::vector<Held> &next)
{
    uint32_t listed = 0;
    for (const Held &other : next) {
        if (other.fence == held.fence && other.span.overlaps(held.span)) {
            const KeySpan both{std::max(other.span.first, held.span.first),
                               std::min(other.span.last, held.span.last)};
            listed += both.size();
        }
    }
    return listed;
}

void GrantManager::rememberDropped(const RangeTable &table, const std::vector<Held> &next)
{
    unlisted_.clear();
    for (Held &held : held_) {
        const uint32_t listed = countListed(held, next);
        if (listed == held.span.size()) {
            continue;
        }
        // A confirmed release ends what the backend server held, but not a grant that may still be
        // applied after it.
        earlierUntil_ = std::max({earlierUntil_, held.unansweredUntil, held.pendingUntil});
        if (!held.released) {
            earlierUntil_ = std::max(earlierUntil_, held.lapsesAt);
        }
        if (listed == 0 && held.leaving && isNamed(table, held.span, held.fence)) {
            held.release = 0;
            unlisted_.push_back(std::move(held));
        }
    }
}

void GrantManager::takeEntry(const KeySpan &span, const RangeEntry &entry, TimePoint now,
                             std::vector<Held> &next) const
{
    Held fresh;
    fresh.fence = entry.fence;
    fresh.handover = entry.handover;
    fresh.dueAt = now;
    fresh.unansweredUntil = earlierUntil_;
    uint32_t begin = span.first.value();
    // What was granted, or is being released, under this fence goes on; the rest is new.
    for (const Held &known : held_) {
        if (known.fence != entry.fence || !known.span.overlaps(span)) {
            continue;
        }
        Held kept = known;
        kept.span = {std::max(known.span.first, span.first), std::min(known.span.last, span.last)};
        if (kept.span != known.span) {
            kept.granting = false;
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
    std::vector<GrantRequest> orders;
    const auto left = std::chrono::duration_cast<milliseconds>(leaseUntil - now);
    const milliseconds hold = std::min(times_.hold, left);
    if (hold < times_.least) {
        return orders;
    }
    for (Held *due : dueForGrant(now)) {
        Held &held = *due;
        held.granting = true;
        const bool renews = held.proof.grantedAt != NeverTime;
        held.proof.grantedAt = now;
        // One that was cut short by a split counts as unanswered.
        held.unansweredUntil = std::max(held.unansweredUntil, held.pendingUntil);
        held.pendingUntil = lapseOf(times_, hold, now);
        held.lapsesAt = std::max(held.lapsesAt, held.pendingUntil);
        orders.push_back(
                {held.span, held.fence, hold, held.handover, now, now + times_.sending, renews});
    }
    return orders;
}

std::vector<GrantManager::Held *> GrantManager::dueForGrant(TimePoint now)
{
    std::vector<Held *> due;
    size_t open = 0;
    for (Held &held : held_) {
        open += held.granting ? 1 : 0;
        if (!held.granting && held.isWanted() && held.dueAt <= now) {
            due.push_back(&held);
        }
    }
    std::stable_sort(due.begin(), due.end(), [](const Held *left, const Held *right) {
        return left->lapsesAt < right->lapsesAt;
    });
    due.resize(std::min(due.size(), times_.openGrants - std::min(open, times_.openGrants)));
    return due;
}

void GrantManager::onGrantEnd(const GrantRequest &order, ControlResult result)
{
    // A range may have been cut since the order was sent; the grant covers each part.
    for (Held &held : held_) {
        if (held.fence == order.fence && order.span.covers(held.span)) {
            held.granting = false;
            applyGrantEnd(held, order, result);
        }
    }
}

void GrantManager::applyGrantEnd(Held &held, const GrantRequest &order, ControlResult result) const
{
    const TimePoint lapse = lapseOf(times_, order.hold, order.sentAt);
    if (held.pendingUntil == lapse) {
        held.pendingUntil = NeverTime;
    }
    switch (result) {
    case ControlResult::Accepted:
        held.confirmedUntil = std::max(held.confirmedUntil, order.sentAt + order.hold);
        held.dueAt = order.sentAt + times_.renewEvery;
        break;
    case ControlResult::StaleFence:
        // Sending the same fence again can only be refused again.
        held.refused = true;
        held.confirmedUntil = NeverTime;
        break;
    case ControlResult::Unanswered:
        held.unansweredUntil = std::max(held.unansweredUntil, lapse);
        held.dueAt = order.sentAt; // At once: the same call again renews the grant.
        break;
    case ControlResult::NotSent:
        held.dueAt = order.sentAt + RefusalPause;
        break;
    case ControlResult::TooLate:
        held.dueAt = order.sentAt;
        break;
    }
}

void GrantManager::beginRelease(const KeySpan &span)
{
    std::vector<Held> next;
    for (Held &held : held_) {
        if (!held.span.overlaps(span) || held.leaving) {
            next.push_back(std::move(held));
            continue;
        }
        const KeySpan middle{std::max(held.span.first, span.first),
                             std::min(held.span.last, span.last)};
        if (held.span.first < middle.first) {
            Held left = held;
            left.span.last = ShardKey(middle.first.value() - 1);
            left.granting = false;
            next.push_back(std::move(left));
        }
        Held leaving = held;
        leaving.span = middle;
        leaving.leaving = true;
        leaving.granting = false;
        next.push_back(std::move(leaving));
        if (middle.last < held.span.last) {
            Held right = held;
            right.span.first = ShardKey(middle.last.value() + 1);
            right.granting = false;
            next.push_back(std::move(right));
        }
    }
    held_ = std::move(next);
}

std::vector<ReleaseRequest> GrantManager::takeDueReleases(TimePoint now)
{
    std::vector<ReleaseRequest> orders;
    for (Held &held : held_) {
        // A grant and a release on two connections may overtake each other: the grant, applied
        // last, would take the keys up again, and its answer looks like any other.
        const bool grantUnderWay = held.pendingUntil != NeverTime;
        if (held.leaving && held.release == 0 && !held.released && held.releaseDueAt <= now
            && !grantUnderWay) {
            held.release = ++releases_;
            orders.push_back({held.span, held.fence, held.release});
        }
    }
    return orders;
}

void GrantManager::onReleaseEnd(const ReleaseRequest &order, ControlResult result,
                                const std::string &handover, TimePoint now)
{
    // A range that was cut or listed anew since has been granted more than the order releases; its
    // answer would pass for the end of grants that came after it.
    const auto held = std::find_if(held_.begin(), held_.end(), [&](const Held &candidate) {
        return candidate.release != 0 && candidate.release == order.number;
    });
    if (held == held_.end()) {
        return;
    }
    held->release = 0;
    if (result != ControlResult::Accepted) {
        held->releaseDueAt = now + ReleaseRetry;
        return;
    }
    held->released = true;
    held->releaseToken = handover;
    held->proof.ground = ReleaseGround::Answered;
    held->proof.confirmedAt = now;
}

std::vector<ReleasedRange> GrantManager::releasedRanges(TimePoint now) const
{
    std::vector<ReleasedRange> released;
    for (const Held &held : held_) {
        const TimePoint lateUntil = std::max(held.unansweredUntil, held.pendingUntil);
        const bool confirmed = held.released && lateUntil <= now;
        const bool outwaited = std::max(held.lapsesAt, lateUntil) <= now;
        if (held.leaving && (confirmed || outwaited)) {
            ReleaseProof proof = held.proof;
            proof.ground = confirmed ? proof.ground : ReleaseGround::GrantsRunOut;
            proof.lapsesAt = held.lapsesAt;
            proof.unansweredUntil = lateUntil;
            released.push_back({held.span, held.fence, held.releaseToken, proof});
        }
    }
    return released;
}

bool GrantManager::admits(ShardKey key, TimePoint leaseUntil, TimePoint now) const
{
    const Held *held = find(key);
    return held != nullptr && !held->leaving && now >= held->admittedFrom
           && now < held->confirmedUntil && now < leaseUntil;
}

void GrantManager::onHolds(const HeldKeysReport &report, TimePoint now)
{
    for (Held &held : held_) {
        if (areShown(report.holds, held.span, held.fence)) {
            held.taken = true;
            held.proof.shownIn = report.sequence;
        }
    }
    for (const ReleasedKeys &released : report.released) {
        takeReleased(released, report.sequence);
    }
    for (Held &held : held_) {
        if (!held.leaving) {
            noteShown(held, areShown(report.holds, held.span, held.fence));
        } else if (!areAnyShown(report.holds, held.span)) {
            // Also what has been released is shown for as long as it is worked on. What is neither
            // shown nor told as released may still be taken up, or has been since: the heartbeat
            // may have been sent before the answer that grants it was read, and arrive long after.
            // So it waits until the latest grant has run out.
            const bool hasRunOut = std::max(held.lapsesAt, held.unansweredUntil) <= now;
            if (!held.released && (held.releaseTold || hasRunOut)) {
                held.released = true;
                held.proof.ground
                        = held.releaseTold ? ReleaseGround::NotListed : ReleaseGround::GrantsRunOut;
                held.proof.leftOutOf = report.sequence;
                held.proof.confirmedAt = now;
            }
        }
    }
}

/**
 * The token goes to exactly the keys that were released: the rest of a range may still be worked
 * on. A release is told until a heartbeat is acknowledged, so one of keys that came back under
 * another fence may be that of before, told by a heartbeat that was sent before they were taken up
 * again. Only what was shown under its present fence can have been released under it.
 */
void GrantManager::takeReleased(const ReleasedKeys &released, uint64_t sequence)
{
    cutLeavingAt(released.span.first.value());
    cutLeavingAt(released.span.last.value() + 1);
    for (Held &held : held_) {
        if (held.leaving && held.taken && !held.released && released.span.covers(held.span)) {
            held.releaseTold = true;
            held.proof.toldIn = sequence;
            held.releaseToken = released.handover;
        }
    }
}

void GrantManager::cutLeavingAt(uint32_t key)
{
    for (size_t index = 0; index < held_.size(); ++index) {
        Held &held = held_[index];
        if (held.leaving && !held.released && held.span.first.value() < key
            && key <= held.span.last.value()) {
            Held rest = held;
            held.span.last = ShardKey(key - 1);
            rest.span.first = ShardKey(key);
            held_.insert(held_.begin() + static_cast<ptrdiff_t>(index) + 1, std::move(rest));
            return;
        }
    }
}

void GrantManager::noteShown(Held &held, bool shown) const
{
    held.shown = shown;
    if (shown || !held.offered) {
        held.missing = 0;
        held.refused = held.refused && !shown;
        return;
    }
    // It lapsed, its answer was lost, or its fence was refused: until it is granted anew a request
    // would only be turned away there.
    held.confirmedUntil = NeverTime;
    held.refused = ++held.missing >= times_.missingReports;
}

bool GrantManager::isAsReported(const HeldKeysReport &report) const
{
    const auto isKept = [this](const HeldKeys &row) {
        uint32_t next = row.span.first.value();
        for (const Held &held : held_) {
            if (held.isWanted() && held.fence == row.fence && held.span.contains(ShardKey(next))) {
                next = held.span.last.value() + 1;
            }
        }
        return next > row.span.last.value();
    };
    const auto isHeld = [&report](const Held &held) {
        return !held.isWanted() || areShown(report.holds, held.span, held.fence);
    };
    return std::all_of(held_.begin(), held_.end(), isHeld)
           && std::all_of(report.holds.begin(), report.holds.end(), isKept);
}

std::optional<GrantReply> GrantManager::takeHolds(TimePoint receivedAt, TimePoint leaseUntil,
                                                  TimePoint now)
{
    GrantReply order;
    if (leaseUntil <= receivedAt) {
        return std::nullopt;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(leaseUntil - receivedAt);
    order.hold = std::min(times_.hold, left);
    if (receivedAt + order.hold < now + times_.least) {
        return std::nullopt;
    }
    // What is held comes first: where there are more ranges than rows, none is taken away.
    std::vector<Held *> wanted;
    for (Held &held : held_) {
        if (held.isWanted()) {
            wanted.push_back(&held);
        }
    }
    std::stable_partition(wanted.begin(), wanted.end(),
                          [](const Held *held) { return held->shown; });
    order.leftOut = wanted.size() - std::min(wanted.size(), times_.rows);
    wanted.resize(wanted.size() - order.leftOut);
    for (Held *held : wanted) {
        order.rows.push_back(
                {held->span, held->fence, held->shown ? std::string() : held->handover});
        offer(*held, order.hold, receivedAt, now);
    }
    return order;
}

void GrantManager::offer(Held &held, milliseconds hold, TimePoint receivedAt, TimePoint now) const
{
    // The hold counts from the sending of the heartbeat, which is not known; it was not later than
    // the arrival.
    held.lapsesAt = std::max(held.lapsesAt, lapseOf(times_, hold, receivedAt));
    held.unansweredUntil = std::max(held.unansweredUntil, receivedAt + times_.answerCounts);
    if (!held.shown) {
        held.admittedFrom = now + times_.answerArrival;
    }
    held.confirmedUntil = std::max(held.confirmedUntil, receivedAt + hold);
    held.offered = true;
    held.proof.grantedAt = now;
}

bool GrantManager::isLeaving(ShardKey key) const
{
    const Held *held = find(key);
    return held != nullptr && held->leaving;
}

TimePoint GrantManager::lastLapse() const
{
    TimePoint last = earlierUntil_;
    for (const Held &held : held_) {
        last = std::max({last, held.lapsesAt, held.unansweredUntil, held.pendingUntil});
    }
    return last;
}

std::vector<KeySpan> GrantManager::refusedSpans() const
{
    std::vector<KeySpan> spans;
    for (const Held &held : held_) {
        if (held.refused && !held.leaving) {
            spans.push_back(held.span);
        }
    }
    return spans;
}

bool GrantManager::hasLeaving() const
{
    return std::any_of(held_.begin(), held_.end(), [](const Held &held) { return held.leaving; });
}

std::vector<KeySpan> GrantManager::heldSpans() const
{
    std::vector<KeySpan> spans;
    for (const Held &held : held_) {
        if (!held.leaving) {
            spans.push_back(held.span);
        }
    }
    return spans;
}

const GrantManager::Held *GrantManager::find(ShardKey key) const
{
    const auto next = std::upper_bound(
            held_.begin(), held_.end(), key,
            [](ShardKey value, const Held &held) { return value < held.span.first; });
    return next == held_.begin() || std::prev(next)->span.last < key ? nullptr : &*std::prev(next);
}

} // namespace wisteriahoist
