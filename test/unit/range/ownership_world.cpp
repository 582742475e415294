/** @file ownership_world.cpp What is lost, late, doubled or refused between nodes, backend servers
 * and store. */

#include "support/ownership_world.h"

#include "support/ownership_node.h"

#include <algorithm>

namespace wisteriahoist::testing {

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr milliseconds StoreTimeout{500};
/** A grant without an answer may be carried out so much later. */
constexpr int64_t LateGrantMs = 3000;
constexpr int64_t LateWriteMs = 3000;
/** An opening packet that is dropped is sent again after so long. */
constexpr int64_t LongConnectMs = 1000;
constexpr int64_t LateHeartbeatMs = 3000;
/** Where heartbeats do not wait for answers, one in so many is late. */
constexpr uint64_t LateHeartbeats = 6;
/** What messages take on an idle and on a busy machine. */
constexpr milliseconds IdleDelay{5};
constexpr milliseconds BusyDelay{400};
/** Longer than a takeover takes. */
constexpr int64_t LongCutMs = 8000;
constexpr int64_t LongCrashMs = 5000;
/** Longer than a grant lasts. */
constexpr int64_t LongPauseMs = 6000;
/** The 2% that a backend server's clock may run slow, and half of it between two nodes. */
constexpr double MostSlow = 0.02;
constexpr double NodeDrift = 0.01;
constexpr milliseconds WorkEvery{40};
constexpr milliseconds PublishEvery{50};
/** Of keys that are looked at for being served. */
constexpr uint32_t SampleEvery = 1024;

std::string timeText(TimePoint time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time - Start).count());
}

std::string tableText(const RangeTable &table)
{
    std::string text;
    for (size_t index = 0; index < table.entries.size(); ++index) {
        const RangeEntry &entry = table.entries[index];
        text += " " + spanText(table.spanOf(index)) + " of node "
                + std::to_string(entry.holder.node.value()) + " fence "
                + std::to_string(entry.fence.value()) + ",";
    }
    return text;
}

} // namespace

OwnershipWorld::OwnershipWorld(uint64_t seed, WorldSettings settings)
    : settings_(std::move(settings)), dice_(seed * 2654435761U % 2147483647U),
      trouble_(3 + dice_.below(40)), isPeriodic_(dice_.oneIn(2)),
      usualDelay_(isPeriodic_ || dice_.oneIn(3) ? BusyDelay : IdleDelay), agenda_(Start)
{
    for (size_t index = 0; index < NodeCount; ++index) {
        clockRates_[index] = 1 + NodeDrift * (static_cast<double>(dice_.below(3)) - 1);
        const double share = dice_.oneIn(2) ? MostSlow : 0;
        backends_[index].runSlow((1 + share) / clockRates_[index] - 1);
        nodes_[index] = std::make_unique<SimulatedNode>(*this, index, clockRates_[index]);
        startBackend(index, false);
    }
    divideKeys();
    for (size_t index = 0; index < NodeCount; ++index) {
        startNode(index);
    }
    publishMembers();
    drawWork();
    planFault();
}

OwnershipWorld::~OwnershipWorld() = default;

bool OwnershipWorld::step(TimePoint end)
{
    if (!agenda_.step(end)) {
        return false;
    }
    for (size_t index = 0; index < NodeCount; ++index) {
        if (nodes_[index] && !isPaused(index)) {
            nodes_[index]->run();
        }
    }
    return true;
}

bool OwnershipWorld::run(Duration time)
{
    const TimePoint end = agenda_.now() + time;
    while (violation_.empty() && step(end)) { }
    return violation_.empty();
}

void OwnershipWorld::endFaults()
{
    calm_ = true;
    for (Link &link : links_) {
        link = Link{};
    }
}

bool OwnershipWorld::recovers(Duration bound)
{
    const TimePoint end = agenda_.now() + bound;
    while (violation_.empty() && !isEachKeyServed()) {
        if (!step(end)) {
            fail("not each key is served " + timeText(Start + bound) + " ms after the last fault");
        }
    }
    return violation_.empty();
}

bool OwnershipWorld::isServed(ShardKey key) const
{
    for (size_t index = 0; index < NodeCount; ++index) {
        if (nodes_[index] && nodes_[index]->admits(key)
            && backends_[index].holds(key, agenda_.now())) {
            return true;
        }
    }
    return false;
}

