/** @file ownership_world.cpp What is lost, late, doubled or refused between the modelled parts. */

#include "support/ownership_world.h"

#include "support/ownership_node.h"

#include <algorithm>

namespace wisteriahoist::testing {

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr milliseconds GrantTimeout{400};
constexpr milliseconds ReleaseTimeout{1500};
constexpr milliseconds StoreTimeout{500};
/** A grant without an answer may be carried out so much later. */
constexpr int64_t LateGrantMs = 3000;
constexpr int64_t LateWriteMs = 3000;
constexpr int64_t LateHeartbeatMs = 3000;
/** Where heartbeats do not wait for answers, one in so many is late. */
constexpr uint64_t LateHeartbeats = 6;
/** What messages take on an idle and on a busy machine. */
constexpr milliseconds IdleDelay{5};
constexpr milliseconds BusyDelay{400};
/** Longer than a takeover takes. */
constexpr int64_t LongCutMs = 8000;
constexpr int64_t LongCrashMs = 5000;
/** The 2% that a backend server's clock may run slow. */
constexpr double MostSlow = 0.02;

std::string timeText(TimePoint time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time - Start).count());
}

} // namespace

OwnershipWorld::OwnershipWorld(uint64_t seed, WorldSettings settings)
    : settings_(settings), dice_(seed * 2654435761U % 2147483647U), trouble_(3 + dice_.below(40)),
      isPeriodic_(dice_.oneIn(2)),
      usualDelay_(isPeriodic_ || dice_.oneIn(3) ? BusyDelay : IdleDelay), agenda_(Start)
{
    for (size_t index = 0; index < NodeCount; ++index) {
        nodes_[index] = std::make_shared<ModelNode>(*this, index);
        startBackend(index, false);
        if (dice_.oneIn(2)) {
            backends_[index].runSlow(MostSlow);
        }
    }
    divideKeys();
    for (const std::shared_ptr<ModelNode> &node : nodes_) {
        node->start();
    }
    planFault();
}

OwnershipWorld::~OwnershipWorld() = default;

bool OwnershipWorld::run(Duration time)
{
    const TimePoint end = agenda_.now() + time;
    while (violation_.empty() && agenda_.step(end)) { }
    return violation_.empty();
}

milliseconds OwnershipWorld::drawDelay()
{
    return dice_.oneIn(trouble_) ? dice_.between(1, 700) : dice_.between(1, usualDelay_.count());
}

bool OwnershipWorld::refuses(size_t index) const
{
    return !backends_[index].isAlive() || agenda_.now() < links_[index].refusesUntil;
}

template <typename Content>
WriteEnd OwnershipWorld::apply(StoreObject<Content> &object, const Content &content, uint64_t over,
                               uint64_t &revision)
{
    if (object.revision != over) {
        return WriteEnd::Conflict;
    }
    object = {content, ++revision_};
    revision = object.revision;
    if constexpr (std::is_same_v<Content, RangeTable>) {
        spreadTable();
    }
    return WriteEnd::Written;
}

/** A write is done in time, or late, or never; and its answer may be lost. */
template <typename Content>
void OwnershipWorld::write(StoreObject<Content> &object, Content content, uint64_t over,
                           WriteDone done)
{
    const bool isTroubled = dice_.oneIn(trouble_);
    if (isTroubled && dice_.oneIn(2)) {
        agenda_.after(drawDelay(), [done]() { done(WriteEnd::Failed, 0); });
        return;
    }
    const milliseconds reach = isTroubled ? dice_.between(1, LateWriteMs) : drawDelay();
    const bool isLost = isTroubled || reach > StoreTimeout;
    agenda_.after(reach, [this, &object, content = std::move(content), over, done, isLost]() {
        uint64_t revision = 0;
        const WriteEnd end = apply(object, content, over, revision);
        if (!isLost) {
            agenda_.after(drawDelay(), [done, end, revision]() { done(end, revision); });
        }
    });
    if (isLost) {
        agenda_.after(StoreTimeout, [done]() { done(WriteEnd::Failed, 0); });
    }
}

template <typename Content>
void OwnershipWorld::read(StoreObject<Content> &object,
                          std::function<void(std::optional<StoreObject<Content>>)> done)
{
    if (dice_.oneIn(trouble_)) {
        agenda_.after(StoreTimeout, [done]() { done(std::nullopt); });
        return;
    }
    agenda_.after(drawDelay(), [this, &object, done]() {
        agenda_.after(drawDelay(), [done, known = object]() { done(known); });
    });
}

