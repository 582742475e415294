/** @file odd_entry_test.cpp Real nodes that start again while entries of another writer stand among
 * their records in the store. */

#include "adapter/clock/boot_clock_adapter.h"
#include "adapter/clock/sleep_func.h"
#include "platform/object_store.h"
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

constexpr size_t Nodes = 4;
constexpr size_t DeepLevels = 100;
constexpr milliseconds StartBound{20000};
constexpr milliseconds RecoveryBound{15000};
constexpr milliseconds ProbePause{250};
constexpr milliseconds WatchTime{3000}; ///< In which every node has seen a change of the store.
/** The first and the last name in the list of members: those of nodes are between them. */
const std::string FirstName = "a-writer-";
const std::string LastName = "z-writer-";
const std::string MemberKind = "wisteriahoist-members";

/** What surrounds the entries. */
struct Conditions {
    size_t pageItems = 500;         ///< Records in one answer to a list.
    bool writtenWhileDown = false;  ///< The entries are written while no process runs.
    milliseconds storeDelay{0};     ///< Of each answer of the store after that.
    bool grantsByHeartbeat = false; ///< Keys are granted in the answers to heartbeats.
};

SoakSettings makeSettings(const std::string &name, uint8_t slot, const Conditions &conditions)
{
    const char *binary = std::getenv("WISTERIAHOIST_BIN");
    SoakSettings settings;
    settings.nodeBinary = binary == nullptr ? "" : binary;
    settings.directory = "build/test/restart-" + name;
    settings.nodes = Nodes;
    settings.slot = slot;
    settings.grantsByHeartbeat = conditions.grantsByHeartbeat;
    std::filesystem::remove_all(settings.directory);
    std::filesystem::create_directories(settings.directory);
    return settings;
}

/** A fleet, the store that it shares with another writer, and a story on one thread. */
class OddEntryStory
{
public:
    /** @param slot Second number of its loopback addresses; each test has its own. */
    OddEntryStory(const std::string &name, uint8_t slot, const Conditions &conditions)
        : conditions_(conditions), settings_(makeSettings(name, slot, conditions)),
          log_(settings_.directory, clock_.now()),
          reader_(context_.get_executor(), {"127.0.0.1", store_.addEndpoint("127.0.0.1")}),
          fleet_(context_, settings_, store_, audit_, clock_, log_)
    { }

    /** Makes an odd entry of a copy of a node's record. @param number Of the entry, from 1 on.
     *  @return Whether there is to be such an entry. */
    using Change = std::function<bool(boost::json::object &copy, size_t number)>;

