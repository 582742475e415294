/** @file balanced_placement_test.cpp Ranges go where there is room, and stay where they are. */

#include "decision/placement/balanced_placement.h"
#include "decision/placement/table/placement_profiles.h"
#include "support/test_section.h"

#include <algorithm>
#include <map>
#include <set>

using namespace wisteriahoist;
using std::chrono::seconds;

namespace {

/** A table whose ranges have true rates by hash; carries out steps as the coordinator would. */
struct Cell {
    SliceTable table;
    std::map<KeyHash, double> keys; ///< Hot keys' rates.
    double spread = 0;              ///< Rate spread over the whole key space.
    std::vector<InstanceView> instances;
    PlacementWeights weights = UnavailableTimeWeights;
    std::map<NodeId, double> reportFactor; ///< 1: honest.
    BalancedPlacement policy;
    TimePoint now{seconds(1000)};

    Cell(uint32_t count, uint32_t ranges) : table(SliceTable::makeEven(ranges))
    {
        for (uint32_t index = 0; index < count; ++index) {
            addInstance(index + 1);
        }
    }

    void addInstance(uint64_t id)
    {
        InstanceView view;
        view.id = NodeId(id);
        view.slots = 12;
        view.failureDomain = std::string("domain-") + static_cast<char>('a' + id % 3);
        instances.push_back(view);
    }

    double loadOf(size_t index) const
    {
        const auto &slices = table.slices();
        const KeyHash first = slices[index].first;
        const bool last = index + 1 == slices.size();
        const uint64_t end = last ? 0 : slices[index + 1].first.value();
        double load
                = spread * static_cast<double>(end - first.value() - 1) / 18446744073709551616.0;
        for (const auto &[hash, rate] : keys) {
            load += hash >= first && (last || hash < slices[index + 1].first) ? rate : 0;
        }
        return load;
    }

    std::map<NodeId, double> loads() const
    {
        std::map<NodeId, double> sums;
        for (size_t index = 0; index < table.slices().size(); ++index) {
            sums[table.slices()[index].owner] += loadOf(index);
        }
        return sums;
    }

    /** One decision, its steps carried out at once. */
    std::vector<PlacementStep> step(Duration elapsed = seconds(1), bool report = true)
    {
        now += elapsed;
        std::vector<SliceLoad> reported;
        for (size_t index = 0; report && index < table.slices().size(); ++index) {
            const Slice &slice = table.slices()[index];
            const auto factor = reportFactor.find(slice.owner);
            const double believed = factor == reportFactor.end() ? 1.0 : factor->second;
            reported.push_back({slice.first, loadOf(index) * believed});
        }
        std::vector<HotKey> hot;
        for (const auto &[hash, rate] : keys) {
            hot.push_back({hash, rate});
        }
        auto steps = policy.decide({table, reported, hot, instances, weights}, now);
        for (const PlacementStep &one : steps) {
            carryOut(one);
        }
        return steps;
    }

    void carryOut(const PlacementStep &step)
    {
        std::vector<Slice> slices = table.slices();
        const auto at = std::lower_bound(
                slices.begin(), slices.end(), step.first,
                [](const Slice &slice, KeyHash first) { return slice.first < first; });
        const bool exists = at != slices.end() && at->first == step.first;
        cr_assert(exists == (step.kind != PlacementStep::Kind::Split), "the step fits the table");
        if (step.kind == PlacementStep::Kind::Move) {
            cr_assert(step.to != InvalidNode);
            at->owner = step.to;
        } else if (step.kind == PlacementStep::Kind::Split) {
            Slice part = *std::prev(at);
            part.first = step.first;
            slices.insert(at, part);
        } else {
            cr_assert(std::prev(at)->owner == at->owner, "only one owner's ranges are joined");
            slices.erase(at);
        }
        table = SliceTable(std::move(slices));
    }

    size_t run(int count)
    {
        size_t moves = 0;
        for (int round = 0; round < count; ++round) {
            for (const PlacementStep &one : step()) {
                moves += one.kind == PlacementStep::Kind::Move ? 1 : 0;
            }
        }
        return moves;
    }

    double highest() const
    {
        double value = 0;
        for (const auto &[id, load] : loads()) {
            value = std::max(value, load);
        }
        return value;
    }

    InstanceView &instance(uint64_t id) { return instances[id - 1]; }
};

} // namespace

Test(placement, fresh_start)
{
    Cell cell(4, 64);
    SECTION("without any load, every range gets an owner in the first decision, evenly")
    {
        cell.step(seconds(1), false);
        std::map<NodeId, int> owned;
        for (const Slice &slice : cell.table.slices()) {
            ++owned[slice.owner];
        }
        cr_assert(owned.size() == 4 && !owned.contains(InvalidNode));
        for (const auto &[id, count] : owned) {
            cr_assert(count == 16);
        }
    }
    SECTION("then nothing moves")
    {
        cr_assert(cell.run(30) == 0);
    }
    SECTION("a new instance gets its share, and no range moves that need not")
    {
        cell.addInstance(5);
        const size_t moves = cell.run(30);
        cr_assert(moves >= 11 && moves <= 13, "%zu moves", moves);
    }
}

Test(placement, same_input_same_answer)
{
    const auto runOnce = [] {
        Cell cell(5, 80);
        cell.spread = 1000;
        cell.keys[KeyHash(12345)] = 300;
        std::vector<KeyHash> moved;
        for (int round = 0; round < 20; ++round) {
            for (const PlacementStep &step : cell.step()) {
                moved.push_back(step.first);
            }
        }
        return moved;
    };
    cr_assert(runOnce() == runOnce());
}

