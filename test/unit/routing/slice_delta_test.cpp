/** @file slice_delta_test.cpp Versioned deltas; a gap is detected and closed by a snapshot. */

#include "decision/routing/slice_delta.h"
#include "decision/routing/slice_table_func.h"
#include "support/test_section.h"

#include <random>

using namespace wisteriahoist;

namespace {

constexpr uint32_t Owners = 9;

/** @return @p table with one random valid change. */
SliceTable change(const SliceTable &table, std::mt19937_64 &random, uint64_t epoch)
{
    const KeyHash point(random());
    const KeyHash first = table.find(point)->first;
    switch (random() % 4) {
    case 0:
        return isolateKey(table, point).assume_value();
    case 1: {
        const Result<SliceTable> merged = mergeSlice(table, first);
        return merged ? merged.assume_value() : table;
    }
    default:
        return moveSlice(table, first, NodeId(random() % Owners + 1), Epoch(epoch)).assume_value();
    }
}

} // namespace

Test(slice_table, indexed_lookup_equals_linear_scan)
{
    std::mt19937_64 random(11);
    for (const uint32_t count : {1U, 63U, 64U, 65U, 1000U}) {
        SliceTable table = SliceTable::makeEven(count);
        for (int round = 0; round < 40; ++round) {
            table = isolateKey(table, KeyHash(round % 2 == 0 ? random() : UINT64_MAX - round))
                            .assume_value();
        }
        const auto &slices = table.slices();
        for (size_t index = 0; index < slices.size(); ++index) {
            const bool last = index + 1 == slices.size();
            const uint64_t end = last ? UINT64_MAX : slices[index + 1].first.value() - 1;
            cr_assert(table.find(slices[index].first) == &slices[index]);
            cr_assert(table.find(KeyHash(end)) == &slices[index]);
        }
    }
}

Test(slice_table, changes)
{
    const SliceTable even = SliceTable::makeEven(4);
    SECTION("an isolated key gets a range of one point, also at both ends of the key space")
    {
        for (const uint64_t point : {uint64_t{0}, uint64_t{77}, UINT64_MAX}) {
            const SliceTable table = isolateKey(even, KeyHash(point)).assume_value();
            cr_assert(table.find(KeyHash(point))->first == KeyHash(point));
            cr_assert(point == UINT64_MAX
                      || table.find(KeyHash(point + 1))->first == KeyHash(point + 1));
        }
    }
    SECTION("ranges of different owners are not merged")
    {
        const KeyHash second = even.slices()[1].first;
        const SliceTable moved = moveSlice(even, second, NodeId(3), Epoch(1)).assume_value();
        cr_assert(mergeSlice(moved, second).assume_error().code == FailureCode::BadArgument);
    }
    SECTION("a merged range has the higher epoch")
    {
        const KeyHash second = even.slices()[1].first;
        const SliceTable moved = moveSlice(even, second, InvalidNode, Epoch(5)).assume_value();
        cr_assert(mergeSlice(moved, second).assume_value().slices()[0].epoch == Epoch(5));
    }
    SECTION("a move is rejected unless its epoch is higher")
    {
        cr_assert(moveSlice(even, KeyHash(0), NodeId(1), Epoch(0)).has_error());
    }
}

Test(slice_delta, follower_converges_after_lost_deltas)
{
    // Deltas are lost, repeated and reordered, which costs callers at most an extra hop for some
    // time. Each delta contains its base version, so the next one after a loss reveals the gap and
    // the follower requests a snapshot.
    std::mt19937_64 random(5);
    DeltaLog log(8);
    RouteFollower follower;
    ServiceTables tables{{"notes", SliceTable::makeEven(16)}};
    std::vector<RouteDelta> sent;
    ObjectVersion highest;
    for (uint64_t version = 1; version <= 2000; ++version) {
        tables["notes"] = change(tables["notes"], random, version);
        log.onVersion(ObjectVersion(version), tables);
        const uint64_t fault = random() % 8;
        if (fault == 0) {
            continue; // The follower does not ask for this version.
        }
        const auto delta = log.since(follower.version());
        if (!delta || follower.needsSnapshot()) {
            cr_assert(follower.onSnapshot(log.version(), log.tables()));
        } else {
            sent.push_back(*delta);
            const RouteDelta &arrived = fault == 1 ? sent[random() % sent.size()] : *delta;
            follower.onDelta(arrived);
        }
        cr_assert(follower.version() >= highest, "the version decreased");
        highest = follower.version();
    }
    if (const auto delta = log.since(follower.version()); delta && !follower.needsSnapshot()) {
        cr_assert(follower.onDelta(*delta) != DeltaOutcome::Gap);
    } else {
        follower.onSnapshot(log.version(), log.tables());
    }
    cr_assert(follower.tables() == log.tables());
}

Test(slice_delta, gap)
{
    RouteFollower follower;
    ServiceTables tables{{"notes", SliceTable::makeEven(4)}};
    cr_assert(follower.onSnapshot(ObjectVersion(3), tables));
    SECTION("a delta with a later base requires a snapshot and changes nothing")
    {
        cr_assert(follower.onDelta({ObjectVersion(4), ObjectVersion(5), {}}) == DeltaOutcome::Gap);
        cr_assert(follower.needsSnapshot());
        cr_assert(follower.version() == ObjectVersion(3));
    }
    SECTION("an older snapshot is rejected, a newer one closes the gap")
    {
        cr_assert(!follower.onSnapshot(ObjectVersion(2), {}));
        cr_assert(follower.onSnapshot(ObjectVersion(5), tables));
        cr_assert(!follower.needsSnapshot());
    }
    SECTION("a delta that would leave part of the key space uncovered is rejected")
    {
        RouteDelta broken{ObjectVersion(5), ObjectVersion(6), {}};
        broken.services["notes"].removed = {KeyHash(0)};
        cr_assert(follower.onDelta(broken) == DeltaOutcome::Gap);
        cr_assert(follower.tables() == tables);
    }
    SECTION("an old delta is ignored")
    {
        cr_assert(follower.onDelta({ObjectVersion(1), ObjectVersion(2), {}}) == DeltaOutcome::Old);
    }
}

Test(slice_delta, contains_only_changes)
{
    const SliceTable before = SliceTable::makeEven(1667);
    const SliceTable after
            = moveSlice(before, before.slices()[800].first, NodeId(4), Epoch(1)).assume_value();
    const SliceDelta delta = makeDelta(before, after);
    cr_assert(delta.changed.size() == 1 && delta.removed.empty());
    cr_assert(applyDelta(before, delta).assume_value() == after);
    cr_assert(deltaBytes({ObjectVersion(1), ObjectVersion(2), {{"notes", delta}}}) < 50);
}
