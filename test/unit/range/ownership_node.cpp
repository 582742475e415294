/** @file ownership_node.cpp What a modelled node does with the real decision modules. */

#include "support/ownership_node.h"

#include <algorithm>

namespace wisteriahoist::testing {

namespace {

constexpr milliseconds Tick{100};
constexpr milliseconds AnswerHeldFor{500};
constexpr milliseconds WatchEvery{500};
/** A backend server that was not heard of for so long is taken for down. */
constexpr milliseconds SilentAfter{3000};
/** One that is down and was not heard of for so long loses its keys. */
constexpr milliseconds SignOfLifeWithin{2000};

std::string tableText(const RangeTable &table)
{
    std::string text;
    for (size_t index = 0; index < table.entries.size(); ++index) {
        const RangeEntry &entry = table.entries[index];
        text += " " + spanText(table.spanOf(index)) + " of node "
                + std::to_string(entry.holder.node.value()) + " life "
                + std::to_string(entry.holder.life.value()) + " fence "
                + std::to_string(entry.fence.value()) + ",";
    }
    return text;
}

} // namespace

ModelNode::ModelNode(OwnershipWorld &world, size_t index)
    : world_(world), index_(index), id_(index + 1), session_(++world.incarnation_),
      keeper_(GrantTimes{},
              RangeKeeper::lapseOf(GrantTimes{}, GrantTimes{}.hold, world.agenda_.now())),
      deskLife_(++world.incarnation_)
{
    monitor_.askWork([this]() { return world_.backends_[index_].isWorking(now()); });
}

/** @return @p action for as long as this process runs. */
template <typename Action>
auto ModelNode::whileAlive(Action action)
{
    return [weak = weak_from_this(), action](auto... values) {
        const std::shared_ptr<ModelNode> self = weak.lock();
        if (self && !self->halted_) {
            action(values...);
        }
    };
}

template <typename Action>
void ModelNode::after(Duration delay, Action action)
{
    world_.agenda_.after(delay, whileAlive(std::move(action)));
}

void ModelNode::start()
{
    tick();
}

void ModelNode::onTable(const StoreObject<RangeTable> &table)
{
    if (table.revision > stored_.revision) {
        stored_ = table;
    }
}

std::optional<RangeHolder> ModelNode::holder() const
{
    const bool isKnown = !monitor_.backend().empty() && monitor_.hasReported();
    if (!isKnown || isTakenForEnded()) {
        return std::nullopt;
    }
    return RangeHolder{id_, session_, monitor_.backend()};
}

bool ModelNode::isTakenForEnded() const
{
    return world_.settings_.rules.refusalEndsLife && monitor_.isRefusing();
}

void ModelNode::listTable()
{
    if (stored_.revision > 0) {
        keeper_.onTable(stored_.content, holder(), now());
    }
}

void ModelNode::onReport(const BackendReport &report, const Answer &answer)
{
    const bool changed = monitor_.onReport(report, now());
    if (!report.holding || !monitor_.isNewest(report)) {
        answer(std::nullopt);
        return;
    }
    listTable();
    keeper_.onHolds(*report.holding, now());
    if (keeper_.hasLeaving()) {
        wake();
    }
    const HeldAnswer held{++reports_, *report.holding, now(), answer};
    if (heldAnswer_) {
        const HeldAnswer earlier = *heldAnswer_;
        heldAnswer_.reset();
        finishAnswer(earlier);
    }
    const bool atOnce = changed || monitor_.state() != BackendState::Ready;
    if (atOnce || hasHoldNews(held.report)) {
        finishAnswer(held);
        return;
    }
    heldAnswer_ = held;
    after(AnswerHeldFor, [this, number = held.number]() {
        if (heldAnswer_ && heldAnswer_->number == number) {
            const HeldAnswer due = *heldAnswer_;
            heldAnswer_.reset();
            finishAnswer(due);
        }
    });
}

void ModelNode::finishAnswer(const HeldAnswer &held)
{
    if (held.number != reports_ || hasRangesToAdopt()) {
        held.answer(std::nullopt);
        return;
    }
    held.answer(keeper_.takeHolds(held.receivedAt, authority_.validUntil(), now()));
}

bool ModelNode::hasRangesToAdopt() const
{
    const std::optional<RangeHolder> self = holder();
    const auto isEarlier = [&self](const RangeEntry &entry) {
        return entry.holder.node == self->node && entry.holder.backend == self->backend
               && entry.holder.life != self->life;
    };
    return stored_.revision == 0 || !self
           || std::any_of(stored_.content.entries.begin(), stored_.content.entries.end(),
                          isEarlier);
}

bool ModelNode::hasHoldNews(const HoldReport &report) const
{
    return authority_.validUntil() > now() && !keeper_.isAsReported(report);
}

void ModelNode::releaseHeldAnswer()
{
    if (heldAnswer_ && hasHoldNews(heldAnswer_->report)) {
        const HeldAnswer due = *heldAnswer_;
        heldAnswer_.reset();
        finishAnswer(due);
    }
}

/** A look finds out what each request would: whether connections are refused, and by which life. */
void ModelNode::onLook()
{
    const std::string &id = world_.backends_[index_].life().id;
    if (world_.refuses(index_)) {
        (void)monitor_.onRefusedConnection();
    } else if (id != monitor_.backend().id) {
        (void)monitor_.onOtherLife(id, now());
    } else {
        (void)monitor_.onAnswer(now());
    }
    wake();
}

void ModelNode::onDeregister()
{
    (void)monitor_.onDeregister(world_.backends_[index_].life());
    wake();
}

void ModelNode::wake()
{
    if (!woken_) {
        woken_ = true;
        after(Duration(0), [this]() {
            woken_ = false;
            listTable();
            sendOrders();
            releaseHeldAnswer();
        });
    }
}

void ModelNode::tick()
{
    if (now() - monitor_.heardAt() > SilentAfter) {
        (void)monitor_.onSilence();
    }
    listTable();
    if (!keeper_.hasLeaving()) {
        targets_.clear();
    }
    startLeaving();
    startBalancing();
    handOverWork();
    sendOrders();
    releaseHeldAnswer();
    after(Tick, [this]() { tick(); });
}

void ModelNode::startLeaving()
{
    const bool isLost = monitor_.state() == BackendState::Down
                        && now() - monitor_.heardAt() >= SignOfLifeWithin;
    const bool isLeaving = monitor_.state() == BackendState::Draining || isLost;
    if (isLeaving) {
        for (const KeySpan &span : keeper_.heldSpans()) {
            beginMove(span);
        }
    }
}

/** A whole range, or a part of it, begins to move now and then. */
void ModelNode::startBalancing()
{
    const std::vector<KeySpan> held = keeper_.heldSpans();
    if (!isReady() || held.empty() || keeper_.hasLeaving() || !dice().oneIn(6)) {
        return;
    }
    const KeySpan whole = held[dice().below(held.size())];
    const uint32_t count = lastSlice(whole) - firstSlice(whole) + 1;
    const auto first = firstSlice(whole) + static_cast<uint32_t>(dice().below(count));
    const auto last = first + static_cast<uint32_t>(dice().below(lastSlice(whole) - first + 1));
    beginMove(slicesOf(first, last));
}

void ModelNode::beginMove(const KeySpan &span)
{
    const std::vector<RangeHolder> others = candidates(false);
    if (!others.empty()) {
        world_.tell("releases a range", index_);
        targets_.push_back({span, others[dice().below(others.size())]});
        keeper_.beginRelease(span);
    }
}

/** The gate: a request for a key goes to the backend server only while the keeper admits it. */
void ModelNode::handOverWork()
{
    const auto slice = static_cast<uint32_t>(dice().below(SliceCount));
    if (dice().oneIn(3)
        && keeper_.admits(ShardKey(slice * SliceKeys), authority_.validUntil(), now())) {
        (void)world_.backends_[index_].work(slice, dice().between(20, 1500), now());
    }
}

void ModelNode::sendOrders()
{
    const bool inUse = keeper_.size() > 0 || (holder().has_value() && !monitor_.isRefusing());
    if (authority_.needsRenewal(now())) {
        authority_.lease().retryNow();
    }
    if (!renewing_ && inUse && authority_.lease().beginRenewal(now())) {
        renewing_ = true;
        renewLease();
    }
    if (inUse) {
        sendContacts();
    }
    if (!writing_) {
        writing_ = true;
        planOnce();
    }
    if (now() - watchedAt_ >= WatchEvery) {
        watchedAt_ = now();
        watchOthers();
    }
    if (byHeartbeat() || monitor_.isRefusing()) {
        return;
    }
    for (const GrantOrder &order : keeper_.takeDueGrants(authority_.validUntil(), now())) {
        sendGrant(order);
    }
    for (const ReleaseOrder &order : keeper_.takeDueReleases(now())) {
        sendRelease(order);
    }
}

void ModelNode::sendGrant(const GrantOrder &order)
{
    world_.deliverGrant(index_, order, whileAlive([this, order](OrderResult result) {
                            keeper_.onGrantEnd(order, result);
                            if (result == OrderResult::NotSent) {
                                (void)monitor_.onRefusedConnection();
                            } else if (result != OrderResult::Unanswered) {
                                (void)monitor_.onAnswer(now());
                            }
                            wake();
                        }));
}

void ModelNode::sendRelease(const ReleaseOrder &order)
{
    world_.deliverRelease(index_, order, whileAlive([this, order](OrderResult result) {
                              keeper_.onReleaseEnd(order, result, "token", now());
                              wake();
                          }));
}

std::set<NodeId> ModelNode::chooseWitnesses()
{
    std::set<NodeId> chosen;
    for (size_t other = 0; other < OwnershipWorld::NodeCount; ++other) {
        if (other != index_ && !world_.isCut(other) && !world_.isCut(index_) && !dice().oneIn(8)) {
            chosen.insert(NodeId(other + 1));
        }
    }
    return chosen;
}

void ModelNode::sendContacts()
{
    if (now() - contactSentAt_ < ContactTimes{}.heartbeatEvery) {
        return;
    }
    contactSentAt_ = now();
    for (const NodeId witness : witnesses_) {
        sendContact(witness.value() - 1);
    }
}

void ModelNode::sendContact(size_t witness)
{
    const TimePoint sentAt = now();
    const Incarnation life = session_;
    world_.agenda_.after(world_.drawDelay(), [this, &world = world_, weak = weak_from_this(),
                                              from = index_, id = id_, witness, sentAt, life]() {
        const std::shared_ptr<ModelNode> asked = world.nodes_[witness];
        if (world.isCut(from) || world.isCut(witness) || !asked) {
            return;
        }
        const bool accepted = asked->desk().onHeartbeat(id, life, world.agenda_.now());
        const std::shared_ptr<ModelNode> self = weak.lock();
        if (!self || self->halted_) {
            return;
        }
        after(world.drawDelay(), [this, witness, sentAt, life, accepted]() {
            if (session_ != life) {
                return;
            }
            if (accepted) {
                authority_.onAcknowledged(NodeId(witness + 1), sentAt, now());
            } else {
                lostLease();
            }
        });
    });
}

void ModelNode::lostLease()
{
    world_.tell("goes on as a new life", index_);
    authority_.onRevoked();
    session_ = Incarnation(++world_.incarnation_);
}

void ModelNode::renewLease()
{
    const TimePoint sentAt = now();
    witnesses_ = chooseWitnesses();
    authority_.onRenewalSent(witnesses_);
    const std::set<NodeId> witnesses = witnesses_;
    const Incarnation life = session_;
    world_.write<ModelLease>(
            world_.leases_[index_], {life, witnesses, false}, leaseRevision_,
            whileAlive([this, life, witnesses, sentAt](WriteEnd end, uint64_t revision) {
                onLeaseWritten(life, witnesses, sentAt, end, revision);
            }));
}

void ModelNode::onLeaseWritten(Incarnation life, const std::set<NodeId> &witnesses,
                               TimePoint sentAt, WriteEnd end, uint64_t revision)
{
    if (end == WriteEnd::Written) {
        leaseRevision_ = revision;
        if (life == session_) {
            authority_.onRenewed(witnesses, sentAt);
        } else {
            authority_.lease().retryNow();
            authority_.lease().onFailed();
        }
    } else {
        authority_.lease().onFailed();
        if (end == WriteEnd::Conflict || leaseRevision_ == 0) {
            readOwnLease();
            return;
        }
    }
    renewing_ = false;
    wake();
}

void ModelNode::readOwnLease()
{
    world_.read<ModelLease>(
            world_.leases_[index_],
            whileAlive([this](const std::optional<StoreObject<ModelLease>> &stored) {
                if (stored && stored->revision > 0) {
                    leaseRevision_ = stored->revision;
                    if (stored->content.revoked) {
                        lostLease();
                    }
                    authority_.lease().retryNow();
                }
                renewing_ = false;
                wake();
            }));
}

void ModelNode::planOnce()
{
    if (!unread_) {
        planAndWrite();
        return;
    }
    if (stored_.revision > *unread_) {
        unread_.reset();
        planAndWrite();
        return;
    }
    world_.read<RangeTable>(
            world_.table_, whileAlive([this](const std::optional<StoreObject<RangeTable>> &stored) {
                if (!stored) {
                    writing_ = false;
                    return;
                }
                unread_.reset();
                onTable(*stored);
                planAndWrite();
            }));
}

void ModelNode::planAndWrite()
{
    if (world_.settings_.rules.listsBeforePlanning) {
        listTable();
    }
    const std::optional<RangeTable> next = stored_.revision > 0 ? planTable() : std::nullopt;
    if (!next) {
        writing_ = false;
        return;
    }
    const uint64_t over = stored_.revision;
    if (world_.settings_.tell) {
        world_.tell("writes over " + std::to_string(over) + ":" + tableText(*next), index_);
    }
    world_.write<RangeTable>(world_.table_, *next, over,
                             whileAlive([this, over, next](WriteEnd end, uint64_t revision) {
                                 if (end == WriteEnd::Written) {
                                     onTable({*next, revision});
                                     wake();
                                 } else {
                                     unread_ = over;
                                 }
                                 writing_ = false;
                             }));
}

std::optional<RangeTable> ModelNode::planTable()
{
    RangeTable next = stored_.content;
    if (const std::optional<RangeHolder> self = holder()) {
        next = adoptRanges(next, *self);
        for (const KeySpan &refused : keeper_.refusedSpans()) {
            next = giveRange(next, refused, *self, {});
        }
        next = handReleasedOver(next);
    } else if (isTakenForEnded()) {
        next = giveAway(
                next, [this](const RangeHolder &held) { return held.node == id_; }, false);
    }
    next = giveAway(
            next, [this](const RangeHolder &held) { return isFreeForAll(held); }, true);
    if (next == stored_.content) {
        return std::nullopt;
    }
    return next;
}

RangeTable ModelNode::handReleasedOver(RangeTable table)
{
    for (const ReleasedRange &released : keeper_.releasedRanges(now())) {
        const RangeHolder target = targetOf(released.span);
        if (!target.isNobody()) {
            table = giveRange(std::move(table), released.span, target, released.handover);
            ++world_.handovers_;
        }
    }
    return table;
}

RangeTable ModelNode::giveAway(RangeTable table,
                               const std::function<bool(const RangeHolder &)> &isGiven,
                               bool withSelf)
{
    std::vector<KeySpan> spans;
    for (size_t entry = 0; entry < table.entries.size(); ++entry) {
        if (isGiven(table.entries[entry].holder)) {
            spans.push_back(table.spanOf(entry));
        }
    }
    const std::vector<RangeHolder> takers = candidates(withSelf);
    for (const KeySpan &span : spans) {
        if (!takers.empty()) {
            table = giveRange(std::move(table), span, takers[dice().below(takers.size())], {});
        }
    }
    return table;
}

RangeHolder ModelNode::targetOf(const KeySpan &span)
{
    const std::vector<RangeHolder> others = candidates(true);
    for (const RangeMove &move : targets_) {
        if (move.span.covers(span)
            && std::find(others.begin(), others.end(), move.holder) != others.end()) {
            return move.holder;
        }
    }
    return others.empty() ? RangeHolder{} : others[dice().below(others.size())];
}

std::vector<RangeHolder> ModelNode::candidates(bool withSelf) const
{
    std::vector<RangeHolder> found;
    for (const std::shared_ptr<ModelNode> &node : world_.nodes_) {
        const bool isSelf = node.get() == this;
        const bool isHeard
                = isSelf || (node && !world_.isCut(index_) && !world_.isCut(node->index_));
        if (node && node->isReady() && isHeard && (!isSelf || withSelf)) {
            found.push_back(node->published());
        }
    }
    return found;
}

bool ModelNode::isFreeForAll(const RangeHolder &holder) const
{
    if (holder.isNobody()) {
        return true;
    }
    const auto revoked = revoked_.find(holder.node);
    return revoked != revoked_.end() && revoked->second.count(holder.life) > 0;
}

void ModelNode::watchOthers()
{
    for (size_t other = 0; other < OwnershipWorld::NodeCount; ++other) {
        if (other != index_) {
            checkHolder(other);
        }
    }
}

void ModelNode::checkHolder(size_t other)
{
    const NodeId node(other + 1);
    const bool answers
            = world_.nodes_[other] != nullptr && !world_.isCut(other) && !world_.isCut(index_);
    if (answers) {
        observers_.erase(node);
        takeovers_.erase(node);
        return;
    }
    world_.read<ModelLease>(
            world_.leases_[other],
            whileAlive([this, other, node](const std::optional<StoreObject<ModelLease>> &stored) {
                if (!stored) {
                    return;
                }
                LeaseObserver &observer
                        = observers_.try_emplace(node, LeaseObserver(StoreLeaseTimes{}))
                                  .first->second;
                observer.onRead(stored->revision, now());
                bool over = observer.isOver(now());
                if (stored->revision > 0 && !over) {
                    over = fenceAtWitnesses(other, stored->content);
                }
                if (over) {
                    revoke(other, stored->revision);
                }
            }));
}

bool ModelNode::fenceAtWitnesses(size_t other, const ModelLease &lease)
{
    const NodeId node(other + 1);
    const std::vector<NodeId> witnesses(lease.witnesses.begin(), lease.witnesses.end());
    const auto known = takeovers_.find(node);
    const bool isSame = known != takeovers_.end() && known->second.life() == lease.life
                        && known->second.witnesses() == witnesses;
    if (!isSame) {
        takeovers_.insert_or_assign(node, Takeover(ContactTimes{}, lease.life, witnesses));
    }
    Takeover &takeover = takeovers_.at(node);
    for (const NodeId witness : witnesses) {
        const size_t at = witness.value() - 1;
        ModelNode *asked = world_.nodes_[at].get();
        const bool isReached = asked == this || (!world_.isCut(at) && !world_.isCut(index_));
        if (asked == nullptr || !isReached || !asked->desk().onFence(node, lease.life, now())) {
            takeovers_.erase(node);
            return false;
        }
        takeover.onFenced(witness, asked->deskLife(), now());
    }
    return takeover.isDue(now());
}

void ModelNode::revoke(size_t other, uint64_t revision)
{
    const NodeId node(other + 1);
    std::set<Incarnation> lives;
    for (const RangeEntry &entry : stored_.content.entries) {
        if (entry.holder.node == node) {
            lives.insert(entry.holder.life);
        }
    }
    ModelLease lease;
    lease.revoked = true;
    world_.write<ModelLease>(world_.leases_[other], lease, revision,
                             whileAlive([this, node, lives](WriteEnd end, uint64_t) {
                                 observers_.erase(node);
                                 takeovers_.erase(node);
                                 if (end == WriteEnd::Written) {
                                     ++world_.takeovers_;
                                     world_.tell("takes the lease of node "
                                                         + std::to_string(node.value()) + " away",
                                                 index_);
                                     revoked_[node].insert(lives.begin(), lives.end());
                                     wake();
                                 }
                             }));
}

} // namespace wisteriahoist::testing
