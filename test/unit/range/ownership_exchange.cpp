/** @file ownership_exchange.cpp Messages between nodes and their backend servers that are lost,
 * late, duplicated or refused. */

#include "support/ownership_node.h"
#include "support/ownership_world.h"

namespace wisteriahoist::testing {

namespace {

/** Maximum delay with which an unanswered grant is applied. */
constexpr int64_t LateGrantMs = 3000;
constexpr int64_t LateHeartbeatMs = 3000;
/** Where heartbeats do not wait for replies, one in this many is late. */
constexpr uint64_t LateHeartbeats = 6;

} // namespace

void OwnershipWorld::startBackend(size_t index, bool keepsId)
{
    const uint64_t life = ++lives_[index];
    lastEndedHeartbeats_[index] = 0;
    const std::string id = "b" + std::to_string(index + 1);
    backends_[index].start(keepsId ? BackendIncarnation(id, life)
                                   : BackendIncarnation(id + "-" + std::to_string(life), life));
    trace("backend server starts as " + backends_[index].life().text(), index);
    heartbeat(index, life);
}

void OwnershipWorld::crashBackend(size_t index)
{
    if (!backends_[index].isAlive()) {
        return;
    }
    trace("backend server crashes", index);
    backends_[index].crash();
    ++lives_[index];
    const bool keepsId = draws_.oneIn(2);
    events_.after(draws_.between(20, 1500),
                  [this, index, keepsId]() { startBackend(index, keepsId); });
}

/** Sends a heartbeat of incarnation @p life, and gives up on it one second later. */
void OwnershipWorld::heartbeat(size_t index, uint64_t life)
{
    if (lives_[index] != life) {
        return;
    }
    if (isPaused(index)) {
        events_.at(links_[index].pausedUntil, [this, index, life]() { heartbeat(index, life); });
        return;
    }
    SimulatedBackend &backend = backends_[index];
    const TimePoint sentAt = events_.now();
    BackendReport report;
    report.backend = backend.life();
    report.service = Service;
    report.slots = Slots;
    const HeldKeysReport holding = backend.report(sentAt);
    report.sequence = backend.sequence();
    if (settings_.form == GrantDelivery::Heartbeat) {
        report.holding = holding;
    }
    if (!isFaulty()) {
        const bool isLate
                = !faultsEnded_ && draws_.oneIn(isPeriodic_ ? LateHeartbeats : faultOdds_);
        const milliseconds delay = isLate ? draws_.between(1, LateHeartbeatMs) : drawDelay();
        events_.after(delay, [this, index, life, report, sentAt]() {
            deliverReport(index, life, report, sentAt);
        });
    }
    const auto end
            = [this, index, life, number = report.sequence]() { endExchange(index, life, number); };
    events_.after(SimulatedBackend::AnswerBound, end);
    if (isPeriodic_ && draws_.oneIn(2)) {
        events_.after(draws_.between(300, 999), end);
    }
}

/**
 * The next heartbeat follows the reply to the last one, giving up on it, or the interval between
 * two heartbeats.
 */
void OwnershipWorld::endExchange(size_t index, uint64_t life, uint64_t number)
{
    if (lives_[index] != life || lastEndedHeartbeats_[index] >= number) {
        return;
    }
    lastEndedHeartbeats_[index] = number;
    const bool isQuick = settings_.script || backends_[index].isReleasing(events_.now());
    const milliseconds pause = draws_.between(1, isQuick ? 100 : 500);
    events_.after(pause, [this, index, life]() { heartbeat(index, life); });
}

void OwnershipWorld::deliverReport(size_t index, uint64_t life, const BackendReport &report,
                                   TimePoint sentAt)
{
    if (!nodes_[index]) {
        return;
    }
    const uint64_t number = report.sequence;
    traceReport(report, sentAt, index);
    nodes_[index]->onReport(
            report, [this, index, life, number, sentAt](const std::optional<GrantReply> &reply) {
                const uint64_t copies = isFaulty() ? draws_.below(3) : 1; // 0: lost or cut off.
                for (uint64_t copy = 0; copy < copies; ++copy) {
                    events_.after(drawDelay(), [this, index, life, number, reply, sentAt]() {
                        readAnswer(index, life, number, reply, sentAt);
                    });
                }
            });
}

void OwnershipWorld::traceReport(const BackendReport &report, TimePoint sentAt, size_t index) const
{
    if (!settings_.trace || !report.holding) {
        return;
    }
    std::string text = "receives heartbeat " + std::to_string(report.sequence) + " sent at "
                       + timeText(sentAt);
    for (const HeldKeys &row : report.holding->holds) {
        text += ", holds " + spanText(row.span) + " fence " + std::to_string(row.fence.value());
    }
    for (const ReleasedKeys &row : report.holding->released) {
        text += ", released " + spanText(row.span);
    }
    trace(text, index);
}

void OwnershipWorld::readAnswer(size_t index, uint64_t life, uint64_t number,
                                const std::optional<GrantReply> &reply, TimePoint sentAt)
{
    if (lives_[index] != life) {
        return;
    }
    if (isPaused(index)) {
        events_.at(links_[index].pausedUntil, [this, index, life, number, reply, sentAt]() {
            readAnswer(index, life, number, reply, sentAt);
        });
        return;
    }
    if (reply && settings_.trace) {
        std::string rows;
        for (const GrantedKeys &row : reply->rows) {
            rows += " " + spanText(row.span) + " fence " + std::to_string(row.fence.value());
        }
        trace("reads reply to heartbeat " + std::to_string(number) + " sent at " + timeText(sentAt)
                      + ":" + rows,
              index);
    }
    backends_[index].takeAnswer(number, reply, sentAt, events_.now());
    checkTaken(index);
    endExchange(index, life, number);
}

/** An unanswered grant may be applied seconds later, and more than once. */
void OwnershipWorld::sendGrant(size_t index, const GrantRequest &request, milliseconds timeout,
                               const OrderDone &done)
{
    if (refuses(index)) {
        events_.after(draws_.between(1, 3), [done]() { done({ControlResult::NotSent, {}}); });
        return;
    }
    const bool isFaulty = this->isFaulty();
    const uint64_t copies = isFaulty ? draws_.below(3) : 1;
    const uint64_t life = lives_[index];
    for (uint64_t copy = 0; copy < copies; ++copy) {
        events_.after(draws_.between(1, 5), [this, index, life, request, done, isFaulty]() {
            const TimePoint arrivedAt = events_.now();
            const milliseconds wait
                    = isFaulty ? draws_.between(0, LateGrantMs) : draws_.between(0, 5);
            events_.after(wait, [this, index, life, request, done, isFaulty, arrivedAt]() {
                if (lives_[index] == life) {
                    const OrderDone ignored = [](const ControlReply &) {};
                    carryOutGrant(index, request, arrivedAt, isFaulty ? ignored : done);
                }
            });
        });
    }
    events_.after(timeout, [done]() { done(ControlReply{}); });
}

void OwnershipWorld::carryOutGrant(size_t index, const GrantRequest &request, TimePoint arrivedAt,
                                   const OrderDone &done)
{
    trace("applies the grant for " + spanText(request.span) + " under fence "
                  + std::to_string(request.fence.value()),
          index);
    const bool taken = backends_[index].grant(request.span, request.fence, request.hold, arrivedAt,
                                              events_.now());
    checkTaken(index);
    done({taken ? ControlResult::Accepted : ControlResult::StaleFence, {}});
}

/**
 * Sends a release. It is answered when the running requests have ended, and counts as unanswered
 * after @p timeout.
 */
void OwnershipWorld::sendRelease(size_t index, const ReleaseRequest &request, milliseconds timeout,
                                 const OrderDone &done)
{
    trace("sends release for " + spanText(request.span), index);
    events_.after(timeout, [done]() { done(ControlReply{}); });
    if (refuses(index) || isFaulty()) {
        return;
    }
    events_.after(draws_.between(1, 5), [this, index, life = lives_[index], request, done]() {
        if (lives_[index] != life) {
            return;
        }
        const TimePoint ended
                = backends_[index].release(request.span, request.fence, events_.now());
        if (isFaulty()) {
            return;
        }
        events_.at(ended, [this, index, life, done]() {
            if (lives_[index] == life) {
                done({ControlResult::Accepted, "token"});
            }
        });
    });
}

} // namespace wisteriahoist::testing
