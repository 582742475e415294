/** @file balanced_placement_test.cpp Load is balanced with few moves, also after failures. */

#include "decision/placement/balanced_placement.h"
#include "decision/placement/table/placement_profiles.h"
#include "support/test_section.h"

#include <algorithm>
#include <map>
#include <set>

using namespace wisteriahoist;
using std::chrono::seconds;

namespace {

/** A table with the actual load of its ranges; applies steps as the coordinator would. */
struct Cell {
    SliceTable table;
    std::map<KeyHash, double> keys; ///< Rates of hot keys.
    double spread = 0;              ///< Rate that is spread evenly over the key space.
    std::vector<InstanceView> instances;
    PlacementWeights weights = UnavailableTimeWeights;
    std::map<NodeId, double> reportFactor; ///< Reported divided by actual load; default 1.
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

    /** Makes one decision and applies its steps at once. */
    std::vector<PlacementStep> step(Duration elapsed = seconds(1), bool report = true)
    {
        now += elapsed;
        std::vector<SliceLoad> reported;
        for (size_t index = 0; report && index < table.slices().size(); ++index) {
            const Slice &slice = table.slices()[index];
            const auto factor = reportFactor.find(slice.owner);
            const double reportedShare = factor == reportFactor.end() ? 1.0 : factor->second;
            reported.push_back({slice.first, loadOf(index) * reportedShare});
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
        cr_assert(exists == (step.kind != PlacementStep::Kind::Split),
                  "the step does not fit the table");
        if (step.kind == PlacementStep::Kind::Move) {
            cr_assert(step.to != InvalidNode);
            at->owner = step.to;
        } else if (step.kind == PlacementStep::Kind::Split) {
            Slice part = *std::prev(at);
            part.first = step.first;
            slices.insert(at, part);
        } else {
            cr_assert(std::prev(at)->owner == at->owner, "ranges of different owners were merged");
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
    SECTION("without load, the first decision distributes all ranges evenly")
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
    SECTION("after that no range is moved")
    {
        cr_assert(cell.run(30) == 0);
    }
    SECTION("a new instance gets its share, without unnecessary moves")
    {
        cell.addInstance(5);
        const size_t moves = cell.run(30);
        cr_assert(moves >= 11 && moves <= 13, "%zu moves", moves);
    }
}

Test(placement, is_deterministic)
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
    // Within a second one key gets half of the load of four servers, and requests for other keys of
    // the same server become slow. The key gets its own range and the other ranges of its owner are
    // moved away. The key itself can't be divided, so the lowest possible imbalance is reported as
    // the bound, and no further moves are made.
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
    SECTION("after that no range is moved")
    {
        cr_assert(cell.run(60) == 0);
    }
    SECTION("when the key is no longer hot, its range is merged again")
    {
        cell.keys.clear();
        cell.run(120);
        cr_assert(cell.table.find(hot)->first != hot);
        cr_assert(cell.highest() < 250 * 1.2, "%f", cell.highest());
    }
}

Test(placement, lost_server)
{
    // A server is lost, and its keys are unavailable until they have another owner. The next
    // decision reassigns all of its ranges, one after another to the least loaded server, so they
    // don't all go to the same one.
    Cell cell(6, 96);
    cell.spread = 6000;
    cell.run(20);
    cell.instance(2).live = false;
    const auto steps = cell.step(milliseconds(100));
    cr_assert(steps.size() == 16);
    std::set<NodeId> newOwners;
    for (const PlacementStep &step : steps) {
        cr_assert(step.reason == PlacementReason::OwnerLost);
        newOwners.insert(step.to);
    }
    cr_assert(newOwners.size() == 5);
    cr_assert(cell.highest() < 1200 * 1.1, "%f", cell.highest());
}

Test(placement, lost_failure_domain)
{
    // All servers of one failure domain are lost at once, and a third of the keys are unavailable
    // until they have another owner. One decision distributes all their ranges over the remaining
    // servers by load.
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
    SECTION("one decision moves all of its ranges")
    {
        cell.step();
        cr_assert(!cell.loads().contains(NodeId(3)));
    }
    SECTION("it gets no ranges after that")
    {
        cell.keys[KeyHash(99)] = 500;
        cell.run(30);
        cr_assert(!cell.loads().contains(NodeId(3)));
    }
}

Test(placement, too_low_report)
{
    // A server reports a hundredth of its load, so it always looks idle. Without a limit it would
    // be overloaded; with the limit of keySpaceFactor times its fair share of the key space,
    // callers notice nothing.
    Cell cell(8, 128);
    cell.spread = 8000;
    cell.run(10);
    cell.reportFactor[NodeId(4)] = 0.01;
    cell.run(300);
    cr_assert(cell.loads()[NodeId(4)] <= 2000 * 1.01, "%f", cell.loads()[NodeId(4)]);
}

Test(placement, stale_report)
{
    // All reports are too old, then one server is lost as well. Callers notice nothing: a stale
    // report means that the load is unknown, not zero: no range is moved for balance, but ranges
    // without owner are still reassigned, by the last known loads.
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

Test(placement, lost_step_is_repeated)
{
    // The coordinator drops a decision because its write failed, so the table is unchanged. Keys
    // would stay unavailable; therefore the move of a range without owner is requested again after
    // lossTimeout.
    Cell cell(3, 12);
    const auto first
            = cell.policy.decide({cell.table, {}, {}, cell.instances, cell.weights}, cell.now);
    cr_assert(first.size() == 12);
    const auto later = cell.policy.decide({cell.table, {}, {}, cell.instances, cell.weights},
                                          cell.now + milliseconds(400));
    cr_assert(later.size() == 12);
}

Test(placement, services_do_not_share_state)
{
    // The coordinator uses the same policy for two services in turn. Estimates, hold-down times and
    // pending moves are kept by service, or keys would move because of another service's load.
    Cell cell(3, 12);
    BalancedPlacement policy;
    const std::vector<SliceLoad> busy{{KeyHash(0), 900}};
    const PlacementInput notes{cell.table, busy, {}, cell.instances, cell.weights, "notes"};
    const PlacementInput booking{cell.table, {}, {}, cell.instances, cell.weights, "booking"};
    cr_assert(policy.decide(notes, cell.now).size() == 12);
    cr_assert(policy.decide(booking, cell.now).size() == 12);
    cr_assert(policy.decide(notes, cell.now + milliseconds(50)).empty(),
              "pending moves were requested again");
    cr_assert(policy.decide(booking, cell.now + milliseconds(50)).empty());
}