bool OwnershipWorld::isEachKeyServed() const
{
    for (uint32_t key = 0; key <= LastShardKey.value(); key += SampleEvery) {
        if (!isServed(ShardKey(key))) {
            return false;
        }
    }
    return true;
}

milliseconds OwnershipWorld::drawDelay()
{
    return isTroubled() ? dice_.between(1, 700) : dice_.between(1, usualDelay_.count());
}

milliseconds OwnershipWorld::drawConnectTime()
{
    return isTroubled() ? dice_.between(0, LongConnectMs) : milliseconds(0);
}

bool OwnershipWorld::refuses(size_t index) const
{
    return !backends_[index].isAlive() || agenda_.now() < links_[index].refusesUntil;
}

Result<StoreRevision> OwnershipWorld::apply(RecordKind kind, const RecordWrite &write)
{
    StoredRecord &record = records_[{kind, write.name}];
    if (record.revision != write.over) {
        return Failure{FailureCode::VersionConflict, write.name};
    }
    const StoredRecord before = record;
    record = {write.name, StoreRevision(++revision_), write.content};
    noteWritten(kind, before, record);
    return record.revision;
}

void OwnershipWorld::noteWritten(RecordKind kind, const StoredRecord &before,
                                 const StoredRecord &after)
{
    if (kind == RecordKind::Leases) {
        const LeaseRecord lease = decodeLease(after.content).assume_value();
        takeovers_ += lease.revokedBy == InvalidNode ? 0 : 1;
        return;
    }
    const RangeTable written = decodeRangeRecord(after.content).assume_value().table;
    if (!before.content.empty()) {
        const RangeTable known = decodeRangeRecord(before.content).assume_value().table;
        handovers_ += countKeysByNode(known) == countKeysByNode(written) ? 0 : 1;
    }
    if (settings_.tell) {
        settings_.tell(timeText(agenda_.now()) + " ms, " + after.name + " at revision "
                       + std::to_string(after.revision.value()) + ":" + tableText(written));
    }
    spread(after);
}

/** A write is done in time, or late, or never; and its answer may be lost. */
void OwnershipWorld::write(size_t index, RecordKind kind, RecordWrite write, const WriteDone &done)
{
    const Failure lost{FailureCode::Ambiguous, write.name};
    const bool isTroubled = this->isTroubled();
    if (isTroubled && dice_.oneIn(2)) {
        agenda_.after(drawDelay(), [done, lost]() { done(lost); });
        return;
    }
    const milliseconds reach = isTroubled ? dice_.between(1, LateWriteMs) : drawDelay();
    const bool isLost = isTroubled || reach > StoreTimeout;
    agenda_.after(reach, [this, index, kind, write = std::move(write), done, isLost]() {
        const Result<StoreRevision> written = apply(kind, write);
        if (written) {
            tell("its write of " + write.name + " is done", index);
        }
        if (!isLost) {
            agenda_.after(drawDelay(), [done, written]() { done(written); });
        }
    });
    if (isLost) {
        agenda_.after(StoreTimeout, [done, lost]() { done(lost); });
    }
}

void OwnershipWorld::read(size_t, RecordKind kind, const std::string &name, ReadDone done)
{
    if (isTroubled()) {
        agenda_.after(StoreTimeout, [done, name]() {
            done(Failure{FailureCode::DeadlineExceeded, name});
        });
        return;
    }
    agenda_.after(drawDelay(), [this, kind, name, done = std::move(done)]() {
        const auto found = records_.find({kind, name});
        const bool exists = found != records_.end() && found->second.revision.value() > 0;
        const Result<StoredRecord> answer
                = exists ? Result<StoredRecord>(found->second)
                         : Result<StoredRecord>(Failure{FailureCode::NotFound, name});
        agenda_.after(drawDelay(), [done, answer]() { done(answer); });
    });
}

/** The watch of each node, which may lag. */
void OwnershipWorld::spread(const StoredRecord &ranges)
{
    for (size_t index = 0; index < NodeCount; ++index) {
        const milliseconds lag = isTroubled() ? dice_.between(100, 2000) : dice_.between(1, 100);
        agenda_.after(lag, [this, index, ranges]() {
            if (nodes_[index]) {
                nodes_[index]->onRanges(ranges);
            }
        });
    }
}

