/** @file store_lease.cpp The lease in the platform's store that allows a node to grant keys. */

#include "decision/range/store_lease.h"

#include <algorithm>

namespace wisteriahoist {

milliseconds renewalInterval(const StoreLeaseTimes &times, size_t nodes)
{
    const auto beyond = static_cast<int64_t>(std::clamp(nodes, times.smallFleet, times.largeFleet)
                                             - times.smallFleet);
    const auto span = static_cast<int64_t>(times.largeFleet - times.smallFleet);
    return times.renewInterval + (times.maxRenewInterval - times.renewInterval) * beyond / span;
}

bool StoreLease::beginRenewal(TimePoint now)
{
    if (inFlight_ || (sentAt_ != NeverTime && now - sentAt_ < renewInterval_)) {
        return false;
    }
    inFlight_ = true;
    sentAt_ = now;
    return true;
}

void StoreLease::onRenewed(TimePoint sentAt)
{
    inFlight_ = false;
    validUntil_ = std::max(validUntil_, sentAt + times_.term);
}

void StoreLease::onRevoked()
{
    inFlight_ = false;
    validUntil_ = NeverTime;
    sentAt_ = NeverTime;
}

void LeaseObserver::onRead(uint64_t revision, TimePoint now)
{
    if (unchangedSince_ == NeverTime || revision != revision_) {
        revision_ = revision;
        unchangedSince_ = now;
    }
}

bool LeaseObserver::hasExpired(TimePoint now) const
{
    if (unchangedSince_ == NeverTime) {
        return false;
    }
    const auto drift = std::chrono::duration_cast<Duration>(times_.term * times_.driftShare);
    return revision_ == 0 || now - unchangedSince_ >= times_.term + drift + times_.slack;
}

} // namespace wisteriahoist
