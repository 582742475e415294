/** @file ownership_model.cpp Queues, clocks, the platform's two objects, and the checks. */

#include "fault_matrix/ownership_model.h"

#include <algorithm>

namespace wisteriahoist {

namespace {

constexpr milliseconds PlatformTimeout{500};
constexpr std::chrono::microseconds MinDelay{300};
constexpr int DelaySpread = 1500; ///< Microseconds.
constexpr int SlowSpread = 1000;  ///< Milliseconds.
const std::string ServiceName = "profiles";

} // namespace

OwnershipModel::OwnershipModel(ModelSettings settings, FaultInjector &injector)
    : settings_(settings), injector_(injector), random_(settings.seed)
{
    ServiceDeclaration service;
    service.name = ServiceName;
    service.keySpace.initialSlices = settings_.slices;
    service.grantMode = settings_.grantMode;
    declarations_.version = 1;
    declarations_.services = {service};
    const SliceTable table = SliceTable::makeEven(settings_.slices);
    for (const Slice &slice : table.slices()) {
        points_.push_back(KeyHash(slice.first.value() + 1));
    }
    highest_.assign(points_.size(), Epoch(0));
    lastOwner_.assign(points_.size(), {-1, 0});
    unservedSince_.assign(points_.size(), Duration(-1));
    longestUnserved_.assign(points_.size(), Duration(0));
    for (int index = 0; index < settings_.nodes; ++index) {
        addNode();
    }
}

int OwnershipModel::addNode()
{
    const int index = nodeCount();
    ModelNode node;
    node.info.id = NodeId(static_cast<uint64_t>(index) + 1);
    node.info.failureDomain = "domain-" + std::to_string(index % settings_.failureDomains);
    node.info.service = ServiceName;
    node.info.slots = 12;
    node.info.grantMode = settings_.grantMode;
    nodes_.push_back(std::move(node));
    start(index);
    return index;
}

void OwnershipModel::start(int index)
{
    ModelNode &node = this->node(index);
    node.life += 1;
    node.info.incarnation = Incarnation(node.life);
    node.info.draining = false;
    node.clockOffset = std::chrono::milliseconds(random_() % 1000000);
    const double unit = static_cast<double>(random_() % 2001) / 1000.0 - 1.0;
    node.clockRate = 1 + unit * settings_.maxClockRateError;
    node.pausedUntil = NeverTime;
    node.seen.clear();
    node.draining.clear();
    node.coordinator.reset();
    node.member = std::make_unique<Member>(settings_.times, node.info, settings_.safeguards);
    refreshHeld(node);
    const Duration phase = std::chrono::microseconds(random_() % 25000);
    onNode(index, node.life, now_ + phase, [this, index]() { tick(index); });
}

void OwnershipModel::schedule(Duration at, std::function<void()> action)
{
    events_.push({at, ++order_, std::move(action)});
}

void OwnershipModel::onNode(int index, uint64_t life, Duration at, std::function<void()> action)
{
    schedule(at, [this, index, life, action = std::move(action)]() {
        ModelNode &node = this->node(index);
        if (node.life != life || !node.member) {
            return;
        }
        const Duration pausedUntil = node.pausedUntil.time_since_epoch();
        if (pausedUntil > now_) {
            onNode(index, life, pausedUntil, action); // Delivered in order after the pause.
            return;
        }
        action();
    });
}

TimePoint OwnershipModel::clockOf(const ModelNode &node) const
{
    const double ran = static_cast<double>(now_.count()) * node.clockRate;
    return TimePoint(node.clockOffset + Duration(static_cast<int64_t>(ran)));
}

void OwnershipModel::runUntil(Duration until)
{
    while (!events_.empty() && events_.top().at <= until) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
        check();
    }
    now_ = until;
    check();
}

// --- faults ---

void OwnershipModel::crash(int index)
{
    ModelNode &node = this->node(index);
    node.member.reset();
    node.coordinator.reset();
}

void OwnershipModel::crashFor(int index, Duration downFor)
{
    if (index == PlatformPeer || !node(index).member) {
        return;
    }
    crash(index);
    schedule(now_ + downFor, [this, index]() {
        if (!node(index).member) {
            start(index);
        }
    });
}

void OwnershipModel::pause(int index, Duration pausedFor)
{
    if (index != PlatformPeer) {
        node(index).pausedUntil = TimePoint(now_ + pausedFor);
    }
}

void OwnershipModel::setDraining(int index, bool draining)
{
    ModelNode &node = this->node(index);
    node.info.draining = draining;
    if (node.member) {
        node.member->updateSelf(node.info);
    }
}

void OwnershipModel::cut(int from, int to, Duration cutFor)
{
    Duration &until = cuts_[{from, to}];
    until = std::max(until, now_ + cutFor);
}

