/** @file ownership_world.cpp The store, the links between nodes, and the invariants that are
 * checked. */

#include "support/ownership_world.h"

#include "support/ownership_node.h"

#include <algorithm>

namespace wisteriahoist::testing {

namespace {

constexpr milliseconds StoreTimeout{500};
constexpr int64_t LateWriteMs = 3000;
/** Delay after which a lost connection request (SYN) is retransmitted. */
constexpr int64_t LongConnectMs = 1000;
/** Maximum message delay on an idle and on a busy machine. */
constexpr milliseconds IdleDelay{5};
constexpr milliseconds BusyDelay{400};
/**
 * Maximum by which the clock of a backend server may run slow, and half of it between two nodes.
 */
constexpr double MostSlow = 0.02;
constexpr double NodeDrift = 0.01;
constexpr milliseconds PublishEvery{50};
/** Distance between the keys that are checked for being served. */
constexpr uint32_t SampleEvery = 1024;

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

std::string OwnershipWorld::timeText(TimePoint time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time - Start).count());
}

OwnershipWorld::OwnershipWorld(uint64_t seed, WorldSettings settings)
    : settings_(std::move(settings)), draws_(seed * 2654435761U % 2147483647U),
      faultOdds_(3 + draws_.below(40)), isPeriodic_(draws_.oneIn(2)),
      usualDelay_(isPeriodic_ || draws_.oneIn(3) ? BusyDelay : IdleDelay), events_(Start)
{
    if (settings_.script) {
        faultsEnded_ = true;
        isPeriodic_ = false;
        usualDelay_ = IdleDelay;
    }
    for (size_t index = 0; index < NodeCount; ++index) {
        clockRates_[index] = 1 + NodeDrift * (static_cast<double>(draws_.below(3)) - 1);
        const double share = draws_.oneIn(2) ? MostSlow : 0;
        backends_[index].runSlow((1 + share) / clockRates_[index] - 1);
        nodes_[index] = std::make_unique<SimulatedNode>(*this, index, clockRates_[index]);
        startBackend(index, false);
    }
    divideKeys();
    for (size_t index = 0; index < NodeCount; ++index) {
        startNode(index);
    }
    publishMembers();
    if (!settings_.script) {
        sendRequests();
        scheduleFault();
    }
}

OwnershipWorld::~OwnershipWorld() = default;

