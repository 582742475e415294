/** @file range_controller_heartbeat.cpp What the answers to the backend server's heartbeats grant.
 */

#include "adapter/log/event_log.h"
#include "duty/range_controller.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

/**
 * An answer without news is held back for so long. It counts only within a second of the sending of
 * its heartbeat, which is on its way for a moment and at times for longer.
 */
constexpr milliseconds AnswerHeldFor{500};
constexpr size_t SpansInLine = 12; ///< Bounds the length of a line.

std::string heldText(const HeldKeys &held)
{
    return std::to_string(held.span.first.value()) + "-" + std::to_string(held.span.last.value())
           + "@" + std::to_string(held.fence.value());
}

} // namespace

bool RangeController::grantsByHeartbeat() const
{
    return isSharded() && service()->grants == GrantDelivery::Heartbeat;
}

asio::awaitable<std::optional<GrantReply>>
RangeController::handleHeartbeat(HeldKeysReport report, bool atOnce, TimePoint receivedAt)
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
    std::optional<GrantReply> order = keeper_.takeHolds(receivedAt, authority_.validUntil(), now);
    if (order && order->leftOut > 0 && leftOutLines_.tryTake(now)) {
        leftOutLines_.log({{"ranges", order->leftOut}, {"granted", order->rows.size()}});
    }
    if (order) {
        logOffered(report, *order, receivedAt, now);
    }
    co_return order;
}

/** Only ranges that the heartbeat did not list: renewals would be a line for each heartbeat. */
void RangeController::logOffered(const HeldKeysReport &report, const GrantReply &order,
                                 TimePoint receivedAt, TimePoint now)
{
    std::vector<HeldKeys> granted;
    for (const GrantedKeys &row : order.rows) {
        const HeldKeys held{row.span, row.fence};
        if (std::find(report.holds.begin(), report.holds.end(), held) == report.holds.end()) {
            granted.push_back(held);
        }
    }
    logGranted(granted, order.hold, {report.sequence, now - receivedAt}, now);
}

/** Every range is named, in as many lines as it takes: what is left out could not be traced. */
void RangeController::logGranted(const std::vector<HeldKeys> &granted, milliseconds hold,
                                 const AnsweredReport &answered, TimePoint now)
{
    const auto answerHeld = std::chrono::duration_cast<milliseconds>(answered.heldBackFor);
    const auto authority = std::chrono::duration_cast<milliseconds>(authority_.validUntil() - now);
    for (size_t first = 0; first < granted.size(); first += SpansInLine) {
        if (!offeredLines_.tryTake(now)) {
            continue;
        }
        const size_t end = std::min(granted.size(), first + SpansInLine);
        std::string spans;
        for (size_t index = first; index < end; ++index) {
            spans += (spans.empty() ? "" : " ") + heldText(granted[index]);
        }
        offeredLines_.log({{"sequence", answered.sequence},
                           {"ranges", end - first},
                           {"spans", spans},
                           {"hold_ms", hold.count()},
                           {"answer_held_ms", answerHeld.count()},
                           {"authority_ms", authority.count()}});
    }
}

/**
 * A node that has restarted, or has lost its lease, has a new life, and the table still names the
 * one before. An answer that grants nothing then would make the backend server release all that it
 * holds, a moment before the node adopts just that.
 */
bool RangeController::hasRangesToAdopt() const
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

bool RangeController::hasHoldNews(const HeldKeysReport &report, TimePoint now) const
{
    return authority_.validUntil() > now && !keeper_.isAsReported(report);
}

asio::awaitable<void> RangeController::awaitHoldNews(const HeldKeysReport &report,
                                                     TimePoint receivedAt)
{
    const std::unique_ptr<WakeTimer> timer = timers_.make();
    const HeldAnswer held{&report, timer.get()};
    heldAnswer_ = held;
    co_await timer->wait(receivedAt + AnswerHeldFor - clock_.now());
    if (heldAnswer_ && heldAnswer_->timer == timer.get()) {
        heldAnswer_.reset();
    }
}

void RangeController::releaseHeldAnswer(TimePoint now)
{
    if (heldAnswer_ && hasHoldNews(*heldAnswer_->report, now)) {
        heldAnswer_->timer->wake();
    }
}

} // namespace wisteriahoist