void OwnershipModel::cutAll(int index, bool outward, bool inward, Duration cutFor)
{
    for (int other = PlatformPeer; other < nodeCount(); ++other) {
        const bool withPlatform = outward && inward;
        if (other == index || (other == PlatformPeer && !withPlatform)) {
            continue;
        }
        if (outward) {
            cut(index, other, cutFor);
        }
        if (inward) {
            cut(other, index, cutFor);
        }
    }
}

void OwnershipModel::declareAgain()
{
    ++declarations_.version;
    ServiceDeclaration service;
    service.name = "extra-" + std::to_string(declarations_.version);
    service.keySpace.initialSlices = 2;
    declarations_.services.push_back(service);
    for (ModelNode &node : nodes_) {
        if (node.coordinator) {
            node.coordinator->onDeclarations(declarations_, clockOf(node));
        }
    }
}

bool OwnershipModel::isCut(int from, int to) const
{
    const auto found = cuts_.find({from, to});
    return found != cuts_.end() && found->second > now_;
}

Duration OwnershipModel::drawDelay(bool withPlatform)
{
    Duration delay = MinDelay + std::chrono::microseconds(random_() % DelaySpread);
    if (withPlatform && platformSlowUntil_ > now_) {
        delay += std::chrono::milliseconds(random_() % SlowSpread);
    }
    return delay;
}

void OwnershipModel::transmit(Transmission transmission,
                              std::function<void(const Transmission &)> arrive)
{
    ++findings_.steps[static_cast<size_t>(transmission.step)];
    const bool toPlatform = transmission.from == PlatformPeer || transmission.to == PlatformPeer;
    (toPlatform ? platformCalls_ : messages_) += 1;
    transmission.delay = drawDelay(toPlatform);
    injector_.onTransmission(*this, transmission);
    const bool down = toPlatform && platformDownUntil_ > now_;
    if (transmission.lost || down || isCut(transmission.from, transmission.to)) {
        return;
    }
    const auto deliver = [transmission, arrive = std::move(arrive)]() { arrive(transmission); };
    schedule(now_ + transmission.delay, deliver);
    if (transmission.duplicateAfter.count() > 0) {
        schedule(now_ + transmission.delay + transmission.duplicateAfter, deliver);
    }
}

// --- the platform ---

template <typename T>
void OwnershipModel::serveCall(int index, uint64_t life, StoredObject<T> &object,
                               std::shared_ptr<Call<T>> call, std::shared_ptr<bool> ended,
                               bool replyLost)
{
    if (platformDownUntil_ > now_) {
        return;
    }
    bool accepted = true;
    if (call->isWrite) {
        accepted = object.version == call->expected;
        if (accepted) {
            object.version = object.version.next();
            object.content = call->content;
            if constexpr (std::is_same_v<T, TermRecord>) {
                findings_.terms = std::max(findings_.terms, call->content.term.value());
                for (int other = 0; other < nodeCount(); ++other) {
                    watchTerm(other);
                }
            }
        }
    }
    if (replyLost || isCut(PlatformPeer, index)) {
        return;
    }
    const auto reply
            = [call, ended, accepted, version = object.version, content = object.content]() {
                  if (std::exchange(*ended, true)) {
                      return;
                  }
                  if (accepted) {
                      call->done(version, content);
                  } else {
                      call->failed();
                  }
              };
    onNode(index, life, now_ + drawDelay(true), reply);
}

template <typename T>
void OwnershipModel::callPlatform(int index, StoredObject<T> &object, std::shared_ptr<Call<T>> call)
{
    const uint64_t life = node(index).life;
    auto ended = std::make_shared<bool>(false);
    Transmission transmission;
    transmission.step = call->step;
    transmission.from = index;
    transmission.to = PlatformPeer;
    transmit(transmission, [this, index, life, &object, call, ended](const Transmission &arrived) {
        serveCall(index, life, object, call, ended, arrived.replyLost);
    });
    onNode(index, life, now_ + PlatformTimeout, [call, ended]() {
        if (!std::exchange(*ended, true)) {
            call->failed();
        }
    });
}

void OwnershipModel::readTerm(int index)
{
    auto call = std::make_shared<Call<TermRecord>>();
    const TimePoint askedAt = clockOf(node(index));
    call->step = ProtocolStep::ReadTerm;
    call->done = [this, index, askedAt](ObjectVersion version, const auto &content) {
        ModelNode &node = this->node(index);
        node.member->onTermRead(version, content, clockOf(node));
        takeOffice(index, askedAt);
    };
    call->failed = [this, index]() { node(index).member->onTermReadFailed(clockOf(node(index))); };
    callPlatform(index, term_, call);
}

