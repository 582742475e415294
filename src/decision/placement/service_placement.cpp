/** @file service_placement.cpp Even load by few moves, for one service. */

#include "decision/placement/service_placement.h"

#include <algorithm>
#include <cmath>

namespace wisteriahoist {

namespace {

constexpr double SmallestTolerance = 0.03;
constexpr double LargestTolerance = 0.15;
constexpr double StopShare = 0.8;       ///< Moves end at this share of the tolerance.
constexpr double WorthwhileGain = 0.02; ///< Least relief, as a share of the mean, of a move that
                                        ///< leaves its new owner above the mean.
constexpr size_t LeastMoves = 4;        ///< Balancing moves in one decision, however few instances.

/** The more churn and unavailable time weigh, the more overload is borne before a move. */
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
    rehomeOrphans();
    emptyDraining();
    startedAt_ = startedAt_ == NeverTime ? now : startedAt_;
    const bool warm = now - startedAt_ >= settings_.warmUp;
    if (warm && now - balancedAt_ >= settings_.balanceInterval) {
        balancedAt_ = now;
        reshape(input, now);
        balance(input, now);
        returnCooled(now);
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

void ServicePlacement::rehome(PlacementReason reason, const std::vector<size_t> &ranges)
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
        // An instance that reports too little would draw every range of the lost one.
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

void ServicePlacement::rehomeOrphans()
{
    std::vector<size_t> lost;
    std::vector<size_t> absent;
    for (size_t index = 0; index < model_.ranges().size(); ++index) {
        const RangeState &range = model_.ranges()[index];
        if (range.instance == NoInstance) {
            (range.owner == InvalidNode ? absent : lost).push_back(index);
        }
    }
    rehome(PlacementReason::OwnerLost, lost);
    rehome(PlacementReason::NoOwner, absent);
}

void ServicePlacement::emptyDraining()
{
    std::vector<size_t> leaving;
    for (size_t index = 0; index < model_.ranges().size(); ++index) {
        const RangeState &range = model_.ranges()[index];
        if (range.instance != NoInstance && model_.instances()[range.instance].leaving) {
            leaving.push_back(index);
        }
    }
    rehome(PlacementReason::OwnerDraining, leaving);
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

void ServicePlacement::reshape(const PlacementInput &input, TimePoint now)
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
    std::vector<KeyHash> borders;
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
        bool cut = false;
        for (auto hot = firstKey; hot != key && isolateRoom >= 2; ++hot) {
            if (hot->hash != range.first && (borders.empty() || borders.back() != hot->hash)) {
                borders.push_back(hot->hash);
            }
            const KeyHash after = hot->hash.next();
            if (after.value() != 0 && (next == nullptr || after < *next)) {
                borders.push_back(after);
            }
            isolateRoom -= 2;
            cut = true;
        }
        if (cut || splitRoom == 0 || range.load < settings_.splitShare * mean) {
            continue;
        }
        const uint64_t end = next == nullptr ? 0 : next->value();
        borders.emplace_back(range.first.value() + (end - range.first.value() - 1) / 2 + 1);
        --splitRoom;
    }
    if (borders.empty()) {
        return;
    }
    for (const KeyHash border : borders) {
        const bool hot = std::binary_search(
                hotKeys_.begin(), hotKeys_.end(), HotKey{border, 0},
                [](const HotKey &left, const HotKey &right) { return left.hash < right.hash; });
        steps_.push_back({PlacementStep::Kind::Split, border, InvalidNode,
                          hot ? PlacementReason::HotKey : PlacementReason::Overload});
    }
    model_.cut(borders, hotKeys_, now);
}

void ServicePlacement::balance(const PlacementInput &input, TimePoint now)
{
    thresholds_.high = toleranceOf(settings_, input.weights);
    thresholds_.low = thresholds_.high * StopShare;
    movesLeft_ = std::max(LeastMoves,
                          static_cast<size_t>(settings_.movesPerInstance
                                              * static_cast<double>(input.instances.size())));
    loadLeft_ = settings_.moveLoadShare * model_.totalLoad();
    carried_.assign(model_.instances().size(), {});
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
            carried_[range.instance].push_back(index);
        }
    }
    std::vector<std::pair<double, uint32_t>> overloaded;
    const double mean = model_.meanRelative();
    const double line = mean * std::min(hottestBound(), settings_.boundSlack);
    std::unordered_map<NodeId, uint32_t> lasting;
    for (uint32_t index = 0; index < carried_.size(); ++index) {
        const InstanceState &instance = model_.instances()[index];
        const double fair = std::max(line * instance.capacity, hottest_[index]);
        const bool over = instance.known && instance.capacity > 0
                          && instance.load > fair * (1 + thresholds_.high);
        const uint32_t inRow = over ? overloadedFor_[instance.id] + 1 : 0;
        if (inRow > 0) {
            lasting[instance.id] = inRow;
        }
        if (inRow >= settings_.patience) {
            overloaded.emplace_back(instance.relative(), index);
        }
    }
    overloadedFor_ = std::move(lasting);
    std::sort(overloaded.rbegin(), overloaded.rend());
    DestinationIndex index(model_, [](const InstanceState &instance) {
        return instance.known && !instance.leaving;
    });
    for (const auto &[relative, source] : overloaded) {
        const InstanceState &instance = model_.instances()[source];
        const double fair = std::max(line * instance.capacity, hottest_[source]);
        relieve(source, instance.load - fair * (1 + thresholds_.low), index);
    }
}

