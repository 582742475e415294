/** @file ownership_node.h One life of a modelled node's process: the duty of the keys, on the real
 * decision modules. */

#pragma once

#include "support/ownership_world.h"

namespace wisteriahoist::testing {

/**
 * Does what RangeDuty does, step by step and under the same names, with the world's messages in
 * place of sockets. What is drawn here is only which ranges move, and to whom.
 */
class ModelNode : public std::enable_shared_from_this<ModelNode>
{
public:
    using Answer = std::function<void(std::optional<HoldOrder>)>;

    ModelNode(OwnershipWorld &world, size_t index);

    void start();

    /** The process ends; what it has sent may still arrive. */
    void halt() { halted_ = true; }

    /** What the store's watch, a read or an own write has told of the table. */
    void onTable(const StoreObject<RangeTable> &table);

    void onReport(const BackendReport &report, const Answer &answer);
    void onLook();
    void onDeregister();

    RangeHolder published() const { return {id_, session_, monitor_.backend()}; }
    bool isReady() const { return monitor_.state() == BackendState::Ready; }

    WitnessDesk &desk() { return desk_; }
    Incarnation deskLife() const { return deskLife_; }

private:
    /** A heartbeat whose answer is held back. */
    struct HeldAnswer {
        uint64_t number = 0; ///< Of the report.
        HoldReport report;
        TimePoint receivedAt;
        Answer answer;
    };

    struct RangeMove {
        KeySpan span;
        RangeHolder holder;
    };

    TimePoint now() const { return world_.agenda_.now(); }
    Dice &dice() { return world_.dice_; }
    bool byHeartbeat() const { return world_.settings_.form == GrantForm::Heartbeat; }
    template <typename Action>
    void after(Duration delay, Action action);
    template <typename Action>
    auto whileAlive(Action action);

    std::optional<RangeHolder> holder() const;
    bool isTakenForEnded() const;
    bool hasRangesToAdopt() const;
    bool hasHoldNews(const HoldReport &report) const;
    void finishAnswer(const HeldAnswer &held);
    void releaseHeldAnswer();

    void tick();
    void wake();
    void listTable();
    void startLeaving();
    void startBalancing();
    void beginMove(const KeySpan &span);
    void handOverWork();
    void sendOrders();
    void sendGrant(const GrantOrder &order);
    void sendRelease(const ReleaseOrder &order);

    std::set<NodeId> chooseWitnesses();
    void sendContacts();
    void sendContact(size_t witness);
    void renewLease();
    void onLeaseWritten(Incarnation life, const std::set<NodeId> &witnesses, TimePoint sentAt,
                        WriteEnd end, uint64_t revision);
    void readOwnLease();
    void lostLease();

    void planOnce();
    void planAndWrite();
    std::optional<RangeTable> planTable();
    RangeTable handReleasedOver(RangeTable table);
    RangeTable giveAway(RangeTable table, const std::function<bool(const RangeHolder &)> &isGiven,
                        bool withSelf);
    RangeHolder targetOf(const KeySpan &span);
    std::vector<RangeHolder> candidates(bool withSelf) const;
    bool isFreeForAll(const RangeHolder &holder) const;

    void watchOthers();
    void checkHolder(size_t other);
    bool fenceAtWitnesses(size_t other, const ModelLease &lease);
    void revoke(size_t other, uint64_t revision);

    OwnershipWorld &world_;
    size_t index_;
    NodeId id_;
    bool halted_ = false;
    bool woken_ = false;
    Incarnation session_;
    RangeKeeper keeper_;
    GrantAuthority authority_{StoreLeaseTimes{}, ContactTimes{}};
    BackendMonitor monitor_{MonitorLimits{}};
    WitnessDesk desk_{ContactTimes{}};
    Incarnation deskLife_;
    StoreObject<RangeTable> stored_; ///< As this node knows it.
    std::optional<uint64_t> unread_; ///< Revision over which a write failed.
    uint64_t leaseRevision_ = 0;
    bool renewing_ = false;
    bool writing_ = false;
    std::set<NodeId> witnesses_;
    TimePoint contactSentAt_ = NeverTime;
    TimePoint watchedAt_ = NeverTime;
    std::vector<RangeMove> targets_;
    std::optional<HeldAnswer> heldAnswer_;
    uint64_t reports_ = 0;
    std::map<NodeId, LeaseObserver> observers_;
    std::map<NodeId, Takeover> takeovers_;
    std::map<NodeId, std::set<Incarnation>> revoked_;
};

} // namespace wisteriahoist::testing
