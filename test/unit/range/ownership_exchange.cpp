/** @file ownership_exchange.cpp What is lost, late, doubled or refused between nodes and their
 * backend servers. */

#include "support/ownership_node.h"
#include "support/ownership_world.h"

namespace wisteriahoist::testing {

namespace {

/** A grant without an answer may be carried out so much later. */
constexpr int64_t LateGrantMs = 3000;
constexpr int64_t LateHeartbeatMs = 3000;
/** Where heartbeats do not wait for answers, one in so many is late. */
constexpr uint64_t LateHeartbeats = 6;

} // namespace

void OwnershipWorld::startBackend(size_t index, bool keepsId)
{
    const uint64_t life = ++lives_[index];
    ended_[index] = 0;
    const std::string id = "b" + std::to_string(index + 1);
    backends_[index].start(keepsId ? BackendIncarnation(id, life)
                                   : BackendIncarnation(id + "-" + std::to_string(life), life));
    tell("backend server starts as " + backends_[index].life().text(), index);
    heartbeat(index, life);
}

void OwnershipWorld::crashBackend(size_t index)
{
    if (!backends_[index].isAlive()) {
        return;
    }
    tell("backend server crashes", index);
    backends_[index].crash();
    ++lives_[index];
    const bool keepsId = dice_.oneIn(2);
    agenda_.after(dice_.between(20, 1500),
                  [this, index, keepsId]() { startBackend(index, keepsId); });
}

/** Sends a heartbeat of life @p life, and gives it up a second later. */
void OwnershipWorld::heartbeat(size_t index, uint64_t life)
{
    if (lives_[index] != life) {
        return;
    }
    if (isPaused(index)) {
        agenda_.at(links_[index].pausedUntil, [this, index, life]() { heartbeat(index, life); });
        return;
    }
    ModelBackend &backend = backends_[index];
    const TimePoint sentAt = agenda_.now();
    BackendReport report;
    report.backend = backend.life();
    report.service = Service;
    report.slots = Slots;
    const HeldKeysReport holding = backend.report(sentAt);
    report.sequence = backend.sequence();
    if (settings_.form == GrantDelivery::Heartbeat) {
        report.holding = holding;
    }
    if (!isTroubled()) {
        const bool isLate = !calm_ && dice_.oneIn(isPeriodic_ ? LateHeartbeats : trouble_);
        const milliseconds delay = isLate ? dice_.between(1, LateHeartbeatMs) : drawDelay();
        agenda_.after(delay, [this, index, life, report, sentAt]() {
            deliverReport(index, life, report, sentAt);
        });
    }
    const auto end
            = [this, index, life, number = report.sequence]() { endExchange(index, life, number); };
    agenda_.after(ModelBackend::AnswerBound, end);
    if (isPeriodic_ && dice_.oneIn(2)) {
        agenda_.after(dice_.between(300, 999), end);
    }
}

/** The next heartbeat follows the answer to the last, its giving up, or the pause between two. */
void OwnershipWorld::endExchange(size_t index, uint64_t life, uint64_t number)
{
    if (lives_[index] != life || ended_[index] >= number) {
        return;
    }
    ended_[index] = number;
    const milliseconds pause = backends_[index].isReleasing(agenda_.now()) ? dice_.between(1, 100)
                                                                           : dice_.between(1, 500);
    agenda_.after(pause, [this, index, life]() { heartbeat(index, life); });
}

void OwnershipWorld::deliverReport(size_t index, uint64_t life, const BackendReport &report,
                                   TimePoint sentAt)
{
    if (!nodes_[index]) {
        return;
    }
    const uint64_t number = report.sequence;
    tellReport(report, sentAt, index);
    nodes_[index]->onReport(
            report, [this, index, life, number, sentAt](const std::optional<GrantReply> &order) {
                const uint64_t copies = isTroubled() ? dice_.below(3) : 1; // None: lost or cut.
                for (uint64_t copy = 0; copy < copies; ++copy) {
                    agenda_.after(drawDelay(), [this, index, life, number, order, sentAt]() {
                        readAnswer(index, life, number, order, sentAt);
                    });
                }
            });
}

void OwnershipWorld::tellReport(const BackendReport &report, TimePoint sentAt, size_t index) const
{
    if (!settings_.tell || !report.holding) {
        return;
    }
    std::string text
            = "gets heartbeat " + std::to_string(report.sequence) + " sent at " + timeText(sentAt);
    for (const HeldKeys &row : report.holding->holds) {
        text += ", holds " + spanText(row.span) + " fence " + std::to_string(row.fence.value());
    }
    for (const ReleasedKeys &row : report.holding->released) {
        text += ", released " + spanText(row.span);
    }
    tell(text, index);
}

void OwnershipWorld::readAnswer(size_t index, uint64_t life, uint64_t number,
                                const std::optional<GrantReply> &order, TimePoint sentAt)
{
    if (lives_[index] != life) {
        return;
    }
    if (isPaused(index)) {
        agenda_.at(links_[index].pausedUntil, [this, index, life, number, order, sentAt]() {
            readAnswer(index, life, number, order, sentAt);
        });
        return;
    }
    if (order && settings_.tell) {
        std::string rows;
        for (const GrantedKeys &row : order->rows) {
            rows += " " + spanText(row.span) + " fence " + std::to_string(row.fence.value());
        }
        tell("reads an answer to heartbeat " + std::to_string(number) + " sent at "
                     + timeText(sentAt) + ":" + rows,
             index);
    }
    backends_[index].takeAnswer(number, order, sentAt, agenda_.now());
    checkTaken(index);
    endExchange(index, life, number);
}

/** One without an answer may be carried out seconds later, and more than once. */
void OwnershipWorld::sendGrant(size_t index, const GrantRequest &order, milliseconds timeout,
                               const OrderDone &done)
{
    if (refuses(index)) {
        agenda_.after(dice_.between(1, 3), [done]() { done({ControlResult::NotSent, {}}); });
        return;
    }
    const bool isTroubled = this->isTroubled();
    const uint64_t copies = isTroubled ? dice_.below(3) : 1;
    const uint64_t life = lives_[index];
    for (uint64_t copy = 0; copy < copies; ++copy) {
        agenda_.after(dice_.between(1, 5), [this, index, life, order, done, isTroubled]() {
            const TimePoint arrivedAt = agenda_.now();
            const milliseconds wait
                    = isTroubled ? dice_.between(0, LateGrantMs) : dice_.between(0, 5);
            agenda_.after(wait, [this, index, life, order, done, isTroubled, arrivedAt]() {
                if (lives_[index] == life) {
                    const OrderDone ignored = [](const ControlReply &) {};
                    carryOutGrant(index, order, arrivedAt, isTroubled ? ignored : done);
                }
            });
        });
    }
    agenda_.after(timeout, [done]() { done(ControlReply{}); });
}

void OwnershipWorld::carryOutGrant(size_t index, const GrantRequest &order, TimePoint arrivedAt,
                                   const OrderDone &done)
{
    tell("takes up the call for " + spanText(order.span) + " under fence "
                 + std::to_string(order.fence.value()),
         index);
    const bool taken
            = backends_[index].grant(order.span, order.fence, order.hold, arrivedAt, agenda_.now());
    checkTaken(index);
    done({taken ? ControlResult::Accepted : ControlResult::StaleFence, {}});
}

/** Answered when the running work has ended, unless that takes too long. */
void OwnershipWorld::sendRelease(size_t index, const ReleaseRequest &order, milliseconds timeout,
                                 const OrderDone &done)
{
    tell("release sent for " + spanText(order.span), index);
    agenda_.after(timeout, [done]() { done(ControlReply{}); });
    if (refuses(index) || isTroubled()) {
        return;
    }
    agenda_.after(dice_.between(1, 5), [this, index, life = lives_[index], order, done]() {
        if (lives_[index] != life) {
            return;
        }
        const TimePoint ended = backends_[index].release(order.span, order.fence, agenda_.now());
        if (isTroubled()) {
            return;
        }
        agenda_.at(ended, [this, index, life, done]() {
            if (lives_[index] == life) {
                done({ControlResult::Accepted, "token"});
            }
        });
    });
}

} // namespace wisteriahoist::testing
