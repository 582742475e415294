/** @file ownership_world.h Nodes, backend servers and a store on a simulated clock, under faults.
 */

#pragma once

#include "decision/member/backend_monitor.h"
#include "decision/range/grant_authority.h"
#include "decision/routing/route_config_type.h"
#include "support/ownership_backend.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

namespace wisteriahoist::testing {

/** Draws from a seed; the same on every machine. */
class Dice
{
public:
    explicit Dice(uint64_t seed) : random_(seed) { }

    uint64_t below(uint64_t bound) { return random_() % bound; }
    bool oneIn(uint64_t chances) { return below(chances) == 0; }
    milliseconds between(int64_t least, int64_t most)
    {
        return milliseconds(least + static_cast<int64_t>(below(most - least + 1)));
    }

private:
    std::minstd_rand random_;
};

/** What happens when, on a simulated clock. */
class Agenda
{
public:
    using Action = std::function<void()>;

    explicit Agenda(TimePoint start) : now_(start) { }

    TimePoint now() const { return now_; }

    void at(TimePoint time, Action action)
    {
        queue_.push_back({std::max(time, now_), ++count_, std::move(action)});
        std::push_heap(queue_.begin(), queue_.end());
    }

    void after(Duration delay, Action action) { at(now_ + delay, std::move(action)); }

    /** Runs the next action, unless it comes after @p end. @return Whether there was one. */
    bool step(TimePoint end)
    {
        if (queue_.empty() || queue_.front().time > end) {
            return false;
        }
        std::pop_heap(queue_.begin(), queue_.end());
        const Item item = std::move(queue_.back());
        queue_.pop_back();
        now_ = item.time;
        item.action();
        return true;
    }

private:
    struct Item {
        TimePoint time;
        uint64_t number; ///< Ties keep their order.
        Action action;
        bool operator<(const Item &other) const
        {
            return std::tie(other.time, other.number) < std::tie(time, number);
        }
    };

    TimePoint now_;
    uint64_t count_ = 0;
    std::vector<Item> queue_; ///< A heap.
};

/** A node's lease as the store keeps it. */
struct ModelLease {
    Incarnation life;
    std::set<NodeId> witnesses;
    bool revoked = false;
};

/** One object of the store; revision 0: it does not exist. */
template <typename Content>
struct StoreObject {
    Content content;
    uint64_t revision = 0;
};

enum class WriteEnd {
    Written,
    Conflict,
    Failed, ///< Nothing is known: it may be written, also later.
};

/** The safeguards of the duty that carries the decisions out; taken out one at a time in trials. */
struct DutyRules {
    /** Not a safeguard: refused connections count as the end of a life, and its keys go to others
     *  at once. */
    bool refusalEndsLife = false;
    /** A table that was just read reaches the keeper before anything is planned on it. */
    bool listsBeforePlanning = true;
};

/** How keys are granted, and the safeguards in force. */
struct WorldSettings {
    GrantForm form = GrantForm::Call;
    DutyRules rules;
    std::function<void(const std::string &)> tell; ///< Gets each step, to read a seed that fails.
};

class ModelNode;

/**
 * Three nodes, each with a backend server beside it, and the store. Draws what is lost, late,
 * doubled or refused, and who crashes; the nodes decide by the real decision modules.
 */
class OwnershipWorld
{
public:
    static constexpr uint64_t NodeCount = 3;

    OwnershipWorld(uint64_t seed, WorldSettings settings);
    ~OwnershipWorld();

    /** Runs for @p time of the simulated clock, or until two hold a key.
     * @return Whether at most one held each key, as the holders count it. */
    bool run(Duration time);

    /** @return Who held what at the same time; empty if nobody did. */
    const std::string &violation() const { return violation_; }

    uint64_t handovers() const { return handovers_; } ///< Ranges given on without a takeover.
    uint64_t takeovers() const { return takeovers_; } ///< Leases taken away.

private:
    friend class ModelNode;

    using WriteDone = std::function<void(WriteEnd, uint64_t revision)>;

    /** What is between one node and the others. */
    struct Link {
        TimePoint cutUntil = NeverTime;     ///< From the other nodes.
        TimePoint refusesUntil = NeverTime; ///< Its backend server refuses connections.
    };

    template <typename Content>
    void write(StoreObject<Content> &object, Content content, uint64_t over, WriteDone done);
    template <typename Content>
    WriteEnd apply(StoreObject<Content> &object, const Content &content, uint64_t over,
                   uint64_t &revision);
    template <typename Content>
    void read(StoreObject<Content> &object,
              std::function<void(std::optional<StoreObject<Content>>)> done);
    void spreadTable();

    void divideKeys();
    void restartNode(size_t index);
    void startBackend(size_t index, bool keepsId);
    void crashBackend(size_t index);
    void heartbeat(size_t index, uint64_t life);
    void deliverReport(size_t index, uint64_t life, const BackendReport &report, TimePoint sentAt);
    void readAnswer(size_t index, uint64_t life, uint64_t number,
                    const std::optional<HoldOrder> &order, TimePoint sentAt);
    void endExchange(size_t index, uint64_t life, uint64_t number);
    void deliverGrant(size_t index, const GrantOrder &order, std::function<void(OrderResult)> done);
    void deliverRelease(size_t index, const ReleaseOrder &order,
                        std::function<void(OrderResult)> done);
    void planFault();
    void breakSomething();
    void crashNode(size_t index);
    void leave(size_t index);
    void refuseConnections(size_t index);
    void checkTaken(size_t index);
    void tellReport(const BackendReport &report, TimePoint sentAt, size_t index) const;
    void tell(const std::string &what, size_t index) const;
    bool isCut(size_t index) const { return agenda_.now() < links_[index].cutUntil; }
    bool refuses(size_t index) const;
    milliseconds drawDelay();

    WorldSettings settings_;
    Dice dice_;
    uint64_t trouble_;        ///< One call in so many meets a fault.
    bool isPeriodic_;         ///< Heartbeats are also sent before the last one was answered.
    milliseconds usualDelay_; ///< At most, of a message that meets none.
    Agenda agenda_;
    StoreObject<RangeTable> table_;
    std::array<StoreObject<ModelLease>, NodeCount> leases_;
    std::array<std::shared_ptr<ModelNode>, NodeCount> nodes_;
    std::array<ModelBackend, NodeCount> backends_;
    std::array<uint64_t, NodeCount> lives_{}; ///< Of each backend server, counted.
    std::array<uint64_t, NodeCount> ended_{}; ///< Heartbeat that was given up or answered last.
    std::array<Link, NodeCount> links_;
    uint64_t revision_ = 0;
    uint64_t incarnation_ = 0;
    uint64_t handovers_ = 0;
    uint64_t takeovers_ = 0;
    std::string violation_;
};

} // namespace wisteriahoist::testing
