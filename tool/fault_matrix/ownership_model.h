/** @file ownership_model.h The real ownership machines, joined by queues that faults act on. */

#pragma once

#include "decision/ownership/coordinator.h"
#include "decision/ownership/least_owned_policy.h"
#include "decision/ownership/member.h"
#include "fault_matrix/model_type.h"

#include <functional>
#include <queue>
#include <random>

namespace wisteriahoist {

class OwnershipModel;

inline constexpr int PlatformPeer = -1; ///< The platform, as sender or receiver.

/** One message or call on its way, as a fault may change it. */
struct Transmission {
    ProtocolStep step = ProtocolStep::ReadTerm;
    int from = 0; ///< Index of the node, or PlatformPeer.
    int to = 0;
    Duration delay{0};
    bool lost = false;
    bool replyLost = false;
    Duration duplicateAfter{0}; ///< 0: it arrives once.
};

/** Decides what happens to each transmission. */
class FaultInjector
{
public:
    virtual ~FaultInjector() = default;
    virtual void onTransmission(OwnershipModel &model, Transmission &transmission) = 0;
};

/** Settings of one run. */
struct ModelSettings {
    uint64_t seed = 1;
    int nodes = 5;
    int failureDomains = 3;
    uint32_t slices = 6;
    GrantMode grantMode = GrantMode::Fenced;
    OwnershipTimes times;
    SafeguardSet safeguards;
    double maxClockRateError = 0.005; ///< Each node's clock runs at 1 plus or minus this.
};

/** One node of the model. */
struct ModelNode {
    MemberInfo info;
    std::unique_ptr<Member> member;           ///< Empty while the node is down.
    std::unique_ptr<Coordinator> coordinator; ///< While it holds a term.
    uint64_t life = 0; ///< Calls and messages of an earlier life are dropped.
    Duration clockOffset{0};
    double clockRate = 1;
    TimePoint pausedUntil = NeverTime;
    std::set<Revocation> seen; ///< Revocations that the gate was told of.
    /** Of these, where work that was admitted before may still run: until the lease of then. */
    std::map<Revocation, TimePoint> draining;
    struct Held {
        Epoch epoch;                     ///< 0: it would not admit.
        TimePoint workUntil = NeverTime; ///< For a draining range: its work ends by then.
    };
    std::vector<Held> held; ///< By probed point.
};

/**
 * Nodes with drifting clocks, a platform of two objects, and a queue of what is on its way. There
 * is no logic of the protocol in here: only carrying, clocks and checks.
 */
class OwnershipModel
{
public:
    OwnershipModel(ModelSettings settings, FaultInjector &injector);

    /** Runs to @p until and checks after each event. */
    void runUntil(Duration until);
    /** Counts points that nobody serves now. */
    void checkServed();

    void schedule(Duration at, std::function<void()> action);
    Duration now() const { return now_; }
    std::mt19937_64 &random() { return random_; }
    const ModelFindings &findings() const { return findings_; }
    int nodeCount() const { return static_cast<int>(nodes_.size()); }
    ModelNode &node(int index) { return nodes_[static_cast<size_t>(index)]; }
    int coordinatorIndex() const; ///< -1: none.

    // What faults do.
    void start(int index); ///< A new life.
    int addNode();
    void crash(int index);
    void crashFor(int index, Duration downFor);
    void pause(int index, Duration pausedFor);
    void setDraining(int index, bool draining);
    void cut(int from, int to, Duration cutFor); ///< One way.
    void cutAll(int index, bool outward, bool inward, Duration cutFor);
    void platformDown(Duration downFor) { platformDownUntil_ = now_ + downFor; }
    void platformSlow(Duration slowFor) { platformSlowUntil_ = now_ + slowFor; }
    void declareAgain(); ///< A newer version of the same declarations, with one service more.
    /** Owners at present, to compare before and after. */
    std::vector<int> owners();
    /** @return The longest time without an owner of each point, after it first had one. */
    const std::vector<Duration> &longestUnserved() const { return longestUnserved_; }
    void forgetUnserved() { longestUnserved_.assign(points_.size(), Duration(0)); }
    uint64_t platformCalls() const { return platformCalls_; }
    uint64_t messages() const { return messages_; }

private:
    struct Event {
        Duration at{0};
        uint64_t order = 0;
        std::function<void()> action;
    };
    struct Later {
        bool operator()(const Event &left, const Event &right) const
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };
    template <typename T>
    struct StoredObject {
        ObjectVersion version;
        std::optional<T> content;
    };
    template <typename T>
    struct Call {
        ProtocolStep step = ProtocolStep::ReadTerm;
        bool isWrite = false;
        ObjectVersion expected;
        T content;
        std::function<void(ObjectVersion, const std::optional<T> &)> done; ///< Also after a write.
        std::function<void()> failed;
    };

    TimePoint clockOf(const ModelNode &node) const;
    /** Runs @p action on the node once it is not paused, unless its life has ended. */
    void onNode(int index, uint64_t life, Duration at, std::function<void()> action);
    bool isCut(int from, int to) const;
    /** @return How long a message takes now, or a call or answer of the platform. */
    Duration drawDelay(bool withPlatform);
    void transmit(Transmission transmission, std::function<void(const Transmission &)> arrive);
    template <typename T>
    void callPlatform(int index, StoredObject<T> &object, std::shared_ptr<Call<T>> call);
    template <typename T>
    void serveCall(int index, uint64_t life, StoredObject<T> &object, std::shared_ptr<Call<T>> call,
                   std::shared_ptr<bool> ended, bool replyLost);
    void tick(int index);
    void stepMember(int index);
    void stepCoordinator(int index);
    void readTerm(int index);
    void campaign(int index);
    void takeOffice(int index, TimePoint askedAt);
    void renew(int index);
    void answer(int index, int to, const RenewRequest &request);
    void onReply(int index, const RenewReply &reply);
    /** @return The coordinator on the node if it still serves @p served; else nullptr. */
    Coordinator *coordinatorOf(int index, Term served);
    void coordinatorCall(int index, CoordinatorStep step);
    void callTermRecord(int index, bool isWrite);
    void callAssignmentRecord(int index, bool isWrite);
    void watchTerm(int index);
    void check();
    void refreshHeld(ModelNode &node);
    bool holds(const ModelNode &node, size_t point) const;
    void checkPoint(size_t point);

    ModelSettings settings_;
    FaultInjector &injector_;
    std::mt19937_64 random_;
    Duration now_{0}; ///< Real time.
    uint64_t order_ = 0;
    std::priority_queue<Event, std::vector<Event>, Later> events_;
    std::vector<ModelNode> nodes_;
    StoredObject<TermRecord> term_;
    StoredObject<AssignmentRecord> assignment_;
    Declarations declarations_;
    std::map<std::pair<int, int>, Duration> cuts_; ///< From, to: until when.
    Duration platformDownUntil_{0};
    Duration platformSlowUntil_{0};
    std::vector<KeyHash> points_;                     ///< Probed points of the one service.
    std::vector<Epoch> highest_;                      ///< Highest epoch admitted, by point.
    std::vector<std::pair<int, uint64_t>> lastOwner_; ///< Node and life, by point.
    std::vector<Duration> unservedSince_;             ///< By point.
    std::vector<Duration> longestUnserved_;           ///< By point.
    ModelFindings findings_;
    uint64_t platformCalls_ = 0;
    uint64_t messages_ = 0;
};

} // namespace wisteriahoist
