/** @file request_rate_limiter.cpp The rate of requests that a backend server takes from all nodes.
 */

#include "decision/request/request_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace wisteriahoist {

namespace {

/** Requests per second that are sent whatever the limit: without an answer now and then, the end of
 *  a limit of 0 would not be noticed. */
constexpr double MinRate = 0.25;
/** Tokens for so many seconds are kept for a burst. */
constexpr double BurstSeconds = 1;
/** A caller may leave before that; what can be served later is not known now. */
constexpr milliseconds MaxRetryAfter{10000};
constexpr milliseconds AssumedServiceTime{200};
constexpr double MinUsableSlots = 0.05;
constexpr double LimitStep = 1.25;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double RequestRateLimiter::rate() const
{
    return std::max(*limit_, MinRate);
}

double RequestRateLimiter::capacity() const
{
    return std::max(rate() * BurstSeconds, 1.0);
}

double RequestRateLimiter::tokensAt(TimePoint now) const
{
    return std::min(capacity(), tokens_ + rate() * secondsOf(now - countedAt_));
}

void RequestRateLimiter::onNamed(double limit, TimePoint now)
{
    tokens_ = limit_ ? tokensAt(now) : 1;
    rejected_ = limit_ ? rejected_ : 0;
    limit_ = limit;
    tokens_ = std::min(tokens_, capacity());
    countedAt_ = now;
    namedAt_ = now;
}

void RequestRateLimiter::onNoneNamed(TimePoint sentAt)
{
    if (limit_ && sentAt > namedAt_) {
        limit_.reset();
    }
}

bool RequestRateLimiter::hasRoom(size_t reserved, TimePoint now) const
{
    return !limit_ || tokensAt(now) >= static_cast<double>(reserved) + 1;
}

bool RequestRateLimiter::tryTake(TimePoint now)
{
    if (!hasRoom(0, now)) {
        return false;
    }
    if (limit_) {
        tokens_ = tokensAt(now) - 1;
        countedAt_ = now;
    }
    return true;
}

milliseconds RequestRateLimiter::reject(TimePoint now)
{
    const double returned = rejectedAt_ == NeverTime ? 0 : rate() * secondsOf(now - rejectedAt_);
    rejected_ = std::max(0.0, rejected_ - returned) + 1;
    rejectedAt_ = now;
    const std::chrono::duration<double> wait(rejected_ / rate());
    const auto most = std::chrono::duration<double>(MaxRetryAfter);
    return std::chrono::ceil<milliseconds>(std::min(wait, most));
}

double usableSlots(double slots, const std::optional<double> &limit, milliseconds serviceTime)
{
    if (!limit) {
        return slots;
    }
    const milliseconds service = serviceTime.count() > 0 ? serviceTime : AssumedServiceTime;
    return std::clamp(*limit * secondsOf(service), std::min(MinUsableSlots, slots), slots);
}

double roundLimit(double limit)
{
    if (limit <= MinRate) {
        return std::max(limit, 0.0);
    }
    return std::pow(LimitStep, std::floor(std::log(limit) / std::log(LimitStep)));
}

} // namespace wisteriahoist
