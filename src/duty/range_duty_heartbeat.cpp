/** @file range_duty_heartbeat.cpp What the answers to the backend server's heartbeats grant. */

#include "adapter/log/event_log.h"
#include "duty/range_duty.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

/**
 * An answer without news is held back for so long. It counts only within a second of the sending of
 * its heartbeat, which is on its way for a moment and at times for longer.
 */
constexpr milliseconds AnswerHeldFor{500};
constexpr size_t SpansInLine = 12; ///< Bounds the length of a line.

} // namespace

bool RangeDuty::grantsByHeartbeat() const
{
    return isSharded() && service()->grants == GrantForm::Heartbeat;
}

asio::awaitable<std::optional<HoldOrder>> RangeDuty::answerReport(HoldReport report, bool atOnce,
                                                                  TimePoint receivedAt)
{
    // The heartbeat may be the first of another life, whose predecessor's grants are still listed.
    if (const StoredTable *stored = view_.findTable(self_.service)) {
        keeper_.onTable(stored->table, holder(), receivedAt);
    }
    keeper_.onHolds(report, receivedAt);
    if (keeper_.hasLeaving()) {
        wake();
    }
    const uint64_t number = ++reports_;
    if (heldAnswer_) {
        heldAnswer_->timer->wake(); // Its heartbeat has been given up.
    }
    if (!atOnce && !hasHoldNews(report, receivedAt)) {
        co_await awaitHoldNews(report, receivedAt);
    }
    if (number != reports_ || hasRangesToAdopt()) {
        co_return std::nullopt;
    }
    const TimePoint now = clock_.now();
    std::optional<HoldOrder> order = keeper_.takeHolds(receivedAt, authority_.validUntil(), now);
    if (order && order->leftOut > 0 && leftOutLines_.tryTake(now)) {
        logEvent(LogEvent::RangesLeftOut,
                 {{"ranges", order->leftOut}, {"granted", order->rows.size()}});
    }
    if (order) {
        logOffered(report, *order, receivedAt, now);
    }
    co_return order;
}

/** Only ranges that the heartbeat did not list: renewals would be a line for each heartbeat. */
void RangeDuty::logOffered(const HoldReport &report, const HoldOrder &order, TimePoint receivedAt,
                           TimePoint now)
{
    std::string spans;
    size_t count = 0;
    for (const OfferedKeys &row : order.rows) {
        const HeldKeys held{row.span, row.fence};
        if (std::find(report.holds.begin(), report.holds.end(), held) != report.holds.end()) {
            continue;
        }
        if (++count <= SpansInLine) {
            spans += (spans.empty() ? "" : " ") + std::to_string(row.span.first.value()) + "-"
                     + std::to_string(row.span.last.value()) + "@"
                     + std::to_string(row.fence.value());
        }
    }
    if (count == 0 || !offeredLines_.tryTake(now)) {
        return;
    }
    const auto held = std::chrono::duration_cast<milliseconds>(now - receivedAt);
    const auto authority = std::chrono::duration_cast<milliseconds>(authority_.validUntil() - now);
    logEvent(LogEvent::RangesOffered, {{"sequence", report.sequence},
                                       {"ranges", count},
                                       {"spans", spans},
                                       {"hold_ms", order.hold.count()},
                                       {"answer_held_ms", held.count()},
                                       {"authority_ms", authority.count()}});
}

/**
 * A node that has restarted, or has lost its lease, has a new life, and the table still names the
 * one before. An answer that grants nothing then would make the backend server release all that it
 * holds, a moment before the node adopts just that.
 */
bool RangeDuty::hasRangesToAdopt() const
{
    const StoredTable *stored = view_.findTable(self_.service);
    const std::optional<RangeHolder> self = holder();
    return stored == nullptr || !self
           || std::any_of(stored->table.entries.begin(), stored->table.entries.end(),
                          [&self](const RangeEntry &entry) {
                              return entry.holder.node == self->node
                                     && entry.holder.backend == self->backend
                                     && entry.holder.life != self->life;
                          });
}

bool RangeDuty::hasHoldNews(const HoldReport &report, TimePoint now) const
{
    return authority_.validUntil() > now && !keeper_.isAsReported(report);
}

asio::awaitable<void> RangeDuty::awaitHoldNews(const HoldReport &report, TimePoint receivedAt)
{
    const std::unique_ptr<WakeTimer> timer = timers_.make();
    const HeldAnswer held{&report, timer.get()};
    heldAnswer_ = held;
    co_await timer->wait(receivedAt + AnswerHeldFor - clock_.now());
    if (heldAnswer_ && heldAnswer_->timer == timer.get()) {
        heldAnswer_.reset();
    }
}

void RangeDuty::releaseHeldAnswer(TimePoint now)
{
    if (heldAnswer_ && hasHoldNews(*heldAnswer_->report, now)) {
        heldAnswer_->timer->wake();
    }
}

} // namespace wisteriahoist
