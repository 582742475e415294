/** @file lasting_faults.cpp Faults that are a state. */

#include "soak/lasting_faults.h"

namespace wisteriahoist::soak {

namespace {

constexpr double Slowdown = 8;      ///< Times as long for each request.
constexpr double AnswerShare = 0.4; ///< Of a backend server's answers, that go wrong.
constexpr double OrderShare = 0.5;  ///< Of the orders to one.
constexpr double StoreShare = 0.3;  ///< Of the calls to the store.
constexpr milliseconds StoreDelay{300};
constexpr milliseconds PeerLinkDelay{60};

} // namespace

size_t &LastingFaults::countOf(const Fault &fault)
{
    return inForce_[{fault.kind, concernsAll(fault.kind) ? 0 : fault.target}];
}

void LastingFaults::begin(const Fault &fault)
{
    if (++countOf(fault) == 1) {
        apply(fault, true);
    }
}

void LastingFaults::end(const Fault &fault)
{
    if (--countOf(fault) == 0) {
        apply(fault, false);
    }
}

void LastingFaults::apply(const Fault &fault, bool on)
{
    applyToBackend(fault, on);
    applyToStore(fault, on);
    applyToLinks(fault, on);
    if (fault.kind == FaultKind::CallersLeave) {
        callers_.setImpatient(on);
    }
}

void LastingFaults::applyToBackend(const Fault &fault, bool on)
{
    platform::BackendFaults &backend = fleet_.node(fault.target).backend().faults();
    switch (fault.kind) {
    case FaultKind::BackendSlow:
        backend.slowdown = on ? Slowdown : 1;
        break;
    case FaultKind::BackendLosesAnswers:
        backend.lostAnswers = on ? AnswerShare : 0;
        break;
    case FaultKind::BackendGarbles:
        backend.malformedAnswers = on ? AnswerShare : 0;
        break;
    case FaultKind::BackendFails:
        backend.failedRequests = on ? AnswerShare : 0;
        break;
    case FaultKind::BackendLies:
        backend.invertHealth = on;
        break;
    case FaultKind::OrdersUnanswered:
        backend.lostGrantAnswers = on ? OrderShare : 0;
        break;
    case FaultKind::OrdersLate:
        backend.delayedGrants = on ? OrderShare : 0;
        break;
    default:
        break;
    }
}

void LastingFaults::applyToStore(const Fault &fault, bool on)
{
    platform::StoreFaults &store = store_.faults();
    switch (fault.kind) {
    case FaultKind::StoreDown:
        store.down = on;
        break;
    case FaultKind::StoreSlow:
        store.delay = on ? StoreDelay : milliseconds(0);
        break;
    case FaultKind::StoreLosesAnswers:
        store.lostAnswers = on ? StoreShare : 0;
        break;
    case FaultKind::StoreWritesLate:
        store.lateWrites = on ? StoreShare : 0;
        break;
    case FaultKind::StoreRefusesNode:
        if (on) {
            store.rejectedEndpoints.insert(fault.target);
        } else {
            store.rejectedEndpoints.erase(fault.target);
        }
        break;
    default:
        break;
    }
}

void LastingFaults::applyToLinks(const Fault &fault, bool on)
{
    SoakNode &node = fleet_.node(fault.target);
    switch (fault.kind) {
    case FaultKind::StoreLinkCut:
        node.storeLink().faults().cutForward = on;
        node.storeLink().faults().cutBackward = on;
        break;
    case FaultKind::PeerLinkDelay:
        node.peerLink().faults().delay = on ? PeerLinkDelay : milliseconds(0);
        break;
    case FaultKind::PeerLinkCutIn:
        node.peerLink().faults().cutForward = on;
        break;
    case FaultKind::PeerLinkCutOut:
        node.peerLink().faults().cutBackward = on;
        break;
    default:
        break;
    }
}

} // namespace wisteriahoist::soak
