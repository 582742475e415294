/** @file grant_authority.cpp How long a node may grant keys. */

#include "decision/range/grant_authority.h"

#include <algorithm>

namespace wisteriahoist {

void GrantAuthority::onRenewalSent(const std::set<NodeId> &witnesses)
{
    // Until the store has answered, it is unknown which of the two witness lists a node that takes
    // over would read; only a witness on both lists would be fenced in either case. If the stored
    // list is empty, a node that reads the new list starts to wait when the renewal is sent at the
    // earliest.
    if (hasNoWitnesses() && !witnesses.empty() && lease_.isValid(lease_.sentAt())) {
        countedWitnesses_ = witnesses;
        mayNameWitnesses_ = true;
        contactSince_ = NeverTime;
        contactUntil_ = lease_.sentAt() + contact_.term;
        return;
    }
    std::erase_if(countedWitnesses_,
                  [&witnesses](NodeId node) { return witnesses.count(node) == 0; });
}

void GrantAuthority::onRenewed(const std::set<NodeId> &witnesses, TimePoint sentAt)
{
    lease_.onRenewed(sentAt);
    namedWitnesses_ = witnesses;
    countedWitnesses_ = witnesses;
    mayNameWitnesses_ = false;
    renewedAt_ = std::max(renewedAt_, sentAt);
}

void GrantAuthority::onAcknowledged(NodeId witness, TimePoint sentAt, TimePoint now)
{
    if (countedWitnesses_.count(witness) == 0) {
        return;
    }
    if (contactUntil_ <= now) {
        contactSince_ = now;
    }
    contactUntil_ = std::max(contactUntil_, sentAt + contact_.term);
}

void GrantAuthority::onRevoked()
{
    lease_.onRevoked();
    countedWitnesses_.clear();
    namedWitnesses_.clear();
    mayNameWitnesses_ = false;
    contactUntil_ = NeverTime;
    renewedAt_ = NeverTime;
}

bool GrantAuthority::needsRenewal(TimePoint now) const
{
    return !hasNoWitnesses() && contactUntil_ > now && renewedAt_ <= contactSince_;
}

TimePoint GrantAuthority::validUntil() const
{
    if (hasNoWitnesses()) {
        return lease_.validUntil();
    }
    if (renewedAt_ <= contactSince_) {
        return NeverTime;
    }
    return std::min(lease_.validUntil(), contactUntil_);
}

bool HeartbeatWitness::onHeartbeat(NodeId node, Incarnation life, TimePoint now)
{
    Entry &entry = entries_[node];
    if (entry.fenced.count(life) > 0) {
        return false;
    }
    entry.acknowledged = life;
    entry.acknowledgedAt = now;
    return true;
}

bool HeartbeatWitness::onFence(NodeId node, Incarnation life, TimePoint now)
{
    Entry &entry = entries_[node];
    if (entry.acknowledged == life && now - entry.acknowledgedAt < times_.recent) {
        return false;
    }
    entry.fenced.insert(life);
    return true;
}

Takeover::Takeover(WitnessTimes times, Incarnation life, std::vector<NodeId> witnesses)
    : times_(times), incarnation_(life), witnesses_(std::move(witnesses))
{ }

void Takeover::onFenced(NodeId witness, Incarnation witnessLife, TimePoint now)
{
    Fence &fence = fences_[witness];
    if (fence.since == NeverTime || fence.witnessLife != witnessLife) {
        fence = {witnessLife, now};
    }
}

bool Takeover::isDue(TimePoint now) const
{
    const auto drift = std::chrono::duration_cast<Duration>(times_.term * times_.driftShare);
    const Duration wait = times_.term + drift + times_.slack;
    return !witnesses_.empty()
           && std::all_of(witnesses_.begin(), witnesses_.end(), [&](NodeId witness) {
                  const auto fence = fences_.find(witness);
                  return fence != fences_.end() && now - fence->second.since >= wait;
              });
}

} // namespace wisteriahoist