bool OwnershipWorld::step(TimePoint end)
{
    if (!events_.step(end)) {
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
    const TimePoint end = events_.now() + time;
    while (violation_.empty() && step(end)) { }
    return violation_.empty();
}

bool OwnershipWorld::reaches(const std::function<bool()> &holds, Duration bound)
{
    const TimePoint end = events_.now() + bound;
    while (!holds() && step(end)) { }
    return holds();
}

void OwnershipWorld::deregister(size_t index)
{
    trace("backend server leaves", index);
    nodes_[index]->onDeregister();
}

bool OwnershipWorld::work(size_t index, ShardKey key, milliseconds duration)
{
    return backends_[index].work(key, duration, events_.now());
}

bool OwnershipWorld::holds(size_t index, ShardKey key) const
{
    return backends_[index].holds(key, events_.now());
}

void OwnershipWorld::endFaults()
{
    faultsEnded_ = true;
    for (Link &link : links_) {
        link = Link{};
    }
}

bool OwnershipWorld::recovers(Duration bound)
{
    const TimePoint end = events_.now() + bound;
    while (violation_.empty() && !isEachKeyServed()) {
        if (!step(end)) {
            fail("some keys are not served " + timeText(Start + bound)
                 + " ms after the last fault");
        }
    }
    return violation_.empty();
}

bool OwnershipWorld::isServed(ShardKey key) const
{
    for (size_t index = 0; index < NodeCount; ++index) {
        if (nodes_[index] && nodes_[index]->admits(key)
            && backends_[index].holds(key, events_.now())) {
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
    return isFaulty() ? draws_.between(1, 700) : draws_.between(1, usualDelay_.count());
}

milliseconds OwnershipWorld::drawConnectTime()
{
    return isFaulty() ? draws_.between(0, LongConnectMs) : milliseconds(0);
}

bool OwnershipWorld::refuses(size_t index) const
{
    return !backends_[index].isAlive() || events_.now() < links_[index].refusesUntil;
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
    if (settings_.trace) {
        settings_.trace(timeText(events_.now()) + " ms, " + after.name + " at revision "
                        + std::to_string(after.revision.value()) + ":" + tableText(written));
    }
    spread(after);
}

WriteFate OwnershipWorld::chooseFate(size_t index, RecordKind kind, const RecordWrite &write)
{
    if (settings_.script) {
        const bool isTable = kind == RecordKind::Ranges;
        return isTable ? settings_.script->fateOf(
                       index, decodeRangeRecord(write.content).assume_value().table)
                       : WriteFate{};
    }
    const bool isFaulty = this->isFaulty();
    if (isFaulty && draws_.oneIn(2)) {
        return {drawDelay(), true, true};
    }
    const milliseconds reach = isFaulty ? draws_.between(1, LateWriteMs) : drawDelay();
    return {reach, isFaulty || reach > StoreTimeout, false};
}

/** A write is applied in time, late or never; its answer may be lost. */
void OwnershipWorld::write(size_t index, RecordKind kind, RecordWrite write, const WriteDone &done)
{
    const Failure lost{FailureCode::Ambiguous, write.name};
    const WriteFate fate = chooseFate(index, kind, write);
    if (fate.isDropped) {
        events_.after(fate.appliedAfter, [done, lost]() { done(lost); });
        return;
    }
    events_.after(fate.appliedAfter, [this, index, kind, write = std::move(write), done, fate]() {
        Result<StoreRevision> written = apply(kind, write);
        if (written) {
            trace("its write of " + write.name + " is applied", index);
        }
        if (fate.isRepeated) {
            written = apply(kind, write);
        }
        if (!fate.isAnswerLost) {
            events_.after(drawDelay(), [done, written]() { done(written); });
        }
    });
    if (fate.isAnswerLost) {
        events_.after(StoreTimeout, [done, lost]() { done(lost); });
    }
}

void OwnershipWorld::read(size_t, RecordKind kind, const std::string &name, ReadDone done)
{
    if (isFaulty()) {
        events_.after(StoreTimeout, [done, name]() {
            done(Failure{FailureCode::DeadlineExceeded, name});
        });
        return;
    }
    events_.after(drawDelay(), [this, kind, name, done = std::move(done)]() {
        const auto found = records_.find({kind, name});
        const bool exists = found != records_.end() && found->second.revision.value() > 0;
        const Result<StoredRecord> answer
                = exists ? Result<StoredRecord>(found->second)
                         : Result<StoredRecord>(Failure{FailureCode::NotFound, name});
        events_.after(drawDelay(), [done, answer]() { done(answer); });
    });
}

/** Delivers the record to the watch of each node, which may lag. */
void OwnershipWorld::spread(const StoredRecord &ranges)
{
    for (size_t index = 0; index < NodeCount; ++index) {
        const milliseconds lag = settings_.script ? settings_.script->newsDelay(index)
                                 : isFaulty()     ? draws_.between(100, 2000)
                                                  : draws_.between(1, 100);
        events_.after(lag, [this, index, ranges]() {
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

/** Delivers the published member records to the other nodes after a delay. */
void OwnershipWorld::publishMembers()
{
    for (size_t index = 0; index < NodeCount; ++index) {
        if (!nodes_[index] || isPaused(index) || published_[index] == nodes_[index]->published()) {
            continue;
        }
        published_[index] = nodes_[index]->published();
        const StoreRevision revision(++revision_);
        for (size_t other = 0; other < NodeCount; ++other) {
            events_.after(drawDelay(), [this, other, revision, member = *published_[index]]() {
                if (nodes_[other]) {
                    nodes_[other]->onMember(member, revision);
                }
            });
        }
    }
    events_.after(PublishEvery, [this]() { publishMembers(); });
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

void OwnershipWorld::sendPeerCall(size_t from, NodeId to, const std::string &path, std::string body,
                                  milliseconds timeout, const CallDone &done)
{
    const size_t asked = to.value() - 1;
    events_.after(timeout, [done]() { done(Failure{FailureCode::DeadlineExceeded, "no answer"}); });
    events_.after(drawDelay(), [this, from, asked, path, body = std::move(body), done]() {
        if (isCut(from) || isCut(asked) || !nodes_[asked]) {
            return;
        }
        nodes_[asked]->onPeerCall(path, body, [this, from, asked, done](const std::string &reply) {
            events_.after(drawDelay(), [this, from, asked, reply, done]() {
                if (!isCut(from) && !isCut(asked)) {
                    done(reply);
                }
            });
        });
    });
}

void OwnershipWorld::trace(const std::string &what, size_t index) const
{
    if (settings_.trace) {
        settings_.trace(timeText(events_.now()) + " ms, " + std::to_string(index + 1) + ": "
                        + what);
    }
}

void OwnershipWorld::fail(const std::string &what)
{
    if (violation_.empty()) {
        violation_ = what;
    }
}

/** Two backend servers can hold a key only from the moment at which the second one takes it. */
void OwnershipWorld::checkTaken(size_t index)
{
    const TimePoint now = events_.now();
    for (const SimulatedBackend::Part &part : backends_[index].parts()) {
        for (size_t other = 0; other < NodeCount && part.isOccupied(now); ++other) {
            for (const SimulatedBackend::Part &held : backends_[other].parts()) {
                if (other != index && held.span.overlaps(part.span) && held.isOccupied(now)) {
                    fail(spanText(part.span) + " are held by backend servers "
                         + std::to_string(index + 1) + " and " + std::to_string(other + 1) + " at "
                         + timeText(now) + " ms"
                         + (held.isHeld(now) ? "" : "; the latter is only at work on them"));
                }
            }
        }
    }
}

} // namespace wisteriahoist::testing
