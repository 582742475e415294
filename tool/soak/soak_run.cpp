/** @file soak_run.cpp One seed of the soak. */

#include "soak/soak_run.h"

#include "adapter/clock/sleep_func.h"
#include "platform/route_config_decoder.h"
#include "platform/standin/settings_writer.h"
#include "standin/task_func.h"

#include <filesystem>

namespace wisteriahoist::soak {

namespace {

/** First start of a whole fleet, and everything served again after the last fault. */
constexpr milliseconds StartBound{20000};
constexpr milliseconds RecoveryBound{15000};
/** The store's answers may be so late that a write of before the end of a fault is done after it.
 */
constexpr milliseconds LastWrites{4000};
constexpr milliseconds LastAnswers{8000}; ///< Requests that take longer are not waited for.
constexpr milliseconds Step{50};
constexpr milliseconds LimitTime{7000}; ///< For which one backend server names its limit.
/** From a leaving server's first answer that says so to its heartbeat that does, and from that one
 *  to the next start there. */
constexpr milliseconds AnnouncedLeaveTime{4000};
constexpr double LeastLimit = 2; ///< Requests per second.
constexpr uint64_t LimitSpread = 8;
constexpr milliseconds ProbePause{250};
/** For which one backend server sends bytes without end, and in what share of its answers. */
constexpr milliseconds EndlessTime{3000};
constexpr double EndlessShare = 0.8;
/** For which one backend server rejects requests and answers twice, and in what shares. */
constexpr milliseconds SecondAnswerTime{3000};
constexpr double RejectedShare = 0.3;
constexpr double SecondAnswerShare = 0.1;
constexpr size_t LargeCallers = 2; ///< More would keep the soak's own process busy.
/** Of the store; from its start to the leaving, and from there to the end of the node. */
constexpr milliseconds OutageTime{3500};
constexpr milliseconds TimeToLeaving{400};
constexpr milliseconds TimeToKill{900};
constexpr milliseconds TimeToRestart{500};
constexpr milliseconds LeavingTime{11000}; ///< Until the next backend server is started.
constexpr milliseconds MemoryInterval{100};
constexpr milliseconds DownTime{1200}; ///< For which all nodes are down after a loss of power.
/** For which links are slow after that, and how slow. */
constexpr milliseconds SlowStartTime{2000};
constexpr milliseconds StartStoreDelay{150};
constexpr milliseconds StartPeerDelay{60};
constexpr milliseconds AfterLossTime{10000}; ///< Requests and changes go on for so long.
/** Between two changes of the configuration, if they are frequent. */
constexpr milliseconds LeastChangePause{200};
constexpr uint64_t ChangePauseSpread = 1600; ///< Milliseconds.
/** Added routes that are requested then: the newest ones are not yet due everywhere. */
constexpr size_t LatePaths = 6;

SoakSettings withEmptyDirectory(SoakSettings settings)
{
    std::filesystem::remove_all(settings.directory);
    std::filesystem::create_directories(settings.directory);
    return settings;
}

} // namespace

SoakRun::SoakRun(SoakSettings settings)
    : settings_(withEmptyDirectory(std::move(settings))), log_(settings_.directory, clock_.now()),
      audit_(servicesOf(settings_.nodes)), store_(context_, settings_.seed),
      fleet_(context_, settings_, store_, audit_, clock_, log_),
      callers_(context_, audit_, settings_.seed),
      plan_(aimAtFirst(makeFaultPlan(settings_.seed, settings_.nodes), settings_.strongNodes)),
      configuration_(settings_.grantsByHeartbeat),
      driver_(context_, fleet_, store_, callers_, audit_, clock_, log_,
              [this]() { reconfigure(); }),
      random_(settings_.seed)
{ }

SoakResult SoakRun::run()
{
    startTask(context_, play());
    try {
        context_.run();
    } catch (const std::exception &error) {
        audit_.onNotRecovered(std::string("the soak itself failed: ") + error.what(), clock_.now());
    }
    return makeResult();
}

SoakResult SoakRun::makeResult()
{
    SoakResult result;
    result.seed = settings_.seed;
    result.requests = audit_.requests();
    result.answered = audit_.answered();
    result.faults = plan_.faults.size();
    for (const Violation &violation : audit_.violations()) {
        const milliseconds at = log_.sinceBegin(violation.at);
        result.violations.push_back(std::string(promiseName(violation.promise)) + " at "
                                    + std::to_string(at.count()) + " ms: " + violation.what);
        note("VIOLATION " + result.violations.back());
    }
    return result;
}

asio::awaitable<void> SoakRun::play()
{
    startAll();
    const bool started = co_await waitServed(StartBound);
    note(started ? "serving" : "not serving");
    startTask(context_, fleet_.watch());
    for (size_t index = 0; index < fleet_.size(); ++index) {
        callers_.addCallers(index, fleet_.node(index), settings_.callersPerNode);
    }
    addCrashingCallers();
    if (settings_.namedLimits) {
        startTask(context_, nameLimits());
    }
    if (settings_.announcedLeaving) {
        startTask(context_, announceLeaving());
    }
    if (settings_.endlessAnswers) {
        startTask(context_, sendEndless());
    }
    if (settings_.secondAnswers) {
        startTask(context_, answerTwice());
    }
    if (settings_.lateReports) {
        startTask(context_, leaveDuringOutages());
    }
    for (size_t index = 0; settings_.largeBodies && index < LargeCallers; ++index) {
        callers_.addLargeCaller(index, fleet_.node(index));
    }
    if (settings_.memoryBound > 0) {
        startTask(context_, watchMemory());
    }
    if (settings_.frequentChanges) {
        startTask(context_, changeOften());
    }
    co_await driver_.carryOutAll(plan_);
    if (settings_.powerLoss) {
        co_await loseAll();
    }
    note("healed");
    healed_ = true;
    fleet_.heal();
    co_await sleepFor(LastWrites);
    const bool served = co_await waitServed(RecoveryBound);
    note(served ? "served again" : "not served again");
    co_await endLoad();
    audit_.finish(clock_.now());
    fleet_.killAll();
    context_.stop();
}

void SoakRun::startAll()
{
    reconfigure();
    for (size_t index = 0; index < fleet_.size(); ++index) {
        fleet_.startNode(index);
        fleet_.startBackend(index);
    }
}

/** Only at the nodes of one service: the same request of another service's caller counts as another
 *  one. */
void SoakRun::addCrashingCallers()
{
    for (size_t index = 0; settings_.crashingRequests && index < fleet_.size(); ++index) {
        if (fleet_.node(index).service() == fleet_.node(0).service()) {
            callers_.addCrashingCaller(index, fleet_.node(index));
        }
    }
}

asio::awaitable<void> SoakRun::nameLimits()
{
    while (!healed_) {
        const size_t index = random_() % fleet_.size();
        nameLimit(index, LeastLimit + static_cast<double>(random_() % LimitSpread));
        co_await waitUnlessHealed(LimitTime);
        nameLimit(index, std::nullopt);
    }
}

asio::awaitable<void> SoakRun::announceLeaving()
{
    while (!healed_) {
        const size_t index = random_() % fleet_.size();
        platform::BackendServerStandin &backend = fleet_.node(index).backend();
        note(backend.id() + " says in its answers that it leaves");
        backend.announceLeaving();
        co_await waitUnlessHealed(AnnouncedLeaveTime);
        backend.leave();
        co_await waitUnlessHealed(AnnouncedLeaveTime);
        fleet_.startBackend(index);
    }
}

asio::awaitable<void> SoakRun::sendEndless()
{
    while (!healed_) {
        const size_t index = random_() % fleet_.size();
        double &share = fleet_.node(index).backend().faults().malformedAnswers;
        audit_.onDisturbance(index, clock_.now(), clock_.now() + EndlessTime);
        note(fleet_.node(index).backend().id() + " sends bytes without end");
        share = EndlessShare;
        co_await waitUnlessHealed(EndlessTime);
        share = 0;
    }
}

asio::awaitable<void> SoakRun::answerTwice()
{
    while (!healed_) {
        const size_t index = random_() % fleet_.size();
        platform::BackendFaults &faults = fleet_.node(index).backend().faults();
        audit_.onDisturbance(index, clock_.now(), clock_.now() + SecondAnswerTime);
        note(fleet_.node(index).backend().id() + " rejects requests and sends answers twice");
        faults.rejectedRequests = RejectedShare;
        faults.secondAnswers = SecondAnswerShare;
        co_await waitUnlessHealed(SecondAnswerTime);
        faults.rejectedRequests = 0;
        faults.secondAnswers = 0;
    }
}

asio::awaitable<void> SoakRun::leaveDuringOutages()
{
    while (!healed_) {
        const size_t index = random_() % fleet_.size();
        startTask(context_,
                  driver_.carryOutAnother({FaultKind::StoreDown, 0, milliseconds(0), OutageTime}));
        co_await sleepFor(TimeToLeaving);
        note(fleet_.node(index).backend().id() + " deregisters and goes on serving");
        fleet_.node(index).backend().leaveAtOnce();
        co_await sleepFor(TimeToKill);
        for (size_t killed = 0; killed < fleet_.size(); ++killed) {
            if (killed == index || settings_.allLost) {
                startTask(context_, driver_.carryOutAnother({FaultKind::NodeKill, killed,
                                                             milliseconds(0), TimeToRestart}));
            }
        }
        co_await waitUnlessHealed(LeavingTime);
        fleet_.startBackend(index);
    }
}

asio::awaitable<void> SoakRun::watchMemory()
{
    while (!healed_) {
        for (size_t index = 0; index < fleet_.size(); ++index) {
            audit_.onMemory(index, fleet_.node(index).memory(), settings_.memoryBound,
                            clock_.now());
        }
        co_await sleepFor(MemoryInterval);
    }
}

asio::awaitable<void> SoakRun::changeOften()
{
    while (!healed_) {
        const auto spread = static_cast<int64_t>(random_() % ChangePauseSpread);
        co_await waitUnlessHealed(LeastChangePause + milliseconds(spread));
        if (!healed_) {
            reconfigure();
        }
    }
}

asio::awaitable<void> SoakRun::loseAll()
{
    reconfigure();
    note("all nodes and backend servers are lost");
    audit_.onDisturbance(std::nullopt, clock_.now(), clock_.now() + DownTime + SlowStartTime);
    fleet_.killAll();
    co_await sleepFor(DownTime);
    fleet_.delayLinks(StartStoreDelay, StartPeerDelay);
    fleet_.heal();
    co_await sleepFor(SlowStartTime);
    fleet_.delayLinks(milliseconds(0), milliseconds(0));
    note("links are fast again");
    note("the last heartbeats of former incarnations arrive");
    for (size_t index = 0; index < fleet_.size(); ++index) {
        fleet_.node(index).backend().sendLateReport();
    }
    co_await sleepFor(AfterLossTime);
}

asio::awaitable<void> SoakRun::waitUnlessHealed(milliseconds length)
{
    const TimePoint begun = clock_.now();
    while (!healed_ && clock_.now() - begun < length) {
        co_await sleepFor(Step);
    }
}

void SoakRun::nameLimit(size_t index, std::optional<double> limit)
{
    platform::BackendServerStandin &backend = fleet_.node(index).backend();
    backend.faults().requestLimit = limit;
    audit_.onLimitNamed(backend.id(), limit, clock_.now());
    note(backend.id()
         + (limit ? " names a limit of " + std::to_string(*limit) : " names no limit"));
}

asio::awaitable<void> SoakRun::endLoad()
{
    callers_.stop();
    const TimePoint stopped = clock_.now();
    while (callers_.waiting() > 0 && clock_.now() - stopped < LastAnswers) {
        co_await sleepFor(Step);
    }
    fleet_.endWatch();
    co_await sleepFor(LastWrites);
}

asio::awaitable<bool> SoakRun::waitServed(milliseconds bound)
{
    const TimePoint end = clock_.now() + bound;
    std::string missing = "nothing was asked";
    while (!missing.empty() && clock_.now() < end) {
        co_await sleepFor(ProbePause);
        missing = co_await callers_.probeAll(fleet_);
    }
    if (!missing.empty()) {
        audit_.onNotRecovered(missing, clock_.now());
    }
    co_return missing.empty();
}

void SoakRun::reconfigure()
{
    const RouteConfig config = configuration_.next();
    callers_.setShapes(configuration_.shapes(settings_.frequentChanges ? LatePaths : 1));
    store_.put(std::string(platform::ConfigurationKind), std::string(platform::ConfigurationRecord),
               platform::encodeRouteConfig(config));
    const TimePoint now = clock_.now();
    for (const Route &route : config.routes) {
        audit_.onRouted(route.pathPrefix, route.targets.front().service, now);
    }
    note("configuration " + std::to_string(configuration_.version()) + ", moved to "
         + configuration_.movedTo());
}

} // namespace wisteriahoist::soak