    /** Runs the fleet, leaves up to two entries for each node, one before all records of nodes and
     *  one after them, starts all nodes again, and writes the entries anew.
     *  @return What is not served beside the entries; empty: all is. */
    std::string tell(const Change &change)
    {
        std::string missing = "the story did not end";
        startTask(context_, play(change, missing));
        context_.run();
        return missing;
    }

private:
    asio::awaitable<void> play(Change change, std::string &missing)
    {
        store_.put(std::string(ConfigurationKind), std::string(ConfigurationRecord),
                   encodeRouteConfig(configuration_.next()));
        callers_.setShapes(configuration_.shapes(1));
        startAll();
        co_await awaitServed(StartBound, missing);
        const Result<RecordListing> members = co_await reader_.list(RecordKind::Members);
        const bool published = members && members.assume_value().records.size() == Nodes;
        if (!missing.empty() || !published) {
            missing = "before there is any entry: "
                      + (missing.empty() ? "not every node has a record" : missing);
            fleet_.killAll();
            context_.stop();
            co_return;
        }
        const std::vector<StoredRecord> records = members.assume_value().records;
        store_.faults().pageItems = conditions_.pageItems;
        if (!conditions_.writtenWhileDown) {
            leaveEntries(records, change, 1);
        }
        fleet_.killAll();
        if (conditions_.writtenWhileDown) {
            leaveEntries(records, change, 1);
        }
        store_.faults().delay = conditions_.storeDelay;
        startAll();
        co_await awaitServed(RecoveryBound, missing);
        if (missing.empty()) {
            leaveEntries(records, change, 2);
            co_await sleepFor(WatchTime);
            co_await awaitServed(RecoveryBound, missing);
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

    /** @param version Makes entries that were left before differ. */
    void leaveEntries(const std::vector<StoredRecord> &records, const Change &change, int version)
    {
        size_t number = 0;
        for (const StoredRecord &record : records) {
            for (const std::string &name : {FirstName, LastName}) {
                boost::json::object copy = boost::json::parse(record.content).as_object();
                copy["name"] = name + std::to_string(version);
                if (change(copy, ++number)) {
                    store_.put(MemberKind, name + std::to_string(number), copy);
                }
            }
        }
    }

    asio::awaitable<void> awaitServed(milliseconds bound, std::string &missing)
    {
        const TimePoint end = clock_.now() + bound;
        do {
            co_await sleepFor(ProbePause);
            missing.clear();
            for (size_t index = 0; index < fleet_.size() && missing.empty(); ++index) {
                SoakNode &node = fleet_.node(index);
                missing = co_await callers_.probe(index, node);
                if (!node.isRunning()) {
                    missing = node.name() + " ended by itself with "
                              + std::to_string(node.exitCode());
                    co_return;
                }
            }
        } while (!missing.empty() && clock_.now() < end);
    }

    Conditions conditions_;
    SoakSettings settings_;
    asio::io_context context_{1};
    BootClockAdapter clock_;
    SoakLog log_;
    SoakAudit audit_{servicesOf(Nodes)};
    ObjectStoreStandin store_{context_, 1};
    ObjectStore reader_;
    SoakFleet fleet_;
    SoakCallers callers_{context_, audit_, 1};
    SoakConfiguration configuration_{conditions_.grantsByHeartbeat};
};

} // namespace

// Guards against a service that stops once its nodes start beside entries of another writer. One
// test, as it keeps the machine busy: a fleet at a time.
Test(odd_entry, nodes_start_again_beside_them)
{
    const auto check = [](const std::string &name, uint8_t slot,
                          const OddEntryStory::Change &change, const Conditions &conditions = {}) {
        OddEntryStory story("odd-entry-" + name, slot, conditions);
        const std::string missing = story.tell(change);
        cr_expect(missing.empty(), "%s: %s", name.c_str(), missing.c_str());
    };
    SECTION("one whose address the JSON parser rejects: no node then knew any other")
    {
        check("nested", 61, [](boost::json::object &copy, size_t number) {
            boost::json::value address = nullptr;
            for (size_t level = 0; level < DeepLevels; ++level) {
                address = boost::json::array{address};
            }
            copy["ip"] = address;
            return number == 1;
        });
    }
    SECTION("nodes of their own whose address is none, one of which comes before all others")
    {
        check("own", 62, [](boost::json::object &copy, size_t number) {
            copy["ip"] = "no-address";
            copy["nodeId"] = std::to_string(number);
            return true;
        });
    }
    SECTION("the ids of nodes with an address that is none")
    {
        check("copied", 63, [](boost::json::object &copy, size_t) {
            copy["ip"] = "no-address";
            return true;
        });
    }
    SECTION("each record on a page of its own, at a store that answers late")
    {
        check("pages", 65,
              [](boost::json::object &copy, size_t number) {
                  copy["ip"] = "no-address";
                  copy["nodeId"] = std::to_string(number);
                  return true;
              },
              {1, true, milliseconds(100), true});
    }
    SECTION("the ids of nodes with an address at which nobody listens")
    {
        check("elsewhere", 64, [](boost::json::object &copy, size_t) {
            copy["ip"] = "127.64.9.9";
            return true;
        });
    }
}