void OwnershipWorld::divideKeys()
{
    std::vector<HolderShare> shares;
    for (size_t index = 0; index < NodeCount; ++index) {
        const MemberRecord member = nodes_[index]->published();
        shares.push_back({{member.node, member.life, backends_[index].life()}, 1});
    }
    const RangeRecord record{makeRangeTable(shares), {settings_.blocks}, {}, 0};
    records_[{RecordKind::Ranges, Service}]
            = {Service, StoreRevision(++revision_), encodeRangeRecord(record)};
}

/** What the nodes publish of themselves reaches the others after a while. */
void OwnershipWorld::publishMembers()
{
    for (size_t index = 0; index < NodeCount; ++index) {
        if (!nodes_[index] || isPaused(index) || published_[index] == nodes_[index]->published()) {
            continue;
        }
        published_[index] = nodes_[index]->published();
        const StoreRevision revision(++revision_);
        for (size_t other = 0; other < NodeCount; ++other) {
            agenda_.after(drawDelay(), [this, other, revision, member = *published_[index]]() {
                if (nodes_[other]) {
                    nodes_[other]->onMember(member, revision);
                }
            });
        }
    }
    agenda_.after(PublishEvery, [this]() { publishMembers(); });
}

void OwnershipWorld::startNode(size_t index)
{
    if (!nodes_[index]) {
        nodes_[index] = std::make_unique<SimulatedNode>(*this, index, clockRates_[index]);
    }
    SimulatedNode &node = *nodes_[index];
    RouteConfig config;
    config.version = 1;
    config.services[Service] = {Service, 0, true, settings_.form};
    node.onConfig(config);
    for (const auto &[key, record] : records_) {
        if (key.first == RecordKind::Ranges) {
            node.onRanges(record);
        }
    }
    for (const std::optional<MemberRecord> &member : published_) {
        if (member) {
            node.onMember(*member, StoreRevision(revision_));
        }
    }
    node.start();
}

void OwnershipWorld::crashNode(size_t index)
{
    if (!nodes_[index]) {
        return;
    }
    tell("node crashes", index);
    nodes_[index].reset();
    ++nodeLives_[index];
    agenda_.after(dice_.between(100, LongCrashMs), [this, index]() { startNode(index); });
}

/** The node gives its keys away and ends; a new one starts. */
void OwnershipWorld::stopNode(size_t index)
{
    if (!nodes_[index]) {
        return;
    }
    tell("node is told to stop", index);
    nodes_[index]->beginStop();
    agenda_.after(dice_.between(1000, LongCrashMs), [this, index, life = nodeLives_[index]]() {
        if (nodeLives_[index] == life) {
            crashNode(index);
        }
    });
}

void OwnershipWorld::startBackend(size_t index, bool keepsId)
{
    const uint64_t life = ++lives_[index];
    ended_[index] = 0;
    const std::string id = "b" + std::to_string(index + 1);
    backends_[index].start(keepsId ? BackendLife(id, life)
                                   : BackendLife(id + "-" + std::to_string(life), life));
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
    const HoldReport holding = backend.report(sentAt);
    report.sequence = backend.sequence();
    if (settings_.form == GrantForm::Heartbeat) {
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
            report, [this, index, life, number, sentAt](const std::optional<HoldOrder> &order) {
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
                                const std::optional<HoldOrder> &order, TimePoint sentAt)
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
void OwnershipWorld::sendGrant(size_t index, const GrantOrder &order, milliseconds timeout,
                               const OrderDone &done)
{
    if (refuses(index)) {
        agenda_.after(dice_.between(1, 3), [done]() { done({OrderResult::NotSent, {}}); });
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
                    const OrderDone ignored = [](const OrderAnswer &) {};
                    carryOutGrant(index, order, arrivedAt, isTroubled ? ignored : done);
                }
            });
        });
    }
    agenda_.after(timeout, [done]() { done(OrderAnswer{}); });
}

void OwnershipWorld::carryOutGrant(size_t index, const GrantOrder &order, TimePoint arrivedAt,
                                   const OrderDone &done)
{
    tell("takes up the call for " + spanText(order.span) + " under fence "
                 + std::to_string(order.fence.value()),
         index);
    const bool taken
            = backends_[index].grant(order.span, order.fence, order.hold, arrivedAt, agenda_.now());
    checkTaken(index);
    done({taken ? OrderResult::Accepted : OrderResult::HigherFence, {}});
}

