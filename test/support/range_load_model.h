/** @file range_load_model.h Holders of a large service under load, without a network: who is asked
 * for what, what is served, what moves. */

#pragma once

#include "decision/range/range_planner.h"

#include <cmath>
#include <deque>
#include <numeric>

namespace wisteriahoist::testing {

/** What is asked of the service. The figures are those of a fleet of the users: 41 backend servers
 *  with 12 slots each, half to one and a half times as fast as the mean. */
struct RangeLoadSettings {
    size_t holders = 41;
    double slots = 12;
    double slowest = 0.5;
    double fastest = 1.5;
    double requestsPerSecond = 1580;
    double workSeconds = 0.27; ///< At a backend server of mean speed, with its nested calls.
    double hotPart = 0.5;      ///< Of all requests, for one stretch of keys.
    uint32_t hotKeys = 3000;   ///< Of that stretch.
    double moveSeconds = 0.8;  ///< Of a move, while its keys are served by nobody.
    double reportLate = 1.0;   ///< Age in seconds of what holders know of each other.
    uint64_t seed = 1;
};

/** Steps of a tenth of a second; keys are counted in buckets of Bucket. */
class RangeLoadModel
{
public:
    static constexpr uint32_t Bucket = 32;
    static constexpr uint32_t Buckets = 65536 / Bucket;
    static constexpr double Step = 0.1;

    explicit RangeLoadModel(RangeLoadSettings settings)
        : settings_(settings), random_(settings.seed)
    {
        std::uniform_real_distribution<> speeds(settings.slowest, settings.fastest);
        for (size_t index = 0; index < settings.holders; ++index) {
            Holder holder;
            holder.speed = speeds(random_);
            holder.movedAt = TimePoint{};
            holders_.push_back(std::move(holder));
        }
        for (uint32_t bucket = 0; bucket < Buckets; ++bucket) {
            owner_.push_back(bucket * settings.holders / Buckets);
        }
        heat(20000);
    }

    /** The busy stretch of keys begins at @p first from now on. */
    void heat(uint32_t first)
    {
        weights_.assign(Buckets, (1 - settings_.hotPart) / Buckets);
        const uint32_t hot = settings_.hotKeys / Bucket;
        for (uint32_t bucket = first / Bucket; bucket < first / Bucket + hot; ++bucket) {
            weights_[bucket] += settings_.hotPart / hot;
        }
    }

    /** Runs for @p seconds. @return The share of requests that is served meanwhile. */
    double run(double seconds, const BalanceLimits &limits)
    {
        double asked = 0;
        double served = 0;
        for (double end = now_ + seconds; now_ < end; now_ += Step) {
            finishMoves();
            served += serveStep();
            asked += settings_.requestsPerSecond * Step;
            for (size_t index = 0; index < holders_.size(); ++index) {
                balance(index, limits);
            }
        }
        return served / asked;
    }

    /** @return How often all keys have changed hands. */
    double movedShare() const { return static_cast<double>(moved_) / Buckets; }

    size_t moves() const { return moves_; }

private:
    struct Holder {
        double speed = 1;
        KeyLoad load;
        std::deque<double> reports; ///< Busy slots, the oldest first, one each step.
        TimePoint movedAt;
        bool leaving = false;
    };
    struct Move {
        double end = 0;
        size_t from = 0;
        size_t to = 0;
        std::vector<uint32_t> buckets;
    };

    TimePoint time() const
    {
        return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(now_)));
    }

    double serveStep()
    {
        std::vector<double> asked(holders_.size(), 0);
        for (uint32_t bucket = 0; bucket < Buckets; ++bucket) {
            if (owner_[bucket] == Nobody) {
                continue;
            }
            Holder &holder = holders_[owner_[bucket]];
            const double requests = settings_.requestsPerSecond * Step * weights_[bucket];
            const double seconds = requests * settings_.workSeconds / holder.speed;
            asked[owner_[bucket]] += requests;
            holder.load.record(
                    ShardKey(bucket * Bucket),
                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
                    time());
        }
        double served = 0;
        for (size_t index = 0; index < holders_.size(); ++index) {
            Holder &holder = holders_[index];
            const double room = settings_.slots * holder.speed / settings_.workSeconds * Step;
            served += std::min(asked[index], room);
            holder.reports.push_back(holder.load.total(time()));
            if (static_cast<double>(holder.reports.size()) > settings_.reportLate / Step) {
                holder.reports.pop_front();
            }
        }
        return served;
    }

    RangeCandidate describe(size_t index, double busySlots) const
    {
        RangeCandidate candidate;
        candidate.holder.node = NodeId(index + 1);
        candidate.slots = settings_.slots;
        candidate.busySlots = busySlots;
        candidate.keys = 1;
        candidate.serviceTime = milliseconds(
                static_cast<int64_t>(1000 * settings_.workSeconds / holders_[index].speed));
        return candidate;
    }

    std::vector<KeySpan> heldSpans(size_t index) const
    {
        std::vector<KeySpan> spans;
        for (uint32_t bucket = 0; bucket < Buckets; ++bucket) {
            if (owner_[bucket] != index) {
                continue;
            }
            const ShardKey first(bucket * Bucket);
            const ShardKey last(bucket * Bucket + Bucket - 1);
            if (!spans.empty() && spans.back().last.value() + 1 == first.value()) {
                spans.back().last = last;
            } else {
                spans.push_back({first, last});
            }
        }
        return spans;
    }

    void balance(size_t index, const BalanceLimits &limits)
    {
        Holder &holder = holders_[index];
        if (holder.leaving || time() - holder.movedAt < limits.pause) {
            return;
        }
        std::vector<RangeCandidate> others;
        for (size_t other = 0; other < holders_.size(); ++other) {
            if (other != index) {
                others.push_back(describe(other, holders_[other].reports.front()));
            }
        }
        others = drawCandidates(std::move(others), BalanceSample, random_);
        const std::vector<RangeMove> moves
                = planBalance(describe(index, holder.load.total(time())), heldSpans(index),
                              holder.load.rates(KeySpan{}, time()), others, limits);
        for (const RangeMove &planned : moves) {
            begin(index, planned);
        }
    }

    void begin(size_t index, const RangeMove &planned)
    {
        Move move{now_ + settings_.moveSeconds, index, planned.holder.node.value() - 1, {}};
        // Buckets stand for all their keys: a part that begins or ends in one takes it whole.
        for (uint32_t bucket = planned.span.first.value() / Bucket;
             bucket <= planned.span.last.value() / Bucket; ++bucket) {
            if (owner_[bucket] == index) {
                owner_[bucket] = Nobody;
                move.buckets.push_back(bucket);
            }
        }
        holders_[index].load.forget(planned.span);
        holders_[index].leaving = true;
        holders_[index].movedAt = time();
        moved_ += move.buckets.size();
        ++moves_;
        open_.push_back(std::move(move));
    }

    void finishMoves()
    {
        for (const Move &move : open_) {
            if (move.end <= now_) {
                for (const uint32_t bucket : move.buckets) {
                    owner_[bucket] = move.to;
                }
                holders_[move.from].leaving = false;
            }
        }
        std::erase_if(open_, [this](const Move &move) { return move.end <= now_; });
    }

    static constexpr size_t Nobody = static_cast<size_t>(-1);

    RangeLoadSettings settings_;
    std::mt19937_64 random_;
    std::vector<Holder> holders_;
    std::vector<size_t> owner_; ///< By bucket.
    std::vector<double> weights_;
    std::vector<Move> open_;
    double now_ = 0;
    size_t moved_ = 0;
    size_t moves_ = 0;
};

} // namespace wisteriahoist::testing
