/** @file range_controller_takeover.cpp Detects lost holders, fences them at their witnesses and
 * revokes their leases. */

#include "duty/range_controller.h"

#include "adapter/log/event_log.h"
#include "adapter/task/background_task.h"

#include <boost/asio/co_spawn.hpp>

namespace wisteriahoist {

namespace {

/** A node of the service that has not been heard from for this long is probed. */
constexpr milliseconds ProbeAfter{2000};
/**
 * Six probes per second from each node, however large the service is. This is enough to know some
 * nodes that can take keys.
 */
constexpr size_t MaxConcurrentProbes = 3;

} // namespace

void RangeController::checkHolders()
{
    const MemberRecord *first = findCoordinator(clock_.now());
    const StoredTable *stored = view_.findTable(self_.service);
    std::set<NodeId> holders;
    if (first != nullptr && first->node == self_.node && stored != nullptr) {
        for (const RangeEntry &entry : stored->table.entries) {
            if (!entry.holder.isUnassigned() && entry.holder.node != self_.node) {
                holders.insert(entry.holder.node);
            }
        }
    }
    const auto isDone = [&holders](const auto &entry) { return holders.count(entry.first) == 0; };
    std::erase_if(observers_, isDone);
    std::erase_if(takeovers_, isDone);
    // All holders are checked concurrently. If half of the nodes of a service are lost, each check
    // takes a connection timeout, and the last of twenty would be checked only after six seconds.
    checking_ = holders.size();
    for (const NodeId node : holders) {
        const auto check = [this, node]() -> asio::awaitable<void> {
            co_await checkHolder(node);
            --checking_;
        };
        asio::co_spawn(context_, check, logFailureOf("holder check", [this]() { --checking_; }));
    }
}

void RangeController::probeSilentNodes(TimePoint now)
{
    std::vector<MemberRecord> quiet;
    for (const MemberRecord *member : view_.readyMembers(self_.service)) {
        if (member->node != self_.node && now - loads_.heardAt(member->node) >= ProbeAfter) {
            quiet.push_back(*member);
        }
    }
    std::shuffle(quiet.begin(), quiet.end(), random_);
    quiet.resize(std::min(quiet.size(), MaxConcurrentProbes));
    for (const MemberRecord &member : quiet) {
        const auto ask
                = [this, member]() -> asio::awaitable<void> { (void)co_await probe_(member); };
        asio::co_spawn(context_, ask, logFailureOf("probe"));
    }
}

asio::awaitable<void> RangeController::checkHolder(NodeId node)
{
    const MemberRecord *member = view_.findMember(node);
    if (member != nullptr) {
        if (clock_.now() - loads_.heardAt(node) < HolderCheckInterval) {
            co_return;
        }
        const MemberRecord copy = *member;
        const bool answered = co_await probe_(copy);
        if (answered || !isUnreachable(node, clock_.now())) {
            observers_.erase(node);
            takeovers_.erase(node);
            co_return;
        }
    }
    Result<StoredRecord> stored = co_await store_.read(RecordKind::Leases, memberRecordName(node));
    const bool absent = !stored && stored.assume_error().code == FailureCode::NotFound;
    if (!stored && !absent) {
        co_return;
    }
    const StoreRevision revision = absent ? StoreRevision(0) : stored.assume_value().revision;
    LeaseObserver &observer
            = observers_.try_emplace(node, LeaseObserver(StoreLeaseTimes{})).first->second;
    observer.onRead(revision.value(), clock_.now());
    if (absent) {
        co_await revoke(node, revision, "no lease");
    } else if (observer.hasExpired(clock_.now())) {
        co_await revoke(node, revision, "lease run out");
    } else {
        Result<LeaseRecord> lease = decodeLease(stored.assume_value().content);
        if (lease && co_await fenceAtWitnesses(node, lease.assume_value())) {
            co_await revoke(node, revision, "fenced at all witnesses");
        }
    }
}

asio::awaitable<bool> RangeController::fenceAtWitnesses(NodeId node, const LeaseRecord &lease)
{
    const auto known = takeovers_.find(node);
    const bool same = known != takeovers_.end() && known->second.life() == lease.life
                      && known->second.witnesses() == lease.witnesses;
    if (!same) {
        takeovers_.insert_or_assign(node, Takeover(WitnessTimes{}, lease.life, lease.witnesses));
    }
    // Every witness is asked each time: at the end, all fences must be in place after the lease
    // was read whose revision the revocation is conditional on.
    for (const NodeId witness : lease.witnesses) {
        const FenceReply answer = co_await witnessContact_.fence(witness, node, lease.life);
        const auto takeover = takeovers_.find(node);
        if (answer.result != FenceResult::Fenced || takeover == takeovers_.end()) {
            takeovers_.erase(node);
            co_return false;
        }
        takeover->second.onFenced(witness, answer.witnessLife, clock_.now());
    }
    const auto takeover = takeovers_.find(node);
    co_return takeover != takeovers_.end() && takeover->second.isDue(clock_.now());
}

asio::awaitable<void> RangeController::revoke(NodeId node, StoreRevision revision,
                                              std::string_view evidence)
{
    std::set<Incarnation> lives;
    const StoredTable *stored = view_.findTable(self_.service);
    for (const RangeEntry &entry : stored->table.entries) {
        if (entry.holder.node == node) {
            lives.insert(entry.holder.life);
        }
    }
    LeaseRecord lease;
    lease.node = node;
    lease.revokedBy = self_.node;
    if (lives.size() == 1) {
        lease.life = *lives.begin();
    }
    std::string name = memberRecordName(node);
    std::string content = encodeLease(lease);
    Result<StoreRevision> written = co_await store_.write(RecordKind::Leases, std::move(name),
                                                          revision, std::move(content));
    observers_.erase(node);
    takeovers_.erase(node);
    if (!written) {
        co_return;
    }
    logEvent(LogEvent::LeaseRevoked, {{"node", node.value()},
                                      {"revision", revision.value()},
                                      {"evidence", std::string(evidence)},
                                      {"lives", lives.size()}});
    revoked_[node].insert(lives.begin(), lives.end());
    wake();
}

} // namespace wisteriahoist
