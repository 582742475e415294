/** @file range_planner.cpp Decides which ranges move to which holder. */

#include "decision/range/range_planner.h"

#include <algorithm>
#include <numeric>

namespace wisteriahoist {

namespace {

/**
 * Load assumed in addition to the measured load, spread evenly over all keys: this share of the
 * measured load, and at least this many busy slots.
 */
constexpr double UnmeasuredLoad = 0.05;
/**
 * A candidate without free capacity still gets this share of the load, since its report may be
 * outdated.
 */
constexpr double MinShare = 0.02;

/** @return The load each candidate takes so that all reach the same utilisation (busy per slot). */
std::vector<double> equalisingShares(const std::vector<RangeCandidate> &candidates, double load)
{
    double low = 0;
    double high = load;
    for (const RangeCandidate &candidate : candidates) {
        high = std::max(high, candidate.busySlots / candidate.slots + load);
    }
    const auto roomAt = [&candidates](double level) {
        return std::accumulate(candidates.begin(), candidates.end(), 0.0,
                               [level](double sum, const RangeCandidate &candidate) {
                                   const double room
                                           = level * candidate.slots - candidate.busySlots;
                                   return sum + std::max(0.0, room);
                               });
    };
    constexpr int Steps = 40; // Bisection steps; the error is far below the precision of any load.
    for (int step = 0; step < Steps; ++step) {
        const double middle = (low + high) / 2;
        (roomAt(middle) < load ? low : high) = middle;
    }
    std::vector<double> shares;
    for (const RangeCandidate &candidate : candidates) {
        const double room = high * candidate.slots - candidate.busySlots;
        shares.push_back(std::max(room, load * MinShare));
    }
    return shares;
}

/** Iterates over keys in ascending order and returns the load of each. */
class KeyLoadCursor
{
public:
    KeyLoadCursor(const std::vector<KeyRate> &rates, double idlePerKey)
        : rates_(rates), idlePerKey_(idlePerKey)
    { }

