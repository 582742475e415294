/** @file late_report_test.cpp Real nodes that start again and get heartbeats that are not of the
 * backend servers which run beside them. */

#include "adapter/clock/boot_clock_adapter.h"
#include "adapter/clock/sleep_func.h"
#include "platform/route_config_decoder.h"
#include "platform/standin/settings_writer.h"
#include "soak/soak_configuration.h"
#include "soak/soak_fleet.h"
#include "standin/task_func.h"
#include "support/test_section.h"

#include <cstdlib>
#include <filesystem>

using namespace wisteriahoist;
using namespace wisteriahoist::platform;
using namespace wisteriahoist::soak;

namespace {

constexpr size_t Nodes = 7;
constexpr milliseconds StartBound{20000};
constexpr milliseconds RecoveryBound{15000}; ///< From the return of all processes.
constexpr milliseconds DownTime{1000};
constexpr milliseconds UntilReports{3000}; ///< From the return of all processes.
constexpr milliseconds EffectTime{1000};   ///< In which a heartbeat has taken effect.
constexpr milliseconds ProbePause{250};
constexpr uint64_t HighSequence = 1000; ///< Above those of the backend servers themselves.

SoakSettings makeSettings(const std::string &name, uint8_t slot, bool grantsByHeartbeat)
{
    const char *binary = std::getenv("WISTERIAHOIST_BIN");
    SoakSettings settings;
    settings.nodeBinary = binary == nullptr ? "" : binary;
    settings.directory = "build/test/restart-" + name;
    settings.nodes = Nodes;
    settings.slot = slot;
    settings.grantsByHeartbeat = grantsByHeartbeat;
    std::filesystem::remove_all(settings.directory);
    std::filesystem::create_directories(settings.directory);
    return settings;
}

/** A fleet that loses all its processes at once, and heartbeats that arrive after its return. */
class ReturnStory
{
public:
    /** @param slot Second number of its loopback addresses; each test has its own. */
    ReturnStory(const std::string &name, uint8_t slot, bool grantsByHeartbeat = false)
        : settings_(makeSettings(name, slot, grantsByHeartbeat)),
          log_(settings_.directory, clock_.now()), configuration_(grantsByHeartbeat),
          fleet_(context_, settings_, store_, audit_, clock_, log_)
    { }

    using Reports = std::function<void(BackendServerStandin &backend)>;

    /** @param reports Sends heartbeats to the node of each backend server after the return.
     *  @return What is not served after them; empty: all is. */
    std::string tell(const Reports &reports)
    {
        std::string missing = "the story did not end";
        startTask(context_, play(reports, missing));
        context_.run();
        return missing;
    }

private:
    asio::awaitable<void> play(Reports reports, std::string &missing)
    {
        store_.put(std::string(ConfigurationKind), std::string(ConfigurationRecord),
                   encodeRouteConfig(configuration_.next()));
        callers_.setShapes(configuration_.shapes(1));
        startAll();
        co_await awaitServed(clock_.now() + StartBound, missing);
        if (missing.empty()) {
            fleet_.killAll();
            co_await sleepFor(DownTime);
            const TimePoint returned = clock_.now();
            startAll();
            co_await sleepFor(UntilReports);
            for (size_t index = 0; index < fleet_.size(); ++index) {
                reports(fleet_.node(index).backend());
            }
            co_await sleepFor(EffectTime);
            co_await awaitServed(returned + RecoveryBound, missing);
        } else {
            missing = "before the loss: " + missing;
        }
        fleet_.killAll();
        context_.stop();
    }

    void startAll()
    {
        for (size_t index = 0; index < fleet_.size(); ++index) {
            fleet_.startNode(index);
            fleet_.startBackend(index);
        }
    }

    asio::awaitable<void> awaitServed(TimePoint end, std::string &missing)
    {
        do {
            co_await sleepFor(ProbePause);
            missing = co_await callers_.probeAll(fleet_);
        } while (!missing.empty() && clock_.now() < end);
    }

    SoakSettings settings_;
    asio::io_context context_{1};
    BootClockAdapter clock_;
    SoakLog log_;
    SoakAudit audit_{servicesOf(Nodes)};
    ObjectStoreStandin store_{context_, 1};
    SoakConfiguration configuration_;
    SoakFleet fleet_;
    SoakCallers callers_{context_, audit_, 1};
};

} // namespace

// Guards against a service that does not come back after the loss of all machines, since a
// heartbeat of another incarnation arrives at each node. One test, as it keeps the machine busy.
Test(late_report, service_comes_back_after_all_were_lost)
{
    SECTION("the last heartbeat of the former incarnation arrives late")
    {
        ReturnStory story("late-report", 71);
        const std::string missing
                = story.tell([](BackendServerStandin &backend) { backend.sendLateReport(); });
        cr_expect(missing.empty(), "%s", missing.c_str());
    }
    SECTION("another writer reports an incarnation that does not run there")
    {
        ReturnStory story("foreign-report", 72);
        const std::string missing = story.tell([](BackendServerStandin &backend) {
            backend.sendForeignReport("of-another-writer", [](boost::json::object &) {});
        });
        cr_expect(missing.empty(), "%s", missing.c_str());
    }
    SECTION("another writer's heartbeats have the id of the running one, and other fields")
    {
        ReturnStory story("odd-report", 73);
        const std::string missing = story.tell([](BackendServerStandin &backend) {
            const auto send = [&](const std::string &id, const char *field,
                                  const boost::json::value &value) {
                backend.sendForeignReport(id, [&](boost::json::object &body) {
                    body["sequence"] = HighSequence;
                    body[field] = value;
                });
            };
            send(backend.id(), "slots", 0);
            send(backend.id(), "service", "another");
            send(backend.id(), "address", nullptr);
            send("", "sequence", HighSequence);
        });
        cr_expect(missing.empty(), "%s", missing.c_str());
    }
}