double ServicePlacement::hottestBound()
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

bool ServicePlacement::relieve(uint32_t source, double excess, DestinationIndex &index)
{
    std::vector<size_t> &ranges = carried_[source];
    std::sort(ranges.begin(), ranges.end(), [this](size_t left, size_t right) {
        const double leftWeight = model_.weightOf(model_.ranges()[left]);
        const double rightWeight = model_.weightOf(model_.ranges()[right]);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
    });
    bool moved = false;
    // The heaviest ranges that fit the excess: the fewest moves, and no more load than needed.
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
    // None fits: one that still leaves both sides below what the source has now.
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
                                   : model_.instances()[source].relative() - WorthwhileGain * mean;
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
    const bool still = left.pendingTo == InvalidNode && right.pendingTo == InvalidNode;
    return settled && still && left.owner == right.owner && left.instance == right.instance
           && left.load + right.load < highest;
}

void ServicePlacement::returnCooled(TimePoint now)
{
    const double mean = model_.meanInstance();
    for (size_t index = 1; index < model_.ranges().size() && movesLeft_ > 0; ++index) {
        const RangeState &range = model_.ranges()[index];
        const uint32_t home = model_.ranges()[index - 1].instance;
        const bool still = range.pendingTo == InvalidNode
                           && now - std::max(range.movedAt, range.reshapedAt) > settings_.holdDown;
        const bool away = home != NoInstance && range.instance != home
                          && model_.instances()[home].capacity > 0;
        if (range.isolated && still && away && range.load < settings_.coolShare * mean) {
            model_.place(index, home);
            emitMove(index, PlacementReason::ColdRanges);
            --movesLeft_;
        }
    }
}

void ServicePlacement::mergeCold(TimePoint now)
{
    const double mean = model_.meanInstance();
    const std::vector<RangeState> &ranges = model_.ranges();
    const bool crowded = static_cast<double>(ranges.size())
                         > settings_.mergeRanges * static_cast<double>(model_.instances().size());
    size_t before = 0;
    for (size_t index = 1; index < ranges.size(); ++index) {
        const RangeState &left = ranges[before];
        const RangeState &right = ranges[index];
        const bool cooled = (left.isolated && left.load < settings_.coolShare * mean)
                            || (right.isolated && right.load < settings_.coolShare * mean);
        const bool small = left.load + right.load < settings_.splitShare / 2 * mean;
        if ((cooled || (crowded && small))
            && mayMerge(before, index, settings_.splitShare * mean, now)) {
            steps_.push_back({PlacementStep::Kind::Merge, right.first, InvalidNode,
                              PlacementReason::ColdRanges});
            model_.join(index, now);
        } else {
            before = index;
        }
    }
    model_.dropJoined();
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
    summary_.bound = hottestBound();
}

} // namespace wisteriahoist