void OwnershipModel::campaign(int index)
{
    ModelNode &candidate = node(index);
    auto call = std::make_shared<Call<TermRecord>>();
    const TimePoint askedAt = clockOf(candidate);
    const TermRecord record = candidate.member->makeCampaign(WriteNonce(random_()));
    call->step = ProtocolStep::WriteCampaign;
    call->isWrite = true;
    call->expected = candidate.member->knownVersion();
    call->content = record;
    call->done = [this, index, record, askedAt](ObjectVersion version, const auto &) {
        ModelNode &node = this->node(index);
        node.member->onCampaignWon(version, record, clockOf(node));
        takeOffice(index, askedAt);
    };
    call->failed = [this, index]() {
        auto back = std::make_shared<Call<TermRecord>>();
        const TimePoint askedAgainAt = clockOf(node(index));
        back->step = ProtocolStep::ReadCampaignBack;
        back->done = [this, index, askedAgainAt](ObjectVersion version, const auto &content) {
            ModelNode &node = this->node(index);
            node.member->onCampaignLost(clockOf(node));
            node.member->onTermRead(version, content, clockOf(node));
            takeOffice(index, askedAgainAt);
        };
        back->failed
                = [this, index]() { node(index).member->onCampaignLost(clockOf(node(index))); };
        callPlatform(index, term_, back);
    };
    callPlatform(index, term_, call);
}

void OwnershipModel::watchTerm(int index)
{
    ModelNode &holder = node(index);
    if (!holder.coordinator) {
        return;
    }
    const Term served = holder.coordinator->term().term;
    const TimePoint askedAt = clockOf(holder);
    Transmission transmission;
    transmission.step = ProtocolStep::WatchTerm;
    transmission.from = PlatformPeer;
    transmission.to = index;
    const uint64_t life = holder.life;
    const StoredObject<TermRecord> seen = term_;
    transmit(transmission, [this, index, life, served, askedAt, seen](const Transmission &) {
        onNode(index, life, now_, [this, index, served, askedAt, seen]() {
            ModelNode &node = this->node(index);
            if (node.coordinator && node.coordinator->term().term == served) {
                node.coordinator->onTermSeen(seen.version, seen.content, askedAt);
            }
        });
    });
}

Coordinator *OwnershipModel::coordinatorOf(int index, Term served)
{
    Coordinator *present = node(index).coordinator.get();
    return present != nullptr && present->term().term == served ? present : nullptr;
}

void OwnershipModel::coordinatorCall(int index, CoordinatorStep step)
{
    switch (step) {
    case CoordinatorStep::ReadTerm:
    case CoordinatorStep::WriteTerm:
        callTermRecord(index, step == CoordinatorStep::WriteTerm);
        break;
    default:
        callAssignmentRecord(index, step == CoordinatorStep::WriteAssignment);
        break;
    }
}

void OwnershipModel::callTermRecord(int index, bool isWrite)
{
    Coordinator &coordinator = *node(index).coordinator;
    const Term served = coordinator.term().term;
    const TimePoint askedAt = clockOf(node(index));
    auto call = std::make_shared<Call<TermRecord>>();
    call->step = ProtocolStep::ReadBack;
    call->isWrite = isWrite;
    call->expected = coordinator.termVersion();
    if (isWrite) {
        const size_t open = coordinator.term().openRosters.size();
        call->content = coordinator.makeTermWrite(WriteNonce(random_()));
        const bool closes = call->content.openRosters.size() < open;
        call->step = closes ? ProtocolStep::CloseRoster : ProtocolStep::WriteRoster;
    }
    call->done
            = [this, index, served, askedAt, isWrite](ObjectVersion version, const auto &content) {
                  Coordinator *present = coordinatorOf(index, served);
                  const TimePoint at = clockOf(node(index));
                  if (present != nullptr && isWrite) {
                      present->onTermWritten(version, at);
                  } else if (present != nullptr) {
                      present->onTermStored(version, content, askedAt, at);
                  }
              };
    call->failed = [this, index, served]() {
        if (Coordinator *present = coordinatorOf(index, served)) {
            present->onTermCallFailed(clockOf(node(index)));
        }
    };
    callPlatform(index, term_, call);
}