/** The watch of each node, which may lag. */
void OwnershipWorld::spreadTable()
{
    for (size_t index = 0; index < NodeCount; ++index) {
        const milliseconds lag
                = dice_.oneIn(trouble_) ? dice_.between(100, 2000) : dice_.between(1, 100);
        agenda_.after(lag, [this, index, news = table_]() {
            if (nodes_[index]) {
                nodes_[index]->onTable(news);
            }
        });
    }
}

/** One range for each holder, so that a part of it can move. */
void OwnershipWorld::divideKeys()
{
    RangeTable table;
    for (size_t index = 0; index < NodeCount; ++index) {
        const auto first = static_cast<uint32_t>(index * SliceCount / NodeCount);
        const auto last = static_cast<uint32_t>((index + 1) * SliceCount / NodeCount - 1);
        RangeHolder holder = nodes_[index]->published();
        holder.backend = backends_[index].life();
        table = giveRange(std::move(table), slicesOf(first, last), holder, {});
    }
    table_ = {table, ++revision_};
    spreadTable();
}

void OwnershipWorld::restartNode(size_t index)
{
    nodes_[index] = std::make_shared<ModelNode>(*this, index);
    nodes_[index]->onTable(table_);
    nodes_[index]->start();
}

void OwnershipWorld::startBackend(size_t index, bool keepsId)
{
    const uint64_t life = ++lives_[index];
    ended_[index] = 0;
    const std::string id = "b" + std::to_string(index + 1);
    backends_[index].start(keepsId ? BackendLife(id, life)
                                   : BackendLife(id + "-" + std::to_string(life), life));
    heartbeat(index, life);
}