Test(placement, hot_key)
{
    // Caller sees: answers for sitters that share a server with a suddenly popular one get slow.
    // What happens: one key takes half of the load of four servers within a second.
    // Why it heals: the key becomes a range of its own and the rest of its owner's ranges leave;
    // the key itself cannot be divided, so the bound is reported and not chased.
    Cell cell(4, 64);
    cell.spread = 1000;
    cell.run(10);
    const KeyHash hot(1ULL << 63 | 77);
    cell.keys[hot] = 1000;
    cell.run(60);
    const Slice *slice = cell.table.find(hot);
    cr_assert(slice->first == hot);
    cr_assert(cell.highest() < 1000 * 1.12, "%f", cell.highest());
    cr_assert(std::abs(cell.policy.summary("").bound - 2.0) < 0.05);
    SECTION("once settled, nothing moves")
    {
        cr_assert(cell.run(60) == 0);
    }
    SECTION("when the key has cooled, its range is joined again")
    {
        cell.keys.clear();
        cell.run(120);
        cr_assert(cell.table.find(hot)->first != hot);
        cr_assert(cell.highest() < 250 * 1.2, "%f", cell.highest());
    }
}

Test(placement, lost_server)
{
    // Caller sees: keys of one server are unavailable until they have another owner.
    // What happens: the server is lost; in the one decision after it every range has an owner.
    // Why: ranges go to the least loaded by load, one after another, not all to one neighbour.
    Cell cell(6, 96);
    cell.spread = 6000;
    cell.run(20);
    cell.instance(2).live = false;
    const auto steps = cell.step(milliseconds(100));
    cr_assert(steps.size() == 16);
    std::set<NodeId> takers;
    for (const PlacementStep &step : steps) {
        cr_assert(step.reason == PlacementReason::OwnerLost);
        takers.insert(step.to);
    }
    cr_assert(takers.size() == 5);
    cr_assert(cell.highest() < 1200 * 1.1, "%f", cell.highest());
}

Test(placement, lost_failure_domain)
{
    // Caller sees: a third of the keys are unavailable until they have another owner.
    // What happens: every server of one failure domain is lost at once.
    // Why: one decision sees them all, so the survivors share them by load.
    Cell cell(9, 144);
    cell.spread = 9000;
    cell.run(20);
    for (InstanceView &view : cell.instances) {
        view.live = view.failureDomain != "domain-b";
    }
    cell.step(milliseconds(100));
    cr_assert(cell.loads().size() == 6);
    cr_assert(cell.highest() < 1500 * 1.1, "%f", cell.highest());
}

Test(placement, draining)
{
    Cell cell(4, 64);
    cell.spread = 1000;
    cell.run(10);
    cell.instance(3).draining = true;
    SECTION("one decision empties it")
    {
        cell.step();
        cr_assert(!cell.loads().contains(NodeId(3)));
    }
    SECTION("and it gets nothing afterwards")
    {
        cell.keys[KeyHash(99)] = 500;
        cell.run(30);
        cr_assert(!cell.loads().contains(NodeId(3)));
    }
}

Test(placement, lying_report)
{
    // Caller sees: nothing; or, without the bound, one server that drowns.
    // What happens: a server reports a hundredth of its load, so it always looks idle.
    // Why it is bounded: it takes at most keySpaceFactor times its fair share of the key space.
    Cell cell(8, 128);
    cell.spread = 8000;
    cell.run(10);
    cell.reportFactor[NodeId(4)] = 0.01;
    cell.run(300);
    cr_assert(cell.loads()[NodeId(4)] <= 2000 * 1.01, "%f", cell.loads()[NodeId(4)]);
}

Test(placement, stale_report)
{
    // Caller sees: nothing.
    // What happens: every report is older than its bound, then one server is lost as well.
    // Why: an old reading counts as unknown, not as zero: nothing moves for balance, but what has
    // no owner still gets one, spread by the loads known last.
    Cell cell(4, 64);
    cell.spread = 1000;
    cell.run(10);
    for (InstanceView &view : cell.instances) {
        view.reportAge = seconds(60);
    }
    cell.keys[KeyHash(99)] = 500;
    cr_assert(cell.run(20) == 0);
    cell.instance(1).live = false;
    cr_assert(cell.step(milliseconds(100)).size() == 16);
    cr_assert(cell.loads().size() == 3);
}

Test(placement, lost_step_is_asked_for_again)
{
    // Caller sees: keys stay unavailable if a decided move is forgotten.
    // What happens: the coordinator drops the decision (its write failed), the table stays.
    // Why: a range without owner is asked for again after lossTimeout.
    Cell cell(3, 12);
    const auto first
            = cell.policy.decide({cell.table, {}, {}, cell.instances, cell.weights}, cell.now);
    cr_assert(first.size() == 12);
    const auto later = cell.policy.decide({cell.table, {}, {}, cell.instances, cell.weights},
                                          cell.now + milliseconds(400));
    cr_assert(later.size() == 12);
}

Test(placement, services_do_not_share_memory)
{
    // Caller sees: one service's keys move for another service's load.
    // What happens: the coordinator asks the same policy about two services in turn.
    // Why it cannot: estimates, hold-down and moves under way are kept by service.
    Cell cell(3, 12);
    BalancedPlacement policy;
    const std::vector<SliceLoad> busy{{KeyHash(0), 900}};
    const PlacementInput notes{cell.table, busy, {}, cell.instances, cell.weights, "notes"};
    const PlacementInput booking{cell.table, {}, {}, cell.instances, cell.weights, "booking"};
    cr_assert(policy.decide(notes, cell.now).size() == 12);
    cr_assert(policy.decide(booking, cell.now).size() == 12);
    cr_assert(policy.decide(notes, cell.now + milliseconds(50)).empty(), "moves are under way");
    cr_assert(policy.decide(booking, cell.now + milliseconds(50)).empty());
}
