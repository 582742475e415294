/** @file range_controller_heartbeat.cpp Key grants in the replies to heartbeats of the backend
 * server. */

#include "adapter/log/event_log.h"
#include "duty/range_controller.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

/**
 * A reply without changes is delayed for this long. A reply is valid only within one second after
 * its heartbeat was sent, and the transmission of the heartbeat usually takes a moment, but
 * sometimes much longer.
 */
constexpr milliseconds MaxReplyDelay{500};
constexpr size_t MaxSpansPerLine = 12; ///< Limits the length of a log line.

std::string heldKeysText(const HeldKeys &held)
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
    // The heartbeat may be the first of a new incarnation while grants to the previous incarnation
    // are still listed.
    updateGrants(receivedAt);
    grantManager_.onHeldKeysReport(report, receivedAt);
    if (grantManager_.hasLeaving()) {
        wake();
    }
    const uint64_t number = ++reports_;
    if (delayedReply_) {
        delayedReply_->timer->wake(); // The backend server has given up on the earlier heartbeat.
    }
    if (!atOnce && !hasGrantChanges(report, receivedAt)) {
        co_await awaitGrantChanges(report, receivedAt);
    }
    if (number != reports_ || hasRangesToAdopt()) {
        co_return std::nullopt;
    }
    const TimePoint now = clock_.now();
    updateGrants(now);
    std::optional<GrantReply> reply
            = grantManager_.takeGrantReply(receivedAt, authority_.validUntil(), now);
    if (reply && reply->omittedRanges > 0 && omittedRangesLog_.tryTake(now)) {
        omittedRangesLog_.log({{"ranges", reply->omittedRanges}, {"granted", reply->rows.size()}});
    }
    if (reply) {
        logReplyGrants(report, *reply, receivedAt, now);
    }
    co_return reply;
}

/**
 * Logs only ranges that the heartbeat did not list; logging renewals would add a line per
 * heartbeat.
 */
void RangeController::logReplyGrants(const HeldKeysReport &report, const GrantReply &reply,
                                     TimePoint receivedAt, TimePoint now)
{
    std::vector<HeldKeys> granted;
    for (const GrantedKeys &row : reply.rows) {
        const HeldKeys held{row.span, row.fence};
        if (std::find(report.holds.begin(), report.holds.end(), held) == report.holds.end()) {
            granted.push_back(held);
        }
    }
    logGranted(granted, reply.hold, {report.sequence, now - receivedAt}, now);
}

/**
 * Logs every range, in as many lines as needed, since a range left out could not be traced later.
 */
void RangeController::logGranted(const std::vector<HeldKeys> &granted, milliseconds hold,
                                 const AnsweredHeartbeat &answered, TimePoint now)
{
    const auto answerHeld = std::chrono::duration_cast<milliseconds>(answered.delayedFor);
    const auto authority = std::chrono::duration_cast<milliseconds>(authority_.validUntil() - now);
    for (size_t first = 0; first < granted.size(); first += MaxSpansPerLine) {
        if (!grantLog_.tryTake(now)) {
            continue;
        }
        const size_t end = std::min(granted.size(), first + MaxSpansPerLine);
        std::string spans;
        for (size_t index = first; index < end; ++index) {
            spans += (spans.empty() ? "" : " ") + heldKeysText(granted[index]);
        }
        grantLog_.log({{"sequence", answered.sequence},
                       {"ranges", end - first},
                       {"spans", spans},
                       {"hold_ms", hold.count()},
                       {"answer_held_ms", answerHeld.count()},
                       {"authority_ms", authority.count()}});
    }
}

/**
 * A node that has restarted or lost its lease has a new incarnation, while the table still names
 * the previous one. An empty reply at that point would make the backend server release everything
 * it holds just before the node adopts these ranges.
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

bool RangeController::hasGrantChanges(const HeldKeysReport &report, TimePoint now) const
{
    return authority_.validUntil() > now && !grantManager_.matchesReport(report);
}

asio::awaitable<void> RangeController::awaitGrantChanges(const HeldKeysReport &report,
                                                         TimePoint receivedAt)
{
    const std::unique_ptr<WakeTimer> timer = timers_.make();
    const DelayedReply held{&report, timer.get()};
    delayedReply_ = held;
    co_await timer->wait(receivedAt + MaxReplyDelay - clock_.now());
    if (delayedReply_ && delayedReply_->timer == timer.get()) {
        delayedReply_.reset();
    }
}

void RangeController::releaseDelayedReply(TimePoint now)
{
    if (delayedReply_ && hasGrantChanges(*delayedReply_->report, now)) {
        delayedReply_->timer->wake();
    }
}

} // namespace wisteriahoist