void OwnershipWorld::crashBackend(size_t index)
{
    if (!backends_[index].isAlive()) {
        return;
    }
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
    ModelBackend &backend = backends_[index];
    const TimePoint sentAt = agenda_.now();
    BackendReport report;
    report.backend = backend.life();
    report.service = "s";
    report.slots = 12;
    const HoldReport holding = backend.report(sentAt);
    report.sequence = backend.sequence();
    if (settings_.form == GrantForm::Heartbeat) {
        report.holding = holding;
    }
    if (!dice_.oneIn(trouble_)) {
        const milliseconds delay = dice_.oneIn(isPeriodic_ ? LateHeartbeats : trouble_)
                                           ? dice_.between(1, LateHeartbeatMs)
                                           : drawDelay();
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
    nodes_[index]->onReport(report, [this, index, life, number,
                                     sentAt](const std::optional<HoldOrder> &order) {
        const uint64_t copies = dice_.oneIn(trouble_) ? dice_.below(3) : 1; // None: lost or cut.
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
                                const std::optional<HoldOrder> &order, TimePoint sentAt)
{
    if (lives_[index] != life) {
        return;
    }
    if (order) {
        std::string rows;
        for (const OfferedKeys &row : order->rows) {
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
void OwnershipWorld::deliverGrant(size_t index, const GrantOrder &order,
                                  std::function<void(OrderResult)> done)
{
    if (refuses(index)) {
        agenda_.after(dice_.between(1, 3), [done]() { done(OrderResult::NotSent); });
        return;
    }
    const bool isTroubled = dice_.oneIn(trouble_);
    const uint64_t copies = isTroubled ? dice_.below(3) : 1;
    const uint64_t life = lives_[index];
    for (uint64_t copy = 0; copy < copies; ++copy) {
        agenda_.after(dice_.between(1, 5), [this, index, life, order, done, isTroubled]() {
            const TimePoint arrivedAt = agenda_.now();
            const milliseconds wait
                    = isTroubled ? dice_.between(0, LateGrantMs) : dice_.between(0, 5);
            agenda_.after(wait, [this, index, life, order, done, isTroubled, arrivedAt]() {
                if (lives_[index] != life) {
                    return;
                }
                tell("takes up the call for " + spanText(order.span) + " sent at "
                             + timeText(order.sentAt),
                     index);
                const bool taken = backends_[index].grant(order.span, order.fence, order.hold,
                                                          arrivedAt, agenda_.now());
                checkTaken(index);
                if (!isTroubled) {
                    done(taken ? OrderResult::Accepted : OrderResult::HigherFence);
                }
            });
        });
    }
    if (isTroubled) {
        agenda_.after(GrantTimeout, [done]() { done(OrderResult::Unanswered); });
    }
}

/** Answered when the running work has ended, unless that takes too long. */
void OwnershipWorld::deliverRelease(size_t index, const ReleaseOrder &order,
                                    std::function<void(OrderResult)> done)
{
    tell("release sent for " + spanText(order.span), index);
    if (refuses(index) || dice_.oneIn(trouble_)) {
        agenda_.after(ReleaseTimeout, [done]() { done(OrderResult::Unanswered); });
        return;
    }
    const uint64_t life = lives_[index];
    const TimePoint sentAt = agenda_.now();
    agenda_.after(dice_.between(1, 5), [this, index, life, order, done, sentAt]() {
        if (lives_[index] != life) {
            agenda_.at(sentAt + ReleaseTimeout, [done]() { done(OrderResult::Unanswered); });
            return;
        }
        const TimePoint ended = backends_[index].release(order.span, order.fence, agenda_.now());
        const bool isInTime = ended - sentAt < ReleaseTimeout && !dice_.oneIn(trouble_);
        agenda_.at(isInTime ? ended : sentAt + ReleaseTimeout,
                   [this, index, life, done, isInTime]() {
                       done(isInTime && lives_[index] == life ? OrderResult::Accepted
                                                              : OrderResult::Unanswered);
                   });
    });
}

void OwnershipWorld::planFault()
{
    agenda_.after(dice_.between(50, 2500), [this]() {
        breakSomething();
        planFault();
    });
}

void OwnershipWorld::breakSomething()
{
    const size_t index = dice_.below(NodeCount);
    switch (dice_.below(8)) {
    case 0:
    case 1:
        crashNode(index);
        break;
    case 2:
        tell("backend server crashes", index);
        crashBackend(index);
        break;
    case 3:
        leave(index);
        break;
    case 4:
    case 5:
        tell("node cut off from the others", index);
        links_[index].cutUntil = agenda_.now() + dice_.between(500, LongCutMs);
        break;
    default:
        refuseConnections(index);
    }
}

void OwnershipWorld::crashNode(size_t index)
{
    if (!nodes_[index]) {
        return;
    }
    tell("node crashes", index);
    nodes_[index]->halt();
    nodes_[index].reset();
    agenda_.after(dice_.between(100, LongCrashMs), [this, index]() { restartNode(index); });
}

/** The backend server says that it leaves for good, and ends a while later. */
void OwnershipWorld::leave(size_t index)
{
    if (!backends_[index].isAlive() || !nodes_[index]) {
        return;
    }
    tell("backend server leaves", index);
    nodes_[index]->onDeregister();
    agenda_.after(dice_.between(500, 3000), [this, index, life = lives_[index]]() {
        if (lives_[index] == life) {
            crashBackend(index);
        }
    });
}

/** It lives all the while; some calls and looks find out that it refuses. */
void OwnershipWorld::refuseConnections(size_t index)
{
    tell("backend server refuses connections", index);
    links_[index].refusesUntil = agenda_.now() + dice_.between(5, 60);
    for (int look = 0; look < 3; ++look) {
        agenda_.after(dice_.between(1, 100), [this, index]() {
            if (nodes_[index]) {
                nodes_[index]->onLook();
            }
        });
    }
}

void OwnershipWorld::tell(const std::string &what, size_t index) const
{
    if (settings_.tell) {
        const auto time = std::chrono::duration_cast<milliseconds>(agenda_.now() - Start);
        settings_.tell(std::to_string(time.count()) + " ms, " + std::to_string(index + 1) + ": "
                       + what);
    }
}

/** Two hold a key only from the moment at which the second one takes it up. */
void OwnershipWorld::checkTaken(size_t index)
{
    const TimePoint now = agenda_.now();
    for (uint32_t slice = 0; slice < SliceCount; ++slice) {
        for (size_t other = 0; other < NodeCount; ++other) {
            if (other != index && backends_[index].occupies(slice, now)
                && backends_[other].occupies(slice, now)) {
                violation_ = "slice " + std::to_string(slice) + " is held by backend servers "
                             + std::to_string(index + 1) + " and " + std::to_string(other + 1)
                             + " at "
                             + std::to_string(
                                     std::chrono::duration_cast<milliseconds>(now - Start).count())
                             + " ms";
            }
        }
    }
}

template void OwnershipWorld::write(StoreObject<RangeTable> &, RangeTable, uint64_t, WriteDone);
template void OwnershipWorld::write(StoreObject<ModelLease> &, ModelLease, uint64_t, WriteDone);
template void OwnershipWorld::read(StoreObject<RangeTable> &,
                                   std::function<void(std::optional<StoreObject<RangeTable>>)>);
template void OwnershipWorld::read(StoreObject<ModelLease> &,
                                   std::function<void(std::optional<StoreObject<ModelLease>>)>);

} // namespace wisteriahoist::testing
