/** @file service_placement.cpp Balances the load of one service with few moves. */

#include "decision/placement/service_placement.h"

#include <algorithm>
#include <cmath>

namespace wisteriahoist {

namespace {

constexpr double SmallestTolerance = 0.03;
constexpr double LargestTolerance = 0.15;
constexpr double StopShare = 0.8;    ///< Moves stop at this share of the tolerance.
constexpr double MinMoveGain = 0.02; ///< Minimum gain, as a share of the mean, of a move after
                                     ///< which the new owner is above the mean.
constexpr size_t MinMoveLimit = 4;   ///< Balancing moves allowed per decision with few instances.

/** @return The tolerated overload; it increases with the weights of churn and unavailable time. */
double toleranceOf(const PlacementSettings &settings, const PlacementWeights &weights)
{
    const double cost = (weights.churn + weights.unavailable) / 2;
    const double ratio = cost / std::max(weights.imbalance, 1e-6);
    return std::clamp(settings.tolerance * std::sqrt(ratio), SmallestTolerance, LargestTolerance);
}

} // namespace

ServicePlacement::ServicePlacement(PlacementSettings settings)
    : settings_(settings), model_(settings)
{ }

std::vector<PlacementStep> ServicePlacement::decide(const PlacementInput &input, TimePoint now)
{
    steps_.clear();
    now_ = now;
    summary_ = {};
    model_.refresh(input, now);
    if (model_.totalCapacity() <= 0 || model_.ranges().empty()) {
        return {};
    }
    reassignOrphans();
    reassignDraining();
    startedAt_ = startedAt_ == NeverTime ? now : startedAt_;
    const bool warm = now - startedAt_ >= settings_.warmUp;
    if (warm && now - balancedAt_ >= settings_.balanceInterval) {
        balancedAt_ = now;
        splitRanges(input, now);
        balance(input, now);
        returnCooledKeys(now);
        mergeCold(now);
    }
    summarize();
    return steps_;
}

void ServicePlacement::emitMove(size_t range, PlacementReason reason)
{
    RangeState &state = model_.ranges()[range];
    const NodeId to = model_.instances()[state.instance].id;
    steps_.push_back({PlacementStep::Kind::Move, state.first, to, reason});
    state.pendingTo = to;
    const bool ownerless
            = reason == PlacementReason::OwnerLost || reason == PlacementReason::NoOwner;
    state.pendingUntil = now_ + (ownerless ? settings_.lossTimeout : settings_.moveTimeout);
    summary_.movedLoad += state.load;
    summary_.movedWidth += state.width;
}

void ServicePlacement::reassign(PlacementReason reason, const std::vector<size_t> &ranges)
{
    if (ranges.empty()) {
        return;
    }
    DestinationIndex index(model_, [](const InstanceState &instance) { return !instance.leaving; });
    std::vector<size_t> order = ranges;
    std::sort(order.begin(), order.end(), [this](size_t left, size_t right) {
        const double leftWeight = model_.weightOf(model_.ranges()[left]);
        const double rightWeight = model_.weightOf(model_.ranges()[right]);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
    });
    for (const size_t range : order) {
        const double width = model_.ranges()[range].width;
        // Without this limit an instance that reports too little would get all of these ranges.
        uint32_t to = index.find([&](const InstanceState &instance) {
            const double fair = instance.capacity / model_.totalCapacity();
            return instance.width + width <= settings_.keySpaceFactor * fair;
        });
        if (to == NoInstance) {
            to = index.find([](const InstanceState &) { return true; });
        }
        index.place(range, to);
        emitMove(range, reason);
    }
}

void ServicePlacement::reassignOrphans()
{
    std::vector<size_t> lost;
    std::vector<size_t> absent;
    for (size_t index = 0; index < model_.ranges().size(); ++index) {
        const RangeState &range = model_.ranges()[index];
        if (range.instance == NoInstance) {
            (range.owner == InvalidNode ? absent : lost).push_back(index);
        }
    }
    reassign(PlacementReason::OwnerLost, lost);
    reassign(PlacementReason::NoOwner, absent);
}

void ServicePlacement::reassignDraining()
{
    std::vector<size_t> leaving;
    for (size_t index = 0; index < model_.ranges().size(); ++index) {
        const RangeState &range = model_.ranges()[index];
        if (range.instance != NoInstance && model_.instances()[range.instance].leaving) {
            leaving.push_back(index);
        }
    }
    reassign(PlacementReason::OwnerDraining, leaving);
}

void ServicePlacement::collectHotKeys(const PlacementInput &input)
{
    const double least = settings_.isolateShare * model_.meanInstance();
    hotKeys_.clear();
    for (const HotKey &key : input.hotKeys) {
        if (std::isfinite(key.requestsPerSecond) && key.requestsPerSecond >= least) {
            hotKeys_.push_back(key);
        }
    }
    std::sort(hotKeys_.begin(), hotKeys_.end(), [](const HotKey &left, const HotKey &right) {
        return left.hash != right.hash ? left.hash < right.hash
                                       : left.requestsPerSecond > right.requestsPerSecond;
    });
    const auto repeated = std::unique(
            hotKeys_.begin(), hotKeys_.end(),
            [](const HotKey &left, const HotKey &right) { return left.hash == right.hash; });
    hotKeys_.erase(repeated, hotKeys_.end());
}

void ServicePlacement::splitRanges(const PlacementInput &input, TimePoint now)
{
    collectHotKeys(input);
    const std::vector<RangeState> &ranges = model_.ranges();
    const auto instances = static_cast<double>(input.instances.size());
    const auto roomFor = [&](double perInstance) {
        const double room = perInstance * instances - static_cast<double>(ranges.size());
        return room > 0 ? static_cast<size_t>(room) : 0;
    };
    size_t isolateRoom = roomFor(settings_.isolateRanges);
    size_t splitRoom = roomFor(settings_.splitRanges);
    const double mean = model_.meanInstance();
    std::vector<KeyHash> boundaries;
    auto key = hotKeys_.begin();
    for (size_t index = 0; index < ranges.size(); ++index) {
        const RangeState &range = ranges[index];
        const KeyHash *next = index + 1 < ranges.size() ? &ranges[index + 1].first : nullptr;
        const auto firstKey = key;
        while (key != hotKeys_.end() && (next == nullptr || key->hash < *next)) {
            ++key;
        }
        const bool known = range.instance != NoInstance && model_.instances()[range.instance].known;
        if (range.isolated || range.pendingTo != InvalidNode || !known) {
            continue;
        }
        bool isSplit = false;
        for (auto hot = firstKey; hot != key && isolateRoom >= 2; ++hot) {
            if (hot->hash != range.first
                && (boundaries.empty() || boundaries.back() != hot->hash)) {
                boundaries.push_back(hot->hash);
            }
            const KeyHash after = hot->hash.next();
            if (after.value() != 0 && (next == nullptr || after < *next)) {
                boundaries.push_back(after);
            }
            isolateRoom -= 2;
            isSplit = true;
        }
        if (isSplit || splitRoom == 0 || range.load < settings_.splitShare * mean) {
            continue;
        }
        const uint64_t end = next == nullptr ? 0 : next->value();
        boundaries.emplace_back(range.first.value() + (end - range.first.value() - 1) / 2 + 1);
        --splitRoom;
    }
    if (boundaries.empty()) {
        return;
    }
    for (const KeyHash boundary : boundaries) {
        const bool hot = std::binary_search(
                hotKeys_.begin(), hotKeys_.end(), HotKey{boundary, 0},
                [](const HotKey &left, const HotKey &right) { return left.hash < right.hash; });
        steps_.push_back({PlacementStep::Kind::Split, boundary, InvalidNode,
                          hot ? PlacementReason::HotKey : PlacementReason::Overload});
    }
    model_.split(boundaries, hotKeys_, now);
}

void ServicePlacement::balance(const PlacementInput &input, TimePoint now)
{
    thresholds_.high = toleranceOf(settings_, input.weights);
    thresholds_.low = thresholds_.high * StopShare;
    movesLeft_ = std::max(MinMoveLimit,
                          static_cast<size_t>(settings_.movesPerInstance
                                              * static_cast<double>(input.instances.size())));
    loadLeft_ = settings_.moveLoadShare * model_.totalLoad();
    movableRanges_.assign(model_.instances().size(), {});
    hottest_.assign(model_.instances().size(), 0.0);
    for (size_t index = 0; index < model_.ranges().size(); ++index) {
        const RangeState &range = model_.ranges()[index];
        if (range.instance == NoInstance) {
            continue;
        }
        if (range.isolated) {
            hottest_[range.instance] = std::max(hottest_[range.instance], model_.weightOf(range));
        }
        const bool held = now - range.movedAt < settings_.holdDown;
        if (!held && range.pendingTo == InvalidNode) {
            movableRanges_[range.instance].push_back(index);
        }
    }
    std::vector<std::pair<double, uint32_t>> overloaded;
    const double mean = model_.meanRelative();
    const double targetRelative = mean * std::min(imbalanceBound(), settings_.boundSlack);
    std::unordered_map<NodeId, uint32_t> stillOverloaded;
    for (uint32_t index = 0; index < movableRanges_.size(); ++index) {
        const InstanceState &instance = model_.instances()[index];
        const double fair = std::max(targetRelative * instance.capacity, hottest_[index]);
        const bool over = instance.known && instance.capacity > 0
                          && instance.load > fair * (1 + thresholds_.high);
        const uint32_t rounds = over ? overloadedFor_[instance.id] + 1 : 0;
        if (rounds > 0) {
            stillOverloaded[instance.id] = rounds;
        }
        if (rounds >= settings_.overloadedRounds) {
            overloaded.emplace_back(instance.relative(), index);
        }
    }
    overloadedFor_ = std::move(stillOverloaded);
    std::sort(overloaded.rbegin(), overloaded.rend());
    DestinationIndex index(model_, [](const InstanceState &instance) {
        return instance.known && !instance.leaving;
    });
    for (const auto &[relative, source] : overloaded) {
        const InstanceState &instance = model_.instances()[source];
        const double fair = std::max(targetRelative * instance.capacity, hottest_[source]);
        reduceLoad(source, instance.load - fair * (1 + thresholds_.low), index);
    }
}

double ServicePlacement::imbalanceBound()
{
    double hottest = 0;
    double largest = 0;
    for (const RangeState &range : model_.ranges()) {
        hottest = range.isolated ? std::max(hottest, range.load) : hottest;
    }
    for (const InstanceState &instance : model_.instances()) {
        largest = std::max(largest, instance.capacity);
    }
    const double mean = model_.meanRelative();
    return mean > 0 && largest > 0 ? std::max(1.0, hottest / largest / mean) : 1.0;
}

bool ServicePlacement::reduceLoad(uint32_t source, double excess, DestinationIndex &index)
{
    std::vector<size_t> &ranges = movableRanges_[source];
    std::sort(ranges.begin(), ranges.end(), [this](size_t left, size_t right) {
        const double leftWeight = model_.weightOf(model_.ranges()[left]);
        const double rightWeight = model_.weightOf(model_.ranges()[right]);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
    });
    bool moved = false;
    // The heaviest ranges that fit the excess: this needs the fewest moves and moves no extra load.
    for (const size_t range : ranges) {
        const double weight = model_.weightOf(model_.ranges()[range]);
        if (weight <= excess && moveOne(source, range, true, index)) {
            excess -= weight;
            moved = true;
        }
    }
    if (moved || excess <= 0) {
        return moved;
    }
    // None fits: move one after which both instances are below the present load of the source.
    for (auto range = ranges.rbegin(); range != ranges.rend(); ++range) {
        if (moveOne(source, *range, false, index)) {
            return true;
        }
    }
    return false;
}

bool ServicePlacement::moveOne(uint32_t source, size_t range, bool mustFit, DestinationIndex &index)
{
    const RangeState &state = model_.ranges()[range];
    const double weight = model_.weightOf(state);
    if (movesLeft_ == 0 || weight > loadLeft_ || state.instance != source) {
        return false;
    }
    const double mean = model_.meanRelative();
    const double highest = mustFit ? mean * (1 + thresholds_.low)
                                   : model_.instances()[source].relative() - MinMoveGain * mean;
    const uint32_t to = index.find([&](const InstanceState &instance) {
        const double fair = instance.capacity / model_.totalCapacity();
        return &instance != &model_.instances()[source]
               && (instance.load + weight) / instance.capacity <= highest
               && instance.width + state.width <= settings_.keySpaceFactor * fair;
    });
    if (to == NoInstance) {
        return false;
    }
    index.place(range, to);
    emitMove(range, PlacementReason::Overload);
    --movesLeft_;
    loadLeft_ -= weight;
    return true;
}

bool ServicePlacement::mayMerge(size_t before, size_t index, double highest, TimePoint now)
{
    const RangeState &left = model_.ranges()[before];
    const RangeState &right = model_.ranges()[index];
    const bool settled = now - std::max(left.movedAt, left.reshapedAt) > settings_.holdDown
                         && now - std::max(right.movedAt, right.reshapedAt) > settings_.holdDown;
    const bool noMovePending = left.pendingTo == InvalidNode && right.pendingTo == InvalidNode;
    return settled && noMovePending && left.owner == right.owner && left.instance == right.instance
           && left.load + right.load < highest;
}

void ServicePlacement::returnCooledKeys(TimePoint now)
{
    const double mean = model_.meanInstance();
    for (size_t index = 1; index < model_.ranges().size() && movesLeft_ > 0; ++index) {
        const RangeState &range = model_.ranges()[index];
        const uint32_t destination = model_.ranges()[index - 1].instance;
        const bool noMovePending
                = range.pendingTo == InvalidNode
                  && now - std::max(range.movedAt, range.reshapedAt) > settings_.holdDown;
        const bool isElsewhere = destination != NoInstance && range.instance != destination
                                 && model_.instances()[destination].capacity > 0;
        if (range.isolated && noMovePending && isElsewhere
            && range.load < settings_.coolShare * mean) {
            model_.place(index, destination);
            emitMove(index, PlacementReason::ColdRanges);
            --movesLeft_;
        }
    }
}

void ServicePlacement::mergeCold(TimePoint now)
{
    const double mean = model_.meanInstance();
    const std::vector<RangeState> &ranges = model_.ranges();
    const bool tooManyRanges
            = static_cast<double>(ranges.size())
              > settings_.mergeRanges * static_cast<double>(model_.instances().size());
    size_t before = 0;
    for (size_t index = 1; index < ranges.size(); ++index) {
        const RangeState &left = ranges[before];
        const RangeState &right = ranges[index];
        const bool cooled = (left.isolated && left.load < settings_.coolShare * mean)
                            || (right.isolated && right.load < settings_.coolShare * mean);
        const bool small = left.load + right.load < settings_.splitShare / 2 * mean;
        if ((cooled || (tooManyRanges && small))
            && mayMerge(before, index, settings_.splitShare * mean, now)) {
            steps_.push_back({PlacementStep::Kind::Merge, right.first, InvalidNode,
                              PlacementReason::ColdRanges});
            model_.merge(index, now);
        } else {
            before = index;
        }
    }
    model_.dropMerged();
}

void ServicePlacement::summarize()
{
    const double mean = model_.meanRelative();
    double highest = 0;
    for (const InstanceState &instance : model_.instances()) {
        summary_.unknown += instance.known ? 0 : 1;
        highest = instance.capacity > 0 ? std::max(highest, instance.relative()) : highest;
    }
    summary_.imbalance = mean > 0 ? highest / mean : 1;
    summary_.bound = imbalanceBound();
}

} // namespace wisteriahoist