void OwnershipModel::callAssignmentRecord(int index, bool isWrite)
{
    Coordinator &coordinator = *node(index).coordinator;
    const Term served = coordinator.term().term;
    auto call = std::make_shared<Call<AssignmentRecord>>();
    call->step = coordinator.isFenced() ? ProtocolStep::ReadBack : ProtocolStep::ReadAssignment;
    call->isWrite = isWrite;
    call->expected = coordinator.assignmentVersion();
    if (isWrite) {
        call->step = coordinator.isFenced() ? ProtocolStep::WriteMove : ProtocolStep::WriteFence;
        call->content = coordinator.makeAssignmentWrite(WriteNonce(random_()));
    }
    call->done = [this, index, served, isWrite](ObjectVersion version, const auto &content) {
        Coordinator *present = coordinatorOf(index, served);
        const TimePoint at = clockOf(node(index));
        if (present != nullptr && isWrite) {
            present->onAssignmentWritten(version, at);
        } else if (present != nullptr) {
            present->onAssignmentStored(version, content, at);
            stepCoordinator(index);
        }
    };
    call->failed = [this, index, served]() {
        if (Coordinator *present = coordinatorOf(index, served)) {
            present->onAssignmentCallFailed(clockOf(node(index)));
        }
    };
    callPlatform(index, assignment_, call);
}

// --- checks ---

void OwnershipModel::refreshHeld(ModelNode &node)
{
    node.held.assign(points_.size(), {});
    const auto &services = node.member->assignment().services;
    const auto table = services.find(ServiceName);
    if (table == services.end()) {
        return;
    }
    for (size_t index = 0; index < points_.size(); ++index) {
        const KeyHash point = points_[index];
        const Slice *slice = table->second.find(point);
        if (slice == nullptr || slice->owner != node.info.id) {
            continue;
        }
        const auto covers = [&](const Revocation &entry) {
            return entry.covers(ServiceName, point, point, slice->epoch);
        };
        const std::set<Revocation> &revoked = node.member->revocations();
        if (std::none_of(revoked.begin(), revoked.end(), covers)) {
            node.held[index] = {slice->epoch, TimePoint::max()};
        }
        for (const auto &[revocation, until] : node.draining) {
            if (covers(revocation)) {
                node.held[index] = {slice->epoch, std::max(node.held[index].workUntil, until)};
            }
        }
    }
}

bool OwnershipModel::holds(const ModelNode &node, size_t point) const
{
    if (!node.member || node.held[point].epoch == Epoch(0)) {
        return false;
    }
    const Duration overrun = settings_.grantMode == GrantMode::Unchecked
                                     ? Duration(settings_.times.uncheckedOverrun)
                                     : Duration(0);
    const TimePoint until = std::min(node.held[point].workUntil, node.member->leaseUntil());
    return clockOf(node) < until + overrun;
}

void OwnershipModel::checkPoint(size_t point)
{
    int owner = -1;
    for (int index = 0; index < nodeCount(); ++index) {
        const ModelNode &candidate = node(index);
        if (!holds(candidate, point)) {
            continue;
        }
        findings_.twoOwners += owner >= 0 ? 1 : 0;
        owner = index;
        const Epoch epoch = candidate.held[point].epoch;
        const std::pair<int, uint64_t> holder{index, candidate.life};
        const bool changed = holder != lastOwner_[point];
        findings_.epochFalls
                += epoch < highest_[point] || (changed && epoch == highest_[point]) ? 1 : 0;
        highest_[point] = std::max(highest_[point], epoch);
        lastOwner_[point] = holder;
        const auto stored = assignment_.content
                                    ? assignment_.content->services.find(ServiceName)
                                    : std::map<std::string, SliceTable>::const_iterator{};
        const bool present = assignment_.content && stored != assignment_.content->services.end()
                             && stored->second.find(points_[point])->epoch >= epoch;
        findings_.untoldLost += present ? 0 : 1;
    }
    Duration &since = unservedSince_[point];
    if (owner >= 0) {
        since = Duration(0);
    } else if (since == Duration(0)) {
        since = now_;
    } else if (since > Duration(0)) {
        longestUnserved_[point] = std::max(longestUnserved_[point], now_ - since);
        findings_.longestUnserved = std::max(findings_.longestUnserved, longestUnserved_[point]);
    }
}

void OwnershipModel::check()
{
    for (size_t point = 0; point < points_.size(); ++point) {
        checkPoint(point);
    }
}

void OwnershipModel::checkServed()
{
    for (const int owner : owners()) {
        findings_.unserved += owner < 0 ? 1 : 0;
    }
}

std::vector<int> OwnershipModel::owners()
{
    std::vector<int> owners;
    for (size_t point = 0; point < points_.size(); ++point) {
        int owner = -1;
        for (int index = 0; index < nodeCount(); ++index) {
            owner = holds(node(index), point) ? index : owner;
        }
        owners.push_back(owner);
    }
    return owners;
}

int OwnershipModel::coordinatorIndex() const
{
    for (int index = 0; index < nodeCount(); ++index) {
        const ModelNode &node = nodes_[static_cast<size_t>(index)];
        const bool latest = node.coordinator && term_.content
                            && node.coordinator->term().term == term_.content->term;
        if (latest) {
            return index;
        }
    }
    return -1;
}

} // namespace wisteriahoist
