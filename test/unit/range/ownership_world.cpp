/** @file ownership_world.cpp The store, the links between nodes, and what must hold. */

#include "support/ownership_world.h"

#include "support/ownership_node.h"

#include <algorithm>

namespace wisteriahoist::testing {

namespace {

constexpr milliseconds StoreTimeout{500};
constexpr int64_t LateWriteMs = 3000;
/** An opening packet that is dropped is sent again after so long. */
constexpr int64_t LongConnectMs = 1000;
/** What messages take on an idle and on a busy machine. */
constexpr milliseconds IdleDelay{5};
constexpr milliseconds BusyDelay{400};
/** The 2% that a backend server's clock may run slow, and half of it between two nodes. */
constexpr double MostSlow = 0.02;
constexpr double NodeDrift = 0.01;
constexpr milliseconds PublishEvery{50};
/** Of keys that are looked at for being served. */
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