    double loadOf(uint32_t key)
    {
        while (next_ < rates_.size() && rates_[next_].key.value() < key) {
            ++next_;
        }
        const bool measured = next_ < rates_.size() && rates_[next_].key.value() == key;
        return idlePerKey_ + (measured ? rates_[next_].busySlots : 0);
    }

private:
    const std::vector<KeyRate> &rates_;
    double idlePerKey_;
    size_t next_ = 0;
};

double sumOf(const std::vector<KeyRate> &rates)
{
    return std::accumulate(rates.begin(), rates.end(), 0.0,
                           [](double sum, const KeyRate &rate) { return sum + rate.busySlots; });
}

} // namespace

std::vector<RangeCandidate> drawCandidates(std::vector<RangeCandidate> candidates, size_t most,
                                           std::mt19937_64 &random)
{
    if (candidates.size() <= most) {
        return candidates;
    }
    std::vector<RangeCandidate> drawn;
    std::sample(std::make_move_iterator(candidates.begin()),
                std::make_move_iterator(candidates.end()), std::back_inserter(drawn), most, random);
    return drawn;
}

std::vector<RangeMove> planDistribution(const std::vector<KeySpan> &spans,
                                        const std::vector<KeyRate> &rates,
                                        const std::vector<RangeCandidate> &candidates)
{
    std::vector<RangeMove> moves;
    uint32_t keys = 0;
    for (const KeySpan &span : spans) {
        keys += span.size();
    }
    if (candidates.empty() || keys == 0) {
        return moves;
    }
    const double measured = sumOf(rates);
    const double total = measured + std::max(measured * UnmeasuredLoad, UnmeasuredLoad);
    const std::vector<double> shares = equalisingShares(candidates, total);
    const double shareSum = std::accumulate(shares.begin(), shares.end(), 0.0);
    KeyLoadCursor walk(rates, (total - measured) / keys);
    size_t target = 0;
    double taken = 0;
    double bound = shares[0] / shareSum * total;
    for (const KeySpan &span : spans) {
        uint32_t begin = span.first.value();
        for (uint32_t key = begin; key <= span.last.value(); ++key) {
            const double load = walk.loadOf(key);
            // A key that crosses the boundary goes to the side on which most of its load lies.
            if (taken + load / 2 > bound && target + 1 < candidates.size()) {
                if (key > begin) {
                    moves.push_back(
                            {{ShardKey(begin), ShardKey(key - 1)}, candidates[target].holder});
                }
                begin = key;
                while (taken + load / 2 > bound && target + 1 < candidates.size()) {
                    ++target;
                    bound += shares[target] / shareSum * total;
                }
            }
            taken += load;
        }
        moves.push_back({{ShardKey(begin), span.last}, candidates[target].holder});
    }
    return moves;
}

namespace {

/** A part at one end of a range, and its load. */
struct EndPart {
    KeySpan span;
    double load = 0;
};

/** @return The largest part at the front (or back) of @p span with a load of at most @p most. */
EndPart cutEnd(const KeySpan &span, std::vector<KeyRate> rates, double most, bool front)
{
    EndPart part;
    if (!front) {
        std::reverse(rates.begin(), rates.end());
    }
    for (const KeyRate &rate : rates) {
        if (!span.contains(rate.key)) {
            continue;
        }
        if (part.load + rate.busySlots > most) {
            break;
        }
        part.load += rate.busySlots;
        part.span = front ? KeySpan{span.first, rate.key} : KeySpan{rate.key, span.last};
    }
    return part;
}

/**
 * @return The end part with the highest load of at most @p most. The only remaining span is never
 *         taken whole, since leaving a holder without keys gains nothing.
 */
EndPart findBestPart(const std::vector<KeySpan> &spans, const std::vector<KeyRate> &rates,
                     double most)
{
    EndPart best;
    for (const KeySpan &span : spans) {
        for (const bool front : {true, false}) {
            const EndPart part = cutEnd(span, rates, most, front);
            const bool whole = part.span == span && spans.size() == 1;
            if (part.load > best.load && !whole) {
                best = part;
            }
        }
    }
    return best;
}

/** Removes @p part, which is one end of one of @p spans. */
void removePart(std::vector<KeySpan> &spans, const KeySpan &part)
{
    for (KeySpan &span : spans) {
        if (!span.covers(part)) {
            continue;
        }
        if (span == part) {
            std::erase(spans, part);
        } else if (span.first == part.first) {
            span.first = ShardKey(part.last.value() + 1);
        } else {
            span.last = ShardKey(part.first.value() - 1);
        }
        return;
    }
}

} // namespace

std::optional<RangeMove> planHotKey(const RangeCandidate &self, const std::vector<KeyRate> &rates,
                                    const std::vector<RangeCandidate> &candidates,
                                    const BalanceLimits &limits)
{
    const auto hottest = std::max_element(rates.begin(), rates.end(),
                                          [](const KeyRate &left, const KeyRate &right) {
                                              return left.busySlots < right.busySlots;
                                          });
    if (hottest == rates.end() || hottest->busySlots < self.slots / 2) {
        return std::nullopt;
    }
    const double before = self.busySlots / self.slots;
    double best = before - limits.hotKeyGain * std::max(1.0, before);
    std::optional<RangeMove> move;
    for (const RangeCandidate &candidate : candidates) {
        const bool known = candidate.serviceTime.count() > 0 && self.serviceTime.count() > 0;
        const double slowness = known ? static_cast<double>(candidate.serviceTime.count())
                                                / static_cast<double>(self.serviceTime.count())
                                      : 1;
        const double taken = candidate.busySlots + hottest->busySlots * slowness;
        const double left = (self.busySlots - hottest->busySlots) / self.slots;
        const double after = std::max(taken / candidate.slots, left);
        if (after < best) {
            best = after;
            move = RangeMove{{hottest->key, hottest->key}, candidate.holder};
        }
    }
    return move;
}

std::optional<RangeMove> planInitialShare(const std::vector<KeySpan> &spans,
                                          const RangeCandidate &newcomer)
{
    const auto widest = std::max_element(
            spans.begin(), spans.end(),
            [](const KeySpan &left, const KeySpan &right) { return left.size() < right.size(); });
    if (widest == spans.end() || widest->size() < 2) {
        return std::nullopt;
    }
    const ShardKey middle(widest->first.value() + widest->size() / 2);
    return RangeMove{{middle, widest->last}, newcomer.holder};
}

std::vector<RangeMove> planBalance(const RangeCandidate &self, const std::vector<KeySpan> &spans,
                                   const std::vector<KeyRate> &rates,
                                   const std::vector<RangeCandidate> &candidates,
                                   const BalanceLimits &limits)
{
    const auto shareOf
            = [](const RangeCandidate &candidate) { return candidate.busySlots / candidate.slots; };
    const auto leastLoaded = std::min_element(candidates.begin(), candidates.end(),
                                              [&shareOf](const auto &left, const auto &right) {
                                                  return shareOf(left) < shareOf(right);
                                              });
    if (leastLoaded == candidates.end() || shareOf(self) < limits.busyShare
        || shareOf(self) - shareOf(*leastLoaded) < limits.margin) {
        return {};
    }
    const double gap = shareOf(self) - shareOf(*leastLoaded);
    const double most = gap * limits.part * std::min(self.slots, leastLoaded->slots);
    std::vector<RangeMove> moves;
    std::vector<KeySpan> left = spans;
    double moved = 0;
    while (moves.size() < limits.ranges) {
        const EndPart best = findBestPart(left, rates, most - moved);
        if (best.load <= 0) {
            break;
        }
        moves.push_back({best.span, leastLoaded->holder});
        moved += best.load;
        removePart(left, best.span);
    }
    if (moved > 0 && moved >= most * limits.minPart) {
        return moves;
    }
    const auto hotKey = planHotKey(self, rates, candidates, limits);
    return hotKey ? std::vector<RangeMove>{*hotKey} : std::vector<RangeMove>{};
}

} // namespace wisteriahoist