/** Answered when the running work has ended, unless that takes too long. */
void OwnershipWorld::sendRelease(size_t index, const ReleaseOrder &order, milliseconds timeout,
                                 const OrderDone &done)
{
    tell("release sent for " + spanText(order.span), index);
    agenda_.after(timeout, [done]() { done(OrderAnswer{}); });
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
                done({OrderResult::Accepted, "token"});
            }
        });
    });
}

void OwnershipWorld::sendPeerCall(size_t from, NodeId to, const std::string &path, std::string body,
                                  milliseconds timeout, const CallDone &done)
{
    const size_t asked = to.value() - 1;
    agenda_.after(timeout, [done]() { done(Failure{FailureCode::DeadlineExceeded, "no answer"}); });
    agenda_.after(drawDelay(), [this, from, asked, path, body = std::move(body), done]() {
        if (isCut(from) || isCut(asked) || !nodes_[asked]) {
            return;
        }
        nodes_[asked]->onPeerCall(path, body, [this, from, asked, done](const std::string &reply) {
            agenda_.after(drawDelay(), [this, from, asked, reply, done]() {
                if (!isCut(from) && !isCut(asked)) {
                    done(reply);
                }
            });
        });
    });
}

/** Requests for keys that the nodes admit; for a while most of them are about one key. */
void OwnershipWorld::drawWork()
{
    if (dice_.oneIn(100)) {
        hotKey_ = ShardKey(static_cast<uint32_t>(dice_.below(LastShardKey.value() + 1)));
    }
    for (size_t index = 0; index < NodeCount; ++index) {
        const ShardKey any(static_cast<uint32_t>(dice_.below(LastShardKey.value() + 1)));
        const ShardKey key = dice_.oneIn(2) ? any : hotKey_;
        if (!nodes_[index] || isPaused(index) || !nodes_[index]->admits(key)) {
            continue;
        }
        const milliseconds busy = dice_.between(20, 1500);
        if (backends_[index].work(key, busy, agenda_.now())) {
            nodes_[index]->onWork(key, busy);
        }
    }
    agenda_.after(WorkEvery, [this]() { drawWork(); });
}

void OwnershipWorld::planFault()
{
    agenda_.after(dice_.between(50, 2500), [this]() {
        if (!calm_) {
            breakSomething();
            planFault();
        }
    });
}

void OwnershipWorld::breakSomething()
{
    const size_t index = dice_.below(NodeCount);
    switch (dice_.below(10)) {
    case 0:
    case 1:
        crashNode(index);
        break;
    case 2:
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
    case 6:
        pause(index);
        break;
    case 7:
        stopNode(index);
        break;
    default:
        refuseConnections(index);
    }
}

/** The VM stands still: neither the node nor its backend server does anything. */
void OwnershipWorld::pause(size_t index)
{
    tell("VM stands still", index);
    links_[index].pausedUntil = agenda_.now() + dice_.between(50, LongPauseMs);
    agenda_.at(links_[index].pausedUntil, [this, index]() { tell("VM goes on", index); });
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
        settings_.tell(timeText(agenda_.now()) + " ms, " + std::to_string(index + 1) + ": " + what);
    }
}

void OwnershipWorld::fail(const std::string &what)
{
    if (violation_.empty()) {
        violation_ = what;
    }
}

/** Two hold a key only from the moment at which the second one takes it up. */
void OwnershipWorld::checkTaken(size_t index)
{
    const TimePoint now = agenda_.now();
    for (const ModelBackend::Part &part : backends_[index].parts()) {
        for (size_t other = 0; other < NodeCount && part.isOccupied(now); ++other) {
            for (const ModelBackend::Part &held : backends_[other].parts()) {
                if (other != index && held.span.overlaps(part.span) && held.isOccupied(now)) {
                    fail(spanText(part.span) + " are held by backend servers "
                         + std::to_string(index + 1) + " and " + std::to_string(other + 1) + " at "
                         + timeText(now) + " ms");
                }
            }
        }
    }
}

} // namespace wisteriahoist::testing
